#include <catch2/catch.hpp>

#include "tests/scheduler_simulation.h"

namespace filbertspar::scheduler {
namespace {

/// A timed job whose occurrences are all overdue.
JobSpec MakeOverdueJob(const std::string& id, std::uint32_t occurrences,
                       std::uint32_t tasks) {
  JobSpec job = Simulation::MakeJob(id, "p", tasks, Milliseconds(100));
  job.m_occurrence_count = occurrences;
  job.m_first_due_ms = 0;
  job.m_interval = Milliseconds(1);
  return job;
}

std::size_t CountOpen(const Simulation& simulation, const std::string& id) {
  return simulation.m_owner->m_jobs.at(JobId(id))->m_occurrences.size();
}

// Guards against one accepted job that stops every owner in turn: 20,160
// overdue occurrences were opened at once, and each dispatch took the square of
// their number (review/1).
TEST_CASE("the open occurrences of an overdue job are bounded") {
  constexpr std::size_t kBound = 256;
  Simulation simulation;
  simulation.AddWorker("w1", "p", 16);
  simulation.AddWorker("w2", "other", 16);
  simulation.RunFor(Seconds(1));
  for (const std::uint32_t occurrences : {20'160U, 1'000'000U}) {
    const std::string id = std::to_string(occurrences);
    REQUIRE(simulation.Submit(MakeOverdueJob(id, occurrences, 1)));
    CHECK(CountOpen(simulation, id) <= kBound);
  }
  REQUIRE(simulation.Submit(MakeOverdueJob("wide", 1000, 500)));
  CHECK(CountOpen(simulation, "wide") * 500 <= kMaxTasksPerJob);
  REQUIRE(
      simulation.Submit(Simulation::MakeJob("sound", "other", 8, Seconds(1))));
  for (int i = 0; i < 30; ++i) {
    simulation.RunFor(Milliseconds(100));
    CHECK(CountOpen(simulation, "20160") <= kBound);
    CHECK(simulation.m_progress[JobId("20160")].size() < 16 << 10);
  }
  CHECK(simulation.StateOfJob("sound") == JobState::kCompleted);
  simulation.TakeOver();
  CHECK(CountOpen(simulation, "20160") <= kBound);
}

// Guards against occurrences that are never opened, or run twice, because
// others were open when they became due.
TEST_CASE("every overdue occurrence runs once, also across a take-over") {
  constexpr int kOccurrences = 700;
  Simulation simulation;
  simulation.AddWorker("w1", "p", 64);
  simulation.AddWorker("w2", "p", 64);
  simulation.RunFor(Seconds(1));
  REQUIRE(simulation.Submit(MakeOverdueJob("j", kOccurrences, 1)));
  simulation.RunFor(Milliseconds(400));
  simulation.TakeOver();
  simulation.RunFor(Seconds(20));
  CHECK(simulation.StateOfJob("j") == JobState::kCompleted);
  CHECK(simulation.m_starts.size() == kOccurrences);
  CHECK(simulation.m_max_concurrent_runs == 1);
  for (const auto& [task, starts] : simulation.m_starts) {
    REQUIRE(starts == 1);
  }
}

// Guards against an occurrence whose urgency follows from all the others.
TEST_CASE("the remaining path of an occurrence is its own") {
  Simulation simulation;
  simulation.AddWorker("w1", "p", 2);
  simulation.RunFor(Seconds(1));
  REQUIRE(simulation.Submit(MakeOverdueJob("j", 4, 1)));
  simulation.RunFor(Milliseconds(60));
  const Job& job = *simulation.m_owner->m_jobs.at(JobId("j"));
  REQUIRE(job.m_occurrences.size() == 4);
  const TimePoint now = simulation.m_now + Milliseconds(40);
  const Duration running = RemainingCriticalPath(*simulation.m_owner, now, job,
                                                 *job.m_occurrences.front());
  const Duration waiting = RemainingCriticalPath(*simulation.m_owner, now, job,
                                                 *job.m_occurrences.back());
  CHECK(running < waiting);
  CHECK(RemainingCriticalPath(*simulation.m_owner, now, job) == waiting);
}

// Guards against a step of many small tasks whose starts are all planned, and
// kept in memory, in one dispatch.
TEST_CASE("the starts of a wide step are spread over several dispatches") {
  constexpr std::uint32_t kTasks = 3000;
  constexpr std::size_t kMaxPlanned = 512;
  Simulation simulation;
  for (int i = 0; i < 20; ++i) {
    simulation.AddWorker("w" + std::to_string(i), "p", 64);
  }
  simulation.RunFor(Seconds(1));
  JobSpec job = Simulation::MakeJob("wide", "p", kTasks, Seconds(60), 10);
  job.m_steps[0].m_demand.m_memory = Megabytes(0);
  REQUIRE(simulation.Submit(job));
  Dispatch(*simulation.m_owner, simulation.m_now);
  CHECK(simulation.m_owner->m_planned_starts.size() <= kMaxPlanned);
  simulation.RunFor(Seconds(2));
  CHECK(simulation.m_starts.size() == kTasks);
}

// Guards against a gang whose start takes the square of its members.
TEST_CASE("a large gang starts, ends and frees its resources") {
  constexpr std::uint32_t kMembers = 1000;
  Simulation simulation;
  for (int i = 0; i < 4; ++i) {
    simulation.AddWorker("w" + std::to_string(i), "p", 64);
  }
  simulation.RunFor(Seconds(1));
  JobSpec job = Simulation::MakeJob("gang", "p", kMembers, Seconds(1), 1);
  job.m_steps[0].m_gang = true;
  job.m_steps[0].m_demand.m_memory = Megabytes(0);
  REQUIRE(simulation.Submit(job));
  simulation.RunFor(Milliseconds(100));
  CHECK(simulation.m_starts.size() == kMembers);
  simulation.RunFor(Seconds(2));
  CHECK(simulation.StateOfJob("gang") == JobState::kCompleted);
  for (const Worker& worker : simulation.m_owner->m_workers) {
    CHECK(worker.m_tasks.empty());
    CHECK(worker.m_used == ResourceVector());
  }
}

// Guards against accepted jobs that fill the owner's memory, and against a full
// memory that stays full.
TEST_CASE("jobs are refused while memory is full, and taken again later") {
  Simulation simulation;
  simulation.AddWorker("w1", "p", 64);
  simulation.m_owner->m_options.m_max_job_bytes = 20 << 20;
  simulation.RunFor(Seconds(1));
  WorkloadCache cache;
  const auto has_memory = [&](const JobSpec& job) {
    return HasMemoryFor(cache, *simulation.m_owner, simulation.m_now, job);
  };
  int accepted = 0;
  std::vector<std::string> ids;
  for (int i = 0; i < 100; ++i) {
    const std::string id = "j" + std::to_string(i);
    const JobSpec job =
        Simulation::MakeJob(id, "p", kMaxTasksPerJob, Duration(0), 100'000);
    if (!has_memory(job)) {
      break;
    }
    AddJob(*simulation.m_owner, simulation.m_now, job);
    simulation.m_jobs[job.m_id] = EncodeJob(job);
    ids.push_back(id);
    ++accepted;
  }
  CHECK(accepted > 0);
  CHECK(accepted < 10);
  for (const std::string& id : ids) {
    CancelJob(*simulation.m_owner, simulation.m_now, JobId(id));
  }
  simulation.RunFor(Seconds(12));
  TrimFinishedJobs(*simulation.m_owner, simulation.m_now);
  CHECK(has_memory(
      Simulation::MakeJob("next", "p", kMaxTasksPerJob, Duration(0))));
  CHECK(simulation.StateOfJob(ids.front()) == JobState::kCancelled);
}

}  // namespace
}  // namespace filbertspar::scheduler
