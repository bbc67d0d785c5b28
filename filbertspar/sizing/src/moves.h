#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "filbertspar/sizing/src/surge.h"

namespace filbertspar {

/// \brief A pool as the choice of moves sees it.
struct PoolCapacity {
  PoolName m_pool;
  /// Not null.
  const SurgeHistory* m_history = nullptr;
  std::int64_t m_slots_per_vm = 1;
  /// VMs in service, and those on their way in.
  std::int64_t m_vms = 0;
  /// VMs that the budgets and the pool's smallest size let leave now.
  std::int64_t m_may_leave = 0;
};

/// \brief A move that was admitted.
struct PastMove {
  PoolName m_from;
  PoolName m_to;
  TimePoint m_when;
};

struct MoveSettings {
  /// Time over which a move has to pay.
  Duration m_horizon = std::chrono::minutes(30);
  /// Benefit over cost; below it load that swings would move VMs to and fro.
  double m_factor = 1.5;
  Duration m_no_return = std::chrono::minutes(10);
  /// Time in which a VM that moves serves neither pool.
  Duration m_move_time = std::chrono::minutes(2);
};

/// \brief A move worth making. Benefit and cost are slot-seconds of late work
/// over the horizon.
struct WantedMove {
  PoolName m_from;
  PoolName m_to;
  double m_benefit = 0;
  double m_cost = 0;
};

/// \brief Late work of a pool with `vms` over the horizon, if the load of the
/// history goes on. Urgent work counts fully, other work a quarter.
double ExpectedLate(const PoolCapacity& pool, std::int64_t vms,
                    Duration horizon);

/// \brief The best move that pays, or nothing.
///
/// The cost is the late work that the VM's absence adds to the pool it leaves,
/// plus the slots that are idle during the move, weighed by `m_moves` against
/// `m_nearness`.
std::optional<WantedMove> BestMove(const std::vector<PoolCapacity>& pools,
                                   const std::vector<PastMove>& past,
                                   const Weights& weights, TimePoint now,
                                   const MoveSettings& settings = {});

/// \brief Pool in which one more VM avoids the most late work; the pool with
/// the least slack when no pool expects late work. Nothing without pools.
std::optional<PoolName> PlaceSpare(const std::vector<PoolCapacity>& pools,
                                   const Weights& weights,
                                   const MoveSettings& settings = {});

}  // namespace filbertspar
