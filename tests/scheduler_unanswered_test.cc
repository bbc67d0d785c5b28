#include <catch2/catch.hpp>

#include "tests/scheduler_simulation.h"

namespace filbertspar::scheduler {
namespace {

/// An owner of two workers, of which the first gets a start and answers
/// nothing.
struct SilentWorker {
  SilentWorker() {
    m_worker = &m_simulation.AddWorker("w1", "p", 8);
    m_simulation.m_poll_timeout = Milliseconds(1600);
    m_simulation.RunFor(Seconds(1));
    m_worker->m_is_unreachable = true;
    m_simulation.Submit(Simulation::MakeJob("job", "p", 1, Seconds(1)));
    m_simulation.RunFor(Milliseconds(200));
    m_simulation.AddWorker("w2", "p", 8);
  }

  Scheduler& Owner() { return *m_simulation.m_owner; }
  const Worker& Known() { return Owner().m_workers[0]; }
  const Task& GetTask() {
    return FindTask(Owner(), {JobId("job"), 0, 0, 0}).GetTask();
  }
  /// How long the task waits for the silent worker; a minute if longer.
  Duration WaitTime() {
    const TimePoint began = m_simulation.m_now;
    while (GetTask().m_worker == 0 &&
           m_simulation.m_now < began + Seconds(60)) {
      m_simulation.RunFor(Milliseconds(20));
    }
    return m_simulation.m_now - began;
  }

  Simulation m_simulation;
  FakeWorker* m_worker = nullptr;
};

// Guards against a task that is started elsewhere while a later incarnation of
// a silent worker executes its first start, or runs it.
TEST_CASE("a start in doubt outlasts every lease of a silent worker") {
  SilentWorker silent;
  REQUIRE(HasUnansweredStart(silent.GetTask()));
  SECTION("its registration is gone") {
    UnregisterWorker(silent.Owner(), silent.m_simulation.m_now,
                     WorkerName("w1"));
  }
  SECTION("its registration is as before") {}
  const Duration longest = kMaxCallDelay + MaxLeaseTime(silent.Owner());
  const Duration wait = silent.WaitTime();
  CHECK(wait > longest - Seconds(1));
  CHECK(wait < longest + Seconds(1));
}

// Guards against a lasting task that waits for long for a worker that is gone,
// and against one that is started elsewhere while its worker is up.
TEST_CASE("a start in doubt ends with a worker that no VM has any more") {
  SilentWorker silent;
  Scheduler& owner = silent.Owner();
  UnregisterWorker(owner, silent.m_simulation.m_now, WorkerName("w1"));
  owner.m_vms_listed_at = silent.m_simulation.m_now + Seconds(1);
  const Duration longest = kMaxCallDelay + MaxLeaseTime(owner);
  SECTION("no VM that is up has the worker") {
    CHECK(silent.WaitTime() < longest / 2);
  }
  SECTION("a VM that is up has it") {
    owner.m_workers_of_vms.insert(WorkerName("w1"));
    CHECK(silent.WaitTime() > longest - Seconds(1));
  }
  SECTION("the list is older than the doubt") {
    owner.m_vms_listed_at = silent.m_simulation.m_now - Seconds(1);
    CHECK(silent.WaitTime() > longest - Seconds(1));
  }
}

// Guards against the same at the first answer of the next incarnation, which
// may still execute the start: the poll had the same fencing number.
TEST_CASE("a start in doubt is settled by a higher fencing number only") {
  SilentWorker silent;
  Scheduler& owner = silent.Owner();
  const FencingNumber used = silent.Known().m_fencing;
  const TimePoint now = silent.m_simulation.m_now;
  WorkerStatus status;
  status.m_clock_ms = 10;
  status.m_incarnation = ToMilliseconds(now.time_since_epoch());
  HandlePollResponse(owner, now, now, 0, status, used);
  CHECK(silent.GetTask().m_worker == 0);
  CHECK_FALSE(IsFenced(silent.Known()));
  REQUIRE(silent.Known().m_fencing > used);
  // The lease of the incarnation is not known yet.
  ExpireLeases(owner, now + kMaxCallDelay);
  CHECK(silent.GetTask().m_worker == 0);
  HandlePollResponse(owner, now, now, 0, status, silent.Known().m_fencing);
  CHECK(IsFenced(silent.Known()));
  CHECK(silent.GetTask().m_worker == kNoWorker);
}

// Guards against a task that is started elsewhere when the incarnation that has
// answered its stop is not the one that executes its start.
TEST_CASE("an answered stop does not settle a start in doubt") {
  SilentWorker silent;
  Scheduler& owner = silent.Owner();
  const TimePoint now = silent.m_simulation.m_now;
  const TaskRef ref = FindTask(owner, {JobId("job"), 0, 0, 0});
  StopTask(owner, now, ref, "test");
  const StopOrder stop = owner.m_effects.m_stops.back().m_order;
  HandleStopResponse(owner, now, 0, stop, {OrderResult::kAccepted, 10});
  WorkerStatus status;
  status.m_incarnation = silent.Known().m_incarnation;
  status.m_clock_ms = 1;
  const TimePoint later = now + Milliseconds(10);
  HandlePollResponse(owner, later, later, 0, status, silent.Known().m_fencing);
  CHECK(silent.GetTask().m_worker == 0);
}

// Guards against a worker with hundreds of ends that are never read, because
// nothing is acknowledged while a start is in doubt and a truncated list does
// not settle it.
TEST_CASE("ends are acknowledged once a start in doubt is refused") {
  SilentWorker silent;
  Scheduler& owner = silent.Owner();
  silent.m_simulation.RunFor(Milliseconds(400));
  const TimePoint now = silent.m_simulation.m_now;
  owner.m_workers[0].m_finished_stored = 500;
  CHECK(EndsToAcknowledge(silent.Known()) == 0);
  WorkerStatus status;
  status.m_incarnation = silent.Known().m_incarnation;
  status.m_truncated = true;
  HandlePollResponse(owner, now, now, 0, status, silent.Known().m_fencing);
  REQUIRE(HasUnansweredStart(silent.GetTask()));
  CHECK(EndsToAcknowledge(silent.Known()) == 500);
}

// Guards against starts that are sent, and become doubtful, one after the other
// while a call to the worker has no response.
TEST_CASE("a worker with an unanswered call gets no start") {
  SilentWorker silent;
  silent.m_simulation.RunFor(Milliseconds(400));
  CHECK_FALSE(IsFenced(silent.Known()));
  CHECK_FALSE(
      IsSchedulable(silent.Owner(), silent.Known(), silent.m_simulation.m_now));
  silent.m_worker->m_is_unreachable = false;
  silent.m_worker->m_poll_given_up_at = TimePoint::max();
  silent.m_simulation.RunFor(Milliseconds(40));
  CHECK(IsFenced(silent.Known()));
  CHECK_FALSE(HasUnansweredStart(silent.GetTask()));
}

// Guards against a run that nobody knows of because the next incarnation has
// answered its start on a connection of the one before.
TEST_CASE("a start that the next incarnation answers stays in doubt") {
  Simulation simulation;
  FakeWorker& worker = simulation.AddWorker("w1", "p", 8);
  simulation.RunFor(Seconds(5));
  Scheduler& owner = *simulation.m_owner;
  owner.m_record_before_start = false;
  AddJob(owner, simulation.m_now,
         Simulation::MakeJob("job", "p", 1, Seconds(1)));
  Dispatch(owner, simulation.m_now);
  REQUIRE(owner.m_effects.m_starts.size() == 1);
  StartOrder order = owner.m_effects.m_starts[0].m_order;
  order.m_fencing = HandleStartSent(owner, simulation.m_now, order);
  HandleStartResponse(owner, simulation.m_now, 0, order,
                      {OrderResult::kAccepted, 10});
  CHECK(HasUnansweredStart(FindTask(owner, order.m_task).GetTask()));
  CHECK(owner.m_workers[0].m_fencing > order.m_fencing);
  CHECK(worker.m_running.empty());
}

// Guards against a poll that has the next incarnation forget the end of a run
// that it began after the poll was sent, before anybody has read that end.
TEST_CASE("a start is refused or executed before polls that acknowledge ends") {
  Worker worker;
  worker.m_fencing = FencingNumber(1);
  worker.m_finished_stored = 3;
  const std::uint64_t acknowledged = EndsToAcknowledge(worker);
  REQUIRE(acknowledged == 3);
  const FencingNumber poll = HandlePollSent(TimePoint(), worker, acknowledged);
  Simulation simulation;
  simulation.AddWorker("w1", "p", 8);
  simulation.RunFor(Milliseconds(100));
  Scheduler& owner = *simulation.m_owner;
  owner.m_workers[0].m_fencing = worker.m_fencing;
  owner.m_workers[0].m_acknowledging_fencing = poll;
  owner.m_workers[0].m_finished_stored = 3;
  owner.m_record_before_start = false;
  AddJob(owner, simulation.m_now,
         Simulation::MakeJob("job", "p", 1, Seconds(1)));
  Dispatch(owner, simulation.m_now);
  REQUIRE(owner.m_effects.m_starts.size() == 1);
  CHECK(HandleStartSent(owner, simulation.m_now,
                        owner.m_effects.m_starts[0].m_order) > poll);
  CHECK(EndsToAcknowledge(owner.m_workers[0]) == 0);
  // The next poll waits for the answer to the start.
  CHECK(HoldsBackEnds(owner.m_workers[0]));
  HandlePollSent(simulation.m_now, owner.m_workers[0], 3);
  CHECK_FALSE(HoldsBackEnds(owner.m_workers[0]));
}

// Guards against a new owner that starts a recorded run elsewhere while the
// next incarnation of its worker executes the previous owner's start.
TEST_CASE("a new owner waits longer for a silent worker that has restarted") {
  const bool has_restarted = GENERATE(true, false);
  Simulation simulation;
  FakeWorker& worker = simulation.AddWorker("w1", "p", 8);
  simulation.RunFor(Milliseconds(100));
  simulation.Submit(Simulation::MakeJob("job", "p", 1, Seconds(60)));
  simulation.RunFor(Milliseconds(500));
  if (has_restarted) {
    simulation.LosePower(worker);
    simulation.Boot(worker);
  }
  worker.m_is_unreachable = true;
  simulation.TakeOver();
  simulation.AddWorker("w2", "p", 8);
  simulation.RunFor(Seconds(9));
  CHECK(simulation.m_starts[{JobId("job"), 0, 0, 0}] ==
        (has_restarted ? 1 : 2));
  simulation.RunFor(Seconds(18));
  CHECK(simulation.m_starts[{JobId("job"), 0, 0, 0}] == 2);
}

// Guards against a start that is sent again with the ticket of the incarnation
// before, which its worker rejects.
TEST_CASE("a start that was refused is sent again with a ticket of its own") {
  Simulation simulation;
  FakeWorker& worker = simulation.AddWorker("w1", "p", 8);
  simulation.RunFor(Milliseconds(100));
  Scheduler& owner = *simulation.m_owner;
  owner.m_record_before_start = false;
  JobSpec job = Simulation::MakeJob("job", "p", 1, Seconds(1));
  job.m_policy.m_needs_recommendation = true;
  AddJob(owner, simulation.m_now, job);
  const TaskId task{JobId("job"), 0, 0, 0};
  const auto approve = [&](const std::string& ticket) {
    const Recommendation approval{{{WorkerName("w1"), ticket}}, Seconds(60)};
    REQUIRE(CollectRecommendationRequests(owner, simulation.m_now).size() == 1);
    HandleRecommendation(owner, simulation.m_now, task, &approval);
    Dispatch(owner, simulation.m_now);
    REQUIRE(owner.m_effects.m_starts.size() == 1);
    CHECK(owner.m_effects.m_starts[0].m_order.m_ticket == ticket);
  };
  approve("first");
  const StartOrder order = owner.m_effects.m_starts[0].m_order;
  HandleStartSent(owner, simulation.m_now, order);
  owner.m_effects = Effects();
  HandlePollFailure(owner, simulation.m_now, 0, PollFailure::kSilent);
  simulation.LosePower(worker);
  simulation.Boot(worker);
  WorkerStatus status;
  status.m_incarnation = worker.m_incarnation;
  HandlePollResponse(owner, simulation.m_now, simulation.m_now, 0, status,
                     owner.m_workers[0].m_fencing);
  REQUIRE(FindTask(owner, task).GetTask().m_phase == TaskPhase::kWaiting);
  approve("second");
}

// Guards against a worker whose earlier calls can no longer be told from its
// next ones.
TEST_CASE("an owner whose fencing numbers are used up must begin a new term") {
  Simulation simulation;
  simulation.AddWorker("w1", "p", 8);
  simulation.RunFor(Milliseconds(100));
  Scheduler& owner = *simulation.m_owner;
  owner.m_options.m_last_fencing = FencingNumber(3);
  for (int i = 0; i < 2; ++i) {
    HandlePollSent(simulation.m_now, owner.m_workers[0], 0);
    RaiseFencing(owner, 0);
    CHECK_FALSE(owner.m_fencing_exhausted);
  }
  HandlePollSent(simulation.m_now, owner.m_workers[0], 0);
  RaiseFencing(owner, 0);
  CHECK(owner.m_fencing_exhausted);
  CHECK_FALSE(IsFenced(owner.m_workers[0]));
}

}  // namespace
}  // namespace filbertspar::scheduler
