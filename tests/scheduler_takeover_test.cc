#include <catch2/catch.hpp>

#include "tests/scheduler_world.h"

namespace filbertspar::scheduler {
namespace {

// Guards against a task that a new owner starts again while the earlier
// owner's run of it goes on.
TEST_CASE("a new owner adopts what runs") {
  World world;
  world.AddWorker("w1", "p", 8);
  world.AddWorker("w2", "p", 8);
  REQUIRE(world.Submit(World::MakeJob("job", "p", 6, Seconds(2))));
  world.Run(Milliseconds(500));
  world.TakeOver();
  world.Run(Seconds(4));
  CHECK(world.m_most_copies == 1);
  CHECK(world.StateOfJob("job") == JobState::kCompleted);
  for (const auto& [task, starts] : world.m_starts) {
    CHECK(starts == 1);
  }
}

// Guards against a workspace above its ceiling because the new owner's process
// has just begun and has not read the configuration (soak, seed 142).
TEST_CASE("a new owner without a configuration starts nothing") {
  World world;
  world.Configure([](DeploymentConfig& deployment) {
    WorkspaceConfig workspace;
    workspace.m_name = WorkspaceName("team");
    workspace.m_share_per_s = 100;
    workspace.m_quota.m_cpu = Millicores(2000);
    deployment.m_workspaces.push_back(workspace);
  });
  FakeWorker& worker = world.AddWorker("w1", "p", 8);
  JobSpec job = World::MakeJob("job", "p", 6, Seconds(2));
  job.m_workspace = WorkspaceName("team");
  REQUIRE(world.Submit(job));
  world.TakeOver();
  const DeploymentConfigPtr deployment = world.m_owner->m_deployment;
  world.m_owner->m_deployment = nullptr;
  world.Run(Seconds(1));
  CHECK(worker.m_running.empty());
  world.m_owner->m_deployment = deployment;
  world.Run(Milliseconds(200));
  CHECK(worker.m_running.size() == 2);
}

// Guards against a task started elsewhere while it runs on a worker that the
// new owner cannot reach.
TEST_CASE("a new owner waits for the leases of workers it cannot reach") {
  World world;
  FakeWorker& cut = world.AddWorker("w1", "p", 8);
  REQUIRE(world.Submit(World::MakeJob("job", "p", 2, Seconds(20))));
  world.Run(Milliseconds(500));
  world.AddWorker("w2", "p", 8);
  world.Run(Milliseconds(100));
  cut.m_is_cut = true;
  world.TakeOver();
  world.Run(Seconds(40));
  CHECK(world.m_most_copies == 1);
  CHECK(world.StateOfJob("job") == JobState::kCompleted);
}

// Guards against a job that is lost, or run again, because its owner died
// after it ended and before that was stored.
TEST_CASE("an end that was not stored is read again by the new owner") {
  World world;
  world.AddWorker("w1", "p", 8);
  REQUIRE(world.Submit(World::MakeJob("job", "p", 3, Milliseconds(300))));
  world.Run(Milliseconds(100));
  world.m_store_is_down = true;
  world.Run(Seconds(1));
  CHECK(world.StateOfJob("job") == JobState::kRunning);
  world.TakeOver();
  world.m_store_is_down = false;
  world.Run(Seconds(1));
  CHECK(world.StateOfJob("job") == JobState::kCompleted);
  for (const auto& [task, starts] : world.m_starts) {
    CHECK(starts == 1);
  }
}

// Guards against more failed runs than the queue allows, when a new owner
// reads the failures of one task from two workers in either order.
TEST_CASE("failures that were not stored count whatever their order") {
  for (const bool newest_first : {false, true}) {
    World world;
    FakeWorker& first = world.AddWorker("w1", "p", 8);
    FakeWorker& second = world.AddWorker("w2", "p", 8);
    REQUIRE(world.Submit(World::MakeJob("job", "p", 1, Seconds(1))));
    const TaskId task{JobId("job")};
    FinishedRun failed;
    failed.m_task = task;
    failed.m_outcome = RunOutcome::kFailed;
    failed.m_number = 1;
    failed.m_run = RunNumber(newest_first ? 2 : 1);
    first.m_ends.push_back(failed);
    failed.m_run = RunNumber(newest_first ? 1 : 2);
    second.m_ends.push_back(failed);
    first.m_next_end = second.m_next_end = 2;
    world.TakeOver();
    world.Run(Seconds(1));
    CHECK(world.StateOfJob("job") == JobState::kFailed);
    CHECK(world.m_starts.empty());
  }
}

// Guards against two tasks of a guarded step that are away at a time, because
// a stop that the earlier owner ordered has not ended its task yet.
TEST_CASE("a new owner takes nothing away before earlier stops have ended") {
  World world;
  world.AddWorker("w1", "p", 8);
  world.AddWorker("w2", "p", 8);
  world.AddWorker("w3", "p", 8);
  world.m_stop_time = Milliseconds(900);
  JobSpec job = World::MakeJob("job", "p", 2, Seconds(1));
  job.m_steps[0].m_long_running = true;
  job.m_steps[0].m_max_per_worker = 1;
  job.m_steps[0].m_max_unavailable = 1;
  REQUIRE(world.Submit(job));
  world.Run(Seconds(1));
  // The earlier owner's order; the worker still lists the task as running.
  for (const auto& worker : world.m_workers) {
    if (!worker->m_running.empty()) {
      worker->m_running.begin()->second.m_ends_at =
          world.m_now + world.m_stop_time;
      worker->m_running.begin()->second.m_kind = RunOutcome::kStopped;
      break;
    }
  }
  world.TakeOver();
  world.Run(Milliseconds(100));
  for (Worker& worker : world.m_owner->m_workers) {
    worker.m_cordoned = true;
  }
  world.m_owner->m_workers[2].m_cordoned = false;
  for (int i = 0; i < 40; ++i) {
    world.Run(Milliseconds(20));
    std::size_t stopping = 0;
    for (const auto& worker : world.m_workers) {
      for (const auto& [task, run] : worker->m_running) {
        stopping += run.m_kind == RunOutcome::kStopped;
      }
    }
    CHECK(stopping <= 1);
  }
}

}  // namespace
}  // namespace filbertspar::scheduler
