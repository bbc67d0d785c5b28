#include <catch2/catch.hpp>

#include "tests/scheduler_simulation.h"

namespace filbertspar::scheduler {
namespace {

/// Whether any resource is reserved on a worker or in a workspace.
bool HoldsResources(const Scheduler& scheduler) {
  const auto is_used = [](const ResourceVector& used) {
    return !(used == ResourceVector());
  };
  return std::any_of(scheduler.m_workers.begin(), scheduler.m_workers.end(),
                     [&](const Worker& worker) {
                       return is_used(worker.m_used) || !worker.m_tasks.empty();
                     }) ||
         std::any_of(scheduler.m_reserved.begin(), scheduler.m_reserved.end(),
                     [&](const auto& entry) { return is_used(entry.second); });
}

JobSpec MakeJobOf(const std::string& workspace, const std::string& id,
                  std::uint32_t tasks, std::int64_t millicores) {
  JobSpec job = Simulation::MakeJob(id, "p", tasks, Seconds(60), millicores);
  job.m_workspace = WorkspaceName(workspace);
  return job;
}

void SetQuota(Simulation& simulation, const std::string& workspace,
              std::int64_t millicores) {
  simulation.Configure([&](DeploymentConfig& deployment) {
    WorkspaceConfig config;
    config.m_name = WorkspaceName(workspace);
    config.m_quota.m_cpu = Millicores(millicores);
    deployment.m_workspaces.push_back(config);
  });
}

// Guards against the ceiling and capacity of stopped tasks that stay reserved:
// the job was cancelled while its worker was down, and the worker restarted
// under its name (review/4).
TEST_CASE("stopped tasks of a worker that restarts free their resources") {
  Simulation simulation;
  FakeWorker& worker = simulation.AddWorker("w1", "p", 16);
  simulation.AddWorker("w2", "p", 16);
  SetQuota(simulation, "team", 16000);
  simulation.RunFor(Seconds(1));
  REQUIRE(simulation.Submit(MakeJobOf("team", "first", 2, 7000)));
  simulation.RunFor(Seconds(1));
  REQUIRE(simulation.m_starts.size() == 2);
  for (const auto& each : simulation.m_workers) {
    each->m_refuses = !each->m_running.empty();
  }
  simulation.RunFor(Milliseconds(300));
  CancelJob(*simulation.m_owner, simulation.m_now, JobId("first"));
  simulation.RunFor(Milliseconds(1200));
  for (const auto& each : simulation.m_workers) {
    if (each->m_refuses) {
      simulation.Restart(*each);
      each->m_refuses = false;
    }
  }
  simulation.RunFor(Seconds(2));
  CHECK(worker.m_running.empty());
  CHECK_FALSE(HoldsResources(*simulation.m_owner));
  REQUIRE(simulation.Submit(MakeJobOf("team", "second", 2, 7000)));
  simulation.RunFor(Seconds(1));
  CHECK(simulation.StateOfJob("second") == JobState::kRunning);
}

// Guards against resources that stay reserved when a start and the stop after
// it were both lost, while the worker goes on.
TEST_CASE("a task whose start and stop were lost frees its resources") {
  Simulation simulation;
  FakeWorker& worker = simulation.AddWorker("w1", "p", 16);
  simulation.RunFor(Seconds(1));
  worker.m_is_unreachable = true;
  REQUIRE(simulation.Submit(MakeJobOf("team", "first", 1, 7000)));
  Dispatch(*simulation.m_owner, simulation.m_now);
  REQUIRE(simulation.m_owner->m_planned_starts.size() == 1);
  simulation.RunFor(Milliseconds(100));
  CancelJob(*simulation.m_owner, simulation.m_now, JobId("first"));
  simulation.RunFor(Milliseconds(200));
  worker.m_is_unreachable = false;
  simulation.RunFor(Seconds(2));
  CHECK_FALSE(HoldsResources(*simulation.m_owner));
}

/// Resources of the runs of all workers, as the workers see them.
std::int64_t MillicoresRunning(const Simulation& simulation) {
  std::int64_t running = 0;
  for (const auto& worker : simulation.m_workers) {
    for (const auto& [task, run] : worker->m_running) {
      const JobSpec job = *DecodeJob(simulation.m_jobs.at(task.m_job));
      running += job.m_steps[task.m_step].m_demand.m_cpu.Count();
    }
  }
  return running;
}

// Guards against a run that is being stopped and whose resources are given to
// others: the task had ended on a worker that was out of reach (soak, seed 520:
// 15000 running of a ceiling of 12000).
TEST_CASE(
    "a run that is stopped because its task ended elsewhere still counts") {
  Simulation simulation;
  FakeWorker& cut = simulation.AddWorker("w1", "p", 4);
  simulation.RunFor(Milliseconds(100));
  SetQuota(simulation, "team", 4000);
  simulation.m_stop_time = Milliseconds(600);
  JobSpec first = MakeJobOf("team", "first", 1, 3000);
  first.m_steps[0].m_estimate = Milliseconds(2500);
  REQUIRE(simulation.Submit(first));
  simulation.RunFor(Milliseconds(500));
  REQUIRE(cut.m_running.size() == 1);
  FakeWorker& other = simulation.AddWorker("w2", "p", 4);
  simulation.RunFor(Milliseconds(500));
  cut.m_is_unreachable = true;
  while (other.m_running.empty()) {
    simulation.RunFor(Milliseconds(20));
  }
  REQUIRE(simulation.Submit(MakeJobOf("team", "second", 1, 3000)));
  cut.m_is_unreachable = false;
  for (int i = 0; i < 100; ++i) {
    simulation.RunFor(Milliseconds(20));
    REQUIRE(MillicoresRunning(simulation) <= 4000);
  }
  CHECK(simulation.StateOfJob("first") == JobState::kCompleted);
  CHECK(simulation.StateOfJob("second") == JobState::kRunning);
  CHECK(simulation.m_starts_over_capacity == 0);
  CancelJob(*simulation.m_owner, simulation.m_now, JobId("second"));
  simulation.RunFor(Seconds(2));
  CHECK_FALSE(HoldsResources(*simulation.m_owner));
}

// Guards against a job that runs although its caller cancelled it: the cancel
// came while the job was being stored (review/further/cancel.py).
TEST_CASE("a job that was cancelled while it was stored never starts") {
  Simulation simulation;
  simulation.AddWorker("w1", "p", 16);
  simulation.RunFor(Seconds(1));
  CancelWhenAdded(*simulation.m_owner, JobId("first"));
  CancelWhenAdded(*simulation.m_owner, JobId("second"));
  ForgetEarlyCancel(*simulation.m_owner, JobId("second"));
  REQUIRE(simulation.Submit(MakeJobOf("team", "first", 2, 1000)));
  REQUIRE(simulation.Submit(MakeJobOf("team", "second", 2, 1000)));
  simulation.RunFor(Seconds(1));
  CHECK(simulation.StateOfJob("first") == JobState::kCancelled);
  CHECK(simulation.StateOfJob("second") == JobState::kRunning);
  for (const auto& [task, starts] : simulation.m_starts) {
    CHECK(task.m_job == JobId("second"));
  }
  simulation.TakeOver();
  simulation.RunFor(Seconds(1));
  CHECK(simulation.StateOfJob("first") == JobState::kCancelled);
}

// Guards against any other order of crashes, lost orders, restarts, cancels and
// take-overs after which a stopped task holds resources.
TEST_CASE("after all jobs are cancelled nothing is reserved") {
  for (std::uint64_t seed = 1; seed <= 150; ++seed) {
    Rng rng(seed);
    Simulation simulation;
    for (int i = 0; i < 3; ++i) {
      simulation.AddWorker("w" + std::to_string(i), "p", 16);
    }
    simulation.RunFor(Seconds(1));
    std::vector<std::string> jobs;
    for (int step = 0; step < 40; ++step) {
      FakeWorker& worker = *simulation.m_workers[rng.Below(3)];
      switch (rng.Below(7)) {
        case 0:
        case 1: {
          jobs.push_back("j" + std::to_string(step));
          JobSpec job = MakeJobOf("team", jobs.back(), 3, 3000);
          job.m_steps[0].m_long_running = rng.Chance(0.3);
          simulation.Submit(job);
          break;
        }
        case 2:
          if (!jobs.empty()) {
            CancelJob(*simulation.m_owner, simulation.m_now,
                      JobId(jobs[rng.Below(jobs.size())]));
          }
          break;
        case 3:
          worker.m_is_unreachable = !worker.m_is_unreachable;
          break;
        case 4:
          worker.m_drops_responses = !worker.m_drops_responses;
          break;
        case 5:
          if (worker.m_refuses) {
            simulation.Restart(worker);
          }
          worker.m_refuses = !worker.m_refuses;
          break;
        default:
          if (rng.Chance(0.2)) {
            simulation.TakeOver();
          }
      }
      simulation.RunFor(Milliseconds(20 * (1 + rng.Below(20))));
    }
    for (const auto& worker : simulation.m_workers) {
      if (worker->m_refuses) {
        simulation.Restart(*worker);
      }
      worker->m_is_unreachable = worker->m_refuses = false;
      worker->m_drops_responses = false;
    }
    for (const std::string& job : jobs) {
      CancelJob(*simulation.m_owner, simulation.m_now, JobId(job));
    }
    simulation.RunFor(Seconds(9));
    INFO("seed " << seed);
    REQUIRE_FALSE(HoldsResources(*simulation.m_owner));
  }
}

}  // namespace
}  // namespace filbertspar::scheduler
