#include <catch2/catch.hpp>

#include "tests/scheduler_simulation.h"

namespace filbertspar::scheduler {
namespace {

// After a takeover only the tasks recorded on an unresponsive worker may have
// to wait for it, not all inherited jobs.
TEST_CASE(
    "tasks that were never started do not wait for an unresponsive worker") {
  Simulation simulation;
  FakeWorker& unreachable = simulation.AddWorker("w1", "p", 8);
  REQUIRE(
      simulation.Submit(Simulation::MakeJob("running", "p", 8, Seconds(20))));
  simulation.RunFor(Milliseconds(500));
  simulation.AddWorker("w2", "p", 8);
  for (int i = 0; i < 4; ++i) {
    JobSpec job =
        Simulation::MakeJob("queued" + std::to_string(i), "p", 8, Seconds(1));
    job.m_policy.m_target = Seconds(60);
    REQUIRE(simulation.Submit(job));
  }
  simulation.RunFor(Milliseconds(100));
  unreachable.m_is_unreachable = true;
  simulation.TakeOver();
  simulation.RunFor(Seconds(4) + Milliseconds(500));
  for (int i = 0; i < 4; ++i) {
    CHECK(simulation.StateOfJob("queued" + std::to_string(i)) ==
          JobState::kCompleted);
  }
  simulation.RunFor(Seconds(30));
  CHECK(simulation.m_max_concurrent_runs == 1);
  CHECK(simulation.StateOfJob("running") == JobState::kCompleted);
}

// A start must not reach its worker before it is stored: if the worker then
// became unreachable, the next owner would not know of the run.
TEST_CASE("a start is sent only once the store has recorded it") {
  Simulation simulation;
  FakeWorker& worker = simulation.AddWorker("w1", "p", 8);
  simulation.RunFor(Milliseconds(100));
  REQUIRE(simulation.Submit(Simulation::MakeJob("job", "p", 2, Seconds(2))));
  simulation.m_store_is_down = true;
  simulation.RunFor(Seconds(1));
  CHECK(worker.m_running.empty());
  CHECK(AllStartsRecorded(*simulation.m_owner));
  simulation.m_store_is_down = false;
  simulation.RunFor(Milliseconds(100));
  CHECK(worker.m_running.size() == 2);
}

// A worker that was just added has answered once and holds no lease yet. A task
// planned on it must not be given up as lost, which would record another start
// of it and delay it by another write.
TEST_CASE("a start that waits for the store needs no lease of its worker") {
  Simulation simulation;
  simulation.AddWorker("w1", "p", 8);
  Scheduler& owner = *simulation.m_owner;
  const TimePoint now = simulation.m_now;
  WorkerStatus status;
  status.m_clock_ms = 1000;
  status.m_incarnation = 1;
  HandlePollResponse(owner, now, now, 0, status, owner.m_workers[0].m_fencing);
  AddJob(owner, now, Simulation::MakeJob("job", "p", 2, Seconds(2)));
  Dispatch(owner, now);
  ExpireLeases(owner, now + Milliseconds(100));
  Dispatch(owner, now + Milliseconds(100));
  for (std::uint32_t i = 0; i < 2; ++i) {
    const Task& task = FindTask(owner, {JobId("job"), 0, 0, i}).GetTask();
    CHECK(task.m_phase == TaskPhase::kStarting);
    CHECK(task.m_run == 1);
  }
}

// Work must not stop for as long as the store is down, and the recorded starts
// must not be reported as complete while they are not.
TEST_CASE("starts sent without a record are reported as unrecorded") {
  Simulation simulation;
  FakeWorker& worker = simulation.AddWorker("w1", "p", 8);
  simulation.RunFor(Milliseconds(100));
  REQUIRE(simulation.Submit(Simulation::MakeJob("job", "p", 2, Seconds(2))));
  simulation.m_store_is_down = true;
  simulation.RunFor(Milliseconds(500));
  SetRecordBeforeStart(*simulation.m_owner, simulation.m_now, false);
  simulation.RunFor(Milliseconds(100));
  CHECK(worker.m_running.size() == 2);
  CHECK_FALSE(AllStartsRecorded(*simulation.m_owner));
  simulation.m_store_is_down = false;
  simulation.RunFor(Milliseconds(100));
  CHECK(AllStartsRecorded(*simulation.m_owner));
}

// The next owner must not start a task again whose run was not recorded when
// the owner was lost.
TEST_CASE("an owner without complete records waits for all workers") {
  Simulation simulation;
  FakeWorker& unreachable = simulation.AddWorker("w1", "p", 8);
  simulation.RunFor(Milliseconds(100));
  REQUIRE(simulation.Submit(Simulation::MakeJob("job", "p", 2, Seconds(20))));
  simulation.m_store_is_down = true;
  SetRecordBeforeStart(*simulation.m_owner, simulation.m_now, false);
  simulation.RunFor(Milliseconds(200));
  REQUIRE(unreachable.m_running.size() == 2);
  simulation.AddWorker("w2", "p", 8);
  unreachable.m_is_unreachable = true;
  simulation.m_store_is_down = false;
  simulation.m_runs_are_recorded = false;
  simulation.TakeOver();
  simulation.RunFor(Seconds(40));
  CHECK(simulation.m_max_concurrent_runs == 1);
  CHECK(simulation.StateOfJob("job") == JobState::kCompleted);
}

// A new owner that finds an unrecorded run must record it; otherwise the owner
// after it starts the task again (flowline-batch-grown, trouble-3: two runs of
// one task).
TEST_CASE("an unrecorded run is recorded by the owner that finds it") {
  Simulation simulation;
  FakeWorker& worker = simulation.AddWorker("w1", "p", 8);
  simulation.RunFor(Milliseconds(100));
  REQUIRE(simulation.Submit(Simulation::MakeJob("job", "p", 2, Seconds(20))));
  simulation.m_store_is_down = true;
  SetRecordBeforeStart(*simulation.m_owner, simulation.m_now, false);
  simulation.RunFor(Milliseconds(200));
  REQUIRE(worker.m_running.size() == 2);
  simulation.m_store_is_down = false;
  simulation.m_runs_are_recorded = false;
  simulation.TakeOver();
  simulation.RunFor(Milliseconds(500));
  CHECK(AllStartsRecorded(*simulation.m_owner));
  simulation.AddWorker("w2", "p", 8);
  worker.m_is_unreachable = true;
  simulation.m_runs_are_recorded = true;
  simulation.TakeOver();
  simulation.RunFor(Seconds(40));
  CHECK(simulation.m_max_concurrent_runs == 1);
  CHECK(simulation.StateOfJob("job") == JobState::kCompleted);
}

// A task cancelled while its start waits for the store must not be started.
TEST_CASE("a waiting start is dropped when its job is cancelled") {
  Simulation simulation;
  FakeWorker& worker = simulation.AddWorker("w1", "p", 8);
  simulation.RunFor(Milliseconds(100));
  REQUIRE(simulation.Submit(Simulation::MakeJob("job", "p", 2, Seconds(2))));
  simulation.m_store_is_down = true;
  simulation.RunFor(Milliseconds(100));
  CancelJob(*simulation.m_owner, simulation.m_now, JobId("job"));
  simulation.m_store_is_down = false;
  simulation.RunFor(Seconds(3));
  CHECK(simulation.m_starts.empty());
  CHECK(worker.m_running.empty());
  CHECK(simulation.StateOfJob("job") == JobState::kCancelled);
}

// After a takeover, runs on unresponsive workers must count against the
// workspace's quota.
TEST_CASE("recorded runs on unresponsive workers count against the quota") {
  Simulation simulation;
  simulation.Configure([](DeploymentConfig& deployment) {
    WorkspaceConfig workspace;
    workspace.m_name = WorkspaceName("team");
    workspace.m_share_per_s = 100;
    workspace.m_quota.m_cpu = Millicores(8000);
    deployment.m_workspaces.push_back(workspace);
  });
  FakeWorker& unreachable = simulation.AddWorker("w1", "p", 8);
  JobSpec first = Simulation::MakeJob("first", "p", 6, Seconds(20));
  first.m_workspace = WorkspaceName("team");
  REQUIRE(simulation.Submit(first));
  simulation.RunFor(Milliseconds(500));
  FakeWorker& other = simulation.AddWorker("w2", "p", 8);
  JobSpec second = Simulation::MakeJob("second", "p", 6, Seconds(20));
  second.m_workspace = WorkspaceName("team");
  REQUIRE(simulation.Submit(second));
  unreachable.m_is_unreachable = true;
  simulation.TakeOver();
  simulation.RunFor(Seconds(2));
  CHECK(other.m_running.size() <= 2);
}

// Runs of a job that was cancelled just before a takeover still exist and must
// count against the workspace's quota.
TEST_CASE(
    "runs of a cancelled job count against the quota until they have ended") {
  Simulation simulation;
  simulation.Configure([](DeploymentConfig& deployment) {
    WorkspaceConfig workspace;
    workspace.m_name = WorkspaceName("team");
    workspace.m_share_per_s = 100;
    workspace.m_quota.m_cpu = Millicores(8000);
    deployment.m_workspaces.push_back(workspace);
  });
  FakeWorker& unreachable = simulation.AddWorker("w1", "p", 8);
  JobSpec first = Simulation::MakeJob("first", "p", 6, Seconds(20));
  first.m_workspace = WorkspaceName("team");
  REQUIRE(simulation.Submit(first));
  simulation.RunFor(Milliseconds(500));
  REQUIRE(unreachable.m_running.size() == 6);
  unreachable.m_is_unreachable = true;
  CancelJob(*simulation.m_owner, simulation.m_now, JobId("first"));
  simulation.RunFor(Milliseconds(100));
  FakeWorker& other = simulation.AddWorker("w2", "p", 8);
  JobSpec second = Simulation::MakeJob("second", "p", 6, Seconds(2));
  second.m_workspace = WorkspaceName("team");
  REQUIRE(simulation.Submit(second));
  simulation.TakeOver();
  simulation.RunFor(Seconds(1));
  CHECK(other.m_running.size() <= 2);
  unreachable.m_is_unreachable = false;
  simulation.RunFor(Seconds(1));
  CHECK(unreachable.m_running.empty());
  simulation.RunFor(Seconds(5));
  CHECK(simulation.StateOfJob("first") == JobState::kCancelled);
  CHECK(simulation.StateOfJob("second") == JobState::kCompleted);
}

// A final job's rows must be removed, but not while the next owner needs them.
TEST_CASE("a final job's rows are needed while it has runs") {
  Simulation simulation;
  simulation.AddWorker("w1", "p", 8);
  REQUIRE(simulation.Submit(Simulation::MakeJob("job", "p", 2, Seconds(20))));
  simulation.RunFor(Milliseconds(500));
  simulation.m_store_is_down = true;
  CancelJob(*simulation.m_owner, simulation.m_now, JobId("job"));
  auto writes = TakePendingWrites(*simulation.m_owner, simulation.m_now, 10);
  REQUIRE(writes.size() == 1);
  CHECK(writes[0].m_has_runs);
  HandleWriteCompleted(*simulation.m_owner, simulation.m_now, writes);
  simulation.RunFor(Seconds(1));
  writes = TakePendingWrites(*simulation.m_owner, simulation.m_now, 10);
  REQUIRE(writes.size() == 1);
  CHECK_FALSE(writes[0].m_has_runs);
}

}  // namespace
}  // namespace filbertspar::scheduler
