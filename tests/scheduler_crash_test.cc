#include <algorithm>
#include <catch2/catch.hpp>

#include "tests/scheduler_simulation.h"

namespace filbertspar::scheduler {
namespace {

TaskId TaskOf(const std::string& job, std::uint32_t index = 0) {
  return {JobId(job), 0, 0, index};
}

/// Six workers with 16 cores each.
void AddPool(Simulation& simulation) {
  for (int i = 0; i < 6; ++i) {
    simulation.AddWorker("w" + std::to_string(i), "p", 16,
                         "r" + std::to_string(i / 2));
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

}  // namespace
}  // namespace filbertspar::scheduler
