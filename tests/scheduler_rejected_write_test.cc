#include <catch2/catch.hpp>

#include "tests/scheduler_simulation.h"

namespace filbertspar::scheduler {
namespace {

/// Tasks whose end the owner has acknowledged, or that were told to callers.
int CountRestartedTasks(const Simulation& simulation) {
  int restarted = 0;
  for (const auto& [task, starts] : simulation.m_starts) {
    restarted += starts > 1;
  }
  return restarted;
}

// Guards against ends that are acknowledged, and starts that are sent, though
// the store rejected the write that records them (review/2).
TEST_CASE("a rejected write is not taken for stored") {
  Simulation simulation;
  for (const char* name : {"w1", "w2", "w3"}) {
    simulation.AddWorker(name, "p", 8);
  }
  simulation.RunFor(Seconds(1));
  JobSpec wide = Simulation::MakeJob("wide", "p", 60, Milliseconds(400));
  REQUIRE(simulation.Submit(wide));
  REQUIRE(simulation.Submit(
      Simulation::MakeJob("sound", "p", 60, Milliseconds(400), 200)));
  simulation.RunFor(Milliseconds(200));
  REQUIRE(simulation.m_starts.size() > 20);
  simulation.m_store_rejects = [](const JobWrite& write) {
    return write.m_id == JobId("wide");
  };
  simulation.RunFor(Seconds(2));
  // Nothing of the job that cannot be recorded is started any more.
  const auto started = simulation.m_starts;
  simulation.RunFor(Seconds(2));
  for (const auto& [task, starts] : simulation.m_starts) {
    if (task.m_job == JobId("wide")) {
      REQUIRE(started.at(task) == starts);
    }
  }
  simulation.TakeOver();
  simulation.m_store_rejects = [](const JobWrite&) { return false; };
  simulation.RunFor(Seconds(10));
  CHECK(simulation.StateOfJob("wide") == JobState::kCompleted);
  CHECK(simulation.StateOfJob("sound") == JobState::kCompleted);
  CHECK(simulation.m_max_concurrent_runs == 1);
  CHECK(CountRestartedTasks(simulation) == 0);
}

// Guards against one job whose progress is rejected and that holds up others.
TEST_CASE("jobs beside one whose progress is rejected go on") {
  Simulation simulation;
  simulation.AddWorker("w1", "p", 8);
  simulation.AddWorker("w2", "p", 8);
  simulation.m_store_rejects = [](const JobWrite& write) {
    return write.m_id == JobId("bad");
  };
  simulation.RunFor(Seconds(1));
  REQUIRE(
      simulation.Submit(Simulation::MakeJob("bad", "p", 2, Milliseconds(200))));
  for (int i = 0; i < 10; ++i) {
    const std::string id = "j" + std::to_string(i);
    REQUIRE(
        simulation.Submit(Simulation::MakeJob(id, "p", 2, Milliseconds(200))));
    simulation.RunFor(Milliseconds(300));
  }
  simulation.RunFor(Seconds(2));
  for (int i = 0; i < 10; ++i) {
    CHECK(simulation.StateOfJob("j" + std::to_string(i)) ==
          JobState::kCompleted);
  }
  CHECK(simulation.m_starts.count({JobId("bad"), 0, 0, 0}) == 0);
  simulation.m_store_rejects = [](const JobWrite&) { return false; };
  simulation.RunFor(Seconds(5));
  CHECK(simulation.StateOfJob("bad") == JobState::kCompleted);
}

// Guards against any order of rejections and take-overs after which a task runs
// again whose end was noted.
TEST_CASE("no task that ended runs again while writes are rejected at random") {
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    Rng rng(seed);
    Simulation simulation;
    for (const char* name : {"w1", "w2", "w3"}) {
      simulation.AddWorker(name, "p", 8);
    }
    simulation.m_store_rejects = [&rng](const JobWrite&) {
      return rng.Chance(0.2);
    };
    simulation.RunFor(Seconds(1));
    for (int step = 0; step < 15; ++step) {
      simulation.Submit(Simulation::MakeJob("j" + std::to_string(step), "p",
                                            1 + rng.Below(6),
                                            Milliseconds(300)));
      simulation.RunFor(Milliseconds(20 * (1 + rng.Below(30))));
      if (rng.Chance(0.15)) {
        simulation.TakeOver();
      }
    }
    simulation.RunFor(Seconds(20));
    INFO("seed " << seed);
    REQUIRE(simulation.m_max_concurrent_runs <= 1);
    REQUIRE(CountRestartedTasks(simulation) == 0);
    for (const auto& [id, row] : simulation.m_jobs) {
      REQUIRE(simulation.StateOfJob(id.Value()) == JobState::kCompleted);
    }
  }
}

}  // namespace
}  // namespace filbertspar::scheduler
