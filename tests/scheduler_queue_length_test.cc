#include <catch2/catch.hpp>
#include <random>

#include "tests/scheduler_simulation.h"

namespace filbertspar::scheduler {
namespace {

std::int64_t QueuedJobs(const Simulation& simulation) {
  return CountQueuedJobs(*simulation.m_owner, QueueName("q-p"));
}

// Guards against a queue that is reported as empty while its jobs wait for the
// store to record their starts.
TEST_CASE("a job is queued until a worker has begun one of its tasks") {
  Simulation simulation;
  simulation.AddWorker("w1", "p", 8);
  simulation.RunFor(Milliseconds(100));
  simulation.m_store_is_down = true;
  REQUIRE(simulation.Submit(Simulation::MakeJob("job", "p", 4, Seconds(2))));
  simulation.RunFor(Seconds(1));
  REQUIRE(simulation.m_starts.empty());
  CHECK(QueuedJobs(simulation) == 1);
  CHECK(simulation.StateOfJob("job") == JobState::kQueued);
  simulation.m_store_is_down = false;
  simulation.RunFor(Milliseconds(100));
  REQUIRE_FALSE(simulation.m_starts.empty());
  CHECK(QueuedJobs(simulation) == 0);
  CHECK(simulation.StateOfJob("job") == JobState::kRunning);
}

// Guards against a start that was refused and still counts.
TEST_CASE("a job whose starts were all rejected is queued") {
  Simulation simulation;
  FakeWorker& worker = simulation.AddWorker("w1", "p", 8);
  simulation.RunFor(Milliseconds(100));
  worker.m_rejects_starts = true;
  REQUIRE(simulation.Submit(Simulation::MakeJob("job", "p", 4, Seconds(2))));
  simulation.RunFor(Seconds(6));
  REQUIRE(simulation.m_starts.empty());
  CHECK(QueuedJobs(simulation) == 1);
  CHECK(simulation.StateOfJob("job") == JobState::kQueued);
  worker.m_rejects_starts = false;
  simulation.RunFor(Seconds(1));
  CHECK(QueuedJobs(simulation) == 0);
}

// Guards against a new owner that takes a recorded start for a run.
TEST_CASE("a start that was recorded and never sent leaves its job queued") {
  Simulation simulation;
  FakeWorker& worker = simulation.AddWorker("w1", "p", 8);
  simulation.RunFor(Milliseconds(100));
  worker.m_rejects_starts = true;
  REQUIRE(simulation.Submit(Simulation::MakeJob("job", "p", 4, Seconds(2))));
  simulation.RunFor(Milliseconds(100));
  simulation.TakeOver();
  CHECK(QueuedJobs(simulation) == 1);
  simulation.RunFor(Seconds(1));
  REQUIRE(simulation.m_starts.empty());
  CHECK(QueuedJobs(simulation) == 1);
}

// Guards against a new owner that reports as queued what has begun.
TEST_CASE("jobs that have begun are not queued for the next owner") {
  Simulation simulation;
  FakeWorker& lost = simulation.AddWorker("w1", "p", 2);
  JobSpec job = Simulation::MakeJob("advanced", "p", 2, Milliseconds(500));
  job.m_steps.push_back(job.m_steps.front());
  job.m_steps.back().m_estimate = Seconds(10);
  job.m_steps.back().m_depends_on = {0};
  REQUIRE(simulation.Submit(job));
  simulation.RunFor(Seconds(1));
  simulation.AddWorker("w2", "p", 2);
  simulation.RunFor(Milliseconds(100));
  REQUIRE(simulation.Submit(Simulation::MakeJob("young", "p", 2, Seconds(9))));
  simulation.RunFor(Milliseconds(100));
  REQUIRE(simulation.StateOfJob("young") == JobState::kRunning);
  simulation.PowerOff(lost);
  simulation.TakeOver();
  CHECK(simulation.StateOfJob("advanced") == JobState::kRunning);
  simulation.RunFor(Milliseconds(100));
  CHECK(simulation.StateOfJob("young") == JobState::kRunning);
  CHECK(QueuedJobs(simulation) == 0);
}

// Guards against a queue that is shorter by a cancel that may yet be undone.
TEST_CASE("a job whose cancel is not stored is queued") {
  Simulation simulation;
  simulation.RunFor(Milliseconds(100));
  REQUIRE(simulation.Submit(Simulation::MakeJob("job", "p", 4, Seconds(2))));
  simulation.RunFor(Milliseconds(100));
  simulation.m_store_is_down = true;
  CancelJob(*simulation.m_owner, simulation.m_now, JobId("job"));
  simulation.RunFor(Milliseconds(100));
  CHECK(simulation.StateOfJob("job") == JobState::kQueued);
  CHECK(QueuedJobs(simulation) == 1);
  simulation.m_store_is_down = false;
  simulation.RunFor(Milliseconds(100));
  CHECK(simulation.StateOfJob("job") == JobState::kCancelled);
  CHECK(QueuedJobs(simulation) == 0);
}

// Guards against any order of faults after which a queue is reported as shorter
// than it is.
TEST_CASE("a queue is never reported as shorter than it is") {
  const std::uint64_t seed = GENERATE(range(1, 21));
  CAPTURE(seed);
  std::mt19937_64 random(seed);
  const auto chance = [&random](int percent) {
    return static_cast<int>(random() % 100) < percent;
  };
  Simulation simulation;
  for (int i = 0; i < 4; ++i) {
    simulation.AddWorker("w" + std::to_string(i), "p", 8);
  }
  int submitted = 0;
  for (int step = 0; step < 600; ++step) {
    if (chance(10)) {
      simulation.Submit(Simulation::MakeJob("job" + std::to_string(submitted++),
                                            "p", 6, Milliseconds(800)));
    }
    if (chance(3)) {
      simulation.m_store_is_down = !simulation.m_store_is_down;
    }
    if (chance(4)) {
      FakeWorker& worker =
          *simulation.m_workers[random() % simulation.m_workers.size()];
      switch (random() % 4) {
        case 0:
          worker.m_rejects_starts = !worker.m_rejects_starts;
          break;
        case 1:
          worker.m_refuses = !worker.m_refuses;
          break;
        case 2:
          worker.m_drops_responses = !worker.m_drops_responses;
          break;
        default:
          simulation.Crash(worker);
      }
    }
    if (chance(1)) {
      simulation.TakeOver();
    }
    simulation.RunFor(Milliseconds(20));
    std::set<JobId> begun;
    for (const auto& [task, starts] : simulation.m_starts) {
      begun.insert(task.m_job);
    }
    const auto waiting =
        static_cast<std::int64_t>(simulation.m_jobs.size() - begun.size());
    REQUIRE(QueuedJobs(simulation) >= waiting);
    for (const auto& [id, row] : simulation.m_jobs) {
      const std::optional<JobState> state =
          ReportedState(*simulation.m_owner, id);
      REQUIRE(state);
      REQUIRE((begun.contains(id) || *state == JobState::kQueued));
    }
  }
}

}  // namespace
}  // namespace filbertspar::scheduler
