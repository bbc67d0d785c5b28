#include <catch2/catch.hpp>

#include "tests/rollout_cluster.h"

namespace filbertspar {
namespace {

using testing::HistoryResult;
using testing::PlantedFault;
using testing::RunRolloutHistory;

// Guards against a reverted configuration, a version in force that is not the
// table's, a false reply to an operator, and a node that counts itself fresh
// while it misses an accepted version.
TEST_CASE("histories with each fault, each pair, and none keep the rules") {
  HistoryResult sum;
  for (unsigned a = 0; a < 6; ++a) {
    for (unsigned b = a; b < 6; ++b) {
      for (std::uint64_t seed = 1; seed <= 6; ++seed) {
        const HistoryResult result =
            RunRolloutHistory(seed * 100 + a * 10 + b, (1U << a) | (1U << b));
        INFO("faults " << a << " and " << b << ", seed " << seed);
        CHECK(result.m_violations == 0);
        CHECK(result.m_converged);
        sum.m_accepted += result.m_accepted;
        sum.m_conflicts += result.m_conflicts;
        sum.m_unconfirmed += result.m_unconfirmed;
      }
    }
  }
  CHECK(sum.m_accepted > 1000);
  CHECK(sum.m_conflicts > 50);
  CHECK(sum.m_unconfirmed > 10);
}

// Guards against checks that cannot find a broken rule.
TEST_CASE("planted faults of the roll-out are found") {
  const auto [planted, faults] =
      GENERATE(std::pair(PlantedFault::kAnyRecord, 2U | 4U),
               std::pair(PlantedFault::kGuessCommit, 1U | 32U));
  int violations = 0;
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    violations += RunRolloutHistory(seed, faults, planted).m_violations;
  }
  INFO("planted fault " << static_cast<int>(planted));
  CHECK(violations > 0);
}

// A node pauses while nobody reaches the store. While it sleeps it is cut off
// and the other one accepts a change; then it wakes and reads old heartbeats.
int RunPausedAndCutOff(PlantedFault planted) {
  testing::RolloutCluster cluster(2, 1);
  cluster.m_planted = planted;
  const auto wait = [&](Duration duration) {
    cluster.m_time.RunUntil(cluster.m_time.Now() + duration);
  };
  StartNode(cluster, 0);
  StartNode(cluster, 1);
  wait(Seconds(2));
  testing::ProposeAt(cluster, 0, [](Catalogue&) {});
  wait(Seconds(2));
  cluster.m_store.m_down = true;
  wait(Seconds(5));
  cluster.m_nodes[1].m_paused_until = cluster.m_time.Now() + Seconds(8);
  wait(Seconds(1));
  cluster.m_separated = [](int, int) { return true; };
  cluster.m_store.m_cut = {1};
  cluster.m_store.m_down = false;
  wait(Seconds(2));
  testing::ProposeAt(cluster, 0, [](Catalogue& catalogue) {
    catalogue.m_keys[0].m_revoked = true;
  });
  wait(Seconds(5) + Milliseconds(1));
  std::map<std::pair<int, int>, ConfigVersion> newest;
  CheckNodes(cluster, newest);
  CHECK(cluster.m_first_in_force.size() == 2);
  CHECK(VersionInForce(cluster.m_nodes[1].m_rollout) == ConfigVersion(1));
  return cluster.m_violations;
}

// Guards against freshness drawn from a message that waited in a paused
// process: a revoked key would work on after the pause.
TEST_CASE("old heartbeats do not make a node fresh after a pause") {
  CHECK(RunPausedAndCutOff(PlantedFault::kNone) == 0);
  CHECK(RunPausedAndCutOff(PlantedFault::kTimeOfReceipt) > 0);
}

}  // namespace
}  // namespace filbertspar
