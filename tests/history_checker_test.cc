#include <algorithm>
#include <catch2/catch.hpp>
#include <sstream>
#include <string>
#include <vector>

#include "filbertspar/history/history.h"

namespace filbertspar {
namespace {

// A history in which one call of each kind goes well; each test plants one
// fault in it.
struct Builder {
  std::vector<HistoryRecord> m_records;

  HistoryRecord& Add(HistoryEvent event, std::int64_t time_us) {
    HistoryRecord& record = m_records.emplace_back();
    record.m_event = event;
    record.m_time_us = time_us;
    record.m_team = "desk";
    return record;
  }
  void Submit(std::uint64_t call, std::int64_t time_us,
              const std::string& request_key = "") {
    HistoryRecord& record = Add(HistoryEvent::kSubmitted, time_us);
    record.m_call = call;
    record.m_key = "desk-1";
    record.m_request_key = request_key;
  }
  void Answer(std::uint64_t call, std::int64_t time_us,
              const std::string& request, const std::string& outcome,
              const std::string& digest = "") {
    HistoryRecord& record = Add(HistoryEvent::kAnswered, time_us);
    record.m_call = call;
    record.m_request = request;
    record.m_outcome = outcome;
    record.m_digest = digest;
    record.m_code = outcome == "ran" ? 0 : 211;
  }
  void Start(const std::string& request, const std::string& attempt,
             std::int64_t time_us) {
    HistoryRecord& record = Add(HistoryEvent::kStarted, time_us);
    record.m_request = request;
    record.m_attempt = attempt;
  }
  void End(const std::string& attempt, std::int64_t time_us,
           const std::string& digest) {
    HistoryRecord& record = Add(HistoryEvent::kEnded, time_us);
    record.m_attempt = attempt;
    record.m_outcome = "done";
    record.m_digest = digest;
  }

  Builder() {
    Add(HistoryEvent::kCeiling, 0).m_units = 1;
    Add(HistoryEvent::kKeyLive, 0).m_key = "desk-1";
    Submit(1, 10);
    Start("r1", "a1", 20);
    End("a1", 30, "d1");
    Answer(1, 40, "r1", "ran", "d1");
    Submit(2, 50, "invoice");
    Start("r2", "a2", 60);
    End("a2", 70, "d2");
    Answer(2, 80, "r2", "ran", "d2");
    Submit(3, 90);
    Answer(3, 95, "r3", "not run");
    Submit(4, 100, "invoice");
    Answer(4, 110, "r4", "ran", "d2");
  }

  std::uint64_t Count(HistoryRule rule, bool alone = true) const {
    CheckOptions options;
    options.m_spread_bound = Duration(100);
    const CheckResult result = CheckHistory(m_records, options);
    for (const Violation& violation : result.m_violations) {
      UNSCOPED_INFO(ToString(violation.m_rule) << ": " << violation.m_text);
    }
    const std::uint64_t count = result.m_counts[static_cast<std::size_t>(rule)];
    if (alone) {
      CHECK(result.Total() == count);
    }
    return count;
  }
};

// Guards against a checker that reports what is right.
TEST_CASE("a right history has no violation, in any order of records") {
  Builder history;
  CHECK(history.Count(HistoryRule::kCeiling) == 0);
  std::reverse(history.m_records.begin(), history.m_records.end());
  CHECK(history.Count(HistoryRule::kCeiling) == 0);
}

// Each case guards against a checker that is blind to one rule.
TEST_CASE("a planted violation of each rule is found") {
  Builder history;
  SECTION("two running under a ceiling of one") {
    history.Submit(5, 200);
    history.Submit(6, 200);
    history.Start("r5", "a5", 210);
    history.Start("r6", "a6", 220);
    history.End("a5", 230, "d5");
    history.End("a6", 230, "d6");
    history.Answer(5, 240, "r5", "ran", "d5");
    history.Answer(6, 240, "r6", "ran", "d6");
    CHECK(history.Count(HistoryRule::kCeiling) == 1);
  }
  SECTION("a start above a ceiling lowered long ago") {
    history.Add(HistoryEvent::kCeiling, 150).m_units = 0;
    history.Submit(5, 300);
    history.Start("r5", "a5", 310);
    history.End("a5", 320, "d5");
    history.Answer(5, 330, "r5", "ran", "d5");
    CHECK(history.Count(HistoryRule::kCeiling) == 1);
  }
  SECTION("a start under a revoked key") {
    history.Add(HistoryEvent::kKeyRevoked, 150).m_key = "desk-1";
    history.Submit(5, 300);
    history.Start("r5", "a5", 310);
    history.End("a5", 320, "d5");
    history.Answer(5, 330, "r5", "ran", "d5");
    CHECK(history.Count(HistoryRule::kKey) == 1);
  }
  SECTION("a start for another team than the key's") {
    history.Submit(5, 300);
    history.Start("r5", "a5", 310);
    history.m_records.back().m_team = "other";
    history.End("a5", 320, "d5");
    history.Answer(5, 330, "r5", "ran", "d5");
    CHECK(history.Count(HistoryRule::kKey) == 1);
  }
  SECTION("a second start of a non-repeatable request") {
    history.Start("r4", "a4", 105);
    history.End("a4", 106, "d4");
    CHECK(history.Count(HistoryRule::kAtMostOnce) == 1);
  }
  SECTION("another request's answer") {
    history.m_records[5].m_digest = "d2";
    CHECK(history.Count(HistoryRule::kOwnAnswer) == 1);
  }
  SECTION("an answer that the caller found foreign") {
    history.m_records[5].m_own_answer = false;
    CHECK(history.Count(HistoryRule::kOwnAnswer) == 1);
  }
  SECTION("an answer from before the task ended") {
    history.m_records[5].m_time_us = 25;
    CHECK(history.Count(HistoryRule::kOwnAnswer) == 1);
  }
  SECTION("a refused request that starts later") {
    history.Start("r3", "a3", 500);
    history.End("a3", 510, "d3");
    CHECK(history.Count(HistoryRule::kTrueRefusal) == 1);
  }
  SECTION("a refused request that starts at a peer") {
    HistoryRecord& forwarded = history.Add(HistoryEvent::kForwarded, 92);
    forwarded.m_origin = "r3";
    forwarded.m_request = "p3";
    history.Start("p3", "a3", 93);
    history.End("a3", 94, "d3");
    CHECK(history.Count(HistoryRule::kTrueRefusal) == 1);
  }
  SECTION("a request that is said to have run and did not") {
    history.Submit(5, 300);
    history.Answer(5, 330, "r5", "ran", "d5");
    CHECK(history.Count(HistoryRule::kTrueRan, false) == 1);
  }
  SECTION("a second answer") {
    history.Answer(3, 96, "r3", "not run");
    CHECK(history.Count(HistoryRule::kOneAnswer) == 1);
  }
  SECTION("a missing answer") {
    history.Submit(5, 300);
    CHECK(history.Count(HistoryRule::kOneAnswer) == 1);
  }
}

// Guards against a field that is lost on the way through a file.
TEST_CASE("records survive a file of JSON lines") {
  const Builder history;
  std::stringstream file;
  for (const HistoryRecord& record : history.m_records) {
    WriteRecord(file, record);
  }
  std::vector<HistoryRecord> copy;
  REQUIRE(ReadHistory(file, copy).ok());
  REQUIRE(copy.size() == history.m_records.size());
  for (std::size_t i = 0; i < copy.size(); ++i) {
    CHECK(ToText(ToJson(copy[i])) == ToText(ToJson(history.m_records[i])));
  }
  std::stringstream bad("{\"event\":\"ended\",\"time_us\":1,\"tem\":\"x\"}\n");
  CHECK(CodeOf(ReadHistory(bad, copy)) == Code::kBadField);
}

}  // namespace
}  // namespace filbertspar
