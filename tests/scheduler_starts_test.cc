#include <catch2/catch.hpp>

#include "tests/scheduler_world.h"

namespace filbertspar::scheduler {
namespace {

// Guards against a successor that lets all inherited work wait for one worker
// that does not answer: only that worker's tasks have to.
TEST_CASE("work that was never started does not wait for a silent worker") {
  World world;
  FakeWorker& cut = world.AddWorker("w1", "p", 8);
  REQUIRE(world.Submit(World::MakeJob("running", "p", 8, Seconds(20))));
  world.Run(Milliseconds(500));
  world.AddWorker("w2", "p", 8);
  for (int i = 0; i < 4; ++i) {
    JobSpec job =
        World::MakeJob("queued" + std::to_string(i), "p", 8, Seconds(1));
    job.m_policy.m_target = Seconds(60);
    REQUIRE(world.Submit(job));
  }
  world.Run(Milliseconds(100));
  cut.m_is_cut = true;
  world.TakeOver();
  world.Run(Seconds(4) + Milliseconds(500));
  for (int i = 0; i < 4; ++i) {
    CHECK(world.StateOfJob("queued" + std::to_string(i)) ==
          JobState::kCompleted);
  }
  world.Run(Seconds(30));
  CHECK(world.m_most_copies == 1);
  CHECK(world.StateOfJob("running") == JobState::kCompleted);
}

// Guards against a start that reaches its worker before a successor could know
// of it: the second worker is unreachable, the run on it was never stored.
TEST_CASE("a start is ordered only once the store lists it") {
  World world;
  FakeWorker& worker = world.AddWorker("w1", "p", 8);
  world.Run(Milliseconds(100));
  REQUIRE(world.Submit(World::MakeJob("job", "p", 2, Seconds(2))));
  world.m_store_is_down = true;
  world.Run(Seconds(1));
  CHECK(worker.m_running.empty());
  CHECK(AllStartsRecorded(*world.m_owner));
  world.m_store_is_down = false;
  world.Run(Milliseconds(100));
  CHECK(worker.m_running.size() == 2);
}

// Guards against work that stands still for as long as the store is away, and
// against a list that is said to be complete while it is not.
TEST_CASE("starts that the store cannot list are ordered and said so") {
  World world;
  FakeWorker& worker = world.AddWorker("w1", "p", 8);
  world.Run(Milliseconds(100));
  REQUIRE(world.Submit(World::MakeJob("job", "p", 2, Seconds(2))));
  world.m_store_is_down = true;
  world.Run(Milliseconds(500));
  SetRecordBeforeStart(*world.m_owner, world.m_now, false);
  world.Run(Milliseconds(100));
  CHECK(worker.m_running.size() == 2);
  CHECK_FALSE(AllStartsRecorded(*world.m_owner));
  world.m_store_is_down = false;
  world.Run(Milliseconds(100));
  CHECK(AllStartsRecorded(*world.m_owner));
}

// Guards against a run that a successor starts again because the list was
// incomplete when the owner was lost.
TEST_CASE("a successor that cannot rely on the list waits for all workers") {
  World world;
  FakeWorker& cut = world.AddWorker("w1", "p", 8);
  world.Run(Milliseconds(100));
  REQUIRE(world.Submit(World::MakeJob("job", "p", 2, Seconds(20))));
  world.m_store_is_down = true;
  SetRecordBeforeStart(*world.m_owner, world.m_now, false);
  world.Run(Milliseconds(200));
  REQUIRE(cut.m_running.size() == 2);
  world.AddWorker("w2", "p", 8);
  cut.m_is_cut = true;
  world.m_store_is_down = false;
  world.m_lists_starts = false;
  world.TakeOver();
  world.Run(Seconds(40));
  CHECK(world.m_most_copies == 1);
  CHECK(world.StateOfJob("job") == JobState::kCompleted);
}

// Guards against a run that a second successor starts again, because the first
// one found it on its worker and never listed it (flowline-batch-grown,
// trouble-3: two runs of one task).
TEST_CASE("a run that was found unlisted is listed by the one who found it") {
  World world;
  FakeWorker& worker = world.AddWorker("w1", "p", 8);
  world.Run(Milliseconds(100));
  REQUIRE(world.Submit(World::MakeJob("job", "p", 2, Seconds(20))));
  world.m_store_is_down = true;
  SetRecordBeforeStart(*world.m_owner, world.m_now, false);
  world.Run(Milliseconds(200));
  REQUIRE(worker.m_running.size() == 2);
  world.m_store_is_down = false;
  world.m_lists_starts = false;
  world.TakeOver();
  world.Run(Milliseconds(500));
  CHECK(AllStartsRecorded(*world.m_owner));
  world.AddWorker("w2", "p", 8);
  worker.m_is_cut = true;
  world.m_lists_starts = true;
  world.TakeOver();
  world.Run(Seconds(40));
  CHECK(world.m_most_copies == 1);
  CHECK(world.StateOfJob("job") == JobState::kCompleted);
}

// Guards against a task that is started although it was cancelled while its
// start waited for the store.
TEST_CASE("a start that waits is dropped when its job is cancelled") {
  World world;
  FakeWorker& worker = world.AddWorker("w1", "p", 8);
  world.Run(Milliseconds(100));
  REQUIRE(world.Submit(World::MakeJob("job", "p", 2, Seconds(2))));
  world.m_store_is_down = true;
  world.Run(Milliseconds(100));
  CancelJob(*world.m_owner, world.m_now, JobId("job"));
  world.m_store_is_down = false;
  world.Run(Seconds(3));
  CHECK(world.m_starts.empty());
  CHECK(worker.m_running.empty());
  CHECK(world.StateOfJob("job") == JobState::kCancelled);
}

// Guards against a workspace that exceeds its ceiling after a take-over,
// because runs on silent workers were not counted.
TEST_CASE("listed runs on silent workers count against the ceiling") {
  World world;
  world.Configure([](DeploymentConfig& deployment) {
    WorkspaceConfig workspace;
    workspace.m_name = WorkspaceName("team");
    workspace.m_share_per_s = 100;
    workspace.m_quota.m_cpu = Millicores(8000);
    deployment.m_workspaces.push_back(workspace);
  });
  FakeWorker& cut = world.AddWorker("w1", "p", 8);
  JobSpec first = World::MakeJob("first", "p", 6, Seconds(20));
  first.m_workspace = WorkspaceName("team");
  REQUIRE(world.Submit(first));
  world.Run(Milliseconds(500));
  FakeWorker& other = world.AddWorker("w2", "p", 8);
  JobSpec second = World::MakeJob("second", "p", 6, Seconds(20));
  second.m_workspace = WorkspaceName("team");
  REQUIRE(world.Submit(second));
  cut.m_is_cut = true;
  world.TakeOver();
  world.Run(Seconds(2));
  CHECK(other.m_running.size() <= 2);
}

// Guards against a workspace that exceeds its ceiling because its job was
// cancelled just before the owner was lost, and still runs.
TEST_CASE("runs of a cancelled job count until they have ended") {
  World world;
  world.Configure([](DeploymentConfig& deployment) {
    WorkspaceConfig workspace;
    workspace.m_name = WorkspaceName("team");
    workspace.m_share_per_s = 100;
    workspace.m_quota.m_cpu = Millicores(8000);
    deployment.m_workspaces.push_back(workspace);
  });
  FakeWorker& cut = world.AddWorker("w1", "p", 8);
  JobSpec first = World::MakeJob("first", "p", 6, Seconds(20));
  first.m_workspace = WorkspaceName("team");
  REQUIRE(world.Submit(first));
  world.Run(Milliseconds(500));
  REQUIRE(cut.m_running.size() == 6);
  cut.m_is_cut = true;
  CancelJob(*world.m_owner, world.m_now, JobId("first"));
  world.Run(Milliseconds(100));
  FakeWorker& other = world.AddWorker("w2", "p", 8);
  JobSpec second = World::MakeJob("second", "p", 6, Seconds(2));
  second.m_workspace = WorkspaceName("team");
  REQUIRE(world.Submit(second));
  world.TakeOver();
  world.Run(Seconds(1));
  CHECK(other.m_running.size() <= 2);
  cut.m_is_cut = false;
  world.Run(Seconds(1));
  CHECK(cut.m_running.empty());
  world.Run(Seconds(5));
  CHECK(world.StateOfJob("first") == JobState::kCancelled);
  CHECK(world.StateOfJob("second") == JobState::kCompleted);
}

// Guards against rows of a final job that are never removed, or removed while a
// successor needs them.
TEST_CASE("a final job's rows are needed while it has runs") {
  World world;
  world.AddWorker("w1", "p", 8);
  REQUIRE(world.Submit(World::MakeJob("job", "p", 2, Seconds(20))));
  world.Run(Milliseconds(500));
  world.m_store_is_down = true;
  CancelJob(*world.m_owner, world.m_now, JobId("job"));
  auto writes = TakePendingWrites(*world.m_owner, 10);
  REQUIRE(writes.size() == 1);
  CHECK(writes[0].m_has_runs);
  HandleWriteCompleted(*world.m_owner, world.m_now, writes);
  world.Run(Seconds(1));
  writes = TakePendingWrites(*world.m_owner, 10);
  REQUIRE(writes.size() == 1);
  CHECK_FALSE(writes[0].m_has_runs);
}

}  // namespace
}  // namespace filbertspar::scheduler
