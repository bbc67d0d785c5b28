#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "filbertspar/base/base.h"

namespace filbertspar {

enum class JobState : std::uint8_t {
  kQueued,
  kRunning,
  kCompleted,
  kFailed,
  kCancelled,
};

std::string_view JobStateName(JobState state);

inline bool IsFinal(JobState state) {
  return state == JobState::kCompleted || state == JobState::kFailed ||
         state == JobState::kCancelled;
}

/// \brief What a successor must know of a task that is not done.
struct TaskProgress {
  std::uint32_t m_index = 0;
  /// Runs whose failure was counted; a repeated report of one is not.
  std::vector<std::uint64_t> m_failed_runs;
  std::string m_checkpoint;
  /// Worker that its last run was ordered on; empty when none may run.
  std::string m_worker;

  friend bool operator==(const TaskProgress&, const TaskProgress&) = default;
};

struct StepProgress {
  /// One bit a task, lowest bit of the first byte first.
  std::string m_done;
  /// Only tasks that differ from a fresh one.
  std::vector<TaskProgress> m_tasks;

  friend bool operator==(const StepProgress&, const StepProgress&) = default;
};

struct OccurrenceProgress {
  std::uint32_t m_number = 0;
  std::vector<StepProgress> m_steps;

  friend bool operator==(const OccurrenceProgress&,
                         const OccurrenceProgress&) = default;
};

/// \brief How far a job came, as stored.
struct JobProgress {
  JobState m_state = JobState::kQueued;
  /// Unix milliseconds; 0 while the job is not final.
  std::int64_t m_ended_ms = 0;
  /// Occurrences below this number that are not listed are done.
  std::uint32_t m_next_occurrence = 0;
  std::vector<OccurrenceProgress> m_occurrences;

  friend bool operator==(const JobProgress&, const JobProgress&) = default;
};

}  // namespace filbertspar
