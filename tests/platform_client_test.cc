#include <catch2/catch.hpp>
#include <map>
#include <string>
#include <vector>

#include "tests/fake_table.h"

namespace filbertspar {
namespace {

using testing::FakeNetwork;
using testing::FakeTable;

const TimePoint kStart{Seconds(1000)};

PlatformClient Client(std::uint64_t seed) {
  return MakePlatformClient(NodeName("n#1"), seed, kStart);
}

RowWrite Insert(const std::string& key) {
  return {{"t", key}, RowVersion(), Json(JsonObject{{"v", 1}})};
}

struct Truth {
  int m_false_reports = 0;
  int m_without_final = 0;
  int m_committed = 0;
  int m_refused = 0;
};

// One seeded history: writes with random expected versions over few rows,
// under all network faults. Counts reports that contradict the table.
Truth RunHistory(std::uint64_t seed, bool guess_at_deadline) {
  Rng rng(seed);
  FakeTable table;
  FakeNetwork network;
  network.m_rng = Rng(seed + 1);
  network.m_faults = {.m_lose_request = rng.Uniform() * 0.3,
                      .m_lose_answer = rng.Uniform() * 0.3,
                      .m_not_sent = rng.Uniform() * 0.2,
                      .m_duplicate = 0.1,
                      .m_very_late = rng.Uniform() * 0.2};
  PlatformClient client = Client(seed + 2);
  TimePoint now = kStart;
  std::map<OperationId, WriteReport> finals;
  std::vector<OperationId> ids;
  const auto take = [&](const PlatformEffects& effects) {
    for (const PlatformEffect& effect : effects) {
      const auto* report = std::get_if<WriteReport>(&effect);
      if (report == nullptr || finals.contains(report->m_operation)) {
        continue;
      }
      WriteReport kept = *report;
      if (guess_at_deadline && !report->IsFinal()) {
        kept.m_outcome = WriteOutcome::kNotWritten;
      }
      if (kept.IsFinal()) {
        finals[kept.m_operation] = kept;
      }
    }
  };
  for (int i = 0; i < 25; ++i) {
    std::vector<RowWrite> rows;
    for (std::uint64_t k = 0; k <= rng.Below(2); ++k) {
      const std::string key(1, static_cast<char>('a' + k * 2 + rng.Below(2)));
      const std::uint64_t version =
          ReadRow(table, {"t", key}).m_version.Value();
      // An expected version was read before, so it is never ahead of the row.
      const std::uint64_t stale = version > 0 && rng.Chance(0.2) ? 1 : 0;
      rows.push_back({{"t", key},
                      RowVersion(version - stale),
                      Json(JsonObject{{"i", i}})});
    }
    PlatformEffects effects;
    ids.push_back(SubmitWrite(client, now, rows, Milliseconds(800), effects));
    take(Carry(network, now, effects));
    network.m_cut = rng.Chance(0.1);
    take(Run(network, table, client, now,
             now + Milliseconds(static_cast<std::int64_t>(rng.Below(2000)))));
  }
  network.m_cut = false;
  network.m_faults.m_lose_request = network.m_faults.m_lose_answer = 0;
  network.m_faults.m_not_sent = network.m_faults.m_very_late = 0;
  take(Run(network, table, client, now, now + Seconds(120)));
  Truth truth;
  for (const OperationId id : ids) {
    const auto found = finals.find(id);
    if (found == finals.end()) {
      ++truth.m_without_final;
      continue;
    }
    const auto applied =
        table.m_applied.find("n#1/" + std::to_string(id.Value()));
    const bool committed = found->second.m_outcome == WriteOutcome::kCommitted;
    if (committed != (applied != table.m_applied.end()) ||
        (committed && applied->second != found->second.m_versions)) {
      ++truth.m_false_reports;
    }
    ++(committed ? truth.m_committed : truth.m_refused);
  }
  return truth;
}

// Guards against a write reported as not written that took effect, or the
// other way round, and against a write that is never settled.
TEST_CASE("final reports agree with the table under all network faults") {
  Truth sum;
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    const Truth truth = RunHistory(seed, false);
    INFO("seed " << seed);
    CHECK(truth.m_false_reports == 0);
    CHECK(truth.m_without_final == 0);
    sum.m_committed += truth.m_committed;
    sum.m_refused += truth.m_refused;
  }
  CHECK(sum.m_committed > 1000);
  CHECK(sum.m_refused > 500);
}

// Guards against a check that cannot find a client that guesses.
TEST_CASE("a client that guesses at the deadline is found out") {
  int false_reports = 0;
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    false_reports += RunHistory(seed, true).m_false_reports;
  }
  CHECK(false_reports > 0);
}

// Guards against calls that hammer a platform that is down, and against a
// breaker that never closes again.
TEST_CASE("the breaker probes once a second and closes on an answer") {
  FakeTable table;
  FakeNetwork network;
  network.m_cut = true;
  PlatformClient client = Client(5);
  TimePoint now = kStart;
  PlatformEffects effects;
  for (int i = 0; i < kBreakerFailures; ++i) {
    SubmitCall(client, now, RowQuery{{"t", "a"}}, Seconds(1), effects);
  }
  Carry(network, now, effects);
  Run(network, table, client, now, now + Seconds(3));
  CHECK_FALSE(IsReachable(client));
  const std::uint64_t sent = client.m_last_transmission;
  Run(network, table, client, now, now + Seconds(60));
  CHECK(client.m_last_transmission - sent == 60);
  effects.clear();
  SubmitWrite(client, now, {Insert("a")}, Seconds(1), effects);
  REQUIRE(effects.size() == 1);
  CHECK(std::get<WriteReport>(effects[0]).m_outcome ==
        WriteOutcome::kNotWritten);
  CHECK(std::get<WriteReport>(effects[0]).m_code == Code::kBreakerOpen);
  network.m_cut = false;
  Run(network, table, client, now, now + Seconds(2));
  CHECK(IsReachable(client));
}

// Guards against a node that takes more of the table than its share.
TEST_CASE("writes and reads stay within the node's rate") {
  FakeTable table;
  FakeNetwork network;
  PlatformClient client = Client(6);
  TimePoint now = kStart;
  for (int i = 0; i < 600; ++i) {
    PlatformEffects effects;
    for (int k = 0; k < 4; ++k) {
      SubmitWrite(client, now, {Insert(std::to_string(i * 4 + k))}, Seconds(2),
                  effects);
      SubmitCall(client, now, RowQuery{{"t", "a"}}, Seconds(2), effects);
    }
    Carry(network, now, effects);
    Run(network, table, client, now, now + Milliseconds(100));
  }
  CHECK(table.m_writes <= 20 + 60 * 5 / 2 + 1);
  CHECK(table.m_writes >= 60 * 5 / 2);
  CHECK(table.m_reads <= 30 + 60 * 5 + 1);
}

// Guards against operations and calls that grow without bound.
TEST_CASE("operations in flight are bounded") {
  PlatformClient client = Client(7);
  PlatformEffects effects;
  for (int i = 0; i < 1000; ++i) {
    SubmitCall(client, kStart, RowQuery{{"t", "a"}}, Seconds(2), effects);
  }
  CHECK(client.m_operations.size() == client.m_limits.m_max_operations);
  REQUIRE(std::holds_alternative<CallReport>(effects.back()));
  CHECK(std::get<CallReport>(effects.back()).m_code == Code::kRateBudgetSpent);
}

// Guards against a read that waits for its timeout on a silent connection.
TEST_CASE("a read without answer is hedged once over a new connection") {
  PlatformClient client = Client(8);
  PlatformEffects effects;
  SubmitCall(client, kStart, RowQuery{{"t", "a"}}, Seconds(2), effects);
  REQUIRE(effects.size() == 1);
  const TimePoint later = NextTick(client, kStart);
  CHECK(later - kStart == client.m_limits.m_min_hedge_delay);
  Tick(client, later, effects);
  REQUIRE(effects.size() == 2);
  const Transmit hedge = std::get<Transmit>(effects[1]);
  CHECK(hedge.m_fresh_connection);
  TransmissionEnded(
      client, later + Milliseconds(1),
      {hedge.m_transmission, TransmissionReport::End::kAnswered, 404, ""},
      effects);
  REQUIRE(effects.size() == 3);
  CHECK(std::get<CallReport>(effects[2]).m_code == Code::kOk);
  // The first transmission's end is of no more interest.
  Tick(client, later + Seconds(2), effects);
  CHECK(effects.size() == 3);
}

// Guards against one conflicting row that fails the items batched with it, and
// against items that are reported twice or never.
TEST_CASE("a batch loses only the items that conflict") {
  FakeTable table;
  FakeNetwork network;
  network.m_faults = {.m_lose_answer = 0.2};
  std::vector<RowVersion> versions;
  for (int i = 0; i < 60; i += 7) {
    WriteRows(table, {"x" + std::to_string(i), {Insert(std::to_string(i))}},
              &versions);
  }
  PlatformClient client = Client(9);
  WriteBatcher batcher;
  ItemReports reports;
  TimePoint now = kStart;
  for (int i = 0; i < 60; ++i) {
    AddItem(batcher, now, Insert(std::to_string(i)), Seconds(5), reports);
  }
  for (int step = 0; step < 2000; ++step) {
    PlatformEffects effects;
    FlushBatches(batcher, client, now, effects, reports);
    effects = Carry(network, now, effects);
    for (const PlatformEffect& effect :
         Run(network, table, client, now, now + Milliseconds(5))) {
      effects.push_back(effect);
    }
    for (const PlatformEffect& effect : effects) {
      if (const auto* report = std::get_if<WriteReport>(&effect)) {
        CHECK(BatchEnded(batcher, now, *report, reports));
      }
    }
  }
  std::map<std::uint64_t, int> finals;
  for (const ItemReport& report : reports) {
    const std::uint64_t item = report.m_item.Value() - 1;
    if (report.m_outcome != WriteOutcome::kUnsettled) {
      ++finals[item];
      CHECK((report.m_outcome == WriteOutcome::kConflict) == (item % 7 == 0));
    }
  }
  CHECK(finals.size() == 60);
  for (const auto& [item, count] : finals) {
    CHECK(count == 1);
  }
  CHECK(table.m_rows.size() == 60);
}

}  // namespace
}  // namespace filbertspar
