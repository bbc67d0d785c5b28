#include <catch2/catch.hpp>
#include <utility>

#include "filbertspar/scheduler/src/placement.h"
#include "tests/scheduler_simulation.h"

namespace filbertspar::scheduler {
namespace {

WorkerStatus StatusOf(std::int64_t incarnation, std::int64_t clock_ms) {
  WorkerStatus status;
  status.m_incarnation = incarnation;
  status.m_clock_ms = clock_ms;
  return status;
}

/// An owner of one worker, whose incarnation 1 has answered.
struct OneWorker {
  OneWorker() {
    FakeWorker& worker = m_simulation.AddWorker("w1", "p", 8);
    // Its registrations state no incarnation.
    worker.m_record.m_incarnation = 0;
    RegisterWorker(Owner(), Now(), worker.m_record);
    Poll(1, 500'000);
  }

  void Poll(std::int64_t incarnation, std::int64_t clock_ms) {
    HandlePollResponse(Owner(), Now(), Now(), 0,
                       StatusOf(incarnation, clock_ms), Known().m_fencing);
  }

  /// Plans the starts of a job's tasks and sends them.
  void Start(const std::string& job, std::uint32_t tasks) {
    AddJob(Owner(), Now(), Simulation::MakeJob(job, "p", tasks, Seconds(2)));
    Owner().m_record_before_start = false;
    Dispatch(Owner(), Now());
  }

  Scheduler& Owner() { return *m_simulation.m_owner; }
  TimePoint Now() const { return m_simulation.m_now; }
  const Worker& Known() { return Owner().m_workers[0]; }
  const Task& TaskOf(const std::string& job, std::uint32_t index) {
    return FindTask(Owner(), {JobId(job), 0, 0, index}).GetTask();
  }

  Simulation m_simulation;
};

// Guards against tasks that wait, with their resources reserved, until the next
// incarnation has answered stops of runs that it never had.
TEST_CASE("tasks that were starting or stopping wait for no new incarnation") {
  OneWorker one;
  one.Start("starting", 2);
  one.Start("stopping", 2);
  CancelJob(one.Owner(), one.Now(), JobId("stopping"));
  REQUIRE(one.TaskOf("starting", 0).m_phase == TaskPhase::kStarting);
  REQUIRE(one.TaskOf("stopping", 0).m_phase == TaskPhase::kStopping);
  one.Owner().m_effects = Effects();
  one.Poll(2, 10);
  for (std::uint32_t i = 0; i < 2; ++i) {
    CHECK(one.TaskOf("starting", i).m_phase == TaskPhase::kWaiting);
    CHECK(one.TaskOf("stopping", i).m_worker == kNoWorker);
  }
  CHECK(one.Owner().m_effects.m_stops.empty());
  CHECK(one.Known().m_used == ResourceVector());
}

// Guards against sound runs that are given up, and run twice, because an answer
// of the incarnation before comes after one of the next.
TEST_CASE("a late answer of an incarnation that has ended changes nothing") {
  OneWorker one;
  const TimePoint early = one.Now();
  one.m_simulation.m_now += Milliseconds(500);
  one.Poll(2, 10);
  one.Start("job", 3);
  one.m_simulation.m_now += Milliseconds(20);
  const TimePoint granted = one.Known().m_lease_until;
  HandlePollResponse(one.Owner(), early, one.Now(), 0, StatusOf(1, 500'500),
                     one.Known().m_fencing);
  // Its poll may also have been sent after that of the next incarnation.
  HandlePollResponse(one.Owner(), one.Now(), one.Now(), 0, StatusOf(1, 500'520),
                     one.Known().m_fencing);
  CHECK(one.Known().m_incarnation == 2);
  CHECK(MinWorkerClock(one.Known(), one.Now()) < 1000);
  CHECK(one.Known().m_lease_until == granted);
  CHECK(one.Known().m_tasks.size() == 3);
}

// Guards against a start on a worker of another kind (ROUTE) or size (LIMIT):
// the next incarnation may be another one at the same address, and its
// registration may come later than its first answer.
TEST_CASE("a worker waits for the registration of its incarnation") {
  OneWorker one;
  WorkerRecord record = one.Known().m_record;
  record.m_incarnation = 1;
  RegisterWorker(one.Owner(), one.Now(), record);
  CHECK(IsSchedulable(one.Owner(), one.Known(), one.Now()));
  one.Poll(2, 10);
  CHECK_FALSE(IsSchedulable(one.Owner(), one.Known(), one.Now()));
  record.m_incarnation = 2;
  RegisterWorker(one.Owner(), one.Now(), record);
  CHECK(IsSchedulable(one.Owner(), one.Known(), one.Now()));
  // The registration of a restart may also come before its first answer.
  record.m_incarnation = 3;
  RegisterWorker(one.Owner(), one.Now(), record);
  CHECK_FALSE(IsSchedulable(one.Owner(), one.Known(), one.Now()));
  one.Poll(3, 10);
  CHECK(IsSchedulable(one.Owner(), one.Known(), one.Now()));
}

// Guards against a restarted worker that is idle for what was observed of the
// incarnation before: its failures, its lack of capacity, a start without an
// answer.
TEST_CASE("a new incarnation is not avoided for the one before") {
  OneWorker one;
  one.Start("job", 1);
  const StartOrder order = one.Owner().m_effects.m_starts[0].m_order;
  const auto answer = [&](OrderResult result) {
    HandleStartResponse(one.Owner(), one.Now(), 0, order,
                        {result, std::nullopt});
  };
  answer(OrderResult::kUnhealthy);
  answer(OrderResult::kNoCapacity);
  REQUIRE_FALSE(IsSchedulable(one.Owner(), one.Known(), one.Now()));
  one.Poll(2, 10);
  CHECK(IsSchedulable(one.Owner(), one.Known(), one.Now()));
  // Answers to orders of the incarnation before may come after that.
  answer(OrderResult::kUnknown);
  answer(OrderResult::kNoCapacity);
  CHECK(IsSchedulable(one.Owner(), one.Known(), one.Now()));
}

// Guards against starts with a ticket that is refused: tickets hold during one
// incarnation of the worker.
TEST_CASE("a ticket is not used for the next incarnation of its worker") {
  OneWorker one;
  JobSpec job = Simulation::MakeJob("job", "p", 1, Seconds(2));
  job.m_policy.m_needs_recommendation = true;
  AddJob(one.Owner(), one.Now(), job);
  REQUIRE(CollectRecommendationRequests(one.Owner(), one.Now()).size() == 1);
  const TaskId task{JobId("job"), 0, 0, 0};
  const Recommendation approval{{{WorkerName("w1"), "ticket"}}, Seconds(60)};
  HandleRecommendation(one.Owner(), one.Now(), task, &approval);
  REQUIRE(FindTicket(one.Owner(), one.Now(), task, WorkerName("w1")) !=
          nullptr);
  one.Poll(2, 10);
  CHECK(FindTicket(one.Owner(), one.Now(), task, WorkerName("w1")) == nullptr);
  CHECK(CollectRecommendationRequests(one.Owner(), one.Now()).size() == 1);
}

/// Lets workers lose their power, start again under their names some time
/// later, and be cut off from the owner soon after. All figures are drawn.
void PlayRestarts(Simulation& simulation, std::uint64_t seed) {
  Rng rng(seed);
  const auto draw = [&rng](int max_ms) {
    return Milliseconds(20 * (1 + rng.Below(max_ms / 20)));
  };
  simulation.m_poll_timeout = Milliseconds(1600);
  for (int i = 0; i < 4; ++i) {
    simulation.AddWorker("w" + std::to_string(i), "p", 16);
  }
  simulation.RunFor(Seconds(3));
  int jobs = 0;
  const auto run_for = [&](Duration duration) {
    const TimePoint end = simulation.m_now + duration;
    while (simulation.m_now < end) {
      JobSpec job = Simulation::MakeJob("j" + std::to_string(++jobs), "p", 3,
                                        draw(rng.Chance(0.5) ? 400 : 5000));
      job.m_policy.m_target = Seconds(60);
      job.m_steps[0].m_gang = rng.Chance(0.2);
      simulation.Submit(job);
      if (simulation.m_late_call_delay && rng.Chance(0.3)) {
        // One of which tasks run, also on the worker without power.
        CancelJob(*simulation.m_owner, simulation.m_now,
                  JobId("j" + std::to_string(jobs - rng.Below(10))));
      }
      simulation.RunFor(std::min(draw(240), end - simulation.m_now));
    }
  };
  for (int round = 0; round < 6; ++round) {
    FakeWorker& worker = *simulation.m_workers[rng.Below(4)];
    simulation.LosePower(worker);
    run_for(draw(2400));
    if (rng.Chance(0.3)) {
      simulation.TakeOver();
      run_for(draw(500));
    }
    simulation.Boot(worker);
    run_for(draw(1200));
    worker.m_is_unreachable = true;
    run_for(draw(6000));
    worker.m_is_unreachable = false;
    run_for(draw(2000));
  }
}

// Guards against any other order of a restart, a cut and a change of owner
// after which a task runs twice at once, or again after its end was
// acknowledged (review/6, review/9).
TEST_CASE("restarted workers that are cut off run no task twice") {
  for (std::uint64_t seed = 1; seed <= 120; ++seed) {
    Simulation simulation;
    PlayRestarts(simulation, seed);
    INFO("seed " << seed);
    REQUIRE(simulation.m_max_concurrent_runs <= 1);
    REQUIRE(simulation.m_starts_after_end == 0);
  }
}

/// Plays restarts with calls that the next incarnation executes up to
/// `longest_delay` after its start. Returns the numbers of such starts and of
/// stops.
std::pair<int, int> PlayLateCalls(std::uint64_t seed, Duration longest_delay) {
  Simulation simulation;
  Rng delays(seed + 1000);
  simulation.m_asks_at_boot = seed % 2 == 0;
  simulation.m_late_call_delay = [&] {
    return Duration(static_cast<std::int64_t>(
        delays.Below(static_cast<std::uint64_t>(longest_delay.count()) + 1)));
  };
  PlayRestarts(simulation, seed);
  INFO("seed " << seed);
  REQUIRE(simulation.m_max_concurrent_runs <= 1);
  REQUIRE(simulation.m_starts_after_end == 0);
  return {simulation.m_late_starts, simulation.m_late_stops};
}

// Guards against tasks that run twice because a machine keeps its connections
// when it loses its power, and the next incarnation reads what was sent.
TEST_CASE(
    "calls that the next incarnation reads at its start run no task twice") {
  int late_starts = 0;
  int late_stops = 0;
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    const auto [starts, stops] = PlayLateCalls(seed, Duration(0));
    late_starts += starts;
    late_stops += stops;
  }
  CHECK(late_starts > 0);
  CHECK(late_stops > 0);
}

// Guards against the same when the next incarnation executes such calls late,
// after others that are newer.
TEST_CASE("calls that the next incarnation executes late run no task twice") {
  int late_starts = 0;
  int late_stops = 0;
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    const auto [starts, stops] = PlayLateCalls(seed, Seconds(3));
    late_starts += starts;
    late_stops += stops;
  }
  CHECK(late_starts > 0);
  CHECK(late_stops > 0);
}

// Guards against the same where a call outlives an incarnation that has refused
// it: the owner starts the task elsewhere once it is refused.
TEST_CASE("calls that an incarnation has refused run no task twice") {
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    Simulation simulation;
    Rng delays(seed + 1000);
    simulation.m_keeps_refused_calls = true;
    simulation.m_late_call_delay = [&] {
      return Milliseconds(20 * delays.Below(300));
    };
    PlayRestarts(simulation, seed);
    INFO("seed " << seed);
    REQUIRE(simulation.m_max_concurrent_runs <= 1);
    REQUIRE(simulation.m_starts_after_end == 0);
  }
}

// Guards against the same where a connection leads to whatever incarnation is
// there.
TEST_CASE("orders that reach any incarnation run no task twice") {
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    Simulation simulation;
    simulation.m_reaches_any_incarnation = true;
    PlayRestarts(simulation, seed);
    INFO("seed " << seed);
    REQUIRE(simulation.m_max_concurrent_runs <= 1);
    REQUIRE(simulation.m_starts_after_end == 0);
  }
}

// Guards against a history that would not show the fault: late calls that no
// fencing number stops break it.
TEST_CASE("the history of restarts shows late calls that are not refused") {
  int concurrent = 0;
  int after_end = 0;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Simulation simulation;
    Rng delays(seed);
    simulation.m_ignores_fencing = true;
    simulation.m_late_call_delay = [&delays] {
      return Milliseconds(20 * delays.Below(150));
    };
    PlayRestarts(simulation, seed);
    concurrent += simulation.m_max_concurrent_runs > 1;
    after_end += simulation.m_starts_after_end > 0;
  }
  CHECK(concurrent > 0);
  CHECK(after_end > 0);
}

}  // namespace
}  // namespace filbertspar::scheduler
