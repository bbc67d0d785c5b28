#pragma once

#include "filbertspar/scheduler/src/state.h"

namespace filbertspar::scheduler {

/// \brief Stops the run of a placed task that has ended elsewhere. The run
/// keeps its resources until it has ended too, while the task frees its own.
void StopSupersededRun(Scheduler& scheduler, TimePoint now, const TaskRef& ref);

/// \brief Whether the run of a task on this worker is superseded.
bool IsSuperseded(const Worker& worker, const TaskId& task, RunNumber run);

/// \brief Applies the end of a run, and the answer to its stop.
void HandleSupersededEnd(Scheduler& scheduler, WorkerIndex index,
                         const TaskId& task, RunNumber run);
void HandleSupersededStop(Scheduler& scheduler, TimePoint now,
                          WorkerIndex index, const StopOrder& order);

/// \brief Frees the runs that a poll, sent after their stop was answered, does
/// not list, and repeats stops without an answer.
void ReviewSupersededRuns(Scheduler& scheduler, TimePoint sent, TimePoint now,
                          WorkerIndex index, const WorkerStatus& status);

/// \brief Frees all of them, when no run on the worker can exist any more.
void ReleaseSupersededRuns(Scheduler& scheduler, Worker& worker);

}  // namespace filbertspar::scheduler
