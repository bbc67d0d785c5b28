#pragma once

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "filbertspar/lease/lease.h"
#include "tests/fake_store.h"

namespace filbertspar::testing {

/// \brief Protocol faults that the checks must detect.
enum class LeaseFault : std::uint8_t {
  kNone,
  /// Fenced writes are sent without the lease row.
  kNoFence,
  /// The holder ignores kLeaseValidity and acts until it reads of another one.
  kNoValidityLimit,
  /// An unsettled write is reported as committed.
  kUnsettledAsCommitted,
};

inline const RowKey kPlanRow{"plan", "counter"};

struct LeaseNode {
  Lease m_lease;
  int m_incarnation = 0;
  TimePoint m_paused_until{};
  std::map<FencedWriteId, std::int64_t> m_unsettled;
  std::uint64_t m_last_write_id = 0;
};

/// \brief Processes that compete for a role, with faults, in virtual time. The
/// holder updates a plan row, one write at a time.
struct LeaseCluster {
  LeaseCluster(int nodes, std::uint64_t seed)
      : m_rng(seed), m_store{m_time, Rng(seed + 1), {}, {}, false, {}, 0} {
    m_nodes.resize(static_cast<std::size_t>(nodes));
  }

  VirtualTime m_time;
  Rng m_rng;
  FakeStore m_store;
  LeaseFault m_injected_fault = LeaseFault::kNone;
  std::vector<LeaseNode> m_nodes;
  /// Highest fencing number of the committed plan writes.
  std::uint64_t m_plan_fencing = 0;
  std::uint64_t m_plan_version = 0;
  std::int64_t m_plan_writes = 0;
  std::vector<std::pair<TimePoint, NodeName>> m_acquisitions;
  int m_violations = 0;
};

inline NodeName NameOf(const LeaseCluster& cluster, int node) {
  return NodeName(
      "p" + std::to_string(node) + "#" +
      std::to_string(
          cluster.m_nodes[static_cast<std::size_t>(node)].m_incarnation));
}

inline bool CanActNow(const LeaseCluster& cluster, const LeaseNode& node) {
  return cluster.m_injected_fault == LeaseFault::kNoValidityLimit
             ? IsHolder(node.m_lease)
             : CanActOutsideStore(node.m_lease, cluster.m_time.Now());
}

// Checked after every event: the fencing numbers of plan writes never decrease,
// and at most one process may act.
inline void CheckLeaseInvariants(LeaseCluster& cluster) {
  const Row plan = ReadRow(cluster.m_store.m_table, kPlanRow);
  if (plan.m_version.Value() != cluster.m_plan_version) {
    cluster.m_plan_version = plan.m_version.Value();
    const auto fencing =
        plan.m_value->as_object().at("fencing").to_number<std::uint64_t>();
    const LeaseRow row = *LeaseRowFromJson(
        *ReadRow(cluster.m_store.m_table, LeaseRowKey("planner")).m_value);
    cluster.m_violations +=
        fencing < cluster.m_plan_fencing || fencing < row.m_fencing.Value() ? 1
                                                                            : 0;
    cluster.m_plan_fencing = std::max(cluster.m_plan_fencing, fencing);
    ++cluster.m_plan_writes;
  }
  const auto actors = std::count_if(
      cluster.m_nodes.begin(), cluster.m_nodes.end(),
      [&](const LeaseNode& node) { return CanActNow(cluster, node); });
  cluster.m_violations += actors > 1 ? 1 : 0;
}

using LeaseAction = std::function<void(LeaseNode&, LeaseEffects&)>;

inline void RunOnLeaseNode(LeaseCluster& cluster, int node,
                           const NodeName& name, const LeaseAction& act);

inline void ExecuteEffects(LeaseCluster& cluster, int node,
                           const NodeName& name, const LeaseEffects& effects) {
  for (const LeaseEffect& effect : effects) {
    if (std::holds_alternative<ReadLease>(effect)) {
      SendRead(
          cluster.m_store, node, LeaseRowKey("planner"),
          [&cluster, node, name](Code code, const Row& row) {
            RunOnLeaseNode(
                cluster, node, name,
                [&cluster, code, row](LeaseNode& target, LeaseEffects& out) {
                  HandleLeaseRead(target.m_lease, cluster.m_time.Now(), code,
                                  row, out);
                });
          });
    } else if (const auto* write = std::get_if<WriteLease>(&effect)) {
      std::vector<RowWrite> rows = write->m_rows;
      if (cluster.m_injected_fault == LeaseFault::kNoFence && rows.size() > 1) {
        rows.erase(rows.begin());
      }
      const bool lease_row_removed = rows.size() < write->m_rows.size();
      SendWrite(
          cluster.m_store, node, rows, write->m_deadline,
          [&cluster, node, name] { return NameOf(cluster, node) == name; },
          [&cluster, node, name, lease_row_removed,
           id = write->m_write](const WriteReport& report) {
            RunOnLeaseNode(
                cluster, node, name,
                [&cluster, lease_row_removed, id, report](LeaseNode& target,
                                                          LeaseEffects& out) {
                  WriteReport delivered = report;
                  if (lease_row_removed &&
                      report.m_outcome == WriteOutcome::kCommitted) {
                    delivered.m_versions.insert(delivered.m_versions.begin(),
                                                target.m_lease.m_version);
                  }
                  if (cluster.m_injected_fault ==
                          LeaseFault::kUnsettledAsCommitted &&
                      !delivered.IsFinal()) {
                    delivered.m_outcome = WriteOutcome::kCommitted;
                    delivered.m_versions = {RowVersion(
                        target.m_lease.m_pending->m_expect.Value() + 1)};
                  }
                  HandleLeaseWriteReport(target.m_lease, cluster.m_time.Now(),
                                         id, delivered, out);
                });
          });
    } else if (std::holds_alternative<LeaseAcquired>(effect)) {
      cluster.m_acquisitions.emplace_back(cluster.m_time.Now(), name);
    }
  }
}

inline void RunOnLeaseNode(LeaseCluster& cluster, int node,
                           const NodeName& name, const LeaseAction& act) {
  LeaseNode& target = cluster.m_nodes[static_cast<std::size_t>(node)];
  if (NameOf(cluster, node) != name) {
    return;
  }
  if (target.m_paused_until > cluster.m_time.Now()) {
    cluster.m_time.At(target.m_paused_until, [&cluster, node, name, act] {
      RunOnLeaseNode(cluster, node, name, act);
    });
    return;
  }
  LeaseEffects effects;
  act(target, effects);
  ExecuteEffects(cluster, node, name, effects);
  CheckLeaseInvariants(cluster);
}

// Writes the plan row with its current version as the expected one.
inline void WritePlan(LeaseCluster& cluster, LeaseNode& node,
                      LeaseEffects& effects) {
  if (!IsHolder(node.m_lease) || !node.m_lease.m_waiting.empty()) {
    return;
  }
  const Row plan = ReadRow(cluster.m_store.m_table, kPlanRow);
  WriteFenced(
      node.m_lease, cluster.m_time.Now(), FencedWriteId(++node.m_last_write_id),
      {{kPlanRow, plan.m_version,
        Json(
            JsonObject{{"fencing", HeldFencingNumber(node.m_lease).Value()}})}},
      effects);
}

inline void RunLeaseNodeLoop(LeaseCluster& cluster, int node,
                             const NodeName& name, int iteration) {
  if (NameOf(cluster, node) != name) {
    return;
  }
  LeaseNode& target = cluster.m_nodes[static_cast<std::size_t>(node)];
  RunOnLeaseNode(
      cluster, node, name,
      [&cluster, iteration](LeaseNode& ready, LeaseEffects& effects) {
        Tick(ready.m_lease, cluster.m_time.Now(), effects);
        if (iteration % 10 == 0) {
          WritePlan(cluster, ready, effects);
        }
      });
  const TimePoint next =
      std::max(target.m_paused_until, cluster.m_time.Now() + Milliseconds(50));
  cluster.m_time.At(next, [&cluster, node, name, iteration] {
    RunLeaseNodeLoop(cluster, node, name, iteration + 1);
  });
}

/// \brief Starts a process, or replaces it by a new incarnation.
inline void StartLeaseNode(LeaseCluster& cluster, int node) {
  LeaseNode& started = cluster.m_nodes[static_cast<std::size_t>(node)];
  const int incarnation = started.m_incarnation + 1;
  started = LeaseNode();
  started.m_incarnation = incarnation;
  const NodeName name = NameOf(cluster, node);
  started.m_lease =
      MakeLease("planner", name, cluster.m_rng(), cluster.m_time.Now());
  RunLeaseNodeLoop(cluster, node, name,
                   static_cast<int>(cluster.m_rng.Below(10)));
}

inline int HolderIndex(const LeaseCluster& cluster) {
  for (int node = 0; node < static_cast<int>(cluster.m_nodes.size()); ++node) {
    if (IsHolder(cluster.m_nodes[static_cast<std::size_t>(node)].m_lease)) {
      return node;
    }
  }
  return -1;
}

struct LeaseHistoryResult {
  int m_violations = 0;
  std::int64_t m_plan_writes = 0;
  std::size_t m_acquisitions = 0;
};

/// \brief Simulates one random fault history. `faults` is a bit mask: 1 lost
/// messages, 2 delays, 4 pauses, 8 crashes, 16 store unreachable.
inline LeaseHistoryResult RunLeaseHistory(
    std::uint64_t seed, unsigned faults,
    LeaseFault injected_fault = LeaseFault::kNone) {
  Rng rng(seed + 5);
  LeaseCluster cluster(3, seed);
  cluster.m_injected_fault = injected_fault;
  if ((faults & 1U) != 0) {
    cluster.m_store.m_faults.m_lose_request = 0.2;
    cluster.m_store.m_faults.m_lose_answer = 0.2;
  }
  if ((faults & 2U) != 0) {
    cluster.m_store.m_faults.m_max_delay = Milliseconds(400);
  }
  for (int node = 0; node < 3; ++node) {
    StartLeaseNode(cluster, node);
  }
  for (int step = 0; step < 40; ++step) {
    // The holder is chosen more often, since its faults cause takeovers.
    const int holder = HolderIndex(cluster);
    const int node = holder >= 0 && rng.Chance(0.6)
                         ? holder
                         : static_cast<int>(rng.Below(3));
    if ((faults & 4U) != 0 && rng.Chance(0.3)) {
      cluster.m_nodes[static_cast<std::size_t>(node)].m_paused_until =
          cluster.m_time.Now() +
          RandomDuration(rng, Milliseconds(500), Seconds(9));
    }
    if ((faults & 8U) != 0 && rng.Chance(0.15)) {
      StartLeaseNode(cluster, node);
    }
    if ((faults & 16U) != 0 && rng.Chance(0.3)) {
      cluster.m_store.m_down = rng.Chance(0.3);
      cluster.m_store.m_cut = {node};
    }
    cluster.m_time.RunUntil(cluster.m_time.Now() +
                            RandomDuration(rng, Milliseconds(100), Seconds(3)));
  }
  return {cluster.m_violations, cluster.m_plan_writes,
          cluster.m_acquisitions.size()};
}

}  // namespace filbertspar::testing
