#include <catch2/catch.hpp>

#include "tests/scheduler_simulation.h"

namespace filbertspar::scheduler {
namespace {

void NameQueues(Simulation& simulation, const std::vector<std::string>& names) {
  simulation.Configure([&names](DeploymentConfig& deployment) {
    deployment.m_queues.clear();
    for (const std::string& name : names) {
      QueueConfig queue;
      queue.m_name = QueueName(name);
      deployment.m_queues.push_back(queue);
    }
  });
}

// Guards against a job that is shown, or cancelled, under a queue to which
// nobody submitted it.
TEST_CASE("a job is found under its own queue only") {
  Simulation simulation;
  simulation.AddWorker("w1", "p", 8);
  NameQueues(simulation, {"q-p", "other"});
  simulation.RunFor(Milliseconds(100));
  const JobId id("job");
  REQUIRE(simulation.Submit(Simulation::MakeJob("job", "p", 2, Seconds(1))));
  CHECK(IsOfQueue(*simulation.m_owner, id, QueueName("q-p")));
  CHECK_FALSE(IsOfQueue(*simulation.m_owner, id, QueueName("other")));
  simulation.TakeOver();
  CHECK(IsOfQueue(*simulation.m_owner, id, QueueName("q-p")));
  CHECK_FALSE(IsOfQueue(*simulation.m_owner, id, QueueName("other")));
  simulation.RunFor(Seconds(15));
  REQUIRE(simulation.StateOfJob("job") == JobState::kCompleted);
  TrimFinishedJobs(*simulation.m_owner, simulation.m_now);
  CHECK(IsOfQueue(*simulation.m_owner, id, QueueName("q-p")));
  CHECK_FALSE(IsOfQueue(*simulation.m_owner, id, QueueName("other")));
}

// Guards against a caller who is told that the own accepted job does not exist.
TEST_CASE("a job stays known to its caller whatever becomes of its queue") {
  Simulation simulation;
  simulation.AddWorker("w1", "p", 8);
  const JobId id("job");
  const auto is_found = [&](const std::string& queue) {
    return IsOfQueue(*simulation.m_owner, id, QueueName(queue));
  };
  CHECK(is_found("q-p"));
  simulation.RunFor(Milliseconds(100));
  REQUIRE(simulation.Submit(Simulation::MakeJob("job", "p", 2, Seconds(1))));
  SECTION("this VM has no configuration") {
    simulation.m_owner->m_deployment = nullptr;
    CHECK(is_found("renamed"));
  }
  SECTION("the queue is renamed, and this VM knows it") {
    NameQueues(simulation, {"renamed", "other"});
    CHECK(is_found("renamed"));
    CHECK(is_found("q-p"));
  }
  SECTION("the queue is renamed, and only the calling VM knows it") {
    NameQueues(simulation, {"q-p", "other"});
    CHECK(is_found("renamed"));
  }
  SECTION("only the final state is stored") {
    NameQueues(simulation, {"q-p", "other"});
    simulation.RunFor(Seconds(2));
    REQUIRE(simulation.StateOfJob("job") == JobState::kCompleted);
    simulation.TakeOver();
    REQUIRE(simulation.StateOfJob("job") == JobState::kCompleted);
    CHECK(is_found("q-p"));
  }
}

}  // namespace
}  // namespace filbertspar::scheduler
