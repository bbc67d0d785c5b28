#include <algorithm>
#include <catch2/catch.hpp>

#include "tests/scheduler_simulation.h"

namespace filbertspar::scheduler {
namespace {

// Guards against stops beyond max_unavailable, and runs that are started again,
// because the previous owner may send orders for longer than the new one needs
// for its first polls.
TEST_CASE("all inherited bounds count from the previous owner's last order") {
  const TimePoint now{Seconds(1000)};
  Scheduler scheduler;
  scheduler.m_options.m_lease = Seconds(3);
  InheritOrders(scheduler, now, now - Milliseconds(500), Milliseconds(900));
  const Options soon = scheduler.m_options;
  CHECK(soon.m_disruption_allowed_from == now + Milliseconds(1900));
  InheritOrders(scheduler, now, now + Seconds(9), Milliseconds(900));
  const Options late = scheduler.m_options;
  CHECK(late.m_disruption_allowed_from == now + Milliseconds(9900));
  const Duration more = Milliseconds(9500);
  CHECK(late.m_inherited_leases_until == soon.m_inherited_leases_until + more);
  CHECK(late.m_inherited_doubt_until == soon.m_inherited_doubt_until + more);
  // A start grants a lease for as long as it may be executed.
  scheduler.m_options.m_lease = Seconds(1);
  InheritOrders(scheduler, now, now, Milliseconds(900));
  CHECK(scheduler.m_options.m_inherited_leases_until >
        now + scheduler.m_options.m_start_window);
}

// A new owner must not start a task again while the previous owner's run of it
// continues.
TEST_CASE("a new owner adopts running tasks") {
  Simulation simulation;
  simulation.AddWorker("w1", "p", 8);
  simulation.AddWorker("w2", "p", 8);
  REQUIRE(simulation.Submit(Simulation::MakeJob("job", "p", 6, Seconds(2))));
  simulation.RunFor(Milliseconds(500));
  simulation.TakeOver();
  simulation.RunFor(Seconds(4));
  CHECK(simulation.m_max_concurrent_runs == 1);
  CHECK(simulation.StateOfJob("job") == JobState::kCompleted);
  for (const auto& [task, starts] : simulation.m_starts) {
    CHECK(starts == 1);
  }
}

// A new owner that has not read the configuration yet does not know the
// workspace quotas and must not start tasks (soak, seed 142).
TEST_CASE("a new owner without a configuration starts nothing") {
  Simulation simulation;
  simulation.Configure([](DeploymentConfig& deployment) {
    WorkspaceConfig workspace;
    workspace.m_name = WorkspaceName("team");
    workspace.m_share_per_s = 100;
    workspace.m_quota.m_cpu = Millicores(2000);
    deployment.m_workspaces.push_back(workspace);
  });
  FakeWorker& worker = simulation.AddWorker("w1", "p", 8);
  JobSpec job = Simulation::MakeJob("job", "p", 6, Seconds(2));
  job.m_workspace = WorkspaceName("team");
  REQUIRE(simulation.Submit(job));
  simulation.TakeOver();
  const DeploymentConfigPtr deployment = simulation.m_owner->m_deployment;
  simulation.m_owner->m_deployment = nullptr;
  simulation.RunFor(Seconds(1));
  CHECK(worker.m_running.empty());
  simulation.m_owner->m_deployment = deployment;
  simulation.RunFor(Milliseconds(200));
  CHECK(worker.m_running.size() == 2);
}

// A new owner must not start a task elsewhere while it may run on a worker that
// it cannot reach.
TEST_CASE("a new owner waits for the leases of workers it cannot reach") {
  Simulation simulation;
  FakeWorker& unreachable = simulation.AddWorker("w1", "p", 8);
  REQUIRE(simulation.Submit(Simulation::MakeJob("job", "p", 2, Seconds(20))));
  simulation.RunFor(Milliseconds(500));
  simulation.AddWorker("w2", "p", 8);
  simulation.RunFor(Milliseconds(100));
  unreachable.m_is_unreachable = true;
  simulation.TakeOver();
  simulation.RunFor(Seconds(40));
  CHECK(simulation.m_max_concurrent_runs == 1);
  CHECK(simulation.StateOfJob("job") == JobState::kCompleted);
}

// A job whose end was not stored when its owner died must neither be lost nor
// run again.
TEST_CASE("a finished run that was not stored is read again by the new owner") {
  Simulation simulation;
  simulation.AddWorker("w1", "p", 8);
  REQUIRE(
      simulation.Submit(Simulation::MakeJob("job", "p", 3, Milliseconds(300))));
  simulation.RunFor(Milliseconds(100));
  simulation.m_store_is_down = true;
  simulation.RunFor(Seconds(1));
  CHECK(simulation.StateOfJob("job") == JobState::kRunning);
  simulation.TakeOver();
  simulation.m_store_is_down = false;
  simulation.RunFor(Seconds(1));
  CHECK(simulation.StateOfJob("job") == JobState::kCompleted);
  for (const auto& [task, starts] : simulation.m_starts) {
    CHECK(starts == 1);
  }
}

// A task must not get more attempts than its queue allows when a new owner
// reads its failures from two workers in either order.
TEST_CASE("failures that were not stored count whatever their order") {
  for (const bool newest_first : {false, true}) {
    Simulation simulation;
    FakeWorker& first = simulation.AddWorker("w1", "p", 8);
    FakeWorker& second = simulation.AddWorker("w2", "p", 8);
    REQUIRE(simulation.Submit(Simulation::MakeJob("job", "p", 1, Seconds(1))));
    const TaskId task{JobId("job")};
    FinishedRun failed;
    failed.m_task = task;
    failed.m_outcome = RunOutcome::kFailed;
    failed.m_number = 1;
    failed.m_run = RunNumber(newest_first ? 2 : 1);
    first.m_finished.push_back(failed);
    failed.m_run = RunNumber(newest_first ? 1 : 2);
    second.m_finished.push_back(failed);
    first.m_next_finished_number = second.m_next_finished_number = 2;
    simulation.TakeOver();
    simulation.RunFor(Seconds(1));
    CHECK(simulation.StateOfJob("job") == JobState::kFailed);
    CHECK(simulation.m_starts.empty());
  }
}

/// Runs of a step with `tasks` tasks that end on `workers` workers while their
/// owner is gone, so that each holds more ends than one of its answers lists.
void EndRunsUnread(Simulation& simulation, std::uint32_t tasks, int workers) {
  simulation.m_max_listed_ends = 10;
  for (int i = 0; i < workers; ++i) {
    simulation.AddWorker("w" + std::to_string(i), "p", 1);
  }
  simulation.RunFor(Milliseconds(100));
  REQUIRE(simulation.Submit(
      Simulation::MakeJob("job", "p", tasks, Seconds(1), 10)));
  simulation.RunFor(Milliseconds(500));
  REQUIRE(simulation.m_starts.size() == tasks);
  // The store takes nothing, so that no end is acknowledged.
  simulation.m_store_is_down = true;
  simulation.RunFor(Seconds(1));
  REQUIRE(simulation.m_done.size() == tasks);
}

bool HasStartedTwice(const Simulation& simulation) {
  return std::any_of(simulation.m_starts.begin(), simulation.m_starts.end(),
                     [](const auto& starts) { return starts.second > 1; });
}

// Guards against tasks that run again after their ends, because the next owner
// takes the first ends that a worker lists for all of them (review/16).
TEST_CASE("ends beyond the first list of a worker are read before restarts") {
  const bool runs_are_recorded = GENERATE(true, false);
  Simulation simulation;
  simulation.m_runs_are_recorded = runs_are_recorded;
  EndRunsUnread(simulation, 100, 2);
  simulation.TakeOver();
  simulation.m_store_is_down = false;
  simulation.RunFor(Seconds(10));
  CHECK(simulation.StateOfJob("job") == JobState::kCompleted);
  CHECK_FALSE(HasStartedTwice(simulation));
  CHECK(simulation.m_starts_after_end == 0);
  CHECK(simulation.m_max_concurrent_runs == 1);
}

// Guards against the same while the store takes nothing: no end can be
// acknowledged, so that the others are not listed.
TEST_CASE("ends that are not listed while the store is away count as open") {
  Simulation simulation;
  EndRunsUnread(simulation, 100, 2);
  simulation.TakeOver();
  simulation.RunFor(Seconds(30));
  CHECK_FALSE(HasStartedTwice(simulation));
  simulation.m_store_is_down = false;
  simulation.RunFor(Seconds(10));
  CHECK(simulation.StateOfJob("job") == JobState::kCompleted);
  CHECK_FALSE(HasStartedTwice(simulation));
}

// Guards against tasks that wait for good for a worker that is gone before all
// its ends were read.
TEST_CASE("a worker that is lost amid its list of ends holds nothing up") {
  const bool is_restarted = GENERATE(true, false);
  Simulation simulation;
  EndRunsUnread(simulation, 100, 2);
  simulation.TakeOver();
  simulation.RunFor(Milliseconds(100));
  REQUIRE_FALSE(HasListedAll(simulation.m_owner->m_workers[0]));
  if (is_restarted) {
    simulation.Restart(*simulation.m_workers[0]);
  } else {
    simulation.m_workers[0]->m_is_unreachable = true;
  }
  simulation.m_store_is_down = false;
  simulation.RunFor(Seconds(20));
  CHECK(simulation.StateOfJob("job") == JobState::kCompleted);
  CHECK(simulation.m_max_concurrent_runs == 1);
}

// Guards against tasks that wait for the list of a worker on which they never
// were.
TEST_CASE("a worker with a short list waits for no other") {
  Simulation simulation;
  simulation.m_max_listed_ends = 10;
  simulation.AddWorker("long", "p", 8);
  FakeWorker& brief = simulation.AddWorker("brief", "q", 8);
  simulation.RunFor(Milliseconds(100));
  REQUIRE(
      simulation.Submit(Simulation::MakeJob("many", "p", 100, Seconds(1), 10)));
  REQUIRE(simulation.Submit(Simulation::MakeJob("few", "q", 2, Seconds(1))));
  simulation.RunFor(Milliseconds(500));
  simulation.m_store_is_down = true;
  simulation.RunFor(Milliseconds(300));
  // Its runs are gone without a trace.
  REQUIRE(brief.m_running.size() == 2);
  brief.m_running.clear();
  simulation.RunFor(Seconds(1));
  simulation.TakeOver();
  simulation.RunFor(Milliseconds(60));
  REQUIRE(HasListedAll(simulation.m_owner->m_workers[1]));
  REQUIRE_FALSE(HasListedAll(simulation.m_owner->m_workers[0]));
  simulation.m_store_is_down = false;
  simulation.RunFor(Milliseconds(60));
  CHECK(brief.m_running.size() == 2);
}

// Two tasks of a step with max_unavailable 1 must not be down at once because a
// stop ordered by the previous owner has not taken effect yet.
TEST_CASE("a new owner stops no limited task before earlier stops have ended") {
  Simulation simulation;
  simulation.AddWorker("w1", "p", 8);
  simulation.AddWorker("w2", "p", 8);
  simulation.AddWorker("w3", "p", 8);
  simulation.m_stop_time = Milliseconds(900);
  JobSpec job = Simulation::MakeJob("job", "p", 2, Seconds(1));
  job.m_steps[0].m_long_running = true;
  job.m_steps[0].m_max_per_worker = 1;
  job.m_steps[0].m_max_unavailable = 1;
  REQUIRE(simulation.Submit(job));
  simulation.RunFor(Seconds(1));
  // The previous owner's stop order; the worker still reports the task as
  // running.
  for (const auto& worker : simulation.m_workers) {
    if (!worker->m_running.empty()) {
      worker->m_running.begin()->second.m_ends_at =
          simulation.m_now + simulation.m_stop_time;
      worker->m_running.begin()->second.m_outcome = RunOutcome::kStopped;
      break;
    }
  }
  simulation.TakeOver();
  simulation.RunFor(Milliseconds(100));
  for (Worker& worker : simulation.m_owner->m_workers) {
    worker.m_cordoned = true;
  }
  simulation.m_owner->m_workers[2].m_cordoned = false;
  for (int i = 0; i < 40; ++i) {
    simulation.RunFor(Milliseconds(20));
    std::size_t stopping = 0;
    for (const auto& worker : simulation.m_workers) {
      for (const auto& [task, run] : worker->m_running) {
        stopping += run.m_outcome == RunOutcome::kStopped;
      }
    }
    CHECK(stopping <= 1);
  }
}

// Guards against starts that workers refuse as old: a task that ends at once
// had more runs in one term than the numbers set apart for an owner.
TEST_CASE("run numbers of the next owner exceed those of a long term") {
  Simulation simulation;
  FakeWorker& worker = simulation.AddWorker("w1", "p", 8);
  simulation.RunFor(Seconds(1));
  JobSpec job = Simulation::MakeJob("lasting", "p", 1, Seconds(1));
  job.m_steps[0].m_long_running = true;
  REQUIRE(simulation.Submit(job));
  simulation.RunFor(Seconds(1));
  REQUIRE(worker.m_running.size() == 1);
  // Five restarts a second for a day.
  constexpr std::uint64_t kRuns = 5 * 24 * 3600;
  const TaskId task{JobId("lasting"), 0, 0, 0};
  scheduler::FindTask(*simulation.m_owner, task).GetTask().m_run = kRuns;
  worker.m_running.clear();
  simulation.TakeOver();
  simulation.RunFor(Seconds(8));
  REQUIRE(worker.m_running.size() == 1);
  CHECK(worker.m_running.begin()->second.m_run > kRuns);
}

// Guards against tasks that run again after their end, or are stopped, because
// the new owner has not opened their occurrence: its predecessor had opened it
// as earlier ones finished, and not stored that.
TEST_CASE("runs of occurrences that are not open yet are not forgotten") {
  Simulation simulation;
  simulation.AddWorker("w1", "p", 8);
  Scheduler& owner = *simulation.m_owner;
  JobSpec job = Simulation::MakeJob("job", "p", 2, Seconds(60));
  job.m_occurrence_count = 1000;
  job.m_interval = Milliseconds(1);
  AddJob(owner, simulation.m_now, job);
  const TaskId ended{JobId("job"), 300, 0, 0};
  const TaskId running{JobId("job"), 310, 0, 0};
  REQUIRE_FALSE(FindTask(owner, ended));
  WorkerStatus status;
  status.m_incarnation = 1;
  status.m_clock_ms = 10'000;
  status.m_finished.push_back({1, ended, RunNumber(1), RunOutcome::kDone, ""});
  status.m_running.push_back({running, RunNumber(1), "", 100, -1});
  HandlePollResponse(owner, simulation.m_now, simulation.m_now, 0, status,
                     owner.m_workers[0].m_fencing);
  REQUIRE(FindTask(owner, ended));
  CHECK(FindTask(owner, ended).GetTask().m_phase == TaskPhase::kDone);
  REQUIRE(FindTask(owner, running));
  CHECK(FindTask(owner, running).GetTask().m_phase == TaskPhase::kRunning);
  CHECK(owner.m_effects.m_stops.empty());
}

}  // namespace
}  // namespace filbertspar::scheduler
