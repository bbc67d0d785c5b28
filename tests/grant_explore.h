#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "tests/grant_cluster.h"

namespace filbertspar::testing {

/// \brief A write between a process and the store.
struct InFlightGrantWrite {
  GrantWriteId m_id;
  RowVersion m_expect;
  GrantRow m_row;
  /// Set once the store has applied or rejected it.
  std::optional<WriteOutcome> m_outcome;
  RowVersion m_version;
  bool m_reported_unsettled = false;
};

struct GrantModelNode {
  Grants m_grants;
  std::uint64_t m_incarnation = 1;
  std::int64_t m_demand = 0;
  std::optional<InFlightGrantWrite> m_write;
  /// Result of a read that has not been delivered yet.
  std::optional<std::pair<RowVersion, GrantRow>> m_read;
};

/// \brief Units in use by a crashed process until its task leases expire.
struct OrphanedUnits {
  std::int64_t m_units = 0;
  TimePoint m_lease_end{};
};

struct GrantModelState {
  TimePoint m_now{Seconds(1000)};
  RowVersion m_version;
  GrantRow m_row;
  std::vector<GrantModelNode> m_nodes;
  std::vector<OrphanedUnits> m_orphans;
  /// Writes that their process no longer waits for (it crashed or sent a newer
  /// one) and that may still reach the store.
  std::vector<InFlightGrantWrite> m_delayed_writes;
};

/// \brief Initial state of an exploration.
enum class GrantInitialState : std::uint8_t {
  /// No node holds units.
  kEmpty,
  /// The first node holds and uses all units; the others have demand.
  kBusy,
  /// The first node holds all units without use and may release them.
  kIdle,
};

/// \brief Model checker: visits every interleaving of the grant protocol up to
/// a number of steps.
class GrantExplorer {
 public:
  GrantExplorer(int nodes, std::int64_t ceiling, GrantInitialState initial,
                GrantFault injected_fault)
      : m_ceiling(ceiling), m_injected_fault(injected_fault) {
    m_initial_state.m_nodes.resize(static_cast<std::size_t>(nodes));
    for (std::size_t node = 0; node < m_initial_state.m_nodes.size(); ++node) {
      GrantModelNode& explored = m_initial_state.m_nodes[node];
      explored.m_grants =
          MakeGrants(Name(node, 1), node, m_initial_state.m_now);
      UpdateCeilings(explored.m_grants, SingleTeamCatalogue(1, ceiling));
      explored.m_grants.m_teams[kDesk].m_idle_window_start =
          m_initial_state.m_now;
    }
    if (initial != GrantInitialState::kEmpty) {
      GiveAllUnitsToFirstNode(initial == GrantInitialState::kBusy);
    }
  }

  /// \brief 0 if no violation is reachable within `depth` steps. The search
  /// stops at the first one, so larger values have no further meaning.
  std::uint64_t Run(int depth) {
    Visit(m_initial_state, depth);
    return m_violations;
  }
  std::uint64_t States() const { return m_visited.size(); }

 private:
  static NodeName Name(std::size_t node, std::uint64_t incarnation) {
    return NodeName("v" + std::to_string(node) + "#" +
                    std::to_string(incarnation));
  }

  void GiveAllUnitsToFirstNode(bool in_use) {
    GrantModelNode& first = m_initial_state.m_nodes[0];
    first.m_demand = m_ceiling;
    SetDemand(first.m_grants, kDesk, m_ceiling);
    DeliverRow(m_initial_state, 0, m_initial_state.m_version,
               m_initial_state.m_row);
    InFlightGrantWrite write = *first.m_write;
    first.m_write.reset();
    ApplyWrite(m_initial_state, write);
    HandleGrantWriteOutcome(first.m_grants, m_initial_state.m_now, kDesk,
                            write.m_id, *write.m_outcome, write.m_version);
    while (in_use && AcquireGrantUnit(first.m_grants, kDesk)) {
    }
    if (!in_use) {
      first.m_demand = 0;
      SetDemand(first.m_grants, kDesk, 0);
      auto& team = first.m_grants.m_teams[kDesk];
      team.m_peak_demand = 0;
      m_initial_state.m_now += kIdleReleaseTime;
    }
    for (std::size_t node = 1; node < m_initial_state.m_nodes.size(); ++node) {
      GrantModelNode& other = m_initial_state.m_nodes[node];
      DeliverRow(m_initial_state, node, m_initial_state.m_version,
                 m_initial_state.m_row);
      other.m_demand = m_ceiling;
      SetDemand(other.m_grants, kDesk, m_ceiling);
      other.m_grants.m_teams[kDesk].m_idle_window_start = m_initial_state.m_now;
    }
  }

  void Visit(const GrantModelState& state, int depth) {
    if (m_violations > 0 || ViolatesInvariant(state)) {
      ++m_violations;
      return;
    }
    const std::uint64_t key = std::hash<std::string>{}(Key(state));
    const auto [visited, is_new] = m_visited.try_emplace(key, depth);
    if (!is_new) {
      if (visited->second >= depth) {
        return;
      }
      visited->second = depth;
    }
    if (depth == 0) {
      return;
    }
    for (std::size_t node = 0; node < state.m_nodes.size(); ++node) {
      VisitNode(state, node, depth);
    }
    for (std::size_t delayed = 0; delayed < state.m_delayed_writes.size();
         ++delayed) {
      Step(state, depth, [delayed](GrantModelState& next) {
        InFlightGrantWrite write = next.m_delayed_writes[delayed];
        next.m_delayed_writes.erase(next.m_delayed_writes.begin() +
                                    static_cast<std::ptrdiff_t>(delayed));
        ApplyWrite(next, write);
      });
    }
    for (const Duration pause : {kIdleReleaseTime, kReclaimDelay}) {
      Step(state, depth, [pause](GrantModelState& next) {
        next.m_now += pause;
        std::erase_if(next.m_orphans, [&](const OrphanedUnits& orphan) {
          return orphan.m_lease_end <= next.m_now;
        });
      });
    }
  }

  void Step(const GrantModelState& state, int depth,
            const std::function<void(GrantModelState&)>& act) {
    GrantModelState next = state;
    act(next);
    Visit(next, depth - 1);
  }

  void VisitNode(const GrantModelState& state, std::size_t node, int depth) {
    const GrantModelNode& current = state.m_nodes[node];
    const auto& team = current.m_grants.m_teams.at(kDesk);
    Step(state, depth, [this, node](GrantModelState& next) {
      DeliverRow(next, node, next.m_version, next.m_row);
    });
    if (!current.m_read) {
      Step(state, depth, [node](GrantModelState& next) {
        next.m_nodes[node].m_read.emplace(next.m_version, next.m_row);
      });
    } else {
      Step(state, depth, [this, node](GrantModelState& next) {
        const auto [version, row] = *next.m_nodes[node].m_read;
        next.m_nodes[node].m_read.reset();
        DeliverRow(next, node, version, row);
      });
    }
    if (current.m_write) {
      VisitWrite(state, node, depth);
    }
    if (team.m_in_use < current.m_demand) {
      Step(state, depth, [this, node](GrantModelState& next) {
        auto& grants = next.m_nodes[node].m_grants;
        auto& grant = grants.m_teams[kDesk];
        if (m_injected_fault == GrantFault::kUseAfterRelease) {
          grant.m_in_use += grant.m_in_use < grant.m_held ? 1 : 0;
        } else {
          AcquireGrantUnit(grants, kDesk);
        }
      });
    }
    if (team.m_in_use > 0) {
      Step(state, depth, [node](GrantModelState& next) {
        ReleaseGrantUnit(next.m_nodes[node].m_grants, kDesk);
      });
    }
    Step(state, depth, [this, node](GrantModelState& next) {
      GrantModelNode& changed = next.m_nodes[node];
      changed.m_demand = changed.m_demand == 0 ? m_ceiling : 0;
      SetDemand(changed.m_grants, kDesk, changed.m_demand);
    });
    if (current.m_incarnation < 2) {
      Step(state, depth,
           [this, node](GrantModelState& next) { Crash(next, node); });
    }
    Step(state, depth,
         [this, node](GrantModelState& next) { BroadcastDemand(next, node); });
  }

  void VisitWrite(const GrantModelState& state, std::size_t node, int depth) {
    const InFlightGrantWrite& write = *state.m_nodes[node].m_write;
    if (!write.m_outcome) {
      Step(state, depth, [node](GrantModelState& next) {
        ApplyWrite(next, *next.m_nodes[node].m_write);
      });
    }
    // The response arrives; the store applies the write first if it has not.
    Step(state, depth, [node](GrantModelState& next) {
      if (!next.m_nodes[node].m_write->m_outcome) {
        ApplyWrite(next, *next.m_nodes[node].m_write);
      }
      const InFlightGrantWrite applied = *next.m_nodes[node].m_write;
      next.m_nodes[node].m_write.reset();
      HandleGrantWriteOutcome(next.m_nodes[node].m_grants, next.m_now, kDesk,
                              applied.m_id, *applied.m_outcome,
                              applied.m_version);
    });
    if (!write.m_reported_unsettled) {
      Step(state, depth, [this, node](GrantModelState& next) {
        InFlightGrantWrite& reported = *next.m_nodes[node].m_write;
        reported.m_reported_unsettled = true;
        HandleGrantWriteOutcome(
            next.m_nodes[node].m_grants, next.m_now, kDesk, reported.m_id,
            m_injected_fault == GrantFault::kUnsettledAsNotWritten
                ? WriteOutcome::kNotWritten
                : WriteOutcome::kUnsettled,
            {});
      });
    }
  }

  static void ApplyWrite(GrantModelState& state, InFlightGrantWrite& write) {
    if (state.m_version != write.m_expect) {
      write.m_outcome = WriteOutcome::kConflict;
      return;
    }
    state.m_version = RowVersion(state.m_version.Value() + 1);
    state.m_row = write.m_row;
    write.m_outcome = WriteOutcome::kCommitted;
    write.m_version = state.m_version;
  }

  void DeliverRow(GrantModelState& state, std::size_t node, RowVersion version,
                  const GrantRow& row) {
    GrantModelNode& reader = state.m_nodes[node];
    ChangeList changes{.m_table = "grant"};
    if (!version.IsNone()) {
      changes.m_rows.push_back(
          {GrantRowKey(kDesk), version, "", version.Value(), ToJson(row)});
    }
    GrantEffects effects;
    HandleGrantChanges(reader.m_grants, state.m_now, Code::kOk, changes,
                       effects);
    for (const GrantEffect& effect : effects) {
      const auto& write = std::get<WriteGrant>(effect);
      auto& team = reader.m_grants.m_teams[kDesk];
      if (reader.m_write && !reader.m_write->m_outcome) {
        // The newer row settles the earlier write, which is still in flight.
        state.m_delayed_writes.push_back(*reader.m_write);
      }
      reader.m_write = InFlightGrantWrite{
          write.m_write, write.m_row.m_expect, team.m_pending->m_row,
          std::nullopt,  RowVersion(),         false};
      if (m_injected_fault == GrantFault::kUseBeforeCommit) {
        team.m_held =
            UnitsHeldBy(team.m_pending->m_row, reader.m_grants.m_self);
      }
    }
  }

  void Crash(GrantModelState& state, std::size_t node) {
    GrantModelNode& crashed = state.m_nodes[node];
    const auto team = crashed.m_grants.m_teams[kDesk];
    if (team.m_in_use > 0) {
      state.m_orphans.push_back({team.m_in_use, state.m_now + kTaskLease});
    }
    if (crashed.m_write && !crashed.m_write->m_outcome) {
      state.m_delayed_writes.push_back(*crashed.m_write);
    }
    const std::uint64_t incarnation = crashed.m_incarnation + 1;
    crashed = GrantModelNode();
    crashed.m_incarnation = incarnation;
    crashed.m_grants = MakeGrants(Name(node, incarnation), node, state.m_now);
    UpdateCeilings(crashed.m_grants, SingleTeamCatalogue(1, m_ceiling));
    auto& fresh = crashed.m_grants.m_teams[kDesk];
    fresh.m_idle_window_start = state.m_now;
    if (m_injected_fault == GrantFault::kInheritUnits) {
      fresh.m_held = team.m_held;
    }
  }

  // Delivers a heartbeat and the demand of the process to the others.
  void BroadcastDemand(GrantModelState& state, std::size_t node) const {
    const GrantModelNode& sender = state.m_nodes[node];
    const std::int64_t running = sender.m_grants.m_teams.at(kDesk).m_in_use;
    for (GrantModelNode& other : state.m_nodes) {
      if (&other == &sender) {
        continue;
      }
      RecordHolderHeartbeat(other.m_grants, state.m_now,
                            sender.m_grants.m_self);
      UpdatePeerDemand(other.m_grants, state.m_now, sender.m_grants.m_self,
                       kDesk, running,
                       std::max<std::int64_t>(0, sender.m_demand - running),
                       FreeUnits(sender.m_grants, kDesk));
      for (auto& [holder, status] : other.m_grants.m_holder_status) {
        if (m_injected_fault == GrantFault::kNoReclaimDelay &&
            status.m_replaced) {
          status.m_gone_since = state.m_now - kReclaimDelay;
        }
      }
    }
  }

  bool ViolatesInvariant(const GrantModelState& state) const {
    std::int64_t running = 0;
    for (const OrphanedUnits& orphan : state.m_orphans) {
      running += orphan.m_units;
    }
    for (const GrantModelNode& node : state.m_nodes) {
      running += node.m_grants.m_teams.at(kDesk).m_in_use;
    }
    return running > m_ceiling || TotalHeldUnits(state.m_row) > m_ceiling;
  }

  static void Add(std::string& key, std::int64_t number) {
    key += std::to_string(number);
    key += ',';
  }
  static void Add(std::string& key, TimePoint time) {
    Add(key, time.time_since_epoch().count() / 1'000'000);
  }
  static void Add(std::string& key, RowVersion version, const GrantRow& row) {
    Add(key, static_cast<std::int64_t>(version.Value()));
    for (const auto& [holder, units] : row.m_holders) {
      key += holder.Value();
      Add(key, units);
    }
    key += '/';
  }
  static void Add(std::string& key, const InFlightGrantWrite& write) {
    Add(key, write.m_expect, write.m_row);
    Add(key,
        write.m_outcome ? static_cast<std::int64_t>(*write.m_outcome) : -1);
    Add(key, write.m_reported_unsettled ? 1 : 0);
  }

  // All state that affects later steps; counters such as write ids are omitted.
  static std::string Key(const GrantModelState& state) {
    std::string key;
    key.reserve(512);
    Add(key, state.m_now);
    Add(key, state.m_version, state.m_row);
    for (const OrphanedUnits& orphan : state.m_orphans) {
      Add(key, orphan.m_units);
      Add(key, orphan.m_lease_end);
    }
    for (const InFlightGrantWrite& delayed : state.m_delayed_writes) {
      Add(key, delayed);
    }
    for (const GrantModelNode& node : state.m_nodes) {
      const auto& team = node.m_grants.m_teams.at(kDesk);
      key += '|';
      Add(key, static_cast<std::int64_t>(node.m_incarnation));
      Add(key, node.m_demand);
      Add(key, team.m_version, team.m_row);
      Add(key, team.m_held);
      Add(key, team.m_in_use);
      Add(key, team.m_peak_demand);
      Add(key, team.m_idle_window_start);
      Add(key, team.m_use_limit.value_or(-1));
      Add(key, team.m_rounds_over_share);
      for (const auto& [peer, demand] : team.m_peers) {
        key += peer.Value();
        Add(key, demand.m_units);
        Add(key, demand.m_lacks_units ? 1 : 0);
        Add(key, demand.m_received_at);
      }
      key += 'w';
      if (team.m_pending) {
        Add(key, team.m_pending->m_expect, team.m_pending->m_row);
        // Whether the write in flight is the one that is pending.
        Add(key, node.m_write && node.m_write->m_id == team.m_pending->m_id);
      }
      if (node.m_write) {
        Add(key, *node.m_write);
      }
      if (node.m_read) {
        key += 'r';
        Add(key, node.m_read->first, node.m_read->second);
      }
      for (const auto& [holder, status] : node.m_grants.m_holder_status) {
        key += holder.Value();
        Add(key, (status.m_seen ? 1 : 0) + (status.m_replaced ? 2 : 0));
        Add(key, status.m_gone_since.value_or(TimePoint()));
      }
      for (const auto& [vm, incarnation] : node.m_grants.m_incarnations) {
        key += vm.Value();
        Add(key, static_cast<std::int64_t>(incarnation));
      }
    }
    return key;
  }

  std::int64_t m_ceiling;
  GrantFault m_injected_fault;
  GrantModelState m_initial_state;
  std::unordered_map<std::uint64_t, int> m_visited;
  std::uint64_t m_violations = 0;
};

}  // namespace filbertspar::testing
