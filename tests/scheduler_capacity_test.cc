#include <catch2/catch.hpp>
#include <random>

#include "tests/scheduler_simulation.h"

namespace filbertspar::scheduler {
namespace {

// Guards against a start that was planned before the capacity shrank.
TEST_CASE("a worker whose capacity shrinks gets no start until it fits") {
  Simulation simulation;
  FakeWorker& worker = simulation.AddWorker("w1", "p", 8);
  REQUIRE(simulation.Submit(Simulation::MakeJob("first", "p", 4, Seconds(2))));
  simulation.RunFor(Milliseconds(500));
  REQUIRE(worker.m_running.size() == 4);
  REQUIRE(simulation.Submit(Simulation::MakeJob("next", "p", 4, Seconds(1))));
  Dispatch(*simulation.m_owner, simulation.m_now);
  simulation.SetCapacity(worker, 3);
  simulation.RunFor(Milliseconds(1300));
  CHECK(worker.m_running.size() == 4);
  simulation.RunFor(Seconds(1));
  CHECK(worker.m_running.size() == 3);
  CHECK(simulation.m_starts_over_capacity == 0);
  simulation.SetCapacity(worker, 8);
  simulation.RunFor(Seconds(3));
  CHECK(simulation.StateOfJob("next") == JobState::kCompleted);
}

// Guards against room that is counted as free while what fills it is stopped.
TEST_CASE("runs that are being stopped count against the capacity") {
  Simulation simulation;
  simulation.m_stop_time = Seconds(2);
  FakeWorker& worker = simulation.AddWorker("w1", "p", 4);
  REQUIRE(simulation.Submit(Simulation::MakeJob("old", "p", 4, Seconds(60))));
  simulation.RunFor(Milliseconds(500));
  CancelJob(*simulation.m_owner, simulation.m_now, JobId("old"));
  REQUIRE(simulation.Submit(Simulation::MakeJob("new", "p", 4, Seconds(1))));
  simulation.RunFor(Seconds(1));
  CHECK(worker.m_running.size() == 4);
  CHECK(simulation.m_starts.count(TaskId{JobId("new")}) == 0);
  simulation.RunFor(Seconds(4));
  CHECK(simulation.StateOfJob("new") == JobState::kCompleted);
  CHECK(simulation.m_starts_over_capacity == 0);
}

// Guards against room that a run takes which its owner did not place there.
TEST_CASE("an unwanted run counts against the capacity until it has ended") {
  Simulation simulation;
  simulation.m_stop_time = Seconds(2);
  FakeWorker& worker = simulation.AddWorker("w1", "p", 4);
  REQUIRE(simulation.Submit(Simulation::MakeJob("job", "p", 2, Seconds(1))));
  simulation.RunFor(Seconds(2));
  REQUIRE(simulation.StateOfJob("job") == JobState::kCompleted);
  FakeWorker::Run run;
  run.m_run = 9;
  run.m_ends_at = TimePoint::max();
  worker.m_running[TaskId{JobId("job")}] = run;
  worker.m_running[TaskId{JobId("job"), 0, 0, 1}] = run;
  simulation.RunFor(Milliseconds(100));
  REQUIRE(simulation.Submit(Simulation::MakeJob("next", "p", 4, Seconds(1))));
  simulation.RunFor(Seconds(1));
  CHECK(worker.m_running.size() == 4);
  simulation.RunFor(Seconds(4));
  CHECK(simulation.StateOfJob("next") == JobState::kCompleted);
  CHECK(simulation.m_starts_over_capacity == 0);
}

// Guards against members that wait for those whose worker has shrunk.
TEST_CASE("a gang is not started in part when a capacity shrinks") {
  Simulation simulation;
  simulation.AddWorker("w1", "p", 4);
  FakeWorker& shrinking = simulation.AddWorker("w2", "p", 4);
  simulation.RunFor(Milliseconds(100));
  JobSpec job = Simulation::MakeJob("gang", "p", 8, Seconds(1));
  job.m_steps[0].m_gang = true;
  REQUIRE(simulation.Submit(job));
  Dispatch(*simulation.m_owner, simulation.m_now);
  simulation.SetCapacity(shrinking, 3);
  simulation.RunFor(Seconds(1));
  CHECK(simulation.m_starts.empty());
  simulation.SetCapacity(shrinking, 4);
  simulation.RunFor(Seconds(3));
  CHECK(simulation.StateOfJob("gang") == JobState::kCompleted);
}

// Guards against any start beyond a capacity that changes while owners, workers
// and jobs come and go.
TEST_CASE("no start exceeds a changing capacity, for any seed") {
  for (std::uint32_t seed = 1; seed <= 30; ++seed) {
    std::mt19937 random(seed);
    const auto pick = [&random](std::uint32_t count) {
      return std::uniform_int_distribution<std::uint32_t>(0, count - 1)(random);
    };
    Simulation simulation;
    for (int i = 0; i < 4; ++i) {
      simulation.AddWorker("w" + std::to_string(i), "p", 8);
    }
    for (int i = 0; i < 100; ++i) {
      const std::string id = "job" + std::to_string(i);
      JobSpec job =
          Simulation::MakeJob(id, "p", 1 + pick(6), Milliseconds(800));
      job.m_steps[0].m_gang = pick(5) == 0;
      job.m_steps[0].m_best_effort = pick(10) == 0;
      simulation.Submit(job);
      simulation.RunFor(Milliseconds(20 * pick(15)));
      if (pick(3) == 0) {
        Dispatch(*simulation.m_owner, simulation.m_now);
        FakeWorker& worker = *simulation.m_workers[pick(4)];
        simulation.SetCapacity(worker, 1 + pick(8));
      }
      if (pick(6) == 0) {
        CancelJob(*simulation.m_owner, simulation.m_now,
                  JobId("job" + std::to_string(pick(i + 1))));
      }
      if (pick(12) == 0) {
        FakeWorker& worker = *simulation.m_workers[pick(4)];
        worker.m_is_unreachable = !worker.m_is_unreachable;
      }
      if (pick(30) == 0) {
        simulation.TakeOver();
      }
    }
    INFO("seed " << seed);
    CHECK(simulation.m_starts_over_capacity == 0);
    for (const auto& worker : simulation.m_workers) {
      worker->m_is_unreachable = false;
      simulation.SetCapacity(*worker, 8);
    }
    simulation.RunFor(Seconds(20));
    CHECK(simulation.m_starts_over_capacity == 0);
    for (const auto& [id, row] : simulation.m_jobs) {
      INFO(id.Value());
      CHECK(IsFinal(simulation.StateOfJob(id.Value())));
    }
  }
}

}  // namespace
}  // namespace filbertspar::scheduler
