#include "filbertspar/scheduler/src/admit.h"

#include <algorithm>

#include "filbertspar/scheduler/src/fair_share.h"
#include "filbertspar/scheduler/src/load.h"
#include "filbertspar/scheduler/src/workers.h"

namespace filbertspar::scheduler {
namespace {

/// A job that would end later than this multiple of its objective is of no use
/// to its caller and is refused.
constexpr double kMaxLatenessFactor = 3;
/// Bounds of the retry delay given with a refusal.
constexpr Duration kMinRetryAfter = Seconds(1);
constexpr Duration kMaxRetryAfter = Seconds(10);

Duration Scaled(Duration duration, double factor) {
  return Duration(static_cast<std::int64_t>(
      static_cast<double>(duration.count()) * factor));
}

}  // namespace

double RunTimeRatio(const Scheduler& scheduler, const QueueName& queue) {
  const auto found = scheduler.m_history.find(queue);
  return found == scheduler.m_history.end() ? 1 : found->second.m_ratio;
}

TimePoint ObjectiveOf(const Scheduler& scheduler, const Job& job) {
  const QueuePolicy& policy = job.m_spec->m_policy;
  return job.m_accepted_at +
         Scaled(
             job.m_critical_path,
             policy.m_stretch * RunTimeRatio(scheduler, job.m_spec->m_queue)) +
         policy.m_target;
}

Duration RemainingCriticalPath(const Scheduler& scheduler, TimePoint now,
                               const Job& job, const Occurrence& occurrence) {
  const double ratio = RunTimeRatio(scheduler, job.m_spec->m_queue);
  if (!job.m_has_begun) {
    return Scaled(job.m_critical_path, ratio);
  }
  Duration longest{0};
  std::vector<Duration> step_ends(occurrence.m_steps.size(), Duration(0));
  for (std::size_t s = 0; s < occurrence.m_steps.size(); ++s) {
    const Step& step = occurrence.m_steps[s];
    const StepSpec& spec = job.m_spec->m_steps[s];
    if (step.m_done == step.m_tasks.size()) {
      continue;
    }
    Duration start{0};
    for (const std::uint32_t dependency : spec.m_depends_on) {
      start = std::max(start, step_ends[dependency]);
    }
    Duration needed = Scaled(spec.m_estimate, ratio);
    if (step.m_waiting == 0) {
      Duration remaining{0};
      for (const Task& task : step.m_tasks) {
        if (task.m_phase != TaskPhase::kDone) {
          remaining = std::max(remaining, needed - (now - task.m_since));
        }
      }
      needed = remaining;
    }
    step_ends[s] = start + needed;
    longest = std::max(longest, step_ends[s]);
  }
  return longest;
}

Duration RemainingCriticalPath(const Scheduler& scheduler, TimePoint now,
                               const Job& job) {
  Duration longest{0};
  for (const auto& occurrence : job.m_occurrences) {
    longest = std::max(longest,
                       RemainingCriticalPath(scheduler, now, job, *occurrence));
  }
  return longest;
}

Admission Admit(const Scheduler& scheduler, TimePoint now, const JobSpec& spec,
                const PoolWorkload& workload) {
  Admission admission;
  const bool long_running =
      std::any_of(spec.m_steps.begin(), spec.m_steps.end(),
                  [](const StepSpec& step) { return step.m_long_running; });
  const auto found = scheduler.m_pools.find(spec.m_policy.m_pool);
  if (long_running || spec.m_occurrence_count > 0 ||
      found == scheduler.m_pools.end()) {
    return admission;
  }
  const double cores = workload.m_cores + found->second.m_incoming_cores;
  if (cores <= 0) {
    return admission;
  }
  const double ratio = RunTimeRatio(scheduler, spec.m_queue);
  std::vector<Duration> step_ends(spec.m_steps.size(), Duration(0));
  for (std::size_t s = 0; s < spec.m_steps.size(); ++s) {
    Duration start{0};
    for (const std::uint32_t dependency : spec.m_steps[s].m_depends_on) {
      start = std::max(start, step_ends[dependency]);
    }
    step_ends[s] = start + Scaled(spec.m_steps[s].m_estimate, ratio);
    admission.m_expected_critical_path =
        std::max(admission.m_expected_critical_path, step_ends[s]);
  }
  const bool over_share = IsOverShare(scheduler, now, spec.m_workspace);
  // Jobs that can still be on time run before jobs that are late already.
  const auto wait_behind = [cores](double work) {
    return Duration(static_cast<std::int64_t>(work / cores * 1e6));
  };
  admission.m_is_over_share = over_share;
  admission.m_expected_wait =
      wait_behind(over_share ? workload.m_work_ahead_over_share
                             : workload.m_work_ahead_within_share);
  const Duration objective =
      Scaled(admission.m_expected_critical_path, spec.m_policy.m_stretch) +
      spec.m_policy.m_target;
  const Duration on_time =
      admission.m_expected_wait + admission.m_expected_critical_path;
  const Duration late =
      wait_behind(over_share ? workload.m_remaining_work
                             : workload.m_remaining_work_within_share) +
      admission.m_expected_critical_path;
  if (on_time > objective && late > Scaled(objective, kMaxLatenessFactor)) {
    admission.m_code = Code::kDeadlineTooShort;
    admission.m_retry_after =
        std::clamp(on_time - objective, kMinRetryAfter, kMaxRetryAfter);
  }
  return admission;
}

}  // namespace filbertspar::scheduler
