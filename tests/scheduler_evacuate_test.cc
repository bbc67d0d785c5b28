#include <catch2/catch.hpp>

#include "tests/scheduler_simulation.h"

namespace filbertspar::scheduler {
namespace {

JobSpec JobWithMaxUnavailable(std::uint32_t tasks) {
  JobSpec job = Simulation::MakeJob("guarded", "p", tasks, Seconds(1));
  job.m_steps[0].m_long_running = true;
  job.m_steps[0].m_max_per_worker = 1;
  job.m_steps[0].m_max_unavailable = 1;
  return job;
}

std::size_t CountRunningTasks(const Simulation& simulation) {
  std::size_t running = 0;
  for (const auto& worker : simulation.m_workers) {
    for (const auto& [task, run] : worker->m_running) {
      running += run.m_outcome != RunOutcome::kStopped;
    }
  }
  return running;
}

// Two tasks of a step with max_unavailable 1 must not be down at once, which
// could happen when one worker drains while another is evacuated.
TEST_CASE(
    "a draining worker's tasks count before another worker is evacuated") {
  Simulation simulation;
  for (const char* name : {"w1", "w2", "w3", "w4", "w5", "w6"}) {
    simulation.AddWorker(name, "p", 8);
  }
  REQUIRE(simulation.Submit(JobWithMaxUnavailable(4)));
  simulation.RunFor(Seconds(1));
  REQUIRE(CountRunningTasks(simulation) == 4);
  // The evacuated worker comes first in the list of workers.
  std::size_t workers_with_tasks = 0;
  for (std::size_t i = 0; i < simulation.m_workers.size(); ++i) {
    if (simulation.m_workers[i]->m_running.empty() || workers_with_tasks == 2) {
      continue;
    }
    if (workers_with_tasks++ == 0) {
      simulation.m_owner->m_workers[i].m_cordoned = true;
    } else {
      WorkerRecord record = simulation.m_workers[i]->m_record;
      record.m_draining = true;
      record.m_remaining = Seconds(5);
      RegisterWorker(*simulation.m_owner, simulation.m_now, record);
    }
  }
  for (int i = 0; i < 100; ++i) {
    simulation.RunFor(Milliseconds(20));
    CHECK(CountRunningTasks(simulation) >= 3);
  }
  CHECK(CountRunningTasks(simulation) == 4);
}

// A cordoned worker must be evacuated in the end, but no faster than
// max_unavailable allows.
TEST_CASE("evacuation stops one task at a time when max_unavailable is one") {
  Simulation simulation;
  for (const char* name : {"w1", "w2", "w3", "w4", "w5", "w6", "w7", "w8"}) {
    simulation.AddWorker(name, "p", 8);
  }
  REQUIRE(simulation.Submit(JobWithMaxUnavailable(4)));
  simulation.RunFor(Seconds(1));
  std::vector<std::size_t> cordoned;
  for (std::size_t i = 0; i < simulation.m_workers.size(); ++i) {
    if (!simulation.m_workers[i]->m_running.empty()) {
      simulation.m_owner->m_workers[i].m_cordoned = true;
      cordoned.push_back(i);
    }
  }
  for (int i = 0; i < 150; ++i) {
    simulation.RunFor(Milliseconds(20));
    CHECK(CountRunningTasks(simulation) >= 3);
  }
  for (const std::size_t i : cordoned) {
    CHECK(simulation.m_workers[i]->m_running.empty());
  }
  CHECK(CountRunningTasks(simulation) == 4);
}

// A task with a checkpoint must not lose its work with a draining worker.
TEST_CASE(
    "a checkpointing task moves when its worker leaves before the task's end") {
  Simulation simulation;
  FakeWorker& draining = simulation.AddWorker("w1", "p", 8);
  JobSpec job = Simulation::MakeJob("job", "p", 1, Seconds(10));
  job.m_steps[0].m_checkpointing = true;
  REQUIRE(simulation.Submit(job));
  simulation.RunFor(Seconds(1));
  REQUIRE(draining.m_running.size() == 1);
  draining.m_running.begin()->second.m_checkpoint = "c1";
  simulation.AddWorker("w2", "p", 8);
  WorkerRecord record = draining.m_record;
  record.m_draining = true;
  record.m_remaining = Seconds(3);
  RegisterWorker(*simulation.m_owner, simulation.m_now, record);
  simulation.RunFor(Seconds(1));
  CHECK(draining.m_running.empty());
  REQUIRE(simulation.m_workers[1]->m_running.size() == 1);
  CHECK(simulation.m_workers[1]->m_running.begin()->second.m_checkpoint ==
        "c1");
}

// Guards against waves that are late because the tasks of a step with a limit
// begin to leave only when their workers are cordoned, a few at a time.
TEST_CASE("tasks with a limit leave workers that are due before the cordon") {
  Simulation simulation;
  for (const char* name : {"w1", "w2", "w3", "w4", "w5", "w6", "w7", "w8"}) {
    simulation.AddWorker(name, "p", 8);
  }
  REQUIRE(simulation.Submit(JobWithMaxUnavailable(4)));
  simulation.RunFor(Seconds(1));
  std::vector<std::size_t> due;
  for (std::size_t i = 0; i < simulation.m_workers.size(); ++i) {
    if (!simulation.m_workers[i]->m_running.empty()) {
      simulation.m_owner->m_workers[i].m_upkeep_due = true;
      due.push_back(i);
    }
  }
  for (int i = 0; i < 150; ++i) {
    simulation.RunFor(Milliseconds(20));
    CHECK(CountRunningTasks(simulation) >= 3);
  }
  for (const std::size_t i : due) {
    CHECK(simulation.m_workers[i]->m_running.empty());
  }
  CHECK(CountRunningTasks(simulation) == 4);
}

// Guards against a second task of a guarded step that goes down while another
// one's worker is silent and its lease has not ended.
TEST_CASE("no guarded task moves while another one's worker is silent") {
  Simulation simulation;
  for (const char* name : {"w1", "w2", "w3", "w4", "w5", "w6"}) {
    simulation.AddWorker(name, "p", 8);
  }
  REQUIRE(simulation.Submit(JobWithMaxUnavailable(4)));
  simulation.RunFor(Seconds(1));
  bool is_first = true;
  for (std::size_t i = 0; i < simulation.m_workers.size(); ++i) {
    if (simulation.m_workers[i]->m_running.empty()) {
      continue;
    }
    simulation.m_workers[i]->m_is_unreachable = is_first;
    simulation.m_owner->m_workers[i].m_upkeep_due = !is_first;
    is_first = false;
  }
  for (int i = 0; i < 100; ++i) {
    simulation.RunFor(Milliseconds(20));
    CHECK(CountRunningTasks(simulation) >= 4);
  }
}

// Guards against tasks that move twice, or for nothing: all other workers are
// due as well.
TEST_CASE("tasks do not move from one due worker to another") {
  Simulation simulation;
  for (const char* name : {"w1", "w2", "w3", "w4", "w5", "w6"}) {
    simulation.AddWorker(name, "p", 8);
  }
  REQUIRE(simulation.Submit(JobWithMaxUnavailable(4)));
  simulation.RunFor(Seconds(1));
  for (Worker& worker : simulation.m_owner->m_workers) {
    worker.m_upkeep_due = true;
  }
  const auto starts = simulation.m_starts;
  simulation.RunFor(Seconds(3));
  CHECK(simulation.m_starts == starts);
  const Pool& pool = simulation.m_owner->m_pools[PoolName("p")];
  CHECK(pool.m_blocked_evacuations.m_cpu == Millicores(1000));
}

// Guards against long-running tasks that wait while the plan of moves does not
// know how many VMs they need.
TEST_CASE("the workload counts the VMs that unplaced tasks need") {
  Simulation simulation;
  simulation.AddWorker("w1", "p", 8);
  REQUIRE(simulation.Submit(JobWithMaxUnavailable(4)));
  simulation.RunFor(Seconds(1));
  const auto unplaced_vms = [&simulation] {
    return ComputeWorkload(*simulation.m_owner, simulation.m_now,
                           simulation.m_owner->m_pools[PoolName("p")])
        .m_unplaced_vms;
  };
  CHECK(unplaced_vms() == 3);
  simulation.AddWorker("w2", "p", 8);
  simulation.AddWorker("w3", "p", 8);
  simulation.AddWorker("w4", "p", 8);
  simulation.RunFor(Seconds(1));
  CHECK(unplaced_vms() == 0);
}

}  // namespace
}  // namespace filbertspar::scheduler
