#include "filbertspar/sizing/src/moves.h"

#include <algorithm>
#include <cstddef>

namespace filbertspar {
namespace {

// Other work has a deadline of its own and is not part of the urgent target.
constexpr double kOtherShare = 0.25;

bool Returns(const std::vector<PastMove>& past, const PoolName& from,
             const PoolName& to, TimePoint now, Duration no_return) {
  return std::any_of(past.begin(), past.end(), [&](const PastMove& move) {
    return move.m_from == to && move.m_to == from &&
           now - move.m_when < no_return;
  });
}

double MeanLoad(const SurgeHistory& history) {
  double sum = 0;
  for (const LoadSample& sample : history.m_samples) {
    sum += static_cast<double>(sample.m_urgent) + sample.m_other;
  }
  return history.m_samples.empty()
             ? 0.0
             : sum / static_cast<double>(history.m_samples.size());
}

/// \brief Late work that one VM less or more makes at each pool.
struct Marginal {
  double m_loss = 0;
  double m_gain = 0;
};

std::vector<Marginal> Marginals(const std::vector<PoolCapacity>& pools,
                                Duration horizon) {
  std::vector<Marginal> marginals;
  for (const PoolCapacity& pool : pools) {
    const double now = ExpectedLate(pool, pool.m_vms, horizon);
    marginals.push_back(
        {pool.m_vms > 0 ? ExpectedLate(pool, pool.m_vms - 1, horizon) - now
                        : 0.0,
         now > 0 ? now - ExpectedLate(pool, pool.m_vms + 1, horizon) : 0.0});
  }
  return marginals;
}

}  // namespace

double ExpectedLate(const PoolCapacity& pool, std::int64_t vms,
                    Duration horizon) {
  const std::size_t samples = pool.m_history->m_samples.size();
  if (samples == 0) {
    return 0;
  }
  const Replay replay =
      ReplayHistory(*pool.m_history, vms * pool.m_slots_per_vm);
  const double late = replay.m_late_urgent + kOtherShare * replay.m_late_other;
  return late * ToSeconds(horizon) / static_cast<double>(samples);
}

std::optional<WantedMove> BestMove(const std::vector<PoolCapacity>& pools,
                                   const std::vector<PastMove>& past,
                                   const Weights& weights, TimePoint now,
                                   const MoveSettings& settings) {
  const std::vector<Marginal> marginals = Marginals(pools, settings.m_horizon);
  const double weight =
      weights.m_nearness > 0
          ? std::clamp(weights.m_moves / weights.m_nearness, 0.5, 4.0)
          : 4.0;
  std::optional<WantedMove> best;
  for (std::size_t from = 0; from < pools.size(); ++from) {
    const PoolCapacity& source = pools[from];
    if (source.m_may_leave < 1 || source.m_vms < 2) {
      continue;
    }
    const double idle = ToSeconds(settings.m_move_time) *
                        static_cast<double>(source.m_slots_per_vm) * weight;
    for (std::size_t to = 0; to < pools.size(); ++to) {
      if (to == from || Returns(past, source.m_pool, pools[to].m_pool, now,
                                settings.m_no_return)) {
        continue;
      }
      const WantedMove move{source.m_pool, pools[to].m_pool,
                            marginals[to].m_gain,
                            marginals[from].m_loss + idle};
      if (move.m_benefit > settings.m_factor * move.m_cost &&
          (!best ||
           move.m_benefit - move.m_cost > best->m_benefit - best->m_cost)) {
        best = move;
      }
    }
  }
  return best;
}

std::optional<PoolName> PlaceSpare(const std::vector<PoolCapacity>& pools,
                                   const Weights& weights,
                                   const MoveSettings& settings) {
  const std::vector<Marginal> marginals = Marginals(pools, settings.m_horizon);
  const PoolCapacity* best = nullptr;
  double best_gain = 0;
  for (std::size_t pool = 0; pool < pools.size(); ++pool) {
    if (marginals[pool].m_gain > best_gain) {
      best = &pools[pool];
      best_gain = marginals[pool].m_gain;
    }
  }
  if (best != nullptr) {
    return best->m_pool;
  }
  double least_slack = 0;
  for (const PoolCapacity& pool : pools) {
    const PoolNeed need =
        SizePool(*pool.m_history, pool.m_slots_per_vm, weights);
    const double slack =
        static_cast<double>(pool.m_vms - need.m_vms) -
        MeanLoad(*pool.m_history) / static_cast<double>(std::max<std::int64_t>(
                                        1, pool.m_vms * pool.m_slots_per_vm));
    if (best == nullptr || slack < least_slack) {
      best = &pool;
      least_slack = slack;
    }
  }
  return best == nullptr ? std::nullopt : std::optional(best->m_pool);
}

}  // namespace filbertspar
