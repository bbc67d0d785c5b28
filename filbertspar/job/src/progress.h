#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "filbertspar/base/base.h"
#include "filbertspar/job/src/spec.h"

namespace filbertspar {

enum class JobState : std::uint8_t {
  kQueued,
  kRunning,
  kCompleted,
  kFailed,
  kCancelled,
};

/// \brief Name of the state in lower case, as shown to callers.
std::string_view JobStateName(JobState state);

inline bool IsFinal(JobState state) {
  return state == JobState::kCompleted || state == JobState::kFailed ||
         state == JobState::kCancelled;
}

/// \brief The process of a worker that ended while a run of the task was there.
struct CrashRecord {
  std::uint64_t m_run = 0;
  std::string m_worker;
  /// Time from the start of the run to the end of the worker.
  std::uint32_t m_age_ms = 0;
  /// The task is among the likely causes.
  bool m_is_suspect = false;
  /// No other task was a likely cause, as when the run was isolated.
  bool m_is_sole_cause = false;

  friend bool operator==(const CrashRecord&, const CrashRecord&) = default;
};

/// \brief State that the next owner needs to resume an unfinished task.
struct TaskProgress {
  std::uint32_t m_index = 0;
  /// Runs whose failure was counted; repeated reports of them are ignored.
  std::vector<std::uint64_t> m_failed_runs;
  std::string m_checkpoint;
  /// Worker to which the latest run was sent; empty when no run can be active.
  std::string m_worker;
  /// Crashes of workers that may be the task's fault; of a gang only at its
  /// first task.
  std::vector<CrashRecord> m_crashes;

  friend bool operator==(const TaskProgress&, const TaskProgress&) = default;
};

struct StepProgress {
  /// Bitmap of the finished tasks, least significant bit of the first byte
  /// first.
  std::string m_done;
  /// Only unfinished tasks whose state differs from the initial one.
  std::vector<TaskProgress> m_tasks;

  friend bool operator==(const StepProgress&, const StepProgress&) = default;
};

struct OccurrenceProgress {
  std::uint32_t m_number = 0;
  std::vector<StepProgress> m_steps;

  friend bool operator==(const OccurrenceProgress&,
                         const OccurrenceProgress&) = default;
};

/// \brief Stored progress of a job.
struct JobProgress {
  JobState m_state = JobState::kQueued;
  /// Unix milliseconds; 0 while the job is not final.
  std::int64_t m_ended_ms = 0;
  /// Occurrences below this number that are not in m_occurrences are finished.
  std::uint32_t m_next_occurrence = 0;
  std::vector<OccurrenceProgress> m_occurrences;
  /// Of a final job, whose own row is removed: the queue to which it was
  /// submitted, and by which workspace. The queue is empty in rows of earlier
  /// releases.
  QueueName m_queue;
  WorkspaceName m_workspace;

  friend bool operator==(const JobProgress&, const JobProgress&) = default;
};

}  // namespace filbertspar
