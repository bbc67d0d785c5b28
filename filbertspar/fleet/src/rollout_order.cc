#include "filbertspar/fleet/src/rollout_order.h"

#include <algorithm>
#include <cstddef>
#include <numeric>
#include <tuple>

namespace filbertspar {
namespace {

/// \brief Work left per unit of capacity, per budget.
std::vector<double> Pressures(const RolloutProblem& problem,
                              const std::vector<char>& pending) {
  std::vector<double> pressure(problem.m_capacity.size(), 0.0);
  for (std::size_t vm = 0; vm < pending.size(); ++vm) {
    if (pending[vm] != 0) {
      for (const int budget : problem.m_budgets_of[vm]) {
        pressure[static_cast<std::size_t>(budget)] += 1.0;
      }
    }
  }
  for (std::size_t budget = 0; budget < pressure.size(); ++budget) {
    pressure[budget] /= static_cast<double>(
        std::max<std::int64_t>(problem.m_capacity[budget], 1));
  }
  return pressure;
}

}  // namespace

std::vector<int> RolloutOrder(const RolloutProblem& problem,
                              const std::vector<char>& pending) {
  const std::vector<double> pressure = Pressures(problem, pending);
  struct Key {
    double m_most = 0;
    double m_sum = 0;
  };
  std::vector<Key> keys(pending.size());
  std::vector<int> order;
  for (std::size_t vm = 0; vm < pending.size(); ++vm) {
    if (pending[vm] == 0) {
      continue;
    }
    order.push_back(static_cast<int>(vm));
    for (const int budget : problem.m_budgets_of[vm]) {
      const double value = pressure[static_cast<std::size_t>(budget)];
      keys[vm].m_most = std::max(keys[vm].m_most, value);
      keys[vm].m_sum += value;
    }
  }
  std::sort(order.begin(), order.end(), [&](int a, int b) {
    const auto left = static_cast<std::size_t>(a);
    const auto right = static_cast<std::size_t>(b);
    return std::tuple(-keys[left].m_most, problem.m_rank[left],
                      -keys[left].m_sum, a) < std::tuple(-keys[right].m_most,
                                                         problem.m_rank[right],
                                                         -keys[right].m_sum, b);
  });
  return order;
}

std::vector<int> PlanRounds(const RolloutProblem& problem) {
  const std::size_t vms = problem.m_budgets_of.size();
  std::vector<int> round_of(vms, -1);
  std::vector<char> pending(vms, 1);
  for (int round = 0;; ++round) {
    std::vector<std::int64_t> room = problem.m_capacity;
    bool any = false;
    for (const int vm : RolloutOrder(problem, pending)) {
      const auto& budgets = problem.m_budgets_of[static_cast<std::size_t>(vm)];
      const bool fits =
          std::all_of(budgets.begin(), budgets.end(), [&room](int budget) {
            return room[static_cast<std::size_t>(budget)] > 0;
          });
      if (fits) {
        for (const int budget : budgets) {
          --room[static_cast<std::size_t>(budget)];
        }
        pending[static_cast<std::size_t>(vm)] = 0;
        round_of[static_cast<std::size_t>(vm)] = round;
        any = true;
      }
    }
    if (!any) {
      return round_of;
    }
  }
}

std::int64_t RoundsLowerBound(const RolloutProblem& problem) {
  std::vector<std::int64_t> work(problem.m_capacity.size(), 0);
  for (const auto& budgets : problem.m_budgets_of) {
    for (const int budget : budgets) {
      ++work[static_cast<std::size_t>(budget)];
    }
  }
  std::int64_t bound = problem.m_budgets_of.empty() ? 0 : 1;
  for (std::size_t budget = 0; budget < work.size(); ++budget) {
    const std::int64_t capacity =
        std::max<std::int64_t>(problem.m_capacity[budget], 1);
    bound = std::max(bound, (work[budget] + capacity - 1) / capacity);
  }
  return bound;
}

}  // namespace filbertspar
