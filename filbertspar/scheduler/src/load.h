#pragma once

#include "filbertspar/scheduler/src/state.h"

namespace filbertspar::scheduler {

/// \brief Load of a pool by tasks that end; in cores and core-seconds. A task
/// that takes a larger part of a worker's memory than of its processors counts
/// as the cores of that part.
struct PoolWorkload {
  /// Of workers that take tasks, less what long-running tasks hold or need.
  double m_cores = 0;
  double m_running_cores = 0;
  /// Of tasks that could start now.
  double m_ready_cores = 0;
  double m_ready_work = 0;
  /// Work of tasks that have not started.
  double m_backlog = 0;
  /// Work of tasks that have not ended.
  double m_remaining_work = 0;
  /// Work that goes before that of a new job which can meet its objective and
  /// is within, or beyond, its workspace's share.
  double m_work_ahead_within_share = 0;
  double m_work_ahead_over_share = 0;
  /// The part of m_remaining_work that waits for no work beyond shares.
  double m_remaining_work_within_share = 0;
  /// The part of m_ready that is within shares.
  double m_ready_cores_within_share = 0;
  /// Time that waiting work can wait and still meet its objective, on average
  /// by work.
  Duration m_slack{0};
  /// Long-running tasks that wait for a place.
  std::size_t m_unplaced_tasks = 0;
};

PoolWorkload ComputeWorkload(const Scheduler& scheduler, TimePoint now,
                             const Pool& pool);

/// \brief Loads of pools for admission, which may be a little old. In a surge
/// jobs come faster than the backlog can be added up for each of them.
struct WorkloadCache {
  struct Entry {
    PoolWorkload m_use;
    TimePoint m_at = TimePoint::min();
  };
  absl::flat_hash_map<PoolName, Entry> m_pools;
};

/// \brief Load of a pool, added up anew when it is too old.
const PoolWorkload& CachedWorkload(WorkloadCache& loads,
                                   const Scheduler& scheduler, TimePoint now,
                                   const PoolName& pool);

/// \brief Counts a job that was admitted since its pool's load was added up.
void CountAdmitted(WorkloadCache& loads, const PoolName& pool, double work,
                   bool over_share);

/// \brief Core-seconds of all tasks of a job, by the queue's learned ratio.
double EstimatedWork(const Scheduler& scheduler, const JobSpec& spec);

}  // namespace filbertspar::scheduler
