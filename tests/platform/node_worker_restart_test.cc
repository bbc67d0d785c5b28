#include <catch2/catch.hpp>

#include "tests/platform/worker_owner.h"

namespace filbertspar {
namespace {

/// Reading of the clock of a worker that has run for long.
constexpr std::int64_t kOldClockMs = 1'000'000;

/// Whether a deadline lies on the clock of the incarnation that got it.
bool IsOnClock(const RestartingWorker::Request& request) {
  const auto* deadline = request.m_body.if_contains("deadline_ms");
  return deadline == nullptr ||
         deadline->to_number<std::int64_t>() <=
             request.m_clock_ms + ToMilliseconds(Seconds(3));
}

// Guards against subtasks that run twice when a restarted worker is cut off
// (review/9): the next incarnation takes a deadline on the clock of the one
// before for a lease that is longer than the owner reckons with.
TEST_CASE("a start does not reach the next incarnation of its worker") {
  asio::io_context context;
  RestartingWorker worker(context);
  worker.Restart(kOldClockMs);
  WorkerOwner owner(context);
  owner.Follow(worker);
  owner.Submit("first", 2);
  REQUIRE(owner.RunUntil([&] { return worker.m_running.size() == 2; }));
  worker.Restart(1);
  const std::int64_t successor = worker.m_incarnation;
  // Goes out while the owner waits for the answer to a poll of the incarnation
  // that has ended.
  owner.Submit("second", 3);
  REQUIRE(owner.RunUntil([&] { return worker.m_running.size() == 5; }));
  for (const RestartingWorker::Request& request : worker.m_requests) {
    INFO(request.m_path << " " << ToText(request.m_body) << " at "
                        << request.m_clock_ms);
    CHECK((request.m_path != "/run-start" || IsOnClock(request)));
  }
  CHECK(owner.Known().m_incarnation == successor);
}

}  // namespace
}  // namespace filbertspar
