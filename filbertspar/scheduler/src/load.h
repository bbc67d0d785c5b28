#pragma once

#include "filbertspar/scheduler/src/state.h"

namespace filbertspar::scheduler {

/// \brief Workload of a pool by tasks that end, in cores and core-seconds. A
/// task that needs a larger fraction of a worker's memory than of its cores
/// counts as that fraction of the cores.
struct PoolWorkload {
  /// Cores of workers that accept tasks, less those of long-running tasks,
  /// placed or not.
  double m_cores = 0;
  /// Cores of running tasks.
  double m_running_cores = 0;
  /// Cores and core-seconds of tasks that could start now.
  double m_ready_cores = 0;
  double m_ready_work = 0;
  /// Core-seconds of tasks that have not started.
  double m_backlog = 0;
  /// Core-seconds of tasks that have not ended.
  double m_remaining_work = 0;
  /// Core-seconds that run before a new job that can meet its objective and is
  /// within, or beyond, its workspace's share.
  double m_work_ahead_within_share = 0;
  double m_work_ahead_over_share = 0;
  /// Part of m_remaining_work that does not wait because of shares: all of it
  /// within shares, and the running tasks of jobs beyond.
  double m_remaining_work_within_share = 0;
  /// Part of m_ready_cores within shares.
  double m_ready_cores_within_share = 0;
  /// Average time that waiting tasks can still wait and meet their objective,
  /// weighted by work; negative slack counts as 0.
  Duration m_slack{0};
  /// VMs that the pool needs for long-running tasks that fit on no worker.
  double m_unplaced_vms = 0;
};

/// \brief Sums up the workload of a pool over its workers and jobs.
PoolWorkload ComputeWorkload(const Scheduler& scheduler, TimePoint now,
                             const Pool& pool);

/// \brief Cached workloads for admission, slightly out of date. In a surge jobs
/// arrive faster than the backlog can be summed up for each of them.
struct WorkloadCache {
  struct Entry {
    PoolWorkload m_workload;
    TimePoint m_at = TimePoint::min();
  };
  absl::flat_hash_map<PoolName, Entry> m_pools;
  /// Memory of all jobs, with those admitted since it was computed.
  std::size_t m_job_bytes = 0;
  TimePoint m_job_bytes_at = TimePoint::min();
};

/// \brief Workload of a pool, recomputed when the cached one is too old.
const PoolWorkload& CachedWorkload(WorkloadCache& cache,
                                   const Scheduler& scheduler, TimePoint now,
                                   const PoolName& pool);

/// \brief Whether the memory for jobs has room for one more.
bool HasMemoryFor(WorkloadCache& cache, const Scheduler& scheduler,
                  TimePoint now, const JobSpec& spec);

/// \brief Adds the `work`, in core-seconds, of a job admitted since its pool's
/// workload was computed.
void CountAdmitted(WorkloadCache& cache, const PoolName& pool, double work,
                   bool over_share);

/// \brief Estimated core-seconds of all tasks of a job that end, scaled by the
/// queue's learned ratio.
double EstimatedWork(const Scheduler& scheduler, const JobSpec& spec);

}  // namespace filbertspar::scheduler
