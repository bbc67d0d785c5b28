#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <vector>

#include "filbertspar/request/request.h"

namespace filbertspar {
namespace {

Body Text(const std::string& text) {
  return std::make_shared<const std::string>(text);
}

TimePoint At(std::int64_t milliseconds) {
  return TimePoint(Milliseconds(milliseconds));
}

std::shared_ptr<Catalogue> OneEntry(bool repeatable) {
  auto catalogue = std::make_shared<Catalogue>();
  catalogue->m_version = ConfigVersion(1);
  Team& team = catalogue->m_teams.emplace_back();
  team.m_name = TeamName("desk");
  team.m_ceiling = 10;
  catalogue->m_pools.push_back({.m_name = PoolName("quotes")});
  CatalogueEntry entry;
  entry.m_name = EntryName("price-quote");
  entry.m_owner = TeamName("desk");
  entry.m_pool = PoolName("quotes");
  entry.m_repeatable = repeatable;
  catalogue->m_entries.push_back(entry);
  return catalogue;
}

struct Fixture {
  Engine m_engine = MakeEngine({.m_node = 7, .m_zone = ZoneName("a")});
  Effects m_effects;

  explicit Fixture(bool repeatable, std::int64_t grant = 10) {
    SetCatalogue(m_engine, At(0), OneEntry(repeatable), m_effects);
    std::vector<WorkerInfo> workers;
    for (const char* name : {"w1", "w2"}) {
      WorkerInfo info;
      info.m_name = VmName(name);
      info.m_pool = PoolName("quotes");
      info.m_zone = ZoneName("a");
      info.m_capacity = {.m_slots = Slots(2), .m_memory = Megabytes(100)};
      workers.push_back(info);
    }
    SetWorkers(m_engine, At(0), workers, m_effects);
    SetGrant(m_engine, At(0), TeamName("desk"), grant, m_effects);
    m_effects.clear();
  }

  RequestId SubmitOne(std::int64_t at, const std::string& key = "") {
    Submission submission;
    submission.m_entry = EntryName("price-quote");
    submission.m_team = TeamName("desk");
    submission.m_body = Text("ask");
    submission.m_request_key = key;
    return Submit(m_engine, At(at), submission, m_effects);
  }

  template <typename T>
  std::vector<T> Take() {
    std::vector<T> found;
    for (const Effect& effect : m_effects) {
      if (const T* one = std::get_if<T>(&effect)) {
        found.push_back(*one);
      }
    }
    m_effects.clear();
    return found;
  }

  static AttemptReport Done(const StartAttempt& start,
                            const std::string& text) {
    AttemptReport report;
    report.m_attempt = start.m_attempt;
    report.m_result = AttemptResult::kDone;
    report.m_echoed_request = start.m_request;
    report.m_echoed_attempt = start.m_attempt;
    report.m_declared_length = text.size();
    report.m_body = Text(text);
    return report;
  }
};

// Guards against an answer that is not passed to its caller exactly once.
TEST_CASE("a request is answered once with its own answer") {
  Fixture fixture(true);
  const RequestId id = fixture.SubmitOne(1);
  const auto starts = fixture.Take<StartAttempt>();
  REQUIRE(starts.size() == 1);
  CHECK(starts[0].m_request == id);
  CHECK(id.Value() >> 40U == 7);
  CHECK(Query(fixture.m_engine, id)->m_code == Code::kStillRunning);
  AttemptEnded(fixture.m_engine, At(2), Fixture::Done(starts[0], "42"),
               fixture.m_effects);
  AttemptEnded(fixture.m_engine, At(3), Fixture::Done(starts[0], "42"),
               fixture.m_effects);
  const auto replies = fixture.Take<Reply>();
  REQUIRE(replies.size() == 1);
  CHECK(replies[0].m_code == Code::kOk);
  CHECK(*replies[0].m_body == "42");
  CHECK(Query(fixture.m_engine, id)->m_outcome == Outcome::kRan);
}

// Guards against a crossed or truncated answer that reaches a caller.
TEST_CASE("a crossed or truncated answer counts as lost") {
  Fixture fixture(true);
  fixture.SubmitOne(1);
  const auto start = fixture.Take<StartAttempt>().at(0);
  AttemptReport report = Fixture::Done(start, "42");
  SECTION("crossed") { report.m_echoed_request = RequestId(99); }
  SECTION("truncated") { report.m_declared_length = 3; }
  AttemptEnded(fixture.m_engine, At(2), report, fixture.m_effects);
  for (const Effect& effect : fixture.m_effects) {
    CHECK_FALSE(std::holds_alternative<Reply>(effect));
  }
  CHECK(fixture.Take<QueryAttempt>().size() == 1);
}

// Guards against a non-repeatable request that starts without a claim or is
// sent again after its answer was lost.
TEST_CASE("a non-repeatable request starts once, after its claim") {
  Fixture fixture(false);
  const RequestId id = fixture.SubmitOne(1, "invoice-1");
  CHECK(fixture.Take<WriteClaim>().size() == 1);
  ClaimSettled(
      fixture.m_engine, At(5),
      {.m_request = id, .m_result = ClaimResult::kClaimed, .m_body = nullptr},
      fixture.m_effects);
  const auto start = fixture.Take<StartAttempt>().at(0);
  AttemptReport lost;
  lost.m_attempt = start.m_attempt;
  AttemptEnded(fixture.m_engine, At(10), lost, fixture.m_effects);
  CHECK(fixture.Take<QueryAttempt>().size() == 1);
  for (std::int64_t at = 20; at < 9'000; at += 100) {
    Tick(fixture.m_engine, At(at), fixture.m_effects);
  }
  CHECK(fixture.Take<StartAttempt>().empty());
  Tick(fixture.m_engine, At(10'001), fixture.m_effects);
  const auto replies = fixture.Take<Reply>();
  REQUIRE(replies.size() == 1);
  CHECK(replies[0].m_code == Code::kOutcomeUnknown);
  AttemptSettled(fixture.m_engine, At(10'100),
                 {.m_attempt = start.m_attempt,
                  .m_state = AttemptState::kDone,
                  .m_body = Text("paid")},
                 fixture.m_effects);
  CHECK(fixture.Take<FinishClaim>().size() == 1);
  CHECK(*Query(fixture.m_engine, id)->m_body == "paid");
}

// Guards against a lost answer that frees its unit while the task may run.
TEST_CASE("a lost attempt holds its unit until its lease has lapsed") {
  Fixture fixture(true, 1);
  fixture.SubmitOne(1);
  const auto start = fixture.Take<StartAttempt>().at(0);
  AttemptReport lost;
  lost.m_attempt = start.m_attempt;
  AttemptEnded(fixture.m_engine, At(10), lost, fixture.m_effects);
  for (std::int64_t at = 20; at < 15'010; at += 10) {
    if (at % 5'000 == 0) {
      fixture.SubmitOne(at);
    }
    Tick(fixture.m_engine, At(at), fixture.m_effects);
  }
  CHECK(fixture.Take<StartAttempt>().empty());
  fixture.SubmitOne(15'009);
  Tick(fixture.m_engine, At(15'010), fixture.m_effects);
  CHECK(fixture.Take<StartAttempt>().size() == 1);
}

// Guards against a request that ends one worker after another.
TEST_CASE("a request is tried on no more than three workers that end") {
  Fixture fixture(true);
  fixture.SubmitOne(1);
  std::size_t starts = 0;
  for (std::int64_t at = 10; at < 8'000; at += 10) {
    for (const StartAttempt& start : fixture.Take<StartAttempt>()) {
      ++starts;
      AttemptReport lost;
      lost.m_attempt = start.m_attempt;
      lost.m_worker_closed = true;
      AttemptEnded(fixture.m_engine, At(at), lost, fixture.m_effects);
    }
    Tick(fixture.m_engine, At(at), fixture.m_effects);
  }
  CHECK(starts == 3);
  CHECK(fixture.m_engine.m_counters.m_given_up == 1);
}

}  // namespace
}  // namespace filbertspar
