#include <catch2/catch.hpp>
#include <random>
#include <utility>

#include "tests/scheduler_simulation.h"

namespace filbertspar::scheduler {
namespace {

/// What callers have been told, checked against what workers have done.
struct Answers {
  std::map<JobId, JobSpec> m_submitted;
  std::set<JobId> m_cancelled;
  std::set<JobId> m_expired;
  std::map<JobId, JobState> m_final;
  /// Starts of the job's tasks when its final state was shown.
  std::map<JobId, int> m_starts_when_final;
  std::map<JobState, int> m_shown;
};

bool HasEnded(const Simulation& simulation, const JobId& id,
              const StepSpec& spec, std::uint32_t occurrence,
              std::uint32_t step) {
  std::uint32_t done = 0;
  for (std::uint32_t i = 0; i < spec.m_count; ++i) {
    done += simulation.m_done.contains({id, occurrence, step, i});
  }
  // The end of one member of a gang stands for all.
  return spec.m_gang ? done > 0 : done == spec.m_count;
}

bool HasEnded(const Simulation& simulation, const JobSpec& job) {
  const std::uint32_t occurrences = std::max(job.m_occurrence_count, 1U);
  for (std::uint32_t k = 0; k < occurrences; ++k) {
    for (std::uint32_t s = 0; s < job.m_steps.size(); ++s) {
      if (!HasEnded(simulation, job.m_id, job.m_steps[s], k, s)) {
        return false;
      }
    }
  }
  return true;
}

/// Whether a task has used up its attempts, or has crashed with workers.
bool MayHaveFailed(const Simulation& simulation, const JobSpec& job) {
  std::map<std::pair<std::uint32_t, std::uint32_t>, std::set<std::uint64_t>>
      runs_of_gangs;
  for (const auto& [task, runs] : simulation.m_failed_runs) {
    if (task.m_job != job.m_id) {
      continue;
    }
    std::set<std::uint64_t> failed = runs;
    if (job.m_steps[task.m_step].m_gang) {
      auto& gang = runs_of_gangs[{task.m_occurrence, task.m_step}];
      gang.insert(runs.begin(), runs.end());
      failed = gang;
    }
    if (failed.size() >= job.m_policy.m_max_attempts) {
      return true;
    }
  }
  return std::any_of(
      simulation.m_lost_runs.begin(), simulation.m_lost_runs.end(),
      [&job](const auto& lost) { return lost.first.m_job == job.m_id; });
}

int StartsOf(const Simulation& simulation, const JobId& id) {
  int starts = 0;
  for (auto it = simulation.m_starts.lower_bound(TaskId{id});
       it != simulation.m_starts.end() && it->first.m_job == id; ++it) {
    starts += it->second;
  }
  return starts;
}

void CheckAnswers(const Simulation& simulation, Answers& answers) {
  for (const auto& [id, job] : answers.m_submitted) {
    const std::optional<JobState> state =
        ReportedState(*simulation.m_owner, id);
    if (answers.m_expired.contains(id)) {
      REQUIRE_FALSE(state);
      continue;
    }
    INFO("job " << id.Value());
    REQUIRE(state);
    REQUIRE(MatchJob(*simulation.m_owner, id, nullptr, job.m_queue) ==
            JobMatch::kSameQueue);
    REQUIRE(MatchJob(*simulation.m_owner, id, nullptr, QueueName("other")) ==
            JobMatch::kOtherQueue);
    const auto shown = answers.m_final.find(id);
    if (shown != answers.m_final.end()) {
      REQUIRE(*state == shown->second);
      REQUIRE(StartsOf(simulation, id) == answers.m_starts_when_final[id]);
      continue;
    }
    if (*state == JobState::kCompleted) {
      REQUIRE(HasEnded(simulation, job));
    } else if (*state == JobState::kFailed) {
      REQUIRE(MayHaveFailed(simulation, job));
    } else if (*state == JobState::kCancelled) {
      REQUIRE(answers.m_cancelled.contains(id));
    } else if (*state == JobState::kRunning) {
      REQUIRE(StartsOf(simulation, id) > 0);
    }
    if (IsFinal(*state)) {
      answers.m_final[id] = *state;
      answers.m_starts_when_final[id] = StartsOf(simulation, id);
      ++answers.m_shown[*state];
    }
  }
  REQUIRE_FALSE(ReportedState(*simulation.m_owner, JobId("never-submitted")));
  for (const auto& [id, job] : simulation.m_owner->m_jobs) {
    REQUIRE(answers.m_submitted.contains(id));
  }
}

class History {
 public:
  /// With few changes of owner jobs are trimmed, and with a short retention
  /// they are forgotten.
  explicit History(std::uint64_t seed)
      : m_random(seed),
        m_owner_change_permille(seed % 2 == 0 ? 20 : 2),
        m_forgets_jobs(seed % 4 < 2) {
    m_simulation.m_owner->m_options.m_state_retention =
        m_forgets_jobs ? Milliseconds(700) : Seconds(60);
    for (int i = 0; i < 5; ++i) {
      m_simulation.AddWorker("w" + std::to_string(i), "p", 8);
    }
    if (seed % 3 == 0) {
      m_simulation.m_max_listed_ends = 1;
    }
    m_simulation.Configure([](DeploymentConfig& deployment) {
      for (const char* name : {"q-p", "other"}) {
        deployment.m_queues.emplace_back().m_name = QueueName(name);
      }
    });
    m_simulation.m_store_rejects = [this](const JobWrite& write) {
      return m_rejected_jobs.contains(write.m_id);
    };
  }

  void Step() {
    if (Chance(10) && m_answers.m_submitted.size() < 150) {
      Submit();
    }
    if (Chance(3) && !m_answers.m_submitted.empty()) {
      const JobId id = AnyJob();
      if (!m_answers.m_expired.contains(id)) {
        m_answers.m_cancelled.insert(id);
        CancelJob(*m_simulation.m_owner, m_simulation.m_now, id);
      }
    }
    if (Chance(3)) {
      m_simulation.m_store_is_down = !m_simulation.m_store_is_down;
    }
    if (Chance(2) && !m_answers.m_submitted.empty()) {
      m_rejected_jobs.insert(AnyJob());
    }
    if (Chance(2)) {
      m_rejected_jobs.clear();
    }
    if (Chance(4)) {
      DisturbWorker();
    }
    if (m_random() % 1000 < m_owner_change_permille) {
      ChangeOwner();
    }
    m_simulation.RunFor(Milliseconds(20));
    TrimFinishedJobs(*m_simulation.m_owner, m_simulation.m_now);
    CheckAnswers(m_simulation, m_answers);
    RemoveExpired();
  }

  /// Ends all disturbances, so that what is left must end.
  void Settle() {
    m_simulation.m_store_is_down = false;
    m_rejected_jobs.clear();
    for (const auto& worker : m_simulation.m_workers) {
      worker->m_rejects_starts = false;
      worker->m_refuses = false;
      worker->m_drops_responses = false;
      if (worker->m_crashed_at == TimePoint::max()) {
        worker->m_is_unreachable = false;
      }
    }
    for (int i = 0; i < 300; ++i) {
      m_simulation.RunFor(Milliseconds(100));
      CheckAnswers(m_simulation, m_answers);
    }
  }

  /// Starts of tasks of which a run had ended as done and was acknowledged.
  int CountStartsAfterEnd() const { return m_simulation.m_starts_after_end; }
  const Answers& GetAnswers() const { return m_answers; }
  bool ForgetsJobs() const { return m_forgets_jobs; }

 private:
  bool Chance(int percent) {
    return static_cast<int>(m_random() % 100) < percent;
  }

  JobId AnyJob() {
    auto job = m_answers.m_submitted.begin();
    std::advance(job, m_random() % m_answers.m_submitted.size());
    return job->first;
  }

  void Submit() {
    const std::string id = "job" + std::to_string(m_answers.m_submitted.size());
    // Longer than a lease, or much shorter.
    const Duration estimate =
        Milliseconds(100 + m_random() % (Chance(20) ? 5000 : 700));
    JobSpec job = Simulation::MakeJob(id, "p", 1 + m_random() % 6, estimate);
    job.m_received_ms = ToMilliseconds(m_simulation.m_now.time_since_epoch());
    if (Chance(40)) {
      job.m_steps.push_back(job.m_steps.front());
      job.m_steps.back().m_depends_on = {0};
      job.m_steps.back().m_gang = Chance(50);
    }
    job.m_steps.front().m_gang = Chance(20);
    if (Chance(20)) {
      job.m_occurrence_count = 1 + m_random() % 4;
      job.m_first_due_ms = job.m_received_ms;
      job.m_interval = Milliseconds(300);
    }
    if (Chance(10)) {
      m_simulation.m_failing_jobs.insert(id);
    }
    if (!m_simulation.m_store_is_down && m_simulation.Submit(job)) {
      m_answers.m_submitted[job.m_id] = job;
    }
  }

  void DisturbWorker() {
    FakeWorker& worker =
        *m_simulation.m_workers[m_random() % m_simulation.m_workers.size()];
    if (worker.m_crashed_at != TimePoint::max()) {
      return;
    }
    switch (m_random() % 7) {
      case 0:
        worker.m_rejects_starts = !worker.m_rejects_starts;
        break;
      case 1:
        worker.m_refuses = !worker.m_refuses;
        break;
      case 2:
        worker.m_drops_responses = !worker.m_drops_responses;
        break;
      case 3:
        worker.m_is_unreachable = !worker.m_is_unreachable;
        break;
      case 4:
        m_simulation.Restart(worker);
        break;
      case 5:
        m_simulation.PowerOff(worker);
        break;
      default:
        m_simulation.Crash(worker);
    }
  }

  void ChangeOwner() {
    m_simulation.m_runs_are_recorded = Chance(70);
    switch (m_random() % 4) {
      case 0:
        m_simulation.TakeOver();
        break;
      case 3: {
        // All owners are gone for a while, in which nobody reads ends.
        const bool is_down = std::exchange(m_simulation.m_store_is_down, true);
        m_simulation.RunFor(Milliseconds(700));
        m_simulation.TakeOver();
        m_simulation.m_store_is_down = is_down;
        break;
      }
      case 1:
        m_simulation.StoreWithoutAnswer();
        m_simulation.TakeOver();
        break;
      default:
        // The store allows no such write; progress that is newer than the row
        // of its job must be read right all the same.
        m_simulation.TakeOver([this] { m_simulation.StoreWithoutAnswer(); });
    }
  }

  void RemoveExpired() {
    if (m_simulation.m_store_is_down) {
      return;
    }
    m_simulation.RemoveExpired();
    for (const auto& [id, state] : m_answers.m_final) {
      if (!ReportedState(*m_simulation.m_owner, id)) {
        m_answers.m_expired.insert(id);
      }
    }
  }

  std::mt19937_64 m_random;
  std::uint64_t m_owner_change_permille;
  bool m_forgets_jobs;
  Simulation m_simulation;
  std::set<JobId> m_rejected_jobs;
  Answers m_answers;
};

// Guards against any order of faults after which callers are told of an end
// that was none, of a job that is not theirs, or of an end that is taken back,
// or a task is started again after its end.
TEST_CASE("what callers are told of a job is true and stays so") {
  const std::uint64_t seed = GENERATE(range(1, 31));
  CAPTURE(seed);
  History history(seed);
  for (int step = 0; step < 1200; ++step) {
    history.Step();
  }
  history.Settle();
  CHECK(history.CountStartsAfterEnd() == 0);
  const Answers& answers = history.GetAnswers();
  CHECK(answers.m_final.size() == answers.m_submitted.size());
  for (const JobState state :
       {JobState::kCompleted, JobState::kFailed, JobState::kCancelled}) {
    CHECK(answers.m_shown.contains(state));
  }
  CHECK(answers.m_expired.empty() != history.ForgetsJobs());
}

}  // namespace
}  // namespace filbertspar::scheduler
