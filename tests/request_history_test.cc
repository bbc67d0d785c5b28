#include <catch2/catch.hpp>
#include <string>

#include "tests/world/scenario.h"

namespace filbertspar::world {
namespace {

CheckResult RunAndCheck(const WorldOptions& options) {
  const std::unique_ptr<World> world = MixedWorld(options);
  world->Run();
  // A configuration arrives within 1 s, and a task at its worker within 3 s of
  // its start by the engine.
  CheckOptions check;
  check.m_spread_bound = Milliseconds(4'100);
  CheckResult result = CheckHistory(world->History(), check);
  CHECK(result.m_calls > 100);
  if (options.m_plant == Plant::kNone) {
    INFO("seed " << options.m_seed);
    for (const Violation& violation : result.m_violations) {
      UNSCOPED_INFO(ToString(violation.m_rule) << ": " << violation.m_text);
    }
    CHECK(result.Total() == 0);
    CHECK(world->Counts().m_false_settlements == 0);
  }
  return result;
}

// Guards against an engine that breaks an invariant under some mix of faults.
TEST_CASE("seeded fault histories keep every rule") {
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    RunAndCheck(RandomFaults(seed));
  }
}

std::uint64_t CountPlanted(Plant plant, HistoryRule rule, FaultRates faults) {
  std::uint64_t found = 0;
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    WorldOptions options;
    options.m_seed = seed;
    options.m_plant = plant;
    options.m_faults = faults;
    found += RunAndCheck(options).m_counts[static_cast<std::size_t>(rule)];
  }
  return found;
}

// Guards against fault histories that could not show a broken rule: each
// planted fault of the surroundings has to be found.
TEST_CASE("planted faults are found in the histories") {
  FaultRates lossy;
  lossy.m_lose_answer = 0.3;
  lossy.m_long_task = 0.3;
  CHECK(CountPlanted(Plant::kLostAsNotSent, HistoryRule::kTrueRefusal, lossy) >
        0);
  CHECK(CountPlanted(Plant::kLostAsNotSent, HistoryRule::kAtMostOnce, lossy) >
        0);
  CHECK(CountPlanted(Plant::kLeasesIgnored, HistoryRule::kCeiling, lossy) > 0);
  CHECK(CountPlanted(Plant::kClaimsIgnored, HistoryRule::kAtMostOnce, {}) > 0);
  FaultRates crossed;
  crossed.m_cross = 0.2;
  crossed.m_truncate = 0.2;
  CHECK(CountPlanted(Plant::kForgedEcho, HistoryRule::kOwnAnswer, crossed) > 0);
}

}  // namespace
}  // namespace filbertspar::world
