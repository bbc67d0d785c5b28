#include <catch2/catch.hpp>

#include "tests/lease_cluster.h"

namespace filbertspar {
namespace {

using testing::LeaseCluster;
using testing::LeaseFault;
using testing::LeaseHistoryResult;
using testing::RunLeaseHistory;

// Guards against a committed write of a previous holder, and against two
// processes that may act at once, under each fault and each pair of faults.
TEST_CASE("only the lease holder writes under faults") {
  LeaseHistoryResult sum;
  for (unsigned a = 0; a < 5; ++a) {
    for (unsigned b = a; b < 5; ++b) {
      for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        const LeaseHistoryResult result =
            RunLeaseHistory(seed * 100 + a * 10 + b, (1U << a) | (1U << b));
        INFO("faults " << a << " and " << b << ", seed " << seed);
        CHECK(result.m_violations == 0);
        sum.m_plan_writes += result.m_plan_writes;
        sum.m_acquisitions += result.m_acquisitions;
      }
    }
  }
  CHECK(sum.m_plan_writes > 1000);
  CHECK(sum.m_acquisitions > 300);
}

// Guards against invariant checks that miss protocol faults.
TEST_CASE("lease histories detect each injected fault") {
  const auto injected_fault =
      GENERATE(LeaseFault::kNoFence, LeaseFault::kNoValidityLimit,
               LeaseFault::kUnsettledAsCommitted);
  int violations = 0;
  for (std::uint64_t seed = 1; seed <= 60 && violations == 0; ++seed) {
    violations +=
        RunLeaseHistory(seed, 2U | 4U | 16U, injected_fault).m_violations;
  }
  INFO("injected fault " << static_cast<int>(injected_fault));
  CHECK(violations > 0);
}

// Guards against a role without a holder for longer than the bound.
TEST_CASE("another process holds the role within 6 s of a crash") {
  for (std::uint64_t seed = 1; seed <= 30; ++seed) {
    LeaseCluster cluster(6, seed);
    for (int node = 0; node < 6; ++node) {
      StartLeaseNode(cluster, node);
    }
    cluster.m_time.RunUntil(cluster.m_time.Now() + Seconds(5) +
                            Milliseconds(static_cast<std::int64_t>(seed * 37)));
    const int holder = HolderIndex(cluster);
    REQUIRE(holder >= 0);
    const std::size_t before = cluster.m_acquisitions.size();
    const TimePoint crash = cluster.m_time.Now();
    StartLeaseNode(cluster, holder);
    cluster.m_time.RunUntil(crash + Seconds(6));
    INFO("seed " << seed);
    REQUIRE(cluster.m_acquisitions.size() == before + 1);
    CHECK(cluster.m_violations == 0);
  }
}

// Guards against a takeover while the holder is alive and reaches the store.
TEST_CASE("a live holder keeps the role") {
  LeaseCluster cluster(6, 3);
  cluster.m_store.m_faults.m_lose_answer = 0.05;
  for (int node = 0; node < 6; ++node) {
    StartLeaseNode(cluster, node);
  }
  cluster.m_time.RunUntil(cluster.m_time.Now() + Seconds(600));
  CHECK(cluster.m_acquisitions.size() == 1);
  CHECK(cluster.m_plan_writes > 1000);
}

// Guards against losing the role through a version conflict of the caller's own
// row, and against keeping it after a conflict of the lease row.
TEST_CASE("a conflict of the caller's row does not end the lease") {
  const TimePoint now{Seconds(100)};
  Lease lease = MakeLease("planner", NodeName("a#1"), 1, now);
  LeaseEffects effects;
  HandleLeaseRead(lease, now, Code::kOk, Row{.m_row = LeaseRowKey("planner")},
                  effects);
  Tick(lease, now + kTakeoverJitter, effects);
  const auto take = std::get<WriteLease>(effects.back());
  HandleLeaseWriteReport(lease, now, take.m_write,
                         {.m_operation = {},
                          .m_outcome = WriteOutcome::kCommitted,
                          .m_versions = {RowVersion(1)}},
                         effects);
  REQUIRE(IsHolder(lease));
  WriteFenced(lease, now, FencedWriteId(1),
              {{testing::kPlanRow, RowVersion(4), Json(1)}}, effects);
  auto write = std::get<WriteLease>(effects.back());
  REQUIRE(write.m_rows.size() == 2);
  CHECK(write.m_rows[0].m_expect == RowVersion(1));
  HandleLeaseWriteReport(
      lease, now, write.m_write,
      {.m_operation = {},
       .m_outcome = WriteOutcome::kConflict,
       .m_code = Code::kPlatformConflict,
       .m_versions = {},
       .m_conflicts = {{testing::kPlanRow, RowVersion(5), "x"}}},
      effects);
  CHECK(IsHolder(lease));
  WriteFenced(lease, now, FencedWriteId(2),
              {{testing::kPlanRow, RowVersion(5), Json(1)}}, effects);
  HandleLeaseWriteReport(
      lease, now, LeaseWriteId(lease.m_last_write_id),
      {.m_operation = {},
       .m_outcome = WriteOutcome::kConflict,
       .m_code = Code::kPlatformConflict,
       .m_versions = {},
       .m_conflicts = {{LeaseRowKey("planner"), RowVersion(9), "x"}}},
      effects);
  CHECK_FALSE(IsHolder(lease));
  CHECK(std::get<FencedWriteReport>(effects.back()).m_code ==
        Code::kNotLeaseHolder);
}

}  // namespace
}  // namespace filbertspar
