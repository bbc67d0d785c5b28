#include <catch2/catch.hpp>

#include "tests/fleet_world.h"

namespace filbertspar {
namespace {

constexpr std::int64_t kFaultSteps = 300;
constexpr std::int64_t kSteps = 1500;

// Guards against a broken budget, a cut request, a VM in two pools, a count
// that drifts from the rows, and a drain that nobody resumes, when failures,
// racing operators, racing planners, take-overs and lost answers mix.
TEST_CASE("histories with failures and races keep the invariants") {
  for (std::uint64_t seed = 1; seed <= 120; ++seed) {
    world::World world(seed, {}, {});
    const world::Verdict verdict = world.Run(kSteps, kFaultSteps);
    INFO("seed " << seed << ": " << verdict.m_first);
    CHECK(verdict.m_broken_budgets == 0);
    CHECK(verdict.m_cut_requests == 0);
    CHECK(verdict.m_two_pools == 0);
    CHECK(verdict.m_wrong_counts == 0);
    CHECK(verdict.m_done_at >= 0);
  }
}

}  // namespace
}  // namespace filbertspar
