#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "tests/lease_cluster.h"

namespace filbertspar::testing {

struct InFlightLeaseWrite {
  LeaseWriteId m_id;
  std::vector<RowWrite> m_rows;
  std::uint64_t m_fencing = 0;
  NodeName m_writer;
  std::optional<WriteReport> m_report;
  bool m_reported_unsettled = false;
};

struct LeaseModelNode {
  Lease m_lease;
  std::uint64_t m_incarnation = 1;
  std::optional<InFlightLeaseWrite> m_write;
  /// Result of a read that has not been delivered yet.
  std::optional<Row> m_read;
};

struct LeaseModelState {
  TimePoint m_now{Seconds(1000)};
  Row m_row{.m_row = LeaseRowKey("planner")};
  RowVersion m_plan;
  std::vector<LeaseModelNode> m_nodes;
  /// Writes that their process no longer waits for (it crashed or sent a newer
  /// one) and that may still reach the store.
  std::vector<InFlightLeaseWrite> m_delayed_writes;
  bool m_violated = false;
};

/// \brief Model checker: visits every interleaving of the lease protocol up to
/// a number of steps. A process is paused by taking no step.
class LeaseExplorer {
 public:
  LeaseExplorer(int nodes, LeaseFault injected_fault)
      : m_injected_fault(injected_fault) {
    m_initial_state.m_nodes.resize(static_cast<std::size_t>(nodes));
    for (std::size_t node = 0; node < m_initial_state.m_nodes.size(); ++node) {
      m_initial_state.m_nodes[node].m_lease =
          MakeLease("planner", Name(node, 1), node, m_initial_state.m_now);
    }
    MakeFirstNodeHolder();
  }

  std::uint64_t Run(int depth) {
    Visit(m_initial_state, depth);
    return m_violations;
  }
  std::uint64_t States() const { return m_visited.size(); }

 private:
  static NodeName Name(std::size_t node, std::uint64_t incarnation) {
    return NodeName("p" + std::to_string(node) + "#" +
                    std::to_string(incarnation));
  }

  // In the initial state the first process is the holder, and the others have
  // read its row.
  void MakeFirstNodeHolder() {
    LeaseModelNode& first = m_initial_state.m_nodes[0];
    LeaseEffects effects;
    HandleLeaseRead(first.m_lease, m_initial_state.m_now, Code::kOk,
                    m_initial_state.m_row, effects);
    m_initial_state.m_now += kTakeoverJitter;
    TickNode(m_initial_state, 0);
    ApplyWriteAndReport(m_initial_state, 0);
    for (std::size_t node = 1; node < m_initial_state.m_nodes.size(); ++node) {
      HandleLeaseRead(m_initial_state.m_nodes[node].m_lease,
                      m_initial_state.m_now, Code::kOk, m_initial_state.m_row,
                      effects);
    }
  }

  void Visit(const LeaseModelState& state, int depth) {
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
      Step(state, depth, [delayed](LeaseModelState& next) {
        InFlightLeaseWrite write = next.m_delayed_writes[delayed];
        next.m_delayed_writes.erase(next.m_delayed_writes.begin() +
                                    static_cast<std::ptrdiff_t>(delayed));
        ApplyWrite(next, write);
      });
    }
    for (const Duration pause :
         {Duration(kLeaseRenewalInterval), kLeaseTimeout + kTakeoverJitter}) {
      Step(state, depth,
           [pause](LeaseModelState& next) { next.m_now += pause; });
    }
  }

  void Step(const LeaseModelState& state, int depth,
            const std::function<void(LeaseModelState&)>& act) {
    LeaseModelState next = state;
    act(next);
    Visit(next, depth - 1);
  }

  void VisitNode(const LeaseModelState& state, std::size_t node, int depth) {
    const LeaseModelNode& current = state.m_nodes[node];
    if (NextTick(current.m_lease) <= state.m_now) {
      Step(state, depth,
           [this, node](LeaseModelState& next) { TickNode(next, node); });
    }
    if (current.m_read) {
      Step(state, depth, [this, node](LeaseModelState& next) {
        const Row row = *next.m_nodes[node].m_read;
        next.m_nodes[node].m_read.reset();
        RunOnNode(next, node, [&](Lease& lease, LeaseEffects& effects) {
          HandleLeaseRead(lease, next.m_now, Code::kOk, row, effects);
        });
      });
    }
    if (IsHolder(current.m_lease) && current.m_lease.m_waiting.empty()) {
      Step(state, depth, [this, node](LeaseModelState& next) {
        RunOnNode(next, node, [&](Lease& lease, LeaseEffects& effects) {
          WriteFenced(lease, next.m_now, FencedWriteId(1),
                      {{kPlanRow, next.m_plan, Json(1)}}, effects);
        });
      });
    }
    if (current.m_write) {
      VisitWrite(state, node, depth);
    }
    if (current.m_incarnation < 2) {
      Step(state, depth, [node](LeaseModelState& next) { Crash(next, node); });
    }
  }

  void VisitWrite(const LeaseModelState& state, std::size_t node, int depth) {
    if (!state.m_nodes[node].m_write->m_report) {
      Step(state, depth, [node](LeaseModelState& next) {
        ApplyWrite(next, *next.m_nodes[node].m_write);
      });
    }
    Step(state, depth, [this, node](LeaseModelState& next) {
      ApplyWriteAndReport(next, node);
    });
    if (!state.m_nodes[node].m_write->m_reported_unsettled) {
      Step(state, depth, [this, node](LeaseModelState& next) {
        InFlightLeaseWrite& write = *next.m_nodes[node].m_write;
        write.m_reported_unsettled = true;
        WriteReport report;
        if (m_injected_fault == LeaseFault::kUnsettledAsCommitted) {
          report.m_outcome = WriteOutcome::kCommitted;
          for (const RowWrite& row : write.m_rows) {
            report.m_versions.emplace_back(row.m_expect.Value() + 1);
          }
        }
        RunOnNode(next, node, [&](Lease& lease, LeaseEffects& effects) {
          HandleLeaseWriteReport(lease, next.m_now, write.m_id, report,
                                 effects);
        });
      });
    }
  }

  static RowVersion VersionOf(const LeaseModelState& state, const RowKey& key) {
    return key == kPlanRow ? state.m_plan : state.m_row.m_version;
  }

  static void ApplyWrite(LeaseModelState& state, InFlightLeaseWrite& write) {
    WriteReport report;
    for (const RowWrite& row : write.m_rows) {
      const RowVersion version = VersionOf(state, row.m_row);
      if (version != row.m_expect) {
        report.m_conflicts.push_back({row.m_row, version, ""});
      }
      report.m_versions.emplace_back(row.m_expect.Value() + 1);
    }
    if (!report.m_conflicts.empty()) {
      report.m_outcome = WriteOutcome::kConflict;
      write.m_report = report;
      return;
    }
    report.m_outcome = WriteOutcome::kCommitted;
    for (const RowWrite& row : write.m_rows) {
      if (row.m_row != kPlanRow) {
        state.m_row.m_version = RowVersion(row.m_expect.Value() + 1);
        state.m_row.m_value = row.m_value;
        continue;
      }
      state.m_plan = RowVersion(row.m_expect.Value() + 1);
      // Only the current holder may write the plan.
      state.m_violated |=
          LeaseRowFromJson(*state.m_row.m_value)->m_fencing.Value() !=
          write.m_fencing;
    }
    write.m_report = report;
  }

  void ApplyWriteAndReport(LeaseModelState& state, std::size_t node) {
    LeaseModelNode& writer = state.m_nodes[node];
    if (!writer.m_write->m_report) {
      ApplyWrite(state, *writer.m_write);
    }
    const InFlightLeaseWrite write = *writer.m_write;
    writer.m_write.reset();
    WriteReport report = *write.m_report;
    if (m_injected_fault == LeaseFault::kNoFence &&
        write.m_rows[0].m_row == kPlanRow) {
      report.m_versions.insert(report.m_versions.begin(),
                               writer.m_lease.m_version);
    }
    RunOnNode(state, node, [&](Lease& lease, LeaseEffects& effects) {
      HandleLeaseWriteReport(lease, state.m_now, write.m_id, report, effects);
    });
  }

  void TickNode(LeaseModelState& state, std::size_t node) {
    RunOnNode(state, node, [&](Lease& lease, LeaseEffects& effects) {
      Tick(lease, state.m_now, effects);
    });
  }

  void RunOnNode(LeaseModelState& state, std::size_t node,
                 const std::function<void(Lease&, LeaseEffects&)>& act) {
    LeaseModelNode& target = state.m_nodes[node];
    LeaseEffects effects;
    act(target.m_lease, effects);
    for (const LeaseEffect& effect : effects) {
      if (std::holds_alternative<ReadLease>(effect)) {
        target.m_read = state.m_row;
      } else if (const auto* write = std::get_if<WriteLease>(&effect)) {
        if (target.m_write && !target.m_write->m_report) {
          state.m_delayed_writes.push_back(*target.m_write);
        }
        target.m_write = InFlightLeaseWrite{
            write->m_write,
            write->m_rows,
            target.m_lease.m_pending->m_row.m_fencing.Value(),
            target.m_lease.m_self,
            std::nullopt,
            false};
        if (m_injected_fault == LeaseFault::kNoFence &&
            write->m_rows.size() > 1) {
          target.m_write->m_rows.erase(target.m_write->m_rows.begin());
        }
      }
    }
  }

  static void Crash(LeaseModelState& state, std::size_t node) {
    LeaseModelNode& crashed = state.m_nodes[node];
    if (crashed.m_write && !crashed.m_write->m_report) {
      state.m_delayed_writes.push_back(*crashed.m_write);
    }
    const std::uint64_t incarnation = crashed.m_incarnation + 1;
    crashed = LeaseModelNode();
    crashed.m_incarnation = incarnation;
    crashed.m_lease =
        MakeLease("planner", Name(node, incarnation), node, state.m_now);
  }

  bool ViolatesInvariant(const LeaseModelState& state) const {
    int actors = 0;
    for (const LeaseModelNode& node : state.m_nodes) {
      actors += (m_injected_fault == LeaseFault::kNoValidityLimit
                     ? IsHolder(node.m_lease)
                     : CanActOutsideStore(node.m_lease, state.m_now))
                    ? 1
                    : 0;
    }
    return state.m_violated || actors > 1;
  }

  static void Add(std::string& key, std::uint64_t number) {
    key += std::to_string(number);
    key += ',';
  }
  static void Add(std::string& key, TimePoint time) {
    Add(key, static_cast<std::uint64_t>(time.time_since_epoch().count()));
  }
  static void Add(std::string& key, const InFlightLeaseWrite& write) {
    key += write.m_writer.Value();
    Add(key, write.m_fencing);
    for (const RowWrite& row : write.m_rows) {
      key += row.m_row.m_table;
      Add(key, row.m_expect.Value());
    }
    Add(key, write.m_report
                 ? static_cast<std::uint64_t>(write.m_report->m_outcome)
                 : 9);
    Add(key, write.m_reported_unsettled ? 1 : 0);
  }
  static void Add(std::string& key, const Row& row) {
    Add(key, row.m_version.Value());
    key += row.m_value ? ToText(*row.m_value) : "-";
  }

  static std::string Key(const LeaseModelState& state) {
    std::string key;
    key.reserve(512);
    Add(key, state.m_now);
    Add(key, state.m_row);
    Add(key, state.m_plan.Value());
    for (const InFlightLeaseWrite& delayed : state.m_delayed_writes) {
      Add(key, delayed);
    }
    for (const LeaseModelNode& node : state.m_nodes) {
      const Lease& lease = node.m_lease;
      key += '|';
      Add(key, node.m_incarnation);
      Add(key, lease.m_version.Value());
      key += lease.m_row.m_holder.Value();
      Add(key, lease.m_row.m_fencing.Value());
      Add(key, (lease.m_row_known ? 1U : 0U) + (lease.m_is_holder ? 2U : 0U));
      Add(key, lease.m_last_renewal_sent_at);
      Add(key, lease.m_next_poll);
      Add(key, lease.m_next_renewal);
      Add(key, lease.m_takeover_at);
      Add(key, lease.m_waiting.size());
      Add(key, lease.m_pending ? 1 : 0);
      if (node.m_write) {
        Add(key, lease.m_pending && lease.m_pending->m_id == node.m_write->m_id
                     ? 1
                     : 0);
        Add(key, *node.m_write);
      }
      if (node.m_read) {
        key += 'r';
        Add(key, *node.m_read);
      }
    }
    return key;
  }

  LeaseFault m_injected_fault;
  LeaseModelState m_initial_state;
  std::unordered_map<std::uint64_t, int> m_visited;
  std::uint64_t m_violations = 0;
};

}  // namespace filbertspar::testing
