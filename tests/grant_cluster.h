#pragma once

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "filbertspar/grant/grant.h"
#include "tests/fake_store.h"

namespace filbertspar::testing {

/// \brief Protocol faults that the checks must detect.
enum class GrantFault : std::uint8_t {
  kNone,
  /// Uses requested units before the write is known to be committed.
  kUseBeforeCommit,
  /// Uses units whose release is in flight.
  kUseAfterRelease,
  /// Reclaims a lost holder's units without kReclaimDelay.
  kNoReclaimDelay,
  /// A new incarnation uses the units of the previous one.
  kInheritUnits,
  /// An unsettled write is treated as not written.
  kUnsettledAsNotWritten,
};

inline Catalogue SingleTeamCatalogue(std::uint64_t version,
                                     std::int64_t ceiling) {
  Catalogue catalogue;
  catalogue.m_version = ConfigVersion(version);
  catalogue.m_teams.push_back({.m_name = TeamName("desk"),
                               .m_workspace = WorkspaceName("sales"),
                               .m_weight = 1,
                               .m_ceiling = ceiling});
  return catalogue;
}

struct GrantTask {
  TimePoint m_end{};
  /// The worker stops the task when its lease expires.
  TimePoint m_lease_end{};
};

struct GrantNode {
  Grants m_grants;
  int m_generation = 0;
  int m_incarnation = 1;
  bool m_up = true;
  TimePoint m_paused_until{};
  std::vector<GrantTask> m_tasks;
  std::int64_t m_demand = 0;
  /// Run time of the node's tasks.
  Duration m_run_time = Milliseconds(700);
};

/// \brief Entry processes that share one team's ceiling, with faults, in
/// virtual time.
struct GrantCluster {
  GrantCluster(int nodes, std::int64_t ceiling, std::uint64_t seed)
      : m_rng(seed),
        m_store{m_time, Rng(seed + 1), {}, {}, false, {}, 0},
        m_ceiling(ceiling) {
    m_nodes.resize(static_cast<std::size_t>(nodes));
  }

  VirtualTime m_time;
  Rng m_rng;
  FakeStore m_store;
  std::int64_t m_ceiling;
  std::uint64_t m_config_version = 1;
  GrantFault m_injected_fault = GrantFault::kNone;
  double m_summary_loss = 0;
  std::vector<GrantNode> m_nodes;
  /// Tasks of crashed processes; they run until their leases expire.
  std::vector<GrantTask> m_orphans;
  /// VM list after each change, oldest first.
  std::vector<std::pair<TimePoint, VmList>> m_vm_lists;
  std::int64_t m_violations = 0;
  std::int64_t m_started = 0;
  std::int64_t m_max_running = 0;
};

inline const TeamName kDesk("desk");
inline constexpr Duration kTaskLease = Seconds(10);
inline constexpr Duration kListLag = Seconds(3);

inline VmName VmOf(int node, int generation) {
  return VmName("vm" + std::to_string(node) + "-" + std::to_string(generation));
}

inline NodeName NameOf(const GrantCluster& cluster, int node) {
  const GrantNode& named = cluster.m_nodes[static_cast<std::size_t>(node)];
  return NodeName(VmOf(node, named.m_generation).Value() + "#" +
                  std::to_string(named.m_incarnation));
}

/// \brief Tasks running on workers, including those of crashed processes.
inline std::int64_t CountRunningTasks(const GrantCluster& cluster) {
  const TimePoint now = cluster.m_time.Now();
  const auto runs = [now](const GrantTask& task) {
    return now < std::min(task.m_end, task.m_lease_end);
  };
  std::int64_t running =
      std::count_if(cluster.m_orphans.begin(), cluster.m_orphans.end(), runs);
  for (const GrantNode& node : cluster.m_nodes) {
    running += std::count_if(node.m_tasks.begin(), node.m_tasks.end(), runs);
  }
  return running;
}

using GrantAction = std::function<void(GrantNode&, GrantEffects&)>;

inline void RunOnGrantNode(GrantCluster& cluster, int node,
                           const NodeName& name, const GrantAction& act);

inline void ExecuteEffects(GrantCluster& cluster, int node,
                           const NodeName& name, const GrantEffects& effects) {
  for (const GrantEffect& effect : effects) {
    if (const auto* read = std::get_if<ReadGrantChanges>(&effect)) {
      SendChanges(cluster.m_store, node, "grant", read->m_since,
                  [&cluster, node, name](Code code, const ChangeList& changes) {
                    RunOnGrantNode(cluster, node, name,
                                   [&cluster, code, changes](
                                       GrantNode& target, GrantEffects& out) {
                                     HandleGrantChanges(target.m_grants,
                                                        cluster.m_time.Now(),
                                                        code, changes, out);
                                   });
                  });
    } else if (const auto* write = std::get_if<WriteGrant>(&effect)) {
      if (cluster.m_injected_fault == GrantFault::kUseBeforeCommit) {
        auto& team = cluster.m_nodes[static_cast<std::size_t>(node)]
                         .m_grants.m_teams[kDesk];
        team.m_held = UnitsHeldBy(team.m_pending->m_row, name);
      }
      SendWrite(
          cluster.m_store, node, {write->m_row}, Seconds(1),
          [&cluster, node, name] {
            return cluster.m_nodes[static_cast<std::size_t>(node)].m_up &&
                   NameOf(cluster, node) == name;
          },
          [&cluster, node, name,
           id = write->m_write](const WriteReport& report) {
            RunOnGrantNode(
                cluster, node, name,
                [&cluster, id, report](GrantNode& target, GrantEffects&) {
                  WriteOutcome outcome = report.m_outcome;
                  if (cluster.m_injected_fault ==
                          GrantFault::kUnsettledAsNotWritten &&
                      !report.IsFinal()) {
                    outcome = WriteOutcome::kNotWritten;
                  }
                  HandleGrantWriteOutcome(
                      target.m_grants, cluster.m_time.Now(), kDesk, id, outcome,
                      report.m_versions.empty() ? RowVersion()
                                                : report.m_versions[0]);
                });
          });
    }
  }
}

inline void RunOnGrantNode(GrantCluster& cluster, int node,
                           const NodeName& name, const GrantAction& act) {
  GrantNode& target = cluster.m_nodes[static_cast<std::size_t>(node)];
  if (!target.m_up || NameOf(cluster, node) != name) {
    return;
  }
  if (target.m_paused_until > cluster.m_time.Now()) {
    cluster.m_time.At(target.m_paused_until, [&cluster, node, name, act] {
      RunOnGrantNode(cluster, node, name, act);
    });
    return;
  }
  GrantEffects effects;
  act(target, effects);
  ExecuteEffects(cluster, node, name, effects);
}

// Ends, renews and starts tasks like the request engine.
inline void RunTasks(GrantCluster& cluster, int node) {
  GrantNode& target = cluster.m_nodes[static_cast<std::size_t>(node)];
  const TimePoint now = cluster.m_time.Now();
  std::erase_if(target.m_tasks, [&](GrantTask& task) {
    if (std::min(task.m_end, task.m_lease_end) > now) {
      task.m_lease_end = now + kTaskLease;
      return false;
    }
    ReleaseGrantUnit(target.m_grants, kDesk);
    return true;
  });
  SetDemand(target.m_grants, kDesk, target.m_demand);
  const auto acquire_unit = [&] {
    if (cluster.m_injected_fault != GrantFault::kUseAfterRelease) {
      return AcquireGrantUnit(target.m_grants, kDesk);
    }
    auto& team = target.m_grants.m_teams[kDesk];
    const bool free = team.m_in_use < team.m_held;
    team.m_in_use += free ? 1 : 0;
    return free;
  };
  while (static_cast<std::int64_t>(target.m_tasks.size()) < target.m_demand &&
         acquire_unit()) {
    target.m_tasks.push_back({now + target.m_run_time, now + kTaskLease});
    ++cluster.m_started;
    const std::int64_t running = CountRunningTasks(cluster);
    cluster.m_max_running = std::max(cluster.m_max_running, running);
    cluster.m_violations += running > cluster.m_ceiling ? 1 : 0;
  }
}

inline void SendSummaries(GrantCluster& cluster, int node) {
  GrantNode& sender = cluster.m_nodes[static_cast<std::size_t>(node)];
  const NodeName from = NameOf(cluster, node);
  const auto running = static_cast<std::int64_t>(sender.m_tasks.size());
  const std::int64_t waiting =
      std::max<std::int64_t>(0, sender.m_demand - running);
  const std::int64_t free = FreeUnits(sender.m_grants, kDesk);
  for (int to = 0; to < static_cast<int>(cluster.m_nodes.size()); ++to) {
    if (to == node || cluster.m_rng.Chance(cluster.m_summary_loss)) {
      continue;
    }
    cluster.m_time.After(
        Milliseconds(2), [&cluster, to, from, running, waiting, free] {
          RunOnGrantNode(cluster, to, NameOf(cluster, to),
                         [&, from, running, waiting, free](GrantNode& target,
                                                           GrantEffects&) {
                           const TimePoint now = cluster.m_time.Now();
                           RecordHolderHeartbeat(target.m_grants, now, from);
                           UpdatePeerDemand(target.m_grants, now, from, kDesk,
                                            running, waiting, free);
                         });
        });
  }
}

inline void ReadVmList(GrantCluster& cluster, GrantNode& node) {
  const TimePoint now = cluster.m_time.Now();
  const VmList* list = nullptr;
  for (const auto& [time, known] : cluster.m_vm_lists) {
    if (time + kListLag <= now || list == nullptr) {
      list = &known;
    }
  }
  if (list != nullptr && Reaches(cluster.m_store, 0)) {
    HandleVmList(node.m_grants, now, *list);
  }
}

inline void RunGrantNodeLoop(GrantCluster& cluster, int node,
                             const NodeName& name, int iteration) {
  GrantNode& target = cluster.m_nodes[static_cast<std::size_t>(node)];
  if (!target.m_up || NameOf(cluster, node) != name) {
    return;
  }
  RunOnGrantNode(
      cluster, node, name,
      [&cluster, node, iteration](GrantNode& ready, GrantEffects& effects) {
        Tick(ready.m_grants, cluster.m_time.Now(), effects);
        RunTasks(cluster, node);
        if (iteration % 10 == 0) {
          SendSummaries(cluster, node);
          ReadVmList(cluster, ready);
        }
      });
  const TimePoint next =
      std::max(target.m_paused_until, cluster.m_time.Now() + Milliseconds(100));
  cluster.m_time.At(next, [&cluster, node, name, iteration] {
    RunGrantNodeLoop(cluster, node, name, iteration + 1);
  });
}

inline void RecordVmList(GrantCluster& cluster) {
  VmList list;
  for (int node = 0; node < static_cast<int>(cluster.m_nodes.size()); ++node) {
    list.m_vms.push_back(
        {.m_id =
             VmOf(node,
                  cluster.m_nodes[static_cast<std::size_t>(node)].m_generation),
         .m_address = "",
         .m_zone = ZoneName(),
         .m_leaving = false});
  }
  cluster.m_vm_lists.emplace_back(cluster.m_time.Now(), list);
}

inline void StartGrantNode(GrantCluster& cluster, int node) {
  GrantNode& started = cluster.m_nodes[static_cast<std::size_t>(node)];
  const NodeName name = NameOf(cluster, node);
  started.m_up = true;
  started.m_paused_until = TimePoint();
  started.m_tasks.clear();
  started.m_grants = MakeGrants(name, cluster.m_rng(), cluster.m_time.Now());
  UpdateCeilings(started.m_grants, SingleTeamCatalogue(cluster.m_config_version,
                                                       cluster.m_ceiling));
  RunGrantNodeLoop(cluster, node, name,
                   static_cast<int>(cluster.m_rng.Below(10)));
}

/// \brief Crashes the process and starts a new incarnation without state, on
/// the same VM or on a new VM with a new name.
inline void RestartGrantNode(GrantCluster& cluster, int node, bool same_vm) {
  GrantNode& crashed = cluster.m_nodes[static_cast<std::size_t>(node)];
  cluster.m_orphans.insert(cluster.m_orphans.end(), crashed.m_tasks.begin(),
                           crashed.m_tasks.end());
  const Grants before = crashed.m_grants;
  if (same_vm) {
    ++crashed.m_incarnation;
  } else {
    ++crashed.m_generation;
    crashed.m_incarnation = 1;
  }
  RecordVmList(cluster);
  StartGrantNode(cluster, node);
  if (cluster.m_injected_fault == GrantFault::kInheritUnits) {
    auto& team = crashed.m_grants.m_teams[kDesk];
    team.m_held = before.m_teams.at(kDesk).m_held;
  }
  if (cluster.m_injected_fault == GrantFault::kNoReclaimDelay) {
    for (GrantNode& other : cluster.m_nodes) {
      for (auto& [holder, status] : other.m_grants.m_holder_status) {
        if (holder == before.m_self) {
          status.m_replaced = true;
          status.m_gone_since = cluster.m_time.Now() - kReclaimDelay;
        }
      }
    }
  }
}

inline void StartAllNodes(GrantCluster& cluster) {
  RecordVmList(cluster);
  for (int node = 0; node < static_cast<int>(cluster.m_nodes.size()); ++node) {
    StartGrantNode(cluster, node);
  }
}

struct GrantHistoryResult {
  std::int64_t m_violations = 0;
  std::int64_t m_started = 0;
  std::int64_t m_max_running = 0;
  std::int64_t m_ceiling = 0;
};

/// \brief Simulates one random fault history. `faults` is a bit mask: 1 lost
/// messages, 2 delays, 4 pauses, 8 process crashes, 16 VM replacements, 32
/// store unreachable.
inline GrantHistoryResult RunGrantHistory(
    std::uint64_t seed, unsigned faults,
    GrantFault injected_fault = GrantFault::kNone) {
  Rng rng(seed + 17);
  GrantCluster cluster(4, 1 + static_cast<std::int64_t>(rng.Below(12)), seed);
  cluster.m_injected_fault = injected_fault;
  if ((faults & 1U) != 0) {
    cluster.m_store.m_faults.m_lose_request = 0.2;
    cluster.m_store.m_faults.m_lose_answer = 0.2;
    cluster.m_summary_loss = 0.3;
  }
  if ((faults & 2U) != 0) {
    cluster.m_store.m_faults.m_max_delay = Milliseconds(700);
  }
  StartAllNodes(cluster);
  for (int step = 0; step < 60; ++step) {
    const int node = static_cast<int>(rng.Below(4));
    GrantNode& chosen = cluster.m_nodes[static_cast<std::size_t>(node)];
    if (rng.Chance(0.5)) {
      chosen.m_demand =
          rng.Chance(0.3) ? 0 : static_cast<std::int64_t>(rng.Below(10));
      chosen.m_run_time = RandomDuration(rng, Milliseconds(50), Seconds(12));
    }
    if ((faults & 4U) != 0 && rng.Chance(0.15)) {
      chosen.m_paused_until =
          cluster.m_time.Now() +
          RandomDuration(rng, Milliseconds(500), Seconds(25));
    }
    if ((faults & 8U) != 0 && rng.Chance(0.15)) {
      RestartGrantNode(cluster, node, true);
    }
    if ((faults & 16U) != 0 && rng.Chance(0.1)) {
      RestartGrantNode(cluster, node, false);
    }
    if ((faults & 32U) != 0 && rng.Chance(0.3)) {
      cluster.m_store.m_down = rng.Chance(0.4);
      cluster.m_store.m_cut = {static_cast<int>(rng.Below(4))};
    }
    cluster.m_time.RunUntil(cluster.m_time.Now() +
                            RandomDuration(rng, Milliseconds(50), Seconds(2)));
  }
  return {cluster.m_violations, cluster.m_started, cluster.m_max_running,
          cluster.m_ceiling};
}

}  // namespace filbertspar::testing
