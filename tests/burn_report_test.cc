#include <catch2/catch.hpp>
#include <sstream>
#include <string>

#include "filbertspar/burn/burn.h"

namespace filbertspar {
namespace {

constexpr std::int64_t kStartMinute = 494'000LL * 60;
constexpr std::int64_t kMinuteUs = 60'000'000;

Catalogue Sample() {
  Catalogue catalogue;
  const std::pair<const char*, const char*> teams[] = {{"desk", "sales"},
                                                       {"clerks", "billing"}};
  for (const auto& [team, workspace] : teams) {
    catalogue.m_workspaces.push_back({.m_name = WorkspaceName(workspace)});
    catalogue.m_teams.push_back({.m_name = TeamName(team),
                                 .m_workspace = WorkspaceName(workspace),
                                 .m_ceiling = 10});
    CatalogueEntry entry;
    entry.m_name = EntryName(std::string(team) + "-job");
    entry.m_owner = TeamName(team);
    entry.m_class = WorkClass::kUrgent;
    catalogue.m_entries.push_back(entry);
    catalogue.m_objectives.push_back({.m_workspace = WorkspaceName(workspace),
                                      .m_class = WorkClass::kUrgent,
                                      .m_target = 0.99,
                                      .m_latency = Milliseconds(1000)});
  }
  return catalogue;
}

CallRecord Call(const std::string& team, std::int64_t minute, Code code,
                std::int64_t latency_ms) {
  return {.m_team = TeamName(team),
          .m_entry = EntryName(team + "-job"),
          .m_sent_us = minute * kMinuteUs,
          .m_answered_us = minute * kMinuteUs + latency_ms * 1000,
          .m_code = static_cast<int>(code)};
}

// Ten calls a minute and team over 30 hours, 0.1% of them bad, and in hour 17
// half of the clerks' calls refused as queue_full, some of the rest late.
std::vector<CallRecord> PlantedHistory(std::uint64_t seed) {
  Rng rng(seed);
  std::vector<CallRecord> calls;
  for (std::int64_t minute = 0; minute < 30 * 60; ++minute) {
    for (const char* team : {"desk", "clerks"}) {
      for (int i = 0; i < 10; ++i) {
        CallRecord call = Call(team, kStartMinute + minute, Code::kOk, 20);
        if (rng.Chance(0.001)) {
          call.m_code = static_cast<int>(Code::kOutcomeUnknown);
        }
        if (std::string(team) == "clerks" && minute / 60 == 17) {
          const double draw = rng.Uniform();
          if (draw < 0.5) {
            call.m_code = static_cast<int>(Code::kQueueFull);
          } else if (draw < 0.6) {
            call.m_answered_us += 5'000'000;
          }
        }
        calls.push_back(call);
      }
    }
  }
  return calls;
}

const ObjectiveReport& Of(const BurnReport& report, const char* workspace) {
  for (const ObjectiveReport& each : report.m_objectives) {
    if (each.m_objective.m_workspace.Value() == workspace) {
      return each;
    }
  }
  throw std::runtime_error("no such objective");
}

}  // namespace

// Guards against a report that misses a bad hour or blames the wrong hour,
// workspace or cause.
TEST_CASE("the report points at a planted bad hour") {
  for (const std::uint64_t seed : {1U, 2U, 3U}) {
    const BurnReport report =
        MakeBurnReport(Sample(), PlantedHistory(seed), DefaultBurnRules());
    const ObjectiveReport& clerks = Of(report, "billing");
    REQUIRE(clerks.m_worst_hour >= 0);
    const BurnHour& hour =
        clerks.m_hours[static_cast<std::size_t>(clerks.m_worst_hour)];
    CHECK(hour.m_hour == kStartMinute / 60 + 17);
    CHECK(MainCause(hour.m_causes) == "queue_full");
    const std::int64_t from = kStartMinute + 17 * 60;
    REQUIRE(!clerks.m_alerts.empty());
    for (const BurnAlert& alert : clerks.m_alerts) {
      CHECK(alert.m_cause == "queue_full");
      CHECK(alert.m_from >= from);
    }
    CHECK(clerks.m_alerts.front().m_rule == "fast");
    CHECK(clerks.m_alerts.front().m_from < from + 60);
    CHECK(Of(report, "sales").m_alerts.empty());
    const std::string text = ReportAsText(report, {});
    CHECK(text.find("worst hour " + MinuteText(from) +
                    " UTC, workspace billing, class urgent") !=
          std::string::npos);
    const std::string html = ReportAsHtml(report, {});
    CHECK(html.find("Worst hour " + MinuteText(from) +
                    " UTC, workspace billing, class urgent") !=
          std::string::npos);
    CHECK(html.find("http://www.w3.org/2000/svg") != std::string::npos);
    CHECK(html.find("src=") == std::string::npos);
    CHECK(html.find("href=") == std::string::npos);
  }
}

// Guards against burn rates that differ from counting the window's calls.
TEST_CASE("burn rates agree with a count over the calls") {
  const std::vector<CallRecord> calls = PlantedHistory(5);
  const BurnReport report = MakeBurnReport(Sample(), calls, DefaultBurnRules());
  const ObjectiveReport& clerks = Of(report, "billing");
  for (const std::int64_t end : {61, 17 * 60 + 30, 18 * 60, 30 * 60}) {
    for (const std::int64_t length : {5, 60, 360}) {
      std::int64_t total = 0;
      std::int64_t bad = 0;
      for (const CallRecord& call : calls) {
        const std::int64_t minute = call.m_sent_us / kMinuteUs - kStartMinute;
        if (call.m_team.Value() == "clerks" && minute < end &&
            minute >= end - length) {
          ++total;
          bad += call.m_code != 0 ||
                         call.m_answered_us - call.m_sent_us > 1'000'000
                     ? 1
                     : 0;
        }
      }
      CHECK(
          BurnRateAt(clerks, kStartMinute + end, length) ==
          Approx(static_cast<double>(bad) / static_cast<double>(total) / 0.01));
    }
  }
}

// Guards against callers' mistakes that burn the service's budget.
TEST_CASE("results that the caller caused count as neither good nor bad") {
  std::vector<CallRecord> calls = {
      Call("desk", 10, Code::kOk, 1), Call("desk", 10, Code::kKeyRevoked, 1),
      Call("desk", 10, Code::kCancelled, 1), Call("desk", 11, Code::kOk, 2000)};
  calls.push_back({.m_team = TeamName("desk"),
                   .m_entry = EntryName("desk-job"),
                   .m_sent_us = 11 * kMinuteUs});
  calls.push_back(Call("nobody", 11, Code::kOk, 1));
  const BurnReport report = MakeBurnReport(Sample(), calls, DefaultBurnRules());
  CHECK(report.m_excluded == 2);
  CHECK(report.m_uncovered == 1);
  CHECK(Of(report, "sales").m_total == 3);
  CHECK(Of(report, "sales").m_causes ==
        CauseCounts{{"late", 1}, {"no_answer", 1}});
}

// Guards against a damaged history that is read as a good one.
TEST_CASE("a history is read strictly") {
  std::vector<CallRecord> calls;
  std::istringstream good(
      R"({"event":"submitted","call":1,"team":"a","entry":"b","time_us":5}
{"event":"submitted","call":2,"team":"a","entry":"b","time_us":6}
{"event":"answered","call":1,"code":209,"time_us":9})");
  REQUIRE(ReadHistory(good, "h", calls).ok());
  REQUIRE(calls.size() == 2);
  CHECK(calls[0].m_code == 209);
  CHECK(calls[0].m_answered_us == 9);
  CHECK(calls[1].m_code == -1);
  for (const char* text : {"x", R"({"event":"answered","call":7,"time_us":1})",
                           R"({"event":"submitted","call":7})"}) {
    std::istringstream bad(text);
    CHECK(CodeOf(ReadHistory(bad, "h", calls)) == Code::kBadField);
  }
}

// Guards against rows of an account that are lost or counted twice.
TEST_CASE("an account is summed per team") {
  std::istringstream in(
      R"({"hour":1,"team":"a","owed":3600,"got":1800,"lent":0,"borrowed":0,"touches":[{"vm":"v","what":"drain","tasks":3}],"more_touches":0}
{"rows":[{"key":"2:a","value":{"hour":2,"team":"a","owed":3600,"got":3600}},{"key":"x","value":null}]}
{"hour":1,"pool":"p","buffer_vm_hours":2.5,"moves":2}
{"wave":"w","started_ms":0,"ended_ms":7200000,"vms":50})");
  AccountRecord account;
  REQUIRE(ReadAccount(in, "a", account).ok());
  const std::vector<ShareHour> sums = SumByTeam(account);
  REQUIRE(sums.size() == 1);
  CHECK(sums[0].m_owed == 7200);
  CHECK(sums[0].m_got == 5400);
  CHECK(sums[0].m_touched_tasks == 3);
  const std::string text = ReportAsText({}, account);
  CHECK(text.find("2.50        2") != std::string::npos);
  CHECK(text.find("50       2.00") != std::string::npos);
  std::istringstream bad("{\"other\":1}");
  CHECK(CodeOf(ReadAccount(bad, "a", account)) == Code::kBadField);
}

}  // namespace filbertspar
