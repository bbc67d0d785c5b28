#include <catch2/catch.hpp>

#include "tests/scheduler_simulation.h"

namespace filbertspar::scheduler {
namespace {

// Guards against a successor that lets all inherited work wait for one worker
// that does not answer: only that worker's tasks have to.
TEST_CASE("work that was never started does not wait for a silent worker") {
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

// Guards against a start that reaches its worker before a successor could know
// of it: the second worker is unreachable, the run on it was never stored.
TEST_CASE("a start is ordered only once the store lists it") {
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

// Guards against work that stands still for as long as the store is away, and
// against a list that is said to be complete while it is not.
TEST_CASE("starts that the store cannot list are ordered and said so") {
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

// Guards against a run that a successor starts again because the list was
// incomplete when the owner was lost.
TEST_CASE("a successor that cannot rely on the list waits for all workers") {
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

// Guards against a run that a second successor starts again, because the first
// one found it on its worker and never listed it (flowline-batch-grown,
// trouble-3: two runs of one task).
TEST_CASE("a run that was found unlisted is listed by the one who found it") {
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

// Guards against a task that is started although it was cancelled while its
// start waited for the store.
TEST_CASE("a start that waits is dropped when its job is cancelled") {
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

// Guards against a workspace that exceeds its ceiling after a take-over,
// because runs on silent workers were not counted.
TEST_CASE("listed runs on silent workers count against the ceiling") {
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

// Guards against a workspace that exceeds its ceiling because its job was
// cancelled just before the owner was lost, and still runs.
TEST_CASE("runs of a cancelled job count until they have ended") {
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

// Guards against rows of a final job that are never removed, or removed while a
// successor needs them.
TEST_CASE("a final job's rows are needed while it has runs") {
  Simulation simulation;
  simulation.AddWorker("w1", "p", 8);
  REQUIRE(simulation.Submit(Simulation::MakeJob("job", "p", 2, Seconds(20))));
  simulation.RunFor(Milliseconds(500));
  simulation.m_store_is_down = true;
  CancelJob(*simulation.m_owner, simulation.m_now, JobId("job"));
  auto writes = TakePendingWrites(*simulation.m_owner, 10);
  REQUIRE(writes.size() == 1);
  CHECK(writes[0].m_has_runs);
  HandleWriteCompleted(*simulation.m_owner, simulation.m_now, writes);
  simulation.RunFor(Seconds(1));
  writes = TakePendingWrites(*simulation.m_owner, 10);
  REQUIRE(writes.size() == 1);
  CHECK_FALSE(writes[0].m_has_runs);
}

}  // namespace
}  // namespace filbertspar::scheduler
