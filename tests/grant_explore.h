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

/// \brief A write between a process and the table.
struct FlyingWrite {
  GrantWriteId m_id;
  RowVersion m_expect;
  GrantRow m_row;
  /// Set once the table has served it.
  std::optional<WriteOutcome> m_outcome;
  RowVersion m_version;
  bool m_told_unsettled = false;
};

struct ExploredNode {
  Grants m_grants;
  std::uint64_t m_incarnation = 1;
  std::int64_t m_demand = 0;
  std::optional<FlyingWrite> m_write;
  /// Row as read, not delivered yet.
  std::optional<std::pair<RowVersion, GrantRow>> m_read;
};

/// \brief Units in use by a crashed process until its leases have lapsed.
struct ExploredOrphan {
  std::int64_t m_units = 0;
  TimePoint m_lapse{};
};

struct GrantWorld {
  TimePoint m_now{Seconds(1000)};
  RowVersion m_version;
  GrantRow m_row;
  std::vector<ExploredNode> m_nodes;
  std::vector<ExploredOrphan> m_orphans;
  /// Writes of crashed processes that the network still carries.
  std::vector<FlyingWrite> m_late;
};

/// \brief Where an exploration starts.
enum class GrantStart : std::uint8_t {
  /// Nobody holds anything.
  kEmpty,
  /// The first node holds and uses all units; the others want them.
  kBusy,
  /// The first node holds all units idle and may return them.
  kIdle,
};

/// \brief Explores every interleaving of the grant protocol up to a depth.
class GrantExplorer {
 public:
  GrantExplorer(int nodes, std::int64_t ceiling, GrantStart start,
                GrantFault planted)
      : m_ceiling(ceiling), m_planted(planted) {
    m_start.m_nodes.resize(static_cast<std::size_t>(nodes));
    for (std::size_t node = 0; node < m_start.m_nodes.size(); ++node) {
      ExploredNode& explored = m_start.m_nodes[node];
      explored.m_grants = MakeGrants(Name(node, 1), node, m_start.m_now);
      CeilingsChanged(explored.m_grants, OneTeam(1, ceiling));
      explored.m_grants.m_teams[kDesk].m_window_start = m_start.m_now;
    }
    if (start != GrantStart::kEmpty) {
      GiveAllToFirst(start == GrantStart::kBusy);
    }
  }

  /// \brief Number of steps of violating histories found, 0 for none.
  std::uint64_t Run(int depth) {
    Visit(m_start, depth);
    return m_violations;
  }
  std::uint64_t States() const { return m_seen.size(); }

 private:
  static NodeName Name(std::size_t node, std::uint64_t incarnation) {
    return NodeName("v" + std::to_string(node) + "#" +
                    std::to_string(incarnation));
  }

  void GiveAllToFirst(bool in_use) {
    ExploredNode& first = m_start.m_nodes[0];
    first.m_demand = m_ceiling;
    DemandChanged(first.m_grants, kDesk, m_ceiling);
    Deliver(m_start, 0, m_start.m_version, m_start.m_row);
    FlyingWrite write = *first.m_write;
    first.m_write.reset();
    Serve(m_start, write);
    GrantWriteEnded(first.m_grants, m_start.m_now, kDesk, write.m_id,
                    *write.m_outcome, write.m_version);
    while (in_use && TakeUnit(first.m_grants, kDesk)) {
    }
    if (!in_use) {
      first.m_demand = 0;
      DemandChanged(first.m_grants, kDesk, 0);
      auto& team = first.m_grants.m_teams[kDesk];
      team.m_peak = 0;
      m_start.m_now += kIdleReturn;
    }
    for (std::size_t node = 1; node < m_start.m_nodes.size(); ++node) {
      ExploredNode& other = m_start.m_nodes[node];
      Deliver(m_start, node, m_start.m_version, m_start.m_row);
      other.m_demand = m_ceiling;
      DemandChanged(other.m_grants, kDesk, m_ceiling);
      other.m_grants.m_teams[kDesk].m_window_start = m_start.m_now;
    }
  }

  void Visit(const GrantWorld& world, int depth) {
    if (m_violations > 0 || Broken(world)) {
      ++m_violations;
      return;
    }
    const std::uint64_t key = std::hash<std::string>{}(Key(world));
    const auto [seen, is_new] = m_seen.try_emplace(key, depth);
    if (!is_new) {
      if (seen->second >= depth) {
        return;
      }
      seen->second = depth;
    }
    if (depth == 0) {
      return;
    }
    for (std::size_t node = 0; node < world.m_nodes.size(); ++node) {
      VisitNode(world, node, depth);
    }
    for (std::size_t late = 0; late < world.m_late.size(); ++late) {
      Step(world, depth, [late](GrantWorld& next) {
        FlyingWrite write = next.m_late[late];
        next.m_late.erase(next.m_late.begin() +
                          static_cast<std::ptrdiff_t>(late));
        Serve(next, write);
      });
    }
    for (const Duration pause : {kIdleReturn, kLostHolderWait}) {
      Step(world, depth, [pause](GrantWorld& next) {
        next.m_now += pause;
        std::erase_if(next.m_orphans, [&](const ExploredOrphan& orphan) {
          return orphan.m_lapse <= next.m_now;
        });
      });
    }
  }

  void Step(const GrantWorld& world, int depth,
            const std::function<void(GrantWorld&)>& act) {
    GrantWorld next = world;
    act(next);
    Visit(next, depth - 1);
  }

  void VisitNode(const GrantWorld& world, std::size_t node, int depth) {
    const ExploredNode& now = world.m_nodes[node];
    const auto& team = now.m_grants.m_teams.at(kDesk);
    Step(world, depth, [this, node](GrantWorld& next) {
      Deliver(next, node, next.m_version, next.m_row);
    });
    if (!now.m_read) {
      Step(world, depth, [node](GrantWorld& next) {
        next.m_nodes[node].m_read.emplace(next.m_version, next.m_row);
      });
    } else {
      Step(world, depth, [this, node](GrantWorld& next) {
        const auto [version, row] = *next.m_nodes[node].m_read;
        next.m_nodes[node].m_read.reset();
        Deliver(next, node, version, row);
      });
    }
    if (now.m_write) {
      VisitWrite(world, node, depth);
    }
    if (team.m_in_use < now.m_demand) {
      Step(world, depth, [this, node](GrantWorld& next) {
        auto& grants = next.m_nodes[node].m_grants;
        auto& grant = grants.m_teams[kDesk];
        if (m_planted == GrantFault::kLateReturn) {
          grant.m_in_use += grant.m_in_use < grant.m_held ? 1 : 0;
        } else {
          TakeUnit(grants, kDesk);
        }
      });
    }
    if (team.m_in_use > 0) {
      Step(world, depth, [node](GrantWorld& next) {
        ReturnUnit(next.m_nodes[node].m_grants, kDesk);
      });
    }
    Step(world, depth, [this, node](GrantWorld& next) {
      ExploredNode& changed = next.m_nodes[node];
      changed.m_demand = changed.m_demand == 0 ? m_ceiling : 0;
      DemandChanged(changed.m_grants, kDesk, changed.m_demand);
    });
    if (now.m_incarnation < 2) {
      Step(world, depth, [this, node](GrantWorld& next) { Crash(next, node); });
    }
    Step(world, depth, [this, node](GrantWorld& next) { Tell(next, node); });
  }

  void VisitWrite(const GrantWorld& world, std::size_t node, int depth) {
    const FlyingWrite& write = *world.m_nodes[node].m_write;
    if (!write.m_outcome) {
      Step(world, depth, [node](GrantWorld& next) {
        Serve(next, *next.m_nodes[node].m_write);
      });
    }
    // The answer arrives, at once or later.
    Step(world, depth, [node](GrantWorld& next) {
      if (!next.m_nodes[node].m_write->m_outcome) {
        Serve(next, *next.m_nodes[node].m_write);
      }
      const FlyingWrite served = *next.m_nodes[node].m_write;
      next.m_nodes[node].m_write.reset();
      GrantWriteEnded(next.m_nodes[node].m_grants, next.m_now, kDesk,
                      served.m_id, *served.m_outcome, served.m_version);
    });
    if (!write.m_told_unsettled) {
      Step(world, depth, [this, node](GrantWorld& next) {
        FlyingWrite& told = *next.m_nodes[node].m_write;
        told.m_told_unsettled = true;
        GrantWriteEnded(next.m_nodes[node].m_grants, next.m_now, kDesk,
                        told.m_id,
                        m_planted == GrantFault::kGuessNotWritten
                            ? WriteOutcome::kNotWritten
                            : WriteOutcome::kUnsettled,
                        {});
      });
    }
  }

  static void Serve(GrantWorld& world, FlyingWrite& write) {
    if (world.m_version != write.m_expect) {
      write.m_outcome = WriteOutcome::kConflict;
      return;
    }
    world.m_version = RowVersion(world.m_version.Value() + 1);
    world.m_row = write.m_row;
    write.m_outcome = WriteOutcome::kCommitted;
    write.m_version = world.m_version;
  }

  void Deliver(GrantWorld& world, std::size_t node, RowVersion version,
               const GrantRow& row) {
    ExploredNode& reader = world.m_nodes[node];
    ChangeList changes{.m_table = "grant"};
    if (!version.IsNone()) {
      changes.m_rows.push_back(
          {GrantRowKey(kDesk), version, "", version.Value(), ToJson(row)});
    }
    GrantEffects effects;
    GrantChangesRead(reader.m_grants, world.m_now, Code::kOk, changes, effects);
    for (const GrantEffect& effect : effects) {
      const auto& write = std::get<WriteGrant>(effect);
      auto& team = reader.m_grants.m_teams[kDesk];
      if (reader.m_write && !reader.m_write->m_outcome) {
        // The earlier write is decided by the newer row, but still under way.
        world.m_late.push_back(*reader.m_write);
      }
      reader.m_write = FlyingWrite{write.m_write,         write.m_row.m_expect,
                                   team.m_pending->m_row, std::nullopt,
                                   RowVersion(),          false};
      if (m_planted == GrantFault::kEarlyGrowth) {
        team.m_held = HeldBy(team.m_pending->m_row, reader.m_grants.m_self);
      }
    }
  }

  void Crash(GrantWorld& world, std::size_t node) {
    ExploredNode& crashed = world.m_nodes[node];
    const auto team = crashed.m_grants.m_teams[kDesk];
    if (team.m_in_use > 0) {
      world.m_orphans.push_back({team.m_in_use, world.m_now + kTaskLease});
    }
    if (crashed.m_write && !crashed.m_write->m_outcome) {
      world.m_late.push_back(*crashed.m_write);
    }
    const std::uint64_t incarnation = crashed.m_incarnation + 1;
    crashed = ExploredNode();
    crashed.m_incarnation = incarnation;
    crashed.m_grants = MakeGrants(Name(node, incarnation), node, world.m_now);
    CeilingsChanged(crashed.m_grants, OneTeam(1, m_ceiling));
    auto& fresh = crashed.m_grants.m_teams[kDesk];
    fresh.m_window_start = world.m_now;
    if (m_planted == GrantFault::kInherit) {
      fresh.m_held = team.m_held;
    }
  }

  // The others hear of the process and of its demand.
  void Tell(GrantWorld& world, std::size_t node) const {
    const ExploredNode& teller = world.m_nodes[node];
    const std::int64_t running = teller.m_grants.m_teams.at(kDesk).m_in_use;
    for (ExploredNode& other : world.m_nodes) {
      if (&other == &teller) {
        continue;
      }
      HolderSeen(other.m_grants, world.m_now, teller.m_grants.m_self);
      PeerDemanded(other.m_grants, world.m_now, teller.m_grants.m_self, kDesk,
                   running,
                   std::max<std::int64_t>(0, teller.m_demand - running),
                   FreeUnits(teller.m_grants, kDesk));
      for (auto& [holder, watch] : other.m_grants.m_watch) {
        if (m_planted == GrantFault::kNoWait && watch.m_replaced) {
          watch.m_gone_since = world.m_now - kLostHolderWait;
        }
      }
    }
  }

  bool Broken(const GrantWorld& world) const {
    std::int64_t running = 0;
    for (const ExploredOrphan& orphan : world.m_orphans) {
      running += orphan.m_units;
    }
    for (const ExploredNode& node : world.m_nodes) {
      running += node.m_grants.m_teams.at(kDesk).m_in_use;
    }
    return running > m_ceiling || SumHeld(world.m_row) > m_ceiling;
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
  static void Add(std::string& key, const FlyingWrite& write) {
    Add(key, write.m_expect, write.m_row);
    Add(key,
        write.m_outcome ? static_cast<std::int64_t>(*write.m_outcome) : -1);
    Add(key, write.m_told_unsettled ? 1 : 0);
  }

  // Everything that decides what can still happen; counters are left out.
  static std::string Key(const GrantWorld& world) {
    std::string key;
    key.reserve(512);
    Add(key, world.m_now);
    Add(key, world.m_version, world.m_row);
    for (const ExploredOrphan& orphan : world.m_orphans) {
      Add(key, orphan.m_units);
      Add(key, orphan.m_lapse);
    }
    for (const FlyingWrite& late : world.m_late) {
      Add(key, late);
    }
    for (const ExploredNode& node : world.m_nodes) {
      const auto& team = node.m_grants.m_teams.at(kDesk);
      key += '|';
      Add(key, static_cast<std::int64_t>(node.m_incarnation));
      Add(key, node.m_demand);
      Add(key, team.m_version, team.m_row);
      Add(key, team.m_held);
      Add(key, team.m_in_use);
      Add(key, team.m_peak);
      Add(key, team.m_window_start);
      Add(key, team.m_keep.value_or(-1));
      Add(key, team.m_rounds_over);
      for (const auto& [peer, demand] : team.m_peers) {
        key += peer.Value();
        Add(key, demand.m_units);
        Add(key, demand.m_unmet ? 1 : 0);
        Add(key, demand.m_at);
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
      for (const auto& [holder, watch] : node.m_grants.m_watch) {
        key += holder.Value();
        Add(key, (watch.m_seen ? 1 : 0) + (watch.m_replaced ? 2 : 0));
        Add(key, watch.m_gone_since.value_or(TimePoint()));
      }
    }
    return key;
  }

  std::int64_t m_ceiling;
  GrantFault m_planted;
  GrantWorld m_start;
  std::unordered_map<std::uint64_t, int> m_seen;
  std::uint64_t m_violations = 0;
};

}  // namespace filbertspar::testing
