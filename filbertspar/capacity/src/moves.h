#pragma once

#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "filbertspar/fleetview/fleetview.h"

namespace filbertspar::capacity {

/// \brief Load of one pool at a moment; amounts in cores and core-seconds.
struct PoolLoad {
  PoolName m_name;
  /// Its VMs are off and cost nothing.
  bool m_standby = false;
  /// Of all workers that take tasks, less what long-running tasks hold.
  double m_cores = 0;
  /// In use by tasks that end.
  double m_running_cores = 0;
  /// Wanted by tasks that could start now.
  double m_ready_cores = 0;
  /// Work of the tasks that could start now.
  double m_ready_work = 0;
  /// Time that the waiting work can wait without harm, on average.
  Duration m_slack{0};
  /// Long-running tasks without a place.
  std::size_t m_unplaced_tasks = 0;
  /// Work and number of all jobs that ever came, also of those refused.
  double m_arrived_work = 0;
  std::uint64_t m_arrived_jobs = 0;
};

/// \brief One VM as far as moves go.
struct VmView {
  VmName m_name;
  PoolName m_pool;
  /// VMs of one kind can serve the same pools.
  std::string m_kind;
  double m_cores = 0;
  /// Its worker answers.
  bool m_is_serving = false;
  /// Up, empty, and not claimed by its upkeep.
  bool m_movable = false;
};

struct Move {
  VmName m_vm;
  PoolName m_to;
};

/// \brief Policy, with the platform's times.
struct Policy {
  /// Time from the order to a worker that takes tasks.
  Duration m_move_time = Milliseconds(1800);
};

/// \brief What the planner remembers.
struct State {
  struct Track {
    struct Arrivals {
      double m_work = 0;
      std::uint64_t m_jobs = 0;
    };
    std::deque<std::pair<TimePoint, Arrivals>> m_arrivals;
    std::deque<std::pair<TimePoint, double>> m_demand;
  };
  struct Pending {
    PoolName m_to;
    double m_cores = 0;
    TimePoint m_since{};
  };
  std::map<PoolName, Track> m_tracks;
  std::map<VmName, TimePoint> m_idle_since;
  std::map<VmName, Pending> m_pending;
  /// Kinds of VM that a pool does not take.
  std::set<std::pair<std::string, PoolName>> m_barred;
};

/// \brief Moves to order now.
///
/// Answers the load in which each pool in turn gets several times its mean for
/// some seconds: idle VMs go where work waits or will wait when the move is
/// over, and to the standby pool when nothing wants them.
std::vector<Move> PlanMoves(State& state, const Policy& policy, TimePoint now,
                            const std::vector<PoolLoad>& pools,
                            const std::vector<VmView>& vms);

/// \brief Cores of VMs that are on their way to a pool.
double IncomingCores(const State& state, const PoolName& pool);

/// \brief Answer to the order of a move.
void HandleMoveResult(State& state, TimePoint now, const Move& move,
                      const std::string& kind, VmOrderResult result);

}  // namespace filbertspar::capacity
