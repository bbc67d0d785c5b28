#pragma once

#include <cstdint>
#include <vector>

namespace filbertspar {

/// \brief VMs to maintain and the budgets that they count in, by index.
struct RolloutProblem {
  std::vector<std::vector<int>> m_budgets_of;
  /// VMs that each budget lets out at the same time.
  std::vector<std::int64_t> m_capacity;
  /// Service order among VMs that are equally constrained, lower first.
  std::vector<std::int64_t> m_rank;
};

/// \brief VMs in the order in which a round should try them.
///
/// The VM whose tightest budget has the most work left per unit of capacity
/// comes first, as in critical-path list scheduling, because that budget
/// determines when the roll-out ends.
std::vector<int> RolloutOrder(const RolloutProblem& problem,
                              const std::vector<char>& pending);

/// \brief Round of each VM when every round lasts as long as one maintenance;
/// -1 when a budget never lets the VM out.
std::vector<int> PlanRounds(const RolloutProblem& problem);

/// \brief Rounds that no plan can undercut: per budget, work over capacity.
std::int64_t RoundsLowerBound(const RolloutProblem& problem);

}  // namespace filbertspar
