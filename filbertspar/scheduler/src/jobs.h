#pragma once

#include <optional>
#include <vector>

#include "filbertspar/scheduler/src/state.h"

namespace filbertspar::scheduler {

/// \brief Takes in a job whose row is stored. A job that is known already is
/// left as it is.
void AddJob(Scheduler& scheduler, TimePoint now, JobSpec spec);

/// \brief Takes in a job of an earlier owner with its stored progress.
void RestoreJob(Scheduler& scheduler, TimePoint now, JobSpec spec,
                const JobProgress& progress);

/// \brief Takes in a job of which only the final state is stored.
void RestoreFinalJob(Scheduler& scheduler, TimePoint now, const JobId& id,
                     const JobProgress& progress);

/// \brief Cancels a job unless it is final. Its tasks are stopped; the change
/// has to be stored before the caller is told.
void CancelJob(Scheduler& scheduler, TimePoint now, const JobId& id);

/// \brief State as callers may be told it; nothing for an unknown job.
std::optional<JobState> ReportedState(const Scheduler& scheduler,
                                      const JobId& id);

/// \brief Jobs of a queue of which no task was started.
std::int64_t CountQueuedJobs(const Scheduler& scheduler,
                             const QueueName& queue);

/// \brief What has to be stored of a job.
JobProgress ProgressOf(const Scheduler& scheduler, const Job& job);

/// \brief Progress of one job as a write takes it up.
struct JobWrite {
  JobId m_id;
  JobState m_state = JobState::kQueued;
  /// Whether runs of it may go on; the rows of a final job are needed as long.
  bool m_has_runs = false;
  std::string m_progress;
};

/// \brief Up to `limit` jobs whose changes wait to be stored, oldest first.
/// One write is under way at a time.
std::vector<JobWrite> TakePendingWrites(Scheduler& scheduler,
                                        std::size_t limit);

/// \brief The write took effect; starts that it lists are ordered.
void HandleWriteCompleted(Scheduler& scheduler, TimePoint now,
                          const std::vector<JobWrite>& jobs);

/// \brief Creates occurrences that are due.
void AdvanceOccurrences(Scheduler& scheduler, TimePoint now);

/// \brief Final jobs whose state was kept long enough, removed from memory;
/// their rows are to be removed.
std::vector<JobId> RemoveExpiredJobs(Scheduler& scheduler, TimePoint now,
                                     std::size_t limit);

/// \brief A run of a task ended; `end` says how.
void HandleRunFinished(Scheduler& scheduler, TimePoint now, const TaskRef& ref,
                       const FinishedRun& end, WorkerIndex worker);

/// \brief A task's run is gone without an end; it waits to be started again.
void RequeueLostTask(Scheduler& scheduler, TimePoint now, const TaskRef& ref,
                     std::string_view reason);

/// \brief Orders a starting or running task to stop.
void StopTask(Scheduler& scheduler, TimePoint now, const TaskRef& ref,
              std::string_view reason);

}  // namespace filbertspar::scheduler
