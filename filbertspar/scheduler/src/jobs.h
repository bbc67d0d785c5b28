#pragma once

#include <functional>
#include <optional>
#include <vector>

#include "filbertspar/scheduler/src/occurrences.h"
#include "filbertspar/scheduler/src/state.h"

namespace filbertspar::scheduler {

/// \brief Adds a job whose row is stored; does nothing if the job is known.
void AddJob(Scheduler& scheduler, TimePoint now, JobSpec spec);

/// \brief Adds a previous owner's job with its stored progress.
void RestoreJob(Scheduler& scheduler, TimePoint now, JobSpec spec,
                const JobProgress& progress);

/// \brief Adds a job of which only the final state is stored.
void RestoreFinalJob(Scheduler& scheduler, TimePoint now, const JobId& id,
                     const JobProgress& progress);

/// \brief Cancels a job unless it is final and stops its tasks. The change must
/// be stored before the caller is answered.
void CancelJob(Scheduler& scheduler, TimePoint now, const JobId& id);

/// \brief Cancels a job that is being stored, when it is added.
void CancelWhenAdded(Scheduler& scheduler, const JobId& id);
/// \brief Called when the job is not stored after all.
void ForgetEarlyCancel(Scheduler& scheduler, const JobId& id);

/// \brief State as reported to callers; nullopt for an unknown job.
std::optional<JobState> ReportedState(const Scheduler& scheduler,
                                      const JobId& id);

/// \brief Whether a call on `queue` may see and change a job of `spec`. A queue
/// that the configuration does not name, as after a rename, may be the same.
/// False for a job whose queue is not known.
bool IsOfQueue(const Scheduler& scheduler, const JobSpec& spec,
               const QueueName& queue);

/// \brief The same by the job's id; true for a job that is not known.
bool IsOfQueue(const Scheduler& scheduler, const JobId& id,
               const QueueName& queue);

/// \brief What is known of the job that a call names.
enum class JobMatch : std::uint8_t {
  /// There is no such job.
  kNone,
  /// The job was submitted to the queue of the call.
  kSameQueue,
  /// The job was submitted to another queue.
  kOtherQueue,
  /// There is such a job, and its rows do not tell whose it is or how far it
  /// is. It is neither shown nor run.
  kUnidentified,
  /// Only the configuration can tell, and this VM has none yet.
  kUndecided,
};

/// \brief Compares a call on `queue` with the job `id`. `storing` is the job
/// that is being stored under this id; nullptr when there is none.
JobMatch MatchJob(const Scheduler& scheduler, const JobId& id,
                  const JobSpec* storing, const QueueName& queue);

/// \brief Reply to a call that may not see the job: kRequestUnknown as if there
/// were none, kAlreadyClaimed when its id is in use, kNoOwner to be asked
/// again. kOk when the call is served.
Code CodeForOthers(JobMatch match, bool is_submission);

/// \brief Notes that a worker has confirmed a run of the job's tasks.
void MarkBegun(Scheduler& scheduler, TimePoint now, Job& job,
               WorkerIndex worker);

/// \brief Number of a queue's jobs of which no worker has confirmed a run. A
/// task that has room reserved, or whose start is under way, has not begun.
std::int64_t CountQueuedJobs(const Scheduler& scheduler,
                             const QueueName& queue);

/// \brief What the length of a queue is made of.
struct QueueLength {
  std::int64_t m_queued = 0;
  /// Those among them that have room reserved on a worker.
  std::int64_t m_reserved = 0;
  /// Those among them that have lost a planned start.
  std::int64_t m_with_lost_start = 0;
  /// When the oldest of them was accepted; max() when there is none.
  TimePoint m_oldest_at = TimePoint::max();
};

/// \brief Of each queue with jobs that have not begun.
absl::flat_hash_map<QueueName, QueueLength> MeasureQueues(
    const Scheduler& scheduler);

/// \brief A job's progress in the form that is stored.
JobProgress ProgressOf(const Scheduler& scheduler, const Job& job);

/// \brief One job's progress as part of a write.
struct JobWrite {
  JobId m_id;
  JobState m_state = JobState::kQueued;
  /// Whether runs of the job may still exist; the rows of a final job are
  /// needed until they have ended.
  bool m_has_runs = false;
  /// Encoded with EncodeProgress().
  std::string m_progress;
  /// Number of the first change that it contains.
  std::uint64_t m_first_change = 0;
};

/// \brief Whether a write has room for the progress of one more job.
using WriteFits = std::function<bool(const JobWrite&)>;

/// \brief Returns up to `limit` jobs with changes to store, oldest first, up to
/// the first that does not fit. Only one write may be in progress at a time.
std::vector<JobWrite> TakePendingWrites(
    Scheduler& scheduler, TimePoint now, std::size_t limit,
    const WriteFits& fits = [](const JobWrite&) { return true; });

/// \brief Whether there are changes that may be written now.
bool HasPendingWrites(const Scheduler& scheduler, TimePoint now);

/// \brief Called when a write has succeeded; sends the starts that it recorded.
void HandleWriteCompleted(Scheduler& scheduler, TimePoint now,
                          const std::vector<JobWrite>& jobs);

/// \brief Called when a write was rejected, so that none of it is stored; its
/// changes are to be written again.
void ReturnWrites(Scheduler& scheduler, const std::vector<JobWrite>& jobs);

/// \brief Called when the store rejects the progress of this job. The write is
/// repeated after a while, with what has changed.
void HandleWriteRejected(Scheduler& scheduler, TimePoint now, const JobId& job);

/// \brief Frees the tasks and the payload of jobs that ended some time ago;
/// their state is kept.
void TrimFinishedJobs(Scheduler& scheduler, TimePoint now);

/// \brief Estimated memory of a job with `tasks` tasks, and of all jobs.
std::size_t JobBytes(const JobSpec& spec, std::size_t tasks);
std::size_t JobBytes(const Scheduler& scheduler);
std::size_t TasksPerOccurrence(const JobSpec& spec);

/// \brief Removes from memory up to `limit` final jobs whose retention time is
/// over, and returns them; the caller removes their rows.
std::vector<JobId> RemoveExpiredJobs(Scheduler& scheduler, TimePoint now,
                                     std::size_t limit);

/// \brief Applies the outcome of a run that ended on `worker`.
void HandleRunFinished(Scheduler& scheduler, TimePoint now, const TaskRef& ref,
                       const FinishedRun& finished, WorkerIndex worker);

/// \brief Ends a job as failed and stops its tasks.
void FailJob(Scheduler& scheduler, TimePoint now, Job& job);

/// \brief Puts a task whose run was lost back to waiting.
void RequeueLostTask(Scheduler& scheduler, TimePoint now, const TaskRef& ref,
                     std::string_view reason);

/// \brief Orders a starting or running task to stop.
void StopTask(Scheduler& scheduler, TimePoint now, const TaskRef& ref,
              std::string_view reason);

/// \brief Names the VM that keeps the payload of a job; empty when none does.
void SetPayloadHolder(Scheduler& scheduler, const JobId& job, const VmName& vm);

}  // namespace filbertspar::scheduler
