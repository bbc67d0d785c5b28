#pragma once

#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "filbertspar/fleetview/fleetview.h"

namespace filbertspar::capacity {

/// \brief Current load of one pool. Capacity and demand are in cores, work is
/// in core-seconds.
struct PoolLoad {
  PoolName m_name;
  /// Whether it is the standby pool, whose VMs are off and cost nothing.
  bool m_standby = false;
  /// Capacity of all workers that accept tasks, without the part that
  /// long-running tasks use.
  double m_cores = 0;
  /// Used by tasks that are not long-running.
  double m_running_cores = 0;
  /// Demand of the tasks that are ready to start.
  double m_ready_cores = 0;
  /// Work of the tasks that are ready to start.
  double m_ready_work = 0;
  /// How long the ready work can wait on average without missing its targets.
  Duration m_slack{0};
  /// VMs that the pool needs for long-running tasks that fit on no worker.
  double m_unplaced_vms = 0;
  /// Total work and number of all jobs that ever arrived, including rejected
  /// ones.
  double m_arrived_work = 0;
  std::uint64_t m_arrived_jobs = 0;
};

/// \brief The properties of a VM that matter for moves.
struct VmView {
  VmName m_name;
  PoolName m_pool;
  /// Worker that the list of VMs shows there; empty when there is none.
  WorkerName m_worker;
  /// VMs of the same kind can serve the same pools.
  std::string m_kind;
  double m_cores = 0;
  /// Whether its worker responds.
  bool m_is_serving = false;
  /// Whether it is up, empty and not reserved for upkeep.
  bool m_movable = false;
};

struct Move {
  VmName m_vm;
  PoolName m_to;
};

/// \brief Parameters that depend on the platform.
struct Policy {
  /// Time from the order of a move until the worker accepts tasks.
  Duration m_move_time = Milliseconds(1800);
};

/// \brief State that the planner keeps between calls.
struct State {
  /// Recent arrivals and demand of a pool.
  struct LoadHistory {
    struct Arrivals {
      double m_work = 0;
      std::uint64_t m_jobs = 0;
    };
    std::deque<std::pair<TimePoint, Arrivals>> m_arrivals;
    std::deque<std::pair<TimePoint, double>> m_demand_cores;
  };
  /// A move that was ordered and is not yet visible in the VM list.
  struct PendingMove {
    PoolName m_to;
    double m_cores = 0;
    TimePoint m_since{};
    /// Worker of the VM when the move was ordered.
    WorkerName m_worker_before;
    /// Whether the platform accepted the order, so that the VM will be shown in
    /// the pool, however late.
    bool m_is_accepted = false;
  };
  std::map<PoolName, LoadHistory> m_histories;
  /// When the first plan was made.
  TimePoint m_first_plan_at = TimePoint::max();
  /// When the first job arrived that is not long-running.
  TimePoint m_load_seen_at = TimePoint::max();
  std::map<VmName, TimePoint> m_idle_since;
  std::map<VmName, PendingMove> m_pending;
  /// Accepted moves that are over and that the list of VMs has not shown: what
  /// it shows of these VMs is from before.
  std::map<VmName, PendingMove> m_unshown;
  /// Kinds of VM and pools that rejected them.
  std::set<std::pair<std::string, PoolName>> m_incompatible;
};

/// \brief Returns the moves to order now.
///
/// Designed for load surges in which one pool at a time gets several times its
/// mean load for some seconds. Idle VMs move to pools where work waits, or will
/// wait by the time the move completes, and to the standby pool when no other
/// pool needs them. No VM moves to the standby pool before jobs have shown
/// which pools they need: the first surge of a deployment comes without
/// warning.
std::vector<Move> PlanMoves(State& state, const Policy& policy, TimePoint now,
                            const std::vector<PoolLoad>& pools,
                            const std::vector<VmView>& vms);

/// \brief Cores of the VMs whose move to the pool is pending.
double IncomingCores(const State& state, const PoolName& pool);

/// \brief Records the result of the order of a move.
void HandleMoveResult(State& state, TimePoint now, const Move& move,
                      const std::string& kind, VmOrderResult result);

}  // namespace filbertspar::capacity
