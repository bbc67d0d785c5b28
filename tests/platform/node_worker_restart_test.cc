#include <algorithm>
#include <catch2/catch.hpp>

#include "filbertspar/node/src/metric_names.h"
#include "filbertspar/node/src/start_relay.h"
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

// Guards against the same through another VM, which sends starts for an owner
// whose link is loaded: it reaches whatever is at the worker's address.
TEST_CASE("a relayed start does not reach the next incarnation of its worker") {
  asio::io_context context;
  RestartingWorker worker(context);
  EventLog log(context, EventLogLimits(), STDERR_FILENO);
  MetricsBook metrics;
  TrafficMeter traffic(metrics, 1000);
  HttpClient client(context, HttpClientLimits());
  StartRelay relay(client, traffic, log);
  std::vector<RelayedStartReply> replies;
  const auto send = [&](std::uint32_t task) -> asio::awaitable<void> {
    StartOrder order;
    order.m_task = {JobId("job"), 0, 0, task};
    order.m_run = RunNumber(1);
    order.m_payload = "payload";
    order.m_incarnation = 2;
    order.m_deadline_ms = kOldClockMs + 2000;
    RelayedStart start =
        MakeRelayedStart(order, WorkerName("w"), worker.Address());
    start.m_payload = order.m_payload;
    start.m_wait = Milliseconds(800);
    replies.push_back(co_await relay.Send(std::move(start)));
  };
  bool is_done = false;
  const auto play = [&]() -> asio::awaitable<void> {
    worker.Restart(kOldClockMs);
    co_await send(0);
    co_await send(1);
    worker.Restart(1);
    // The first is sent on a connection to the incarnation that has ended.
    co_await send(2);
    co_await send(3);
    is_done = true;
  };
  asio::co_spawn(context, play(), asio::detached);
  const TimePoint deadline = SteadyNow() + Seconds(20);
  while (!is_done && SteadyNow() < deadline) {
    context.run_one_for(std::chrono::milliseconds(100));
  }
  REQUIRE(is_done);
  const auto result = [&](std::size_t i) {
    return OrderResultFromNumber(replies[i].m_result);
  };
  CHECK(result(0) == OrderResult::kAccepted);
  CHECK(result(1) == OrderResult::kAccepted);
  CHECK(replies[2].m_outcome == RelayOutcome::kUnanswered);
  CHECK(replies[3].m_outcome == RelayOutcome::kAnswered);
  CHECK(result(3) == OrderResult::kOtherInstance);
  CHECK(worker.m_running.empty());
}

// Guards against subtasks that run twice because a restarted worker is made to
// forget their ends before anyone has read them (review/6), and against a lease
// that a poll renews on the clock of the incarnation before.
TEST_CASE("a poll tells the next incarnation of its worker nothing") {
  asio::io_context context;
  RestartingWorker worker(context);
  worker.Restart(kOldClockMs);
  WorkerOwner owner(context);
  owner.Follow(worker);
  owner.Submit("first", 3);
  REQUIRE(owner.RunUntil([&] { return worker.m_running.size() == 3; }));
  worker.FinishRuns();
  REQUIRE(owner.RunUntil([&] { return owner.Known().m_finished_stored == 3; }));
  worker.Restart(1);
  worker.ResetConnections();
  const std::int64_t successor = worker.m_incarnation;
  REQUIRE(owner.RunUntil([&] {
    return owner.Known().m_incarnation == successor &&
           owner.Known().m_failed_polls == 0;
  }));
  for (const RestartingWorker::Request& request : worker.m_requests) {
    INFO(request.m_path << " " << ToText(request.m_body) << " at "
                        << request.m_clock_ms);
    CHECK(IsOnClock(request));
    if (request.m_incarnation == successor) {
      CHECK(request.m_body.at("ack_cursor").to_number<int>() == 0);
    }
  }
}

// Guards against a restarted worker that stays idle until the poll of the
// incarnation before is given up, although its registration tells of it.
TEST_CASE("the registration of another incarnation makes the owner ask") {
  asio::io_context context;
  RestartingWorker worker(context);
  WorkerOwner owner(context);
  owner.Follow(worker);
  REQUIRE(owner.RunUntil([&] { return owner.Known().m_has_responded; }));
  const auto open_polls = [&] {
    return std::count_if(worker.m_requests.begin(), worker.m_requests.end(),
                         [](const RestartingWorker::Request& request) {
                           return request.m_body.contains("wait_ms");
                         });
  };
  REQUIRE(owner.RunUntil([&] { return open_polls() == 1; }));
  worker.Restart(1);
  WorkerRecord record = WorkerOwner::RecordOf(worker);
  record.m_incarnation = worker.m_incarnation;
  const scheduler::WorkerIndex index =
      scheduler::RegisterWorker(owner.m_scheduler, BootNow(), record);
  REQUIRE(scheduler::MayHaveRestarted(owner.Known()));
  owner.m_connections->CheckIncarnation(index);
  REQUIRE(owner.RunUntil(
      [&] { return owner.Known().m_incarnation == worker.m_incarnation; }));
  // The poll of the incarnation before still waits for its answer.
  CHECK_FALSE(
      owner.m_metrics.m_counters[std::string(metric::kOrders.m_name)].contains(
          "look_unknown"));
  CHECK_FALSE(scheduler::MayHaveRestarted(owner.Known()));
  // An entry of the incarnation before, from a list that is read late.
  record.m_incarnation = worker.m_incarnation - 1;
  scheduler::RegisterWorker(owner.m_scheduler, BootNow(), record);
  CHECK_FALSE(scheduler::MayHaveRestarted(owner.Known()));
}

// Guards against a worker that is taken for gone, and left idle until its entry
// changes again, because another worker answers at the address of its earlier
// incarnation.
TEST_CASE("an answer at an earlier address does not end the worker") {
  asio::io_context context;
  RestartingWorker before(context);
  before.m_longest_wait = Milliseconds(50);
  RestartingWorker after(context);
  after.Restart(1);
  WorkerOwner owner(context);
  owner.Follow(before);
  REQUIRE(owner.RunUntil([&] { return owner.Known().m_has_responded; }));
  const std::size_t answered = before.m_requests.size();
  REQUIRE(owner.RunUntil([&] { return before.m_requests.size() > answered; }));
  // The poll that is open now is answered by the other worker.
  before.m_is_other_worker = true;
  owner.Follow(after);
  REQUIRE(owner.RunUntil(
      [&] { return owner.Known().m_incarnation == after.m_incarnation; }));
  CHECK(owner.Known().m_registered);
  CHECK(scheduler::IsSchedulable(owner.m_scheduler, owner.Known(), BootNow()));
}

}  // namespace
}  // namespace filbertspar
