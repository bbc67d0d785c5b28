#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <vector>

#include "filbertspar/share/share.h"
#include "tests/fixed_seed.h"

namespace filbertspar {
namespace {

std::vector<TeamDemand> RandomDemands(std::uint64_t seed) {
  Rng rng(seed);
  std::vector<TeamDemand> demands(1 + rng.Below(12));
  for (TeamDemand& team : demands) {
    team.m_weight = 0.25 * static_cast<double>(1 + rng.Below(16));
    for (double& fraction : team.m_demand) {
      fraction = rng.Chance(0.3) ? 0.0 : rng.Uniform() * 1.5;
    }
  }
  return demands;
}

struct Filling {
  std::vector<double> m_due;
  Fractions m_used{};
};

Fractions UseAt(const std::vector<TeamDemand>& demands,
                const std::vector<double>& due) {
  Fractions used{};
  for (std::size_t i = 0; i < demands.size(); ++i) {
    const double dominant = DominantShare(demands[i].m_demand);
    for (int kind = 0; dominant > 0 && kind < kResourceKinds; ++kind) {
      used[kind] += due[i] / dominant * demands[i].m_demand[kind];
    }
  }
  return used;
}

// Raises a common level by bisection and stops teams round by round.
Filling NaiveWaterFill(const std::vector<TeamDemand>& demands) {
  const std::size_t n = demands.size();
  std::vector<double> due(n, 0.0);
  std::vector<bool> stopped(n, false);
  for (std::size_t round = 0; round < 2 * n + kResourceKinds; ++round) {
    const auto at = [&](double level) {
      std::vector<double> raised = due;
      for (std::size_t i = 0; i < n; ++i) {
        if (!stopped[i]) {
          raised[i] = std::min(level * demands[i].m_weight,
                               DominantShare(demands[i].m_demand));
        }
      }
      return raised;
    };
    double low = 0;
    double high = 1e3;
    for (int step = 0; step < 80; ++step) {
      const double middle = (low + high) / 2;
      const Fractions used = UseAt(demands, at(middle));
      (*std::max_element(used.begin(), used.end()) <= 1.0 ? low : high) =
          middle;
    }
    due = at(low);
    const Fractions used = UseAt(demands, due);
    for (std::size_t i = 0; i < n; ++i) {
      for (int kind = 0; kind < kResourceKinds; ++kind) {
        stopped[i] = stopped[i] ||
                     (used[kind] > 1.0 - 1e-9 && demands[i].m_demand[kind] > 0);
      }
    }
  }
  return {due, UseAt(demands, due)};
}

Filling Fill(const std::vector<TeamDemand>& demands) {
  WaterFillScratch scratch;
  Filling result;
  result.m_due.resize(demands.size());
  const WaterLevel level = WaterFill(demands, result.m_due, scratch);
  result.m_used = UseAt(demands, result.m_due);
  for (int kind = 0; kind < kResourceKinds; ++kind) {
    RC_ASSERT(std::abs(1.0 - result.m_used[kind] - level.m_free[kind]) < 1e-9);
  }
  return result;
}

// Guards against due shares that differ from filling the pool step by step.
TEST_CASE("due shares equal those of the naive filling") {
  CHECK(rc::check([](std::uint64_t seed) {
    const std::vector<TeamDemand> demands = RandomDemands(seed);
    const Filling exact = Fill(demands);
    const Filling naive = NaiveWaterFill(demands);
    for (std::size_t i = 0; i < demands.size(); ++i) {
      RC_ASSERT(std::abs(exact.m_due[i] - naive.m_due[i]) < 1e-6);
    }
  }));
}

// Guards against a share that is too large, or kept from a team that could
// have more without taking it from one with less.
TEST_CASE("due shares are feasible and max-min fair") {
  CHECK(rc::check([](std::uint64_t seed) {
    const std::vector<TeamDemand> demands = RandomDemands(seed);
    const Filling filling = Fill(demands);
    for (const double used : filling.m_used) {
      RC_ASSERT(used <= 1.0 + 1e-9);
    }
    for (std::size_t i = 0; i < demands.size(); ++i) {
      const double wanted = DominantShare(demands[i].m_demand);
      RC_ASSERT(filling.m_due[i] <= wanted + 1e-9);
      if (filling.m_due[i] > wanted - 1e-9) {
        continue;
      }
      bool justified = false;
      for (int kind = 0; kind < kResourceKinds; ++kind) {
        bool largest =
            filling.m_used[kind] > 1.0 - 1e-9 && demands[i].m_demand[kind] > 0;
        for (std::size_t j = 0; j < demands.size(); ++j) {
          largest =
              largest && (demands[j].m_demand[kind] <= 0 ||
                          filling.m_due[i] / demands[i].m_weight >=
                              filling.m_due[j] / demands[j].m_weight - 1e-9);
        }
        justified = justified || largest;
      }
      RC_ASSERT(justified);
    }
  }));
}

// Guards against an estimate that ignores the observations or the declaration.
TEST_CASE("observed sizes and run times outweigh a wrong declaration") {
  TaskEstimate estimate;
  Declare(estimate, Resources{Slots(1), Megabytes(100), Accelerators(0)},
          Milliseconds(100));
  CHECK(EstimatedRunTime(estimate) == Milliseconds(100));
  for (int i = 0; i < 4; ++i) {
    ObserveRunTime(estimate, Milliseconds(900));
    ObserveMemory(estimate, Megabytes(500));
  }
  CHECK(EstimatedRunTime(estimate) == Milliseconds(500));
  CHECK(EstimatedResources(estimate).m_memory == Megabytes(300));
  for (int i = 0; i < 1000; ++i) {
    ObserveRunTime(estimate, Milliseconds(900));
  }
  CHECK(EstimatedRunTime(estimate) > Milliseconds(840));
  for (int i = 0; i < 1000; ++i) {
    ObserveRunTime(estimate, Milliseconds(50));
  }
  CHECK(EstimatedRunTime(estimate) < Milliseconds(60));
}

}  // namespace
}  // namespace filbertspar
