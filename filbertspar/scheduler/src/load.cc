#include "filbertspar/scheduler/src/load.h"

#include <algorithm>
#include <cmath>

#include "filbertspar/scheduler/src/admit.h"
#include "filbertspar/scheduler/src/jobs.h"
#include "filbertspar/scheduler/src/workers.h"

namespace filbertspar::scheduler {
namespace {

double CoresOf(const ResourceVector& demand) {
  return static_cast<double>(demand.m_cpu.Count()) / 1000;
}

/// Cores per megabyte of memory of the pool's first worker that states its
/// memory; 0 when there is none.
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

/// Long-running tasks that fit on no worker.
struct UnplacedDemand {
  ResourceVector m_demand;
  /// Most workers that one step needs because of its limit of tasks a worker.
  double m_spread = 0;

  void Add(const StepSpec& step, std::uint32_t tasks) {
    const ResourceVector demand = ReservedDemand(step);
    for (std::uint32_t i = 0; i < tasks; ++i) {
      m_demand += demand;
    }
    if (step.m_max_per_worker > 0) {
      m_spread = std::max(m_spread, std::ceil(static_cast<double>(tasks) /
                                              step.m_max_per_worker));
    }
  }
};

/// Largest amount of each resource on any worker of the pool. With VMs of
/// different shapes the count of VMs is low, and more are called later.
ResourceVector CapacityOfVm(const Scheduler& scheduler, const Pool& pool) {
  ResourceVector largest;
  for (const WorkerIndex index : pool.m_workers) {
    const ResourceVector& capacity =
        scheduler.m_workers[index].m_record.m_capacity;
    largest.m_cpu = std::max(largest.m_cpu, capacity.m_cpu);
    largest.m_memory = std::max(largest.m_memory, capacity.m_memory);
    largest.m_accelerators =
        std::max(largest.m_accelerators, capacity.m_accelerators);
  }
  return largest;
}

/// Steps can share VMs, so the widest one counts, not their sum. Any demand
/// needs one VM, also in a pool that has none yet and whose capacity is
/// unknown.
double CountVms(const UnplacedDemand& unplaced, const ResourceVector& vm) {
  const auto share = [](auto demand, auto capacity) {
    return capacity.Count() <= 0 ? 0
                                 : static_cast<double>(demand.Count()) /
                                       static_cast<double>(capacity.Count());
  };
  const double share_of_vm =
      std::max({share(unplaced.m_demand.m_cpu, vm.m_cpu),
                share(unplaced.m_demand.m_memory, vm.m_memory),
                share(unplaced.m_demand.m_accelerators, vm.m_accelerators)});
  const bool is_any = unplaced.m_demand != ResourceVector();
  return std::max(unplaced.m_spread,
                  std::ceil(std::max(share_of_vm, is_any ? 1.0 : 0.0)));
}

bool IsReady(const Job& job, const Occurrence& occurrence, std::size_t step) {
  const auto& dependencies = job.m_spec->m_steps[step].m_depends_on;
  return std::all_of(
      dependencies.begin(), dependencies.end(), [&](std::uint32_t dependency) {
        const Step& dependency_step = occurrence.m_steps[dependency];
        return dependency_step.m_done == dependency_step.m_tasks.size();
      });
}

void AddStep(PoolWorkload& workload, TimePoint now, const Job& job,
             const Occurrence& occurrence, std::size_t number, double ratio,
             double cores_per_megabyte) {
  const StepSpec& spec = job.m_spec->m_steps[number];
  const Step& step = occurrence.m_steps[number];
  const double cores = CoreEquivalent(ReservedDemand(spec), cores_per_megabyte);
  const double seconds_per_task = ToSeconds(spec.m_estimate) * ratio;
  const double waiting = static_cast<double>(step.m_waiting);
  workload.m_backlog += waiting * cores * seconds_per_task;
  workload.m_remaining_work += waiting * cores * seconds_per_task;
  if (step.m_waiting > 0 && IsReady(job, occurrence, number)) {
    workload.m_ready_cores += waiting * cores;
    workload.m_ready_work += waiting * cores * seconds_per_task;
  }
  if (step.m_waiting + step.m_done == step.m_tasks.size()) {
    return;
  }
  for (const Task& task : step.m_tasks) {
    if (task.m_worker != kNoWorker) {
      workload.m_running_cores += cores;
      workload.m_remaining_work +=
          cores *
          std::max(0.0, seconds_per_task - ToSeconds(now - task.m_since));
    }
  }
}

}  // namespace

PoolWorkload ComputeWorkload(const Scheduler& scheduler, TimePoint now,
                             const Pool& pool) {
  PoolWorkload workload;
  for (const WorkerIndex index : pool.m_workers) {
    const Worker& worker = scheduler.m_workers[index];
    if (worker.m_registered && IsResponsive(worker, now) &&
        !worker.m_record.m_draining && !worker.m_cordoned) {
      workload.m_cores += CoresOf(worker.m_record.m_capacity);
    }
  }
  const double cores_per_megabyte = CoresPerMegabyte(scheduler, pool);
  double slack_by_work = 0;
  const ResourceVector vm = CapacityOfVm(scheduler, pool);
  UnplacedDemand unplaced;
  for (const Job* job : pool.m_jobs) {
    const double ratio = RunTimeRatio(scheduler, job->m_spec->m_queue);
    const double backlog_before = workload.m_backlog;
    const double work_before = workload.m_remaining_work;
    const double ready_before = workload.m_ready_cores;
    for (const auto& occurrence : job->m_occurrences) {
      for (std::size_t s = 0; s < occurrence->m_steps.size(); ++s) {
        const StepSpec& spec = job->m_spec->m_steps[s];
        if (spec.m_long_running) {
          workload.m_cores -=
              CoreEquivalent(ReservedDemand(spec), cores_per_megabyte) *
              spec.m_count;
          const Step& step = occurrence->m_steps[s];
          if ((vm == ResourceVector() || FitsIn(ReservedDemand(spec), vm))) {
            unplaced.Add(spec, std::min(step.m_unplaced, step.m_waiting));
          }
        } else {
          AddStep(workload, now, *job, *occurrence, s, ratio,
                  cores_per_megabyte);
        }
      }
    }
    const double backlog = workload.m_backlog - backlog_before;
    const double work = workload.m_remaining_work - work_before;
    if (work > 0) {
      const Duration slack = ObjectiveOf(scheduler, *job) - now -
                             RemainingCriticalPath(scheduler, now, *job);
      slack_by_work += backlog * std::max(0.0, ToSeconds(slack));
      const bool on_time = slack >= Duration(0);
      // Running tasks are not preempted, whether within a share or beyond it.
      const double running = work - backlog;
      if (job->m_over_share) {
        workload.m_work_ahead_within_share += running;
        workload.m_remaining_work_within_share += running;
        workload.m_work_ahead_over_share += on_time ? work : running;
      } else {
        workload.m_work_ahead_within_share += on_time ? work : 0;
        workload.m_remaining_work_within_share += work;
        workload.m_work_ahead_over_share += work;
        workload.m_ready_cores_within_share +=
            workload.m_ready_cores - ready_before;
      }
    }
  }
  workload.m_cores = std::max(0.0, workload.m_cores);
  unplaced.m_demand += pool.m_blocked_evacuations;
  workload.m_unplaced_vms = CountVms(unplaced, vm);
  if (workload.m_backlog > 0) {
    workload.m_slack = Duration(
        static_cast<std::int64_t>(slack_by_work / workload.m_backlog * 1e6));
  }
  return workload;
}

const PoolWorkload& CachedWorkload(WorkloadCache& cache,
                                   const Scheduler& scheduler, TimePoint now,
                                   const PoolName& pool) {
  /// Much shorter than the error of run time estimates.
  constexpr Duration kMaxAge = Milliseconds(40);
  WorkloadCache::Entry& entry = cache.m_pools[pool];
  if (now >= entry.m_at + kMaxAge) {
    const auto found = scheduler.m_pools.find(pool);
    entry.m_workload = found == scheduler.m_pools.end()
                           ? PoolWorkload()
                           : ComputeWorkload(scheduler, now, found->second);
    entry.m_at = now;
  }
  return entry.m_workload;
}

bool HasMemoryFor(WorkloadCache& cache, const Scheduler& scheduler,
                  TimePoint now, const JobSpec& spec) {
  constexpr Duration kMaxAge = Milliseconds(500);
  if (now >= cache.m_job_bytes_at + kMaxAge) {
    cache.m_job_bytes = JobBytes(scheduler);
    cache.m_job_bytes_at = now;
  }
  const std::size_t bytes = JobBytes(spec, TasksPerOccurrence(spec));
  if (cache.m_job_bytes + bytes > scheduler.m_options.m_max_job_bytes) {
    return false;
  }
  cache.m_job_bytes += bytes;
  return true;
}

void CountAdmitted(WorkloadCache& cache, const PoolName& pool, double work,
                   bool over_share) {
  PoolWorkload& workload = cache.m_pools[pool].m_workload;
  workload.m_remaining_work += work;
  workload.m_work_ahead_over_share += work;
  if (!over_share) {
    workload.m_work_ahead_within_share += work;
    workload.m_remaining_work_within_share += work;
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
