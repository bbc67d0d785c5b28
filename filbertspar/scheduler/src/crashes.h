#pragma once

#include <cstdint>
#include <vector>

#include "filbertspar/scheduler/src/state.h"

/// \file
/// \brief Tells tasks that crash their workers from those that were on the same
/// worker, and gives the former up.

namespace filbertspar::scheduler {

/// \brief How a poll failed.
enum class PollFailure : std::uint8_t {
  /// No answer in time.
  kSilent,
  /// The worker's machine closed the connection.
  kClosed,
  /// The worker's machine refused a connection.
  kRefused,
  /// An answer other than a status; says nothing about the process.
  kUnusable,
};

/// \brief The unit that is suspected: the task, or the first task of its gang.
TaskRef CrashUnit(const TaskRef& ref);

/// \brief How long a run of the unit must last to clear it: longer than the
/// runs that ended with a crash.
Duration ProbationOf(const Task& unit);

/// \brief Whether the unit's next run must be isolated.
bool NeedsIsolation(const Task& unit);

/// \brief Collects evidence on whether the process of a worker has ended.
void RecordPollFailure(Worker& worker, TimePoint now, PollFailure failure);

/// \brief Called when the incarnation of a worker answers: if it was thought to
/// have ended, the crash records of that end are withdrawn.
void HandleWorkerAlive(Scheduler& scheduler, WorkerIndex index);

/// \brief Called when another process answers in the worker's place, before its
/// tasks are requeued.
void HandleWorkerReplaced(Scheduler& scheduler, TimePoint now,
                          WorkerIndex index);

/// \brief Finds the causes of the ends of workers, shortly after each; records
/// them at the tasks and fails jobs with a task that crashed too many.
void JudgeEndedWorkers(Scheduler& scheduler, TimePoint now);

/// \brief Clears the tasks that ran long enough, and opens the workers that
/// were isolated for them.
void ReviewSuspects(Scheduler& scheduler, TimePoint now);

}  // namespace filbertspar::scheduler
