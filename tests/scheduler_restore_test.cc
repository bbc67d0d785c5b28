#include <catch2/catch.hpp>
#include <random>

#include "tests/scheduler_simulation.h"

namespace filbertspar::scheduler {
namespace {

std::string RandomBytes(std::mt19937& random, std::size_t most) {
  std::string bytes(random() % (most + 1), '\0');
  for (char& byte : bytes) {
    byte = static_cast<char>(random() % 256);
  }
  return bytes;
}

TaskProgress RandomTask(std::mt19937& random) {
  TaskProgress task;
  task.m_index = random() % 12;
  for (std::uint32_t i = random() % 4; i > 0; --i) {
    task.m_failed_runs.push_back(random() % 5000);
  }
  task.m_checkpoint = random() % 3 == 0 ? "c" : "";
  task.m_worker = random() % 2 == 0 ? "w" + std::to_string(random() % 6) : "";
  for (std::uint32_t i = random() % 4; i > 0; --i) {
    task.m_crashes.push_back({random() % 5000,
                              "w" + std::to_string(random() % 6),
                              static_cast<std::uint32_t>(random()),
                              random() % 2 == 0, random() % 2 == 0});
  }
  return task;
}

/// Progress that can be decoded and need not fit its job.
JobProgress RandomProgress(std::mt19937& random) {
  JobProgress progress;
  progress.m_state = static_cast<JobState>(random() % 5);
  progress.m_ended_ms = static_cast<std::int64_t>(random());
  progress.m_next_occurrence = random() % 4;
  for (std::uint32_t o = random() % 4; o > 0; --o) {
    OccurrenceProgress occurrence;
    occurrence.m_number = random() % 4;
    for (std::uint32_t s = random() % 4; s > 0; --s) {
      StepProgress step;
      step.m_done = RandomBytes(random, 3);
      for (std::uint32_t t = random() % 4; t > 0; --t) {
        step.m_tasks.push_back(RandomTask(random));
      }
      occurrence.m_steps.push_back(std::move(step));
    }
    progress.m_occurrences.push_back(std::move(occurrence));
  }
  return progress;
}

// Guards against a row that stops the VM which reads it, and then the next one
// that takes over.
TEST_CASE("progress that does not fit its job stops no owner") {
  for (std::uint32_t seed = 1; seed <= 300; ++seed) {
    INFO("seed " << seed);
    std::mt19937 random(seed);
    Simulation simulation;
    for (int i = 0; i < 4; ++i) {
      simulation.AddWorker("w" + std::to_string(i), "p", 32);
    }
    for (int i = 0; i < 5; ++i) {
      const std::string id = "bad" + std::to_string(i);
      JobSpec job =
          Simulation::MakeJob(id, "p", 1 + random() % 6, Milliseconds(300));
      job.m_steps.push_back(job.m_steps.front());
      job.m_steps.back().m_depends_on = {0};
      job.m_steps[0].m_gang = random() % 3 == 0;
      job.m_steps[0].m_long_running = random() % 4 == 0;
      job.m_occurrence_count = random() % 3;
      job.m_interval = Milliseconds(500);
      simulation.m_jobs[job.m_id] = EncodeJob(job);
      simulation.m_progress[job.m_id] = EncodeProgress(RandomProgress(random));
    }
    simulation.TakeOver();
    REQUIRE(simulation.Submit(Simulation::MakeJob("good", "p", 2, Seconds(1))));
    simulation.RunFor(Seconds(9));
    CHECK(simulation.StateOfJob("good") == JobState::kCompleted);
    simulation.TakeOver();
    simulation.RunFor(Seconds(1));
  }
}

// Guards against a cancelled job that runs again: its state was forgotten while
// its row was still stored.
TEST_CASE("a job that ended before a take-over is not run again") {
  Simulation simulation;
  FakeWorker& worker = simulation.AddWorker("w1", "p", 8);
  simulation.AddWorker("w2", "p", 8);
  simulation.RunFor(Milliseconds(100));
  const JobId id("job");
  REQUIRE(simulation.Submit(Simulation::MakeJob("job", "p", 12, Seconds(20))));
  simulation.RunFor(Milliseconds(200));
  worker.m_is_unreachable = true;
  CancelJob(*simulation.m_owner, simulation.m_now, id);
  simulation.RunFor(Milliseconds(200));
  REQUIRE(simulation.StateOfJob("job") == JobState::kCancelled);
  simulation.m_owner->m_options.m_state_retention = Milliseconds(500);
  simulation.TakeOver();
  for (int i = 0; i < 100; ++i) {
    simulation.RunFor(Milliseconds(100));
    simulation.RemoveExpired();
  }
  REQUIRE_FALSE(ReportedState(*simulation.m_owner, id));
  const std::map<TaskId, int> starts = simulation.m_starts;
  simulation.TakeOver();
  simulation.RunFor(Seconds(8));
  CHECK_FALSE(ReportedState(*simulation.m_owner, id));
  CHECK(simulation.m_starts == starts);
}

// Guards against an occurrence that is used after it has ended: its row said
// that only the last member of a gang is done.
TEST_CASE("a gang of which one member is done ends once") {
  Simulation simulation;
  FakeWorker& worker = simulation.AddWorker("w1", "p", 8);
  JobSpec job = Simulation::MakeJob("job", "p", 3, Milliseconds(300));
  job.m_steps[0].m_gang = true;
  job.m_occurrence_count = 2;
  simulation.m_jobs[job.m_id] = EncodeJob(job);
  OccurrenceProgress occurrence;
  occurrence.m_steps.emplace_back().m_done = std::string(1, '\x04');
  JobProgress progress;
  progress.m_next_occurrence = 1;
  progress.m_occurrences.push_back(occurrence);
  simulation.m_progress[job.m_id] = EncodeProgress(progress);
  worker.m_finished.push_back(
      {1, TaskId{job.m_id}, RunNumber(1), RunOutcome::kDone, ""});
  worker.m_next_finished_number = 2;
  simulation.TakeOver();
  simulation.RunFor(Seconds(9));
  CHECK(simulation.StateOfJob("job") == JobState::kCompleted);
}

}  // namespace
}  // namespace filbertspar::scheduler
