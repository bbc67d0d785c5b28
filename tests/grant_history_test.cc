#include <catch2/catch.hpp>

#include "tests/grant_cluster.h"

namespace filbertspar {
namespace {

using testing::GrantCluster;
using testing::GrantFault;
using testing::GrantHistoryResult;
using testing::kDesk;
using testing::RunGrantHistory;

// Guards against more tasks running than the ceiling allows, tasks of crashed
// processes included, under each fault, each pair, and none.
TEST_CASE("running tasks never exceed the ceiling under faults") {
  int at_ceiling = 0;
  for (unsigned a = 0; a < 6; ++a) {
    for (unsigned b = a; b < 6; ++b) {
      for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        const GrantHistoryResult result =
            RunGrantHistory(seed * 100 + a * 10 + b, (1U << a) | (1U << b));
        INFO("faults " << a << " and " << b << ", seed " << seed);
        CHECK(result.m_violations == 0);
        CHECK(result.m_started > 0);
        at_ceiling += result.m_max_running == result.m_ceiling ? 1 : 0;
      }
    }
  }
  // The check means something only if many histories reach their ceiling.
  CHECK(at_ceiling > 50);
}

// Guards against invariant checks that miss protocol faults.
TEST_CASE("grant histories detect each injected fault") {
  // Each fault is run under the disturbance that the removed rule guards
  // against.
  const auto [injected_fault, faults] =
      GENERATE(std::pair(GrantFault::kUseBeforeCommit, 2U),
               std::pair(GrantFault::kUseAfterRelease, 2U),
               std::pair(GrantFault::kNoReclaimDelay, 16U),
               std::pair(GrantFault::kInheritUnits, 8U));
  std::int64_t violations = 0;
  for (std::uint64_t seed = 1; seed <= 60 && violations == 0; ++seed) {
    violations += RunGrantHistory(seed, faults, injected_fault).m_violations;
  }
  INFO("injected fault " << static_cast<int>(injected_fault));
  CHECK(violations > 0);
}

// A node releases idle units and loses the store before the response; another
// node acquires them; then the first one has demand again.
std::int64_t RunLostReleaseResponse(GrantFault injected_fault) {
  GrantCluster cluster(2, 4, 3);
  cluster.m_injected_fault = injected_fault;
  const auto run_for = [&](Duration duration) {
    cluster.m_time.RunUntil(cluster.m_time.Now() + duration);
  };
  StartAllNodes(cluster);
  auto& first = cluster.m_nodes[0];
  first.m_demand = 4;
  run_for(Seconds(10));
  CHECK(first.m_tasks.size() == 4);
  first.m_demand = 0;
  for (int i = 0; i < 200'000 && !first.m_grants.m_teams[kDesk].m_pending;
       ++i) {
    run_for(Duration(100));
  }
  REQUIRE(first.m_grants.m_teams[kDesk].m_pending);
  cluster.m_store.m_cut = {0};
  cluster.m_nodes[1].m_demand = 4;
  cluster.m_nodes[1].m_run_time = Seconds(9);
  run_for(Seconds(5));
  CHECK(cluster.m_nodes[1].m_tasks.size() >= 2);
  first.m_demand = 4;
  run_for(Seconds(2));
  return cluster.m_violations;
}

// Guards against treating a write without a response as not written.
TEST_CASE("units whose release is unconfirmed are not used again") {
  CHECK(RunLostReleaseResponse(GrantFault::kNone) == 0);
  CHECK(RunLostReleaseResponse(GrantFault::kUnsettledAsNotWritten) > 0);
}

// Guards against held units becoming unusable in a long store outage.
TEST_CASE("held units stay usable through a store outage") {
  GrantCluster cluster(3, 9, 5);
  StartAllNodes(cluster);
  for (auto& node : cluster.m_nodes) {
    node.m_demand = 3;
  }
  cluster.m_time.RunUntil(cluster.m_time.Now() + Seconds(10));
  cluster.m_store.m_down = true;
  const std::int64_t before = cluster.m_started;
  cluster.m_time.RunUntil(cluster.m_time.Now() + Seconds(600));
  // Nine units; tasks take 0.7 s and are seen to end at the next 0.1 s step.
  CHECK(cluster.m_started - before > 9 * 600 / 0.8 * 0.95);
  CHECK(cluster.m_violations == 0);
}

// Guards against holders that keep units above a lowered ceiling, and against
// tasks started above it once it is known.
TEST_CASE("holders release units down to a lowered ceiling") {
  GrantCluster cluster(4, 12, 6);
  StartAllNodes(cluster);
  for (auto& node : cluster.m_nodes) {
    node.m_demand = 6;
  }
  cluster.m_time.RunUntil(cluster.m_time.Now() + Seconds(15));
  CHECK(CountRunningTasks(cluster) == 12);
  cluster.m_config_version = 2;
  cluster.m_ceiling = 5;
  for (auto& node : cluster.m_nodes) {
    UpdateCeilings(node.m_grants, testing::SingleTeamCatalogue(2, 5));
  }
  cluster.m_time.RunUntil(cluster.m_time.Now() + Seconds(1));
  cluster.m_violations = 0;
  cluster.m_time.RunUntil(cluster.m_time.Now() + Seconds(20));
  CHECK(cluster.m_violations == 0);
  CHECK(CountRunningTasks(cluster) == 5);
  const Row row = ReadRow(cluster.m_store.m_table, GrantRowKey(kDesk));
  CHECK(TotalHeldUnits(*GrantRowFromJson(*row.m_value)) <= 5);
}

// Guards against units of a crashed holder that are never reclaimed, or are
// reused before its task leases have expired.
TEST_CASE("a lost holder's units are reclaimed after the delay") {
  const bool same_vm = GENERATE(true, false);
  GrantCluster cluster(2, 4, 7);
  StartAllNodes(cluster);
  cluster.m_nodes[0].m_demand = 4;
  cluster.m_nodes[0].m_run_time = Seconds(100);
  cluster.m_time.RunUntil(cluster.m_time.Now() + Seconds(10));
  CHECK(CountRunningTasks(cluster) == 4);
  RestartGrantNode(cluster, 0, same_vm);
  cluster.m_nodes[0].m_demand = 0;
  cluster.m_nodes[1].m_demand = 4;
  const TimePoint crash = cluster.m_time.Now();
  cluster.m_time.RunUntil(crash + kReclaimDelay - Seconds(1));
  CHECK(cluster.m_nodes[1].m_tasks.empty());
  cluster.m_time.RunUntil(crash + kReclaimDelay + Seconds(8));
  CHECK(cluster.m_nodes[1].m_tasks.size() == 4);
  CHECK(cluster.m_violations == 0);
}

// Guards against units that stay on nodes without demand, and against scarce
// units that move between nodes so often that none can be used.
TEST_CASE("units move to demand, by halves when idle, at once when needed") {
  GrantCluster cluster(6, 3, 8);
  StartAllNodes(cluster);
  for (auto& node : cluster.m_nodes) {
    node.m_demand = 2;
  }
  cluster.m_time.RunUntil(cluster.m_time.Now() + Seconds(20));
  const std::int64_t before = cluster.m_started;
  cluster.m_time.RunUntil(cluster.m_time.Now() + Seconds(40));
  // Three units in steady use: tasks of 0.7 s, steps of 0.1 s.
  CHECK(cluster.m_started - before > 3 * 40 / 0.8 * 0.9);
  for (auto& node : cluster.m_nodes) {
    node.m_demand = 0;
  }
  cluster.m_nodes[5].m_demand = 3;
  cluster.m_time.RunUntil(cluster.m_time.Now() + Seconds(15));
  CHECK(cluster.m_nodes[5].m_tasks.size() == 3);
  cluster.m_nodes[5].m_demand = 0;
  cluster.m_time.RunUntil(cluster.m_time.Now() + Seconds(30));
  const Row row = ReadRow(cluster.m_store.m_table, GrantRowKey(kDesk));
  CHECK(TotalHeldUnits(*GrantRowFromJson(*row.m_value)) == 0);
  CHECK(cluster.m_violations == 0);
}

}  // namespace
}  // namespace filbertspar
