#include "filbertspar/scheduler/src/load.h"

#include <algorithm>

#include "filbertspar/scheduler/src/admit.h"
#include "filbertspar/scheduler/src/workers.h"

namespace filbertspar::scheduler {
namespace {

double CoresOf(const ResourceVector& demand) {
  return static_cast<double>(demand.m_cpu.Count()) / 1000;
}

/// Cores per megabyte of the pool's workers; 0 when it has none.
double CoresPerMegabyte(const Scheduler& scheduler, const Pool& pool) {
  for (const WorkerIndex index : pool.m_workers) {
    const ResourceVector& capacity =
        scheduler.m_workers[index].m_record.m_capacity;
    if (capacity.m_memory.Count() > 0) {
      return CoresOf(capacity) / static_cast<double>(capacity.m_memory.Count());
    }
  }
  return 0;
}

double CoreEquivalent(const ResourceVector& demand, double cores_per_megabyte) {
  return std::max(
      CoresOf(demand),
      cores_per_megabyte * static_cast<double>(demand.m_memory.Count()));
}

bool IsReady(const Job& job, const Occurrence& occurrence, std::size_t step) {
  const auto& after = job.m_spec->m_steps[step].m_depends_on;
  return std::all_of(after.begin(), after.end(), [&](std::uint32_t earlier) {
    const Step& before = occurrence.m_steps[earlier];
    return before.m_done == before.m_tasks.size();
  });
}

void AddStep(PoolWorkload& use, TimePoint now, const Job& job,
             const Occurrence& occurrence, std::size_t number, double ratio,
             double cores_per_megabyte) {
  const StepSpec& spec = job.m_spec->m_steps[number];
  const Step& step = occurrence.m_steps[number];
  const double cores = CoreEquivalent(ReservedDemand(spec), cores_per_megabyte);
  const double each = ToSeconds(spec.m_estimate) * ratio;
  const double waiting = static_cast<double>(step.m_waiting);
  use.m_backlog += waiting * cores * each;
  use.m_remaining_work += waiting * cores * each;
  if (step.m_waiting > 0 && IsReady(job, occurrence, number)) {
    use.m_ready_cores += waiting * cores;
    use.m_ready_work += waiting * cores * each;
  }
  if (step.m_waiting + step.m_done == step.m_tasks.size()) {
    return;
  }
  for (const Task& task : step.m_tasks) {
    if (task.m_worker != kNoWorker) {
      use.m_running_cores += cores;
      use.m_remaining_work +=
          cores * std::max(0.0, each - ToSeconds(now - task.m_since));
    }
  }
}

}  // namespace

PoolWorkload ComputeWorkload(const Scheduler& scheduler, TimePoint now,
                             const Pool& pool) {
  PoolWorkload use;
  for (const WorkerIndex index : pool.m_workers) {
    const Worker& worker = scheduler.m_workers[index];
    if (worker.m_registered && IsResponsive(worker, now) &&
        !worker.m_record.m_draining && !worker.m_cordoned) {
      use.m_cores += CoresOf(worker.m_record.m_capacity);
    }
  }
  const double cores_per_megabyte = CoresPerMegabyte(scheduler, pool);
  double slack_by_work = 0;
  for (const Job* job : pool.m_jobs) {
    const double ratio = RunTimeRatio(scheduler, job->m_spec->m_queue);
    const double backlog_before = use.m_backlog;
    const double work_before = use.m_remaining_work;
    const double ready_before = use.m_ready_cores;
    for (const auto& occurrence : job->m_occurrences) {
      for (std::size_t s = 0; s < occurrence->m_steps.size(); ++s) {
        const StepSpec& spec = job->m_spec->m_steps[s];
        if (spec.m_long_running) {
          use.m_cores -=
              CoreEquivalent(ReservedDemand(spec), cores_per_megabyte) *
              spec.m_count;
          use.m_unplaced_tasks += occurrence->m_steps[s].m_waiting;
        } else {
          AddStep(use, now, *job, *occurrence, s, ratio, cores_per_megabyte);
        }
      }
    }
    const double backlog = use.m_backlog - backlog_before;
    const double work = use.m_remaining_work - work_before;
    if (work > 0) {
      const Duration slack =
          SlackOf(scheduler, now, *job, ObjectiveOf(scheduler, *job));
      slack_by_work += backlog * std::max(0.0, ToSeconds(slack));
      const bool on_time = slack >= Duration(0);
      // What runs is not stopped, whoever sent it.
      const double running = work - backlog;
      if (job->m_over_share) {
        use.m_work_ahead_within_share += running;
        use.m_remaining_work_within_share += running;
        use.m_work_ahead_over_share += on_time ? work : running;
      } else {
        use.m_work_ahead_within_share += on_time ? work : 0;
        use.m_remaining_work_within_share += work;
        use.m_work_ahead_over_share += work;
        use.m_ready_cores_within_share += use.m_ready_cores - ready_before;
      }
    }
  }
  use.m_cores = std::max(0.0, use.m_cores);
  if (use.m_backlog > 0) {
    use.m_slack = Duration(
        static_cast<std::int64_t>(slack_by_work / use.m_backlog * 1e6));
  }
  return use;
}

const PoolWorkload& CachedWorkload(WorkloadCache& loads,
                                   const Scheduler& scheduler, TimePoint now,
                                   const PoolName& pool) {
  /// Far below the time by which a task's run time differs from its estimate.
  constexpr Duration kMaxAge = Milliseconds(40);
  WorkloadCache::Entry& known = loads.m_pools[pool];
  if (now >= known.m_at + kMaxAge) {
    const auto found = scheduler.m_pools.find(pool);
    known.m_use = found == scheduler.m_pools.end()
                      ? PoolWorkload()
                      : ComputeWorkload(scheduler, now, found->second);
    known.m_at = now;
  }
  return known.m_use;
}

void CountAdmitted(WorkloadCache& loads, const PoolName& pool, double work,
                   bool over_share) {
  PoolWorkload& use = loads.m_pools[pool].m_use;
  use.m_remaining_work += work;
  use.m_work_ahead_over_share += work;
  if (!over_share) {
    use.m_work_ahead_within_share += work;
    use.m_remaining_work_within_share += work;
  }
}

double EstimatedWork(const Scheduler& scheduler, const JobSpec& spec) {
  double work = 0;
  for (const StepSpec& step : spec.m_steps) {
    if (!step.m_long_running) {
      work +=
          ToSeconds(step.m_estimate) * CoresOf(step.m_demand) * step.m_count;
    }
  }
  return work * RunTimeRatio(scheduler, spec.m_queue);
}

}  // namespace filbertspar::scheduler
