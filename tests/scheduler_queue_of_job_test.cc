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

/// A job of "q-p" that has ended, of which only the final state is stored.
void EndJob(Simulation& simulation, JobState state) {
  simulation.AddWorker("w1", "p", 8);
  NameQueues(simulation, {"q-p", "other"});
  simulation.RunFor(Milliseconds(100));
  JobSpec job = Simulation::MakeJob("job", "p", 2, Seconds(1));
  job.m_workspace = WorkspaceName("team");
  REQUIRE(simulation.Submit(job));
  if (state == JobState::kCancelled) {
    simulation.RunFor(Milliseconds(100));
    CancelJob(*simulation.m_owner, simulation.m_now, job.m_id);
  } else if (state == JobState::kFailed) {
    simulation.m_failing_jobs.insert("job");
  }
  simulation.RunFor(Seconds(15));
  REQUIRE(simulation.StateOfJob("job") == state);
  REQUIRE(simulation.m_removed_rows.contains(job.m_id));
}

// Guards against a final job that is shown under every queue after a take-over,
// and takes the place of another caller's job of its id (review/18).
TEST_CASE("a final job is found under its own queue only by the next owners") {
  const JobState state =
      GENERATE(JobState::kCompleted, JobState::kFailed, JobState::kCancelled);
  Simulation simulation;
  EndJob(simulation, state);
  const JobId id("job");
  for (int owner = 0; owner < 3; ++owner) {
    simulation.TakeOver();
    CHECK(simulation.StateOfJob("job") == state);
    CHECK(IsOfQueue(*simulation.m_owner, id, QueueName("q-p")));
    CHECK_FALSE(IsOfQueue(*simulation.m_owner, id, QueueName("other")));
    simulation.RunFor(Seconds(12));
    TrimFinishedJobs(*simulation.m_owner, simulation.m_now);
  }
  const JobSpec& restored = *simulation.m_owner->m_jobs.at(id)->m_spec;
  CHECK(restored.m_workspace == WorkspaceName("team"));
}

// Guards against a job of an earlier release, whose final row names no queue,
// that is shown to a stranger or runs again (review/18).
TEST_CASE("a final job without a queue is neither shown nor run again") {
  Simulation simulation;
  EndJob(simulation, JobState::kCompleted);
  const JobId id("job");
  JobProgress progress = *DecodeProgress(simulation.m_progress.at(id));
  progress.m_queue = QueueName();
  progress.m_workspace = WorkspaceName();
  simulation.m_progress.at(id) = EncodeProgress(progress);
  simulation.TakeOver();
  const Scheduler& owner = *simulation.m_owner;
  for (const char* queue : {"q-p", "other", "renamed", ""}) {
    CHECK_FALSE(IsOfQueue(owner, id, QueueName(queue)));
    CHECK(MatchJob(owner, id, nullptr, QueueName(queue)) ==
          JobMatch::kUnidentified);
  }
  // The id is in use, so that a submission adds no job.
  const std::map<TaskId, int> starts = simulation.m_starts;
  AddJob(*simulation.m_owner, simulation.m_now,
         Simulation::MakeJob("job", "p", 2, Seconds(1)));
  simulation.RunFor(Seconds(2));
  CHECK(simulation.m_starts == starts);
  // It is forgotten as every final job is.
  simulation.RunFor(simulation.m_owner->m_options.m_state_retention);
  CHECK(simulation.RemoveExpired() == 1);
  CHECK(MatchJob(owner, id, nullptr, QueueName("q-p")) == JobMatch::kNone);
}

// Guards against a job whose tasks run again after their ends because its
// progress cannot be read, and against an id that is given away a second time.
TEST_CASE("a job with an unreadable row does not run") {
  const bool is_progress = GENERATE(true, false);
  Simulation simulation;
  simulation.AddWorker("w1", "p", 8);
  NameQueues(simulation, {"q-p", "other"});
  simulation.RunFor(Milliseconds(100));
  const JobId id("job");
  JobSpec job = Simulation::MakeJob("job", "p", 2, Seconds(1));
  job.m_steps.push_back(job.m_steps.front());
  job.m_steps.back().m_depends_on = {0};
  REQUIRE(simulation.Submit(job));
  simulation.RunFor(Milliseconds(1500));
  REQUIRE(simulation.StateOfJob("job") == JobState::kRunning);
  const std::map<TaskId, int> starts = simulation.m_starts;
  const std::string row = simulation.m_jobs.at(id);
  (is_progress ? simulation.m_progress : simulation.m_jobs).at(id) = "damaged";
  simulation.TakeOver();
  simulation.RunFor(Seconds(10));
  CHECK(simulation.m_starts == starts);
  CHECK_FALSE(ReportedState(*simulation.m_owner, id));
  CHECK(MatchJob(*simulation.m_owner, id, nullptr, QueueName("q-p")) ==
        JobMatch::kUnidentified);
  // The rows are kept: a release that can read them resumes the job.
  CHECK_FALSE(simulation.m_removed_rows.contains(id));
}

// Guards against an owner without a configuration that shows a job to any
// queue, and against a caller who is told that the own job does not exist.
TEST_CASE("without a configuration a job is matched by the queue's name") {
  Simulation simulation;
  EndJob(simulation, JobState::kCompleted);
  simulation.TakeOver();
  simulation.m_owner->m_deployment = nullptr;
  const auto match = [&](const char* queue) {
    return MatchJob(*simulation.m_owner, JobId("job"), nullptr,
                    QueueName(queue));
  };
  CHECK(match("q-p") == JobMatch::kSameQueue);
  CHECK(match("other") == JobMatch::kUndecided);
}

// Guards against replies that give away, or deny, a job whose queue is another
// one or is not known.
TEST_CASE("replies to calls on the jobs of others") {
  for (const bool is_submission : {true, false}) {
    CHECK(CodeForOthers(JobMatch::kNone, is_submission) == Code::kOk);
    CHECK(CodeForOthers(JobMatch::kSameQueue, is_submission) == Code::kOk);
    CHECK(CodeForOthers(JobMatch::kUnidentified, is_submission) ==
          Code::kAlreadyClaimed);
    CHECK(CodeForOthers(JobMatch::kUndecided, is_submission) == Code::kNoOwner);
  }
  CHECK(CodeForOthers(JobMatch::kOtherQueue, true) == Code::kAlreadyClaimed);
  CHECK(CodeForOthers(JobMatch::kOtherQueue, false) == Code::kRequestUnknown);
}

// Guards against an answer about a job that is being stored, from the wrong
// queue.
TEST_CASE("a job that is being stored is matched by its own queue") {
  Simulation simulation;
  NameQueues(simulation, {"q-p", "other"});
  const JobSpec storing = Simulation::MakeJob("job", "p", 1, Seconds(1));
  const auto match = [&](const JobSpec* spec, const char* queue) {
    return MatchJob(*simulation.m_owner, JobId("job"), spec, QueueName(queue));
  };
  CHECK(match(nullptr, "q-p") == JobMatch::kNone);
  CHECK(match(&storing, "q-p") == JobMatch::kSameQueue);
  CHECK(match(&storing, "other") == JobMatch::kOtherQueue);
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
