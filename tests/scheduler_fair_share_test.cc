#include <catch2/catch.hpp>

#include "tests/scheduler_simulation.h"

namespace filbertspar::scheduler {
namespace {

struct Outcome {
  int m_submitted = 0;
  int m_refused = 0;
  int m_on_time = 0;
};

/// Two workspaces submit jobs of four one-second tasks to a pool that completes
/// eight jobs per second; each has a share of four jobs per second.
std::map<std::string, Outcome> SimulateTwoWorkspaces(int steady_per_s,
                                                     int greedy_per_s) {
  Simulation simulation;
  for (const char* name : {"w1", "w2", "w3", "w4"}) {
    simulation.AddWorker(name, "p", 8);
  }
  simulation.Configure([](DeploymentConfig& deployment) {
    for (const char* name : {"steady", "greedy"}) {
      WorkspaceConfig workspace;
      workspace.m_name = WorkspaceName(name);
      workspace.m_share_per_s = 4;
      deployment.m_workspaces.push_back(workspace);
    }
  });
  struct Sent {
    std::string m_workspace;
    std::string m_id;
    TimePoint m_objective;
    bool m_done = false;
  };
  std::vector<Sent> sent;
  std::map<std::string, Outcome> outcomes;
  const std::map<std::string, int> rates = {{"steady", steady_per_s},
                                            {"greedy", greedy_per_s}};
  std::map<std::string, TimePoint> next;
  const TimePoint end = simulation.m_now + Seconds(8);
  for (const auto& [workspace, rate] : rates) {
    next[workspace] = simulation.m_now;
  }
  while (simulation.m_now < end + Seconds(15)) {
    for (const auto& [workspace, rate] : rates) {
      while (next[workspace] <= simulation.m_now && next[workspace] < end) {
        next[workspace] += Seconds(1) / rate;
        Outcome& outcome = outcomes[workspace];
        JobSpec job = Simulation::MakeJob(
            workspace + std::to_string(++outcome.m_submitted), "p", 4,
            Seconds(1));
        job.m_workspace = WorkspaceName(workspace);
        if (simulation.Submit(job)) {
          sent.push_back({workspace, job.m_id.Value(),
                          simulation.m_now + Seconds(2) + Milliseconds(600)});
        } else {
          ++outcome.m_refused;
        }
      }
    }
    simulation.RunFor(Milliseconds(20));
    for (Sent& job : sent) {
      if (!job.m_done &&
          simulation.StateOfJob(job.m_id) == JobState::kCompleted) {
        job.m_done = true;
        outcomes[job.m_workspace].m_on_time +=
            simulation.m_now <= job.m_objective;
      }
    }
  }
  return outcomes;
}

// One workspace's flood must not delay the others' jobs. The steady workspace
// stays within its share, so nearly all of its jobs must be on time.
TEST_CASE("a flood of one workspace leaves the others their share") {
  auto outcomes = SimulateTwoWorkspaces(3, 24);
  CHECK(outcomes["steady"].m_refused == 0);
  CHECK(outcomes["steady"].m_on_time >=
        outcomes["steady"].m_submitted * 9 / 10);
  CHECK(outcomes["greedy"].m_on_time >= 4 * 8 * 8 / 10);
}

// A share is no limit while the pool has free capacity.
TEST_CASE("a workspace beyond its share is served while there is capacity") {
  auto outcomes = SimulateTwoWorkspaces(1, 6);
  CHECK(outcomes["greedy"].m_refused == 0);
  CHECK(outcomes["greedy"].m_on_time == outcomes["greedy"].m_submitted);
}

// Jobs of public queues, which have no workspace, and of a deleted workspace
// must not count as beyond a share.
TEST_CASE("work without a workspace is never over a share") {
  Simulation simulation;
  CHECK(ConsumeShare(*simulation.m_owner, simulation.m_now, WorkspaceName()));
  CHECK(ConsumeShare(*simulation.m_owner, simulation.m_now,
                     WorkspaceName("gone")));
  CHECK_FALSE(IsOverShare(*simulation.m_owner, simulation.m_now,
                          WorkspaceName("gone")));
}

}  // namespace
}  // namespace filbertspar::scheduler
