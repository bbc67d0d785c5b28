#include <algorithm>
#include <catch2/catch.hpp>

#include "tests/platform/worker_owner.h"

namespace filbertspar {
namespace {

/// Reading of the clock of a worker that has run for long.
constexpr std::int64_t kOldClockMs = 1'000'000;

bool HasUnanswered(const RestartingWorker& worker, const std::string& path,
                   const std::string& field) {
  return std::any_of(worker.m_unanswered.begin(), worker.m_unanswered.end(),
                     [&](const RestartingWorker::Request& request) {
                       return request.m_path == path &&
                              request.m_body.contains(field);
                     });
}

// Guards against a task that runs twice because the next incarnation executes a
// start to the one before after the owner has started the task again.
TEST_CASE("a start without a response is refused once it is given up") {
  asio::io_context context;
  RestartingWorker worker(context);
  worker.Restart(kOldClockMs);
  WorkerOwner owner(context);
  owner.Follow(worker);
  owner.Submit("first", 1);
  REQUIRE(owner.RunUntil([&] { return worker.m_running.size() == 1; }));
  worker.m_has_power = false;
  owner.Submit("second", 2);
  REQUIRE(owner.RunUntil(
      [&] { return HasUnanswered(worker, "/run-start", "run"); }));
  worker.Restart(1);
  REQUIRE(owner.RunUntil([&] { return worker.m_running.size() == 3; }));
  for (const RestartingWorker::Request& request : worker.ExecuteUnanswered()) {
    INFO(request.m_path << " " << ToText(request.m_body));
    CHECK(request.m_path != "/run-start");
  }
}

// Guards against a task that goes on after it was given up, because a poll that
// renews the lease of one incarnation is executed by the next.
TEST_CASE("the owner reckons with a lease that the next incarnation took") {
  asio::io_context context;
  RestartingWorker worker(context);
  worker.m_longest_wait = Milliseconds(20);
  worker.Restart(kOldClockMs);
  WorkerOwner owner(context);
  owner.Follow(worker);
  REQUIRE(owner.RunUntil([&] { return owner.Known().m_has_responded; }));
  worker.m_has_power = false;
  REQUIRE(owner.RunUntil(
      [&] { return HasUnanswered(worker, "/hold", "deadline_ms"); }));
  worker.Restart(1);
  REQUIRE_FALSE(worker.ExecuteUnanswered().empty());
  REQUIRE(owner.RunUntil([&] {
    return owner.Known().m_incarnation == worker.m_incarnation &&
           scheduler::IsSchedulable(owner.m_scheduler, owner.Known(),
                                    BootNow());
  }));
  const Duration left = Milliseconds(worker.m_lease_ms - worker.ClockMs());
  REQUIRE(left > Seconds(1));
  CHECK(owner.Known().m_lease_until >= BootNow() + left);
}

// Guards against a restarted worker that gets no start for as long as it may
// hold a poll, because the poll that fences it waits for an end.
TEST_CASE("the poll that fences a restarted worker does not wait") {
  asio::io_context context;
  RestartingWorker worker(context);
  worker.Restart(kOldClockMs);
  WorkerOwner owner(context);
  owner.Follow(worker);
  REQUIRE(owner.RunUntil([&] {
    return !worker.m_requests.empty() &&
           worker.m_requests.back().m_body.contains("wait_ms");
  }));
  // The owner asks while a poll of the incarnation before is open.
  worker.Restart(1);
  owner.m_connections->CheckIncarnation(0);
  REQUIRE(owner.RunUntil([&] {
    return owner.Known().m_incarnation == worker.m_incarnation &&
           scheduler::IsFenced(owner.Known());
  }));
  for (const RestartingWorker::Request& request : worker.m_requests) {
    INFO(ToText(request.m_body));
    CHECK((request.m_incarnation != worker.m_incarnation ||
           !request.m_body.contains("wait_ms")));
  }
}

// Guards against a take-over that waits for a worker whose ends fill its
// answers to the last, so that the poll for the rest waits for another end.
TEST_CASE("the poll for the rest of a cut list does not wait for long") {
  constexpr int kEndsPerAnswer = 500;
  constexpr std::int64_t kLongestWaitMs = 100;
  asio::io_context context;
  RestartingWorker worker(context);
  worker.Restart(kOldClockMs);
  worker.ListEnds(kEndsPerAnswer);
  WorkerOwner owner(context);
  owner.Follow(worker);
  REQUIRE(owner.RunUntil([&] { return owner.Known().m_last_list_is_cut; }));
  REQUIRE(owner.RunUntil([&] { return HasListedAll(owner.Known()); }));
  for (const RestartingWorker::Request& request : worker.m_requests) {
    INFO(ToText(request.m_body));
    const Json* wait = request.m_body.if_contains("wait_ms");
    CHECK(
        (wait == nullptr || wait->to_number<std::int64_t>() <= kLongestWaitMs));
  }
}

}  // namespace
}  // namespace filbertspar
