#include "filbertspar/scheduler/src/dispatch.h"

#include <algorithm>
#include <tuple>

#include "absl/strings/str_cat.h"
#include "filbertspar/scheduler/src/admit.h"
#include "filbertspar/scheduler/src/eligibility.h"
#include "filbertspar/scheduler/src/evacuate.h"
#include "filbertspar/scheduler/src/isolation.h"
#include "filbertspar/scheduler/src/jobs.h"
#include "filbertspar/scheduler/src/placement.h"
#include "filbertspar/scheduler/src/starts.h"
#include "filbertspar/scheduler/src/throttle.h"
#include "filbertspar/scheduler/src/workers.h"

namespace filbertspar::scheduler {
namespace {

/// Tasks of one pool that a dispatch starts; a gang may exceed it. Bounds the
/// time of a dispatch for steps of any size. The next one follows when the
/// starts are stored.
constexpr std::uint32_t kMaxStartsPerPool = 512;

/// Dispatch order. Long-running tasks come first because they are useful only
/// while they run. Next come jobs that can still meet their objective, then
/// late jobs, then both kinds of jobs beyond their workspace's share.
enum class Urgency : std::uint8_t {
  kServing,
  kBestEffort,
  kOnTime,
  kLate,
  kOverShareOnTime,
  kOverShareLate,
};

Urgency UrgencyOf(bool over_share, bool on_time) {
  if (over_share) {
    return on_time ? Urgency::kOverShareOnTime : Urgency::kOverShareLate;
  }
  return on_time ? Urgency::kOnTime : Urgency::kLate;
}

struct Candidate {
  Urgency m_urgency = Urgency::kLate;
  std::uint32_t m_priority = 0;
  TimePoint m_objective{};
  Job* m_job = nullptr;
  Occurrence* m_occurrence = nullptr;

  auto Key() const { return std::tuple(m_urgency, m_priority, m_objective); }
};

TimePoint ObjectiveOfOccurrence(const Scheduler& scheduler, const Job& job,
                                const Occurrence& occurrence) {
  const TimePoint objective = ObjectiveOf(scheduler, job);
  if (job.m_spec->m_occurrence_count == 0) {
    return objective;
  }
  const Duration due =
      Milliseconds(job.m_spec->m_first_due_ms) +
      job.m_spec->m_interval * static_cast<std::int64_t>(occurrence.m_number) -
      scheduler.m_unix_offset;
  return objective + (TimePoint(due) - job.m_accepted_at);
}

std::vector<Candidate> CandidatesOf(const Scheduler& scheduler, TimePoint now,
                                    const Pool& pool) {
  std::vector<Candidate> candidates;
  for (Job* job : pool.m_jobs) {
    if (!MayStartTasks(scheduler, *job)) {
      continue;
    }
    for (const auto& occurrence : job->m_occurrences) {
      const bool has_waiting =
          std::any_of(occurrence->m_steps.begin(), occurrence->m_steps.end(),
                      [](const Step& step) { return step.m_waiting > 0; });
      if (!has_waiting) {
        continue;
      }
      Candidate candidate;
      candidate.m_priority = job->m_spec->m_policy.m_priority;
      candidate.m_objective =
          ObjectiveOfOccurrence(scheduler, *job, *occurrence);
      candidate.m_job = job;
      candidate.m_occurrence = occurrence.get();
      if (job->m_long_running) {
        candidate.m_urgency = job->m_spec->m_steps[0].m_best_effort
                                  ? Urgency::kBestEffort
                                  : Urgency::kServing;
      } else {
        const bool on_time =
            now + RemainingCriticalPath(scheduler, now, *job, *occurrence) <=
            candidate.m_objective;
        candidate.m_urgency = UrgencyOf(job->m_over_share, on_time);
      }
      candidates.push_back(candidate);
    }
  }
  std::sort(
      candidates.begin(), candidates.end(),
      [](const Candidate& a, const Candidate& b) { return a.Key() < b.Key(); });
  return candidates;
}

void DeductStart(std::vector<FreeCapacity>& capacities, WorkerIndex worker,
                 const ResourceVector& demand) {
  for (FreeCapacity& capacity : capacities) {
    if (capacity.m_worker == worker) {
      capacity.m_free -= demand;
      capacity.m_starts_left -=
          std::min<std::uint32_t>(capacity.m_starts_left, 1);
    }
  }
}

void StartGang(Scheduler& scheduler, TimePoint now,
               std::vector<FreeCapacity>& capacities, const TaskRef& first) {
  const Step& step = first.GetStep();
  const StepSpec& spec = first.Spec();
  ResourceVector total;
  std::uint64_t run = 0;
  for (const Task& task : step.m_tasks) {
    if (!IsStartable(task, now)) {
      return;
    }
    total += spec.m_demand;
    run = std::max(run, NextRun(scheduler, task));
  }
  if (!IsWithinQuota(scheduler, first.m_job->m_spec->m_workspace, total)) {
    return;
  }
  const std::vector<WorkerIndex> workers =
      ChooseGangWorkers(scheduler, now, capacities, first);
  for (std::uint32_t i = 0; i < workers.size(); ++i) {
    const TaskRef ref{first.m_job, first.m_occurrence, first.m_step, i};
    PlanStart(scheduler, now, ref, workers[i], run);
    DeductStart(capacities, workers[i], ReservedDemand(spec));
  }
}

/// Tasks of a long-running step that could start if there were a worker for
/// them.
std::uint32_t CountUnplaced(const Scheduler& scheduler, TimePoint now,
                            const TaskRef& first) {
  const StepSpec& spec = first.Spec();
  if (!spec.m_long_running || !scheduler.m_inherited_resolved ||
      !IsWithinQuota(scheduler, first.m_job->m_spec->m_workspace,
                     spec.m_demand)) {
    return 0;
  }
  const std::vector<Task>& tasks = first.GetStep().m_tasks;
  return static_cast<std::uint32_t>(std::count_if(
      tasks.begin(), tasks.end(),
      [now](const Task& task) { return IsStartable(task, now); }));
}

/// Starts up to `limit` tasks of the step, or all members of a gang.
void StartStep(Scheduler& scheduler, TimePoint now,
               std::vector<FreeCapacity>& capacities, const TaskRef& first,
               std::uint32_t limit) {
  const StepSpec& spec = first.Spec();
  first.GetStep().m_unplaced = 0;
  if (spec.m_gang) {
    if (!WaitsForIsolation(first, now)) {
      StartGang(scheduler, now, capacities, first);
    }
    return;
  }
  StepSpread spread = SpreadOf(scheduler, first);
  const auto count = static_cast<std::uint32_t>(first.GetStep().m_tasks.size());
  std::uint32_t started = 0;
  for (std::uint32_t i = 0; i < count && started < limit; ++i) {
    const TaskRef ref{first.m_job, first.m_occurrence, first.m_step, i};
    const Task& task = ref.GetTask();
    if (!IsStartable(task, now) || WaitsForIsolation(ref, now)) {
      continue;
    }
    if (!IsWithinQuota(scheduler, ref.m_job->m_spec->m_workspace,
                       spec.m_demand)) {
      break;
    }
    const WorkerIndex worker =
        ChooseWorker(scheduler, now, capacities, ref, spread);
    if (worker == kNoWorker) {
      first.GetStep().m_unplaced = CountUnplaced(scheduler, now, first);
      break;
    }
    PlanStart(scheduler, now, ref, worker, NextRun(scheduler, task));
    DeductStart(capacities, worker, ReservedDemand(spec));
    AddToSpread(spread, scheduler, worker);
    ++started;
  }
  if (started > 0) {
    AddLogDetail(
        scheduler, "step_start", first.Id(), kNoWorker,
        absl::StrCat(
            "tasks=", started, " waiting=", first.GetStep().m_waiting,
            " age_ms=", ToMilliseconds(now - first.m_job->m_accepted_at)));
  }
}

/// Maximum free amount of each resource on any one worker that takes another
/// start; negative if there is none.
ResourceVector LargestFreeCapacity(
    const std::vector<FreeCapacity>& capacities) {
  ResourceVector largest = {Millicores(-1), Megabytes(-1), Accelerators(-1)};
  for (const FreeCapacity& capacity : capacities) {
    if (capacity.m_starts_left == 0) {
      continue;
    }
    largest.m_cpu = std::max(largest.m_cpu, capacity.m_free.m_cpu);
    largest.m_memory = std::max(largest.m_memory, capacity.m_free.m_memory);
    largest.m_accelerators =
        std::max(largest.m_accelerators, capacity.m_free.m_accelerators);
  }
  return largest;
}

}  // namespace

void Dispatch(Scheduler& scheduler, TimePoint now) {
  if (scheduler.m_deployment == nullptr) {
    // The configuration has not been read, so workspace quotas are unknown.
    // Starting tasks now could exceed them.
    return;
  }
  AdvanceOccurrences(scheduler, now);
  Evacuate(scheduler, now);
  for (auto& [name, pool] : scheduler.m_pools) {
    if (pool.m_jobs.empty()) {
      continue;
    }
    StartSuspects(scheduler, now, name);
    std::vector<FreeCapacity> capacities = FreeCapacities(scheduler, now, pool);
    // With a long backlog most steps fit on no worker; this check avoids
    // scanning all workers for each of them.
    ResourceVector largest = LargestFreeCapacity(capacities);
    std::uint32_t starts_left = kMaxStartsPerPool;
    for (const Candidate& candidate : CandidatesOf(scheduler, now, pool)) {
      if (starts_left == 0) {
        break;
      }
      const auto steps =
          static_cast<std::uint32_t>(candidate.m_occurrence->m_steps.size());
      for (std::uint32_t s = 0; s < steps && starts_left > 0; ++s) {
        const StepSpec& spec = candidate.m_job->m_spec->m_steps[s];
        Step& step = candidate.m_occurrence->m_steps[s];
        if (step.m_waiting == 0 ||
            !IsReady(*candidate.m_job, *candidate.m_occurrence, s, now)) {
          step.m_unplaced = 0;
          continue;
        }
        if (!FitsIn(ReservedDemand(spec), largest)) {
          step.m_unplaced = CountUnplaced(
              scheduler, now, {candidate.m_job, candidate.m_occurrence, s, 0});
          continue;
        }
        const std::uint32_t waiting = step.m_waiting;
        StartStep(scheduler, now, capacities,
                  {candidate.m_job, candidate.m_occurrence, s, 0}, starts_left);
        if (step.m_waiting != waiting) {
          starts_left -= std::min(starts_left, waiting - step.m_waiting);
          largest = LargestFreeCapacity(capacities);
        }
      }
    }
  }
  ThrottleBestEffortTasks(scheduler, now);
}

std::vector<RecommendationRequest> CollectRecommendationRequests(
    Scheduler& scheduler, TimePoint now) {
  /// Approvals are renewed when they expire within this time.
  constexpr Duration kRenewBefore = Milliseconds(500);
  /// Minimum time between two requests for one step.
  constexpr Duration kRequestInterval = Seconds(1);
  /// The service's response time grows with the number of workers asked about.
  constexpr std::size_t kMaxWorkersPerRequest = 12;
  std::vector<RecommendationRequest> requests;
  for (auto& [name, pool] : scheduler.m_pools) {
    const bool needs_recommendation =
        std::any_of(pool.m_jobs.begin(), pool.m_jobs.end(), [](const Job* job) {
          return job->m_spec->m_policy.m_needs_recommendation;
        });
    if (!needs_recommendation) {
      continue;
    }
    for (const Candidate& candidate : CandidatesOf(scheduler, now, pool)) {
      if (!candidate.m_job->m_spec->m_policy.m_needs_recommendation) {
        continue;
      }
      for (std::uint32_t s = 0; s < candidate.m_occurrence->m_steps.size();
           ++s) {
        const TaskRef ref{candidate.m_job, candidate.m_occurrence, s, 0};
        if (ref.GetStep().m_waiting == 0 ||
            !IsReady(*candidate.m_job, *candidate.m_occurrence, s, now)) {
          continue;
        }
        Approvals& approvals = scheduler.m_approvals[ref.Id()];
        if (now < approvals.m_request_pending_until ||
            (!approvals.m_tickets.empty() &&
             now + kRenewBefore < approvals.m_valid_until)) {
          continue;
        }
        std::vector<FreeCapacity> capacities =
            FreeCapacities(scheduler, now, pool);
        std::sort(capacities.begin(), capacities.end(),
                  [](const FreeCapacity& a, const FreeCapacity& b) {
                    return a.m_free.m_cpu > b.m_free.m_cpu;
                  });
        RecommendationRequest request;
        request.m_first_task = ref.Id();
        const std::size_t offset = approvals.m_workers_asked;
        for (std::size_t i = 0;
             i < capacities.size() &&
             request.m_workers.size() < kMaxWorkersPerRequest;
             ++i) {
          const FreeCapacity& capacity =
              capacities[(offset + i) % capacities.size()];
          request.m_workers.push_back(
              scheduler.m_workers[capacity.m_worker].m_record.m_name);
        }
        if (!request.m_workers.empty()) {
          approvals.m_workers_asked += request.m_workers.size();
          approvals.m_request_pending_until = now + kRequestInterval;
          requests.push_back(std::move(request));
        }
      }
    }
  }
  return requests;
}

void HandleRecommendation(Scheduler& scheduler, TimePoint now,
                          const TaskId& task,
                          const Recommendation* recommendation) {
  const auto found = scheduler.m_approvals.find(task);
  if (found == scheduler.m_approvals.end()) {
    return;
  }
  Approvals& approvals = found->second;
  approvals.m_request_pending_until = now;
  if (recommendation == nullptr) {
    return;
  }
  if (now >= approvals.m_valid_until) {
    approvals.m_tickets.clear();
  }
  for (const Approval& approval : recommendation->m_approved) {
    approvals.m_tickets[approval.m_worker] = approval.m_ticket;
  }
  approvals.m_valid_until = now + recommendation->m_validity;
}

}  // namespace filbertspar::scheduler
