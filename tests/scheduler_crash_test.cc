#include <algorithm>
#include <catch2/catch.hpp>
#include <random>
#include <set>

#include "tests/scheduler_simulation.h"

namespace filbertspar::scheduler {
namespace {

TaskId TaskOf(const std::string& job, std::uint32_t index = 0) {
  return {JobId(job), 0, 0, index};
}

/// Six workers with 16 cores each, two in a rack.
void AddPool(Simulation& simulation, const std::string& prefix = "w") {
  for (int i = 0; i < 6; ++i) {
    simulation.AddWorker(prefix + std::to_string(i), "p", 16,
                         prefix + "r" + std::to_string(i / 2));
  }
}

/// Submits a job of `tasks` tasks of 0.8 s every 100 ms for `duration`.
int SubmitOthers(Simulation& simulation, Duration duration,
                 std::uint32_t tasks = 4) {
  const auto count = static_cast<int>(duration / Milliseconds(100));
  for (int i = 0; i < count; ++i) {
    REQUIRE(simulation.Submit(Simulation::MakeJob(
        "other" + std::to_string(i), "p", tasks, Milliseconds(800))));
    simulation.RunFor(Milliseconds(100));
  }
  return count;
}

// Guards against a task that crashes worker after worker without bound.
TEST_CASE("a task that crashes its workers crashes no more than three") {
  Simulation simulation;
  AddPool(simulation);
  simulation.m_crashing_tasks[TaskOf("bad")] = Milliseconds(10);
  REQUIRE(
      simulation.Submit(Simulation::MakeJob("bad", "p", 3, Milliseconds(800))));
  const int others = SubmitOthers(simulation, Seconds(20));
  simulation.RunFor(Seconds(10));
  CHECK(simulation.m_crashes[TaskOf("bad")].size() <= 3);
  CHECK(simulation.StateOfJob("bad") == JobState::kFailed);
  for (int i = 0; i < others; ++i) {
    CHECK(simulation.StateOfJob("other" + std::to_string(i)) ==
          JobState::kCompleted);
  }
}

// Guards against tasks that are lost again and again because they are placed
// with the one that crashed their worker.
TEST_CASE("a task loses one run at most to a crashing neighbor") {
  Simulation simulation;
  AddPool(simulation);
  REQUIRE(
      simulation.Submit(Simulation::MakeJob("others", "p", 10, Seconds(2))));
  simulation.m_crashing_tasks[TaskOf("bad")] = Milliseconds(10);
  REQUIRE(
      simulation.Submit(Simulation::MakeJob("bad", "p", 1, Milliseconds(800))));
  simulation.RunFor(Seconds(20));
  CHECK(simulation.StateOfJob("others") == JobState::kCompleted);
  for (std::uint32_t i = 0; i < 10; ++i) {
    CHECK(simulation.m_lost_runs[TaskOf("others", i)] <= 1);
  }
}

// Guards against a task that waits for a lease that no run can hold, because
// its worker refused the connection.
TEST_CASE("a start that was never sent is not waited for") {
  Simulation simulation;
  FakeWorker& crashed = simulation.AddWorker("w1", "p", 16);
  simulation.RunFor(Milliseconds(100));
  simulation.Crash(crashed);
  REQUIRE(simulation.Submit(Simulation::MakeJob("job", "p", 2, Seconds(1))));
  // The start is planned before a poll shows that the worker is gone.
  Dispatch(*simulation.m_owner, simulation.m_now);
  REQUIRE(simulation.m_owner->m_workers[0].m_tasks.size() == 2);
  simulation.AddWorker("w2", "p", 16);
  simulation.RunFor(Milliseconds(500));
  CHECK(simulation.m_starts[TaskOf("job", 0)] == 1);
  CHECK(simulation.m_starts[TaskOf("job", 1)] == 1);
}

// Runs a job "bad" whose task 0 crashes its workers beside other work, and
// checks what each caller gets.
void CheckCrashingJob(Simulation& simulation, const JobSpec& bad,
                      Duration crash_age = Milliseconds(10)) {
  AddPool(simulation);
  simulation.m_crashing_tasks[TaskOf("bad")] = crash_age;
  REQUIRE(simulation.Submit(bad));
  const int others = SubmitOthers(simulation, Seconds(20), 2);
  simulation.RunFor(Seconds(20));
  CHECK(simulation.m_crashes[TaskOf("bad")].size() == 3);
  CHECK(simulation.StateOfJob("bad") == JobState::kFailed);
  CHECK(simulation.m_max_concurrent_runs == 1);
  for (int i = 0; i < others; ++i) {
    CHECK(simulation.StateOfJob("other" + std::to_string(i)) ==
          JobState::kCompleted);
  }
}

// Guards against kinds of tasks whose crashes are not counted.
TEST_CASE("a gang with a crashing member crashes no more than three workers") {
  Simulation simulation;
  JobSpec job = Simulation::MakeJob("bad", "p", 4, Seconds(1));
  job.m_steps[0].m_gang = true;
  job.m_steps[0].m_colocated = true;
  CheckCrashingJob(simulation, job);
}

TEST_CASE("a crashing task with checkpoints is given up") {
  Simulation simulation;
  JobSpec job = Simulation::MakeJob("bad", "p", 2, Seconds(4));
  job.m_steps[0].m_checkpointing = true;
  CheckCrashingJob(simulation, job, Seconds(2));
}

TEST_CASE("a crashing long-running task is given up") {
  Simulation simulation;
  JobSpec job = Simulation::MakeJob("bad", "p", 3, Seconds(1));
  job.m_steps[0].m_long_running = true;
  CheckCrashingJob(simulation, job, Milliseconds(100));
}

TEST_CASE("a crashing task of a job with due times is given up") {
  Simulation simulation;
  JobSpec job = Simulation::MakeJob("bad", "p", 2, Seconds(1));
  job.m_occurrence_count = 2;
  job.m_first_due_ms = ToMilliseconds(simulation.m_now.time_since_epoch());
  job.m_interval = Seconds(60);
  CheckCrashingJob(simulation, job);
}

// Guards against a culprit that hides behind tasks that began after it.
TEST_CASE("a task that crashes its workers late is given up") {
  Simulation simulation;
  CheckCrashingJob(simulation, Simulation::MakeJob("bad", "p", 1, Seconds(8)),
                   Seconds(3));
}

// Guards against a count that is lost with the owner that saw the crashes.
TEST_CASE("the crashes of a task outlive each owner") {
  for (const Duration after :
       {Milliseconds(0), Milliseconds(300), Milliseconds(700), Seconds(2)}) {
    Simulation simulation;
    AddPool(simulation);
    const TaskId bad = TaskOf("bad");
    simulation.m_crashing_tasks[bad] = Milliseconds(10);
    REQUIRE(simulation.Submit(Simulation::MakeJob("bad", "p", 2, Seconds(1))));
    std::size_t crashes = 0;
    for (int i = 0; i < 3000; ++i) {
      simulation.RunFor(Milliseconds(20));
      if (simulation.m_crashes[bad].size() > crashes) {
        crashes = simulation.m_crashes[bad].size();
        simulation.RunFor(after);
        simulation.TakeOver();
      }
    }
    INFO("owner lost after " << ToMilliseconds(after) << " ms");
    CHECK(crashes <= 3);
    CHECK(simulation.StateOfJob("bad") == JobState::kFailed);
  }
}

// Guards against runs that could crash a worker while the crashes before them
// cannot be stored.
TEST_CASE("a suspect is not started while the store is away") {
  Simulation simulation;
  AddPool(simulation);
  const TaskId bad = TaskOf("bad");
  simulation.m_crashing_tasks[bad] = Milliseconds(10);
  REQUIRE(simulation.Submit(Simulation::MakeJob("bad", "p", 2, Seconds(1))));
  simulation.RunFor(Milliseconds(200));
  REQUIRE(simulation.m_crashes[bad].size() == 1);
  simulation.m_store_is_down = true;
  SetRecordBeforeStart(*simulation.m_owner, simulation.m_now, false);
  REQUIRE(simulation.Submit(Simulation::MakeJob("good", "p", 2, Seconds(1))));
  simulation.RunFor(Seconds(6));
  CHECK(simulation.m_crashes[bad].size() == 1);
  CHECK(simulation.m_starts[TaskOf("good")] == 1);
  simulation.m_store_is_down = false;
  simulation.RunFor(Seconds(12));
  CHECK(simulation.m_crashes[bad].size() == 3);
  CHECK(simulation.StateOfJob("bad") == JobState::kFailed);
}

// Guards against a crash that is counted again by a late or repeated report.
TEST_CASE("a crash that is reported twice counts once") {
  Simulation simulation;
  FakeWorker& worker = simulation.AddWorker("w1", "p", 16);
  REQUIRE(simulation.Submit(Simulation::MakeJob("job", "p", 1, Seconds(9))));
  simulation.RunFor(Seconds(1));
  simulation.Crash(worker);
  simulation.RunFor(Milliseconds(600));
  Scheduler& owner = *simulation.m_owner;
  const TaskRef task = FindTask(owner, TaskOf("job"));
  REQUIRE(task.GetTask().m_crashes.size() == 1);
  HandlePollFailure(owner, simulation.m_now, 0, PollFailure::kRefused);
  JudgeEndedWorkers(owner, simulation.m_now + Seconds(1));
  HandleInstanceReplaced(owner, simulation.m_now, 0);
  CHECK(task.GetTask().m_crashes.size() == 1);
}

// Runs a job whose workers end again and again, other than by a crash of their
// process alone, and checks that nothing is held against it.
template <typename EndWorkers>
void CheckOtherCause(EndWorkers end_workers) {
  Simulation simulation;
  AddPool(simulation);
  REQUIRE(simulation.Submit(Simulation::MakeJob("job", "p", 3, Seconds(5))));
  JobSpec lasting = Simulation::MakeJob("lasting", "p", 2, Seconds(1));
  lasting.m_steps[0].m_long_running = true;
  REQUIRE(simulation.Submit(lasting));
  for (int i = 0; i < 6; ++i) {
    simulation.RunFor(Seconds(2));
    const std::size_t workers = simulation.m_workers.size();
    for (std::size_t w = 0; w < workers; ++w) {
      FakeWorker& worker = *simulation.m_workers[w];
      if (worker.m_crashed_at == TimePoint::max() &&
          !worker.m_running.empty()) {
        end_workers(simulation, worker);
      }
    }
    simulation.RunFor(Seconds(5));
    CHECK(simulation.m_owner->m_crash_suspects.empty());
  }
  simulation.RunFor(Seconds(10));
  CHECK(simulation.StateOfJob("job") == JobState::kCompleted);
  CHECK(simulation.StateOfJob("lasting") == JobState::kRunning);
}

// Guards against sound jobs that are failed because one worker goes down and up
// under its name; its crashes prove nothing about the tasks on it (review/3).
TEST_CASE("a worker that goes down and up fails no job") {
  for (const bool pool_is_full : {false, true}) {
    Simulation simulation;
    AddPool(simulation);
    simulation.RunFor(Seconds(1));
    const int jobs = pool_is_full ? 12 : 6;
    for (int i = 0; i < jobs; ++i) {
      REQUIRE(simulation.Submit(Simulation::MakeJob(
          "j" + std::to_string(i), "p", 1, Seconds(20), 7600)));
    }
    simulation.RunFor(Seconds(3));
    FakeWorker& flapping = *simulation.m_workers[0];
    REQUIRE_FALSE(flapping.m_running.empty());
    for (int i = 0; i < 6; ++i) {
      flapping.m_refuses = true;
      flapping.m_running.clear();
      flapping.m_finished.clear();
      simulation.RunFor(Milliseconds(700));
      simulation.Restart(flapping);
      flapping.m_refuses = false;
      simulation.RunFor(Milliseconds(700));
    }
    simulation.RunFor(Seconds(60));
    for (int i = 0; i < jobs; ++i) {
      INFO("full " << pool_is_full << " job " << i);
      CHECK(simulation.StateOfJob("j" + std::to_string(i)) ==
            JobState::kCompleted);
    }
  }
}

// Guards against a crashing task that no second worker can convict.
TEST_CASE("a crashing task is given up also in a pool of one worker") {
  Simulation simulation;
  FakeWorker& only = simulation.AddWorker("w0", "p", 16);
  simulation.RunFor(Seconds(1));
  REQUIRE(simulation.Submit(Simulation::MakeJob("bad", "p", 1, Seconds(2))));
  int crashes = 0;
  for (int i = 0; i < 3000; ++i) {
    simulation.RunFor(Milliseconds(20));
    if (!only.m_refuses && !only.m_running.empty()) {
      ++crashes;
      only.m_refuses = true;
      only.m_running.clear();
      simulation.RunFor(Milliseconds(800));
      simulation.Restart(only);
      only.m_refuses = false;
    }
  }
  CHECK(simulation.StateOfJob("bad") == JobState::kFailed);
  CHECK(crashes <= 8);
}

TEST_CASE("the loss of a worker's power counts against no task") {
  CheckOtherCause([](Simulation& simulation, FakeWorker& worker) {
    simulation.PowerOff(worker);
  });
}

TEST_CASE("the crash of a whole rack counts against no task") {
  CheckOtherCause([](Simulation& simulation, FakeWorker& worker) {
    for (const auto& other : simulation.m_workers) {
      if (other->m_record.m_rack == worker.m_record.m_rack &&
          other->m_crashed_at == TimePoint::max()) {
        simulation.Crash(*other);
      }
    }
  });
}

TEST_CASE("the end of a worker after its notice counts against no task") {
  CheckOtherCause([](Simulation& simulation, FakeWorker& worker) {
    worker.m_record.m_draining = true;
    worker.m_record.m_remaining = Milliseconds(100);
    RegisterWorker(*simulation.m_owner, simulation.m_now, worker.m_record);
    simulation.RunFor(Milliseconds(100));
    simulation.Crash(worker);
    worker.m_record.m_draining = false;
  });
}

TEST_CASE("a frozen worker counts against no task") {
  CheckOtherCause([](Simulation& simulation, FakeWorker& worker) {
    worker.m_is_unreachable = true;
    simulation.RunFor(Seconds(4));
    worker.m_is_unreachable = false;
  });
}

TEST_CASE("a cut that refuses connections counts against no task") {
  CheckOtherCause([](Simulation& simulation, FakeWorker& worker) {
    worker.m_refuses = true;
    simulation.RunFor(Seconds(4));
    worker.m_refuses = false;
  });
}

TEST_CASE("a worker that is replaced unseen counts against no task") {
  CheckOtherCause([](Simulation& simulation, FakeWorker& worker) {
    simulation.Crash(worker);
    worker.m_crashed_at -= simulation.m_restart_time;
  });
}

// Guards against crashes in two tests at one moment that are put down to the
// rack on which both tests were.
TEST_CASE("suspects that are tested on one rack crash three workers each") {
  Simulation simulation;
  for (int i = 0; i < 8; ++i) {
    simulation.AddWorker("w" + std::to_string(i), "p", 16,
                         "r" + std::to_string(i / 2));
  }
  for (const std::string id : {"bad0", "bad1"}) {
    simulation.m_crashing_tasks[TaskOf(id)] = Milliseconds(10);
    REQUIRE(simulation.Submit(
        Simulation::MakeJob(id, "p", 1, Milliseconds(800), 10000)));
  }
  simulation.RunFor(Seconds(30));
  for (const std::string id : {"bad0", "bad1"}) {
    CHECK(simulation.m_crashes[TaskOf(id)].size() == 3);
    CHECK(simulation.StateOfJob(id) == JobState::kFailed);
  }
}

// Guards against a long-running job that is given up because it was on many
// workers that others crashed.
TEST_CASE("a long-running job survives a series of crashing neighbors") {
  for (std::uint32_t seed = 1; seed <= 20; ++seed) {
    std::mt19937 random(seed);
    Simulation simulation;
    AddPool(simulation);
    for (const std::string id : {"lasting0", "lasting1"}) {
      JobSpec lasting = Simulation::MakeJob(id, "p", 5, Seconds(1));
      lasting.m_steps[0].m_long_running = true;
      lasting.m_steps[0].m_max_per_worker = 1;
      REQUIRE(simulation.Submit(lasting));
    }
    for (int i = 0; i < 200; ++i) {
      const std::string id = "job" + std::to_string(i);
      if (random() % 15 == 0) {
        simulation.m_crashing_tasks[TaskOf(id)] = Milliseconds(10);
      }
      simulation.Submit(Simulation::MakeJob(id, "p", 3, Milliseconds(800)));
      simulation.RunFor(Milliseconds(200));
    }
    INFO("seed " << seed);
    CHECK(simulation.StateOfJob("lasting0") == JobState::kRunning);
    CHECK(simulation.StateOfJob("lasting1") == JobState::kRunning);
  }
}

// Guards against work that is given up because of the crashes of others.
TEST_CASE("only tasks that crash their workers are given up, for any seed") {
  for (std::uint32_t seed = 1; seed <= 30; ++seed) {
    std::mt19937 random(seed);
    const auto pick = [&random](std::uint32_t count) {
      return std::uniform_int_distribution<std::uint32_t>(0, count - 1)(random);
    };
    Simulation simulation;
    AddPool(simulation);
    AddPool(simulation, "x");
    std::set<std::string> submitted;
    for (int i = 0; i < 120; ++i) {
      const std::string id = "job" + std::to_string(i);
      JobSpec job =
          Simulation::MakeJob(id, "p", 1 + pick(6), Milliseconds(800));
      job.m_steps[0].m_gang = pick(8) == 0;
      if (pick(25) == 0) {
        simulation.m_crashing_tasks[TaskOf(id)] = Milliseconds(10 + pick(300));
      }
      if (simulation.Submit(job)) {
        submitted.insert(id);
      }
      simulation.RunFor(Milliseconds(200));
      if (pick(20) == 0) {
        FakeWorker& worker = *simulation.m_workers[pick(
            static_cast<std::uint32_t>(simulation.m_workers.size()))];
        if (worker.m_crashed_at == TimePoint::max()) {
          pick(2) == 0 ? simulation.PowerOff(worker) : simulation.Crash(worker);
        }
      }
      if (pick(40) == 0) {
        simulation.TakeOver();
      }
    }
    simulation.RunFor(Seconds(30));
    INFO("seed " << seed);
    CHECK(simulation.m_max_concurrent_runs == 1);
    for (const std::string& id : submitted) {
      INFO(id);
      const bool crashes = simulation.m_crashing_tasks.contains(TaskOf(id));
      CHECK(simulation.StateOfJob(id) ==
            (crashes ? JobState::kFailed : JobState::kCompleted));
    }
    for (const auto& [task, crashes] : simulation.m_crashes) {
      CHECK(crashes.size() <= 5);
    }
  }
}

}  // namespace
}  // namespace filbertspar::scheduler
