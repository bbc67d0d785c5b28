#pragma once

#include <string>

#include "filbertspar/scheduler/src/state.h"

namespace filbertspar::scheduler {

/// \brief Assigns a waiting task to a worker. The start is sent once the store
/// has recorded it: the next owner then knows where the task may run and need
/// not wait for workers that do not respond.
void PlanStart(Scheduler& scheduler, TimePoint now, const TaskRef& ref,
               WorkerIndex worker, std::uint64_t run);

/// \brief Sends the planned starts that the store has recorded by now.
void IssueRecordedStarts(Scheduler& scheduler, TimePoint now);

/// \brief Sets whether starts wait until they are recorded. Switching it off
/// sends those that were waiting.
void SetRecordBeforeStart(Scheduler& scheduler, TimePoint now,
                          bool lists_first);

/// \brief Whether every start that was sent is recorded in the store.
bool AllStartsRecorded(const Scheduler& scheduler);

/// \brief Name of the worker that may run the task; empty when there is none.
std::string WorkerOfRun(const Scheduler& scheduler, const TaskId& id,
                        const Task& task);

/// \brief Adds a run that the previous owner recorded. Its task is not started
/// until the worker has responded, is gone, or its lease has expired.
void InheritRun(Scheduler& scheduler, const TaskRef& ref,
                const WorkerName& worker);

/// \brief Removes an inherited run that was found or cannot exist any more.
void RemoveInheritedRun(Scheduler& scheduler, const TaskRef& ref);

/// \brief Removes all inherited runs that cannot exist any more.
void ResolveInheritedRuns(Scheduler& scheduler, TimePoint now);

}  // namespace filbertspar::scheduler
