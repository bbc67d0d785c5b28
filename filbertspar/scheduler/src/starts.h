#pragma once

#include <string>

#include "filbertspar/scheduler/src/state.h"

namespace filbertspar::scheduler {

/// \brief Gives a waiting task to a worker. The start is ordered once the
/// store lists it, so that a successor knows where the task may run and need
/// not wait for workers that do not answer.
void PlanStart(Scheduler& scheduler, TimePoint now, const TaskRef& ref,
               WorkerIndex worker, std::uint64_t run);

/// \brief Orders the planned starts that the store lists now.
void IssueRecordedStarts(Scheduler& scheduler, TimePoint now);

/// \brief Whether starts wait for the store from now on. When they no longer
/// do, those that waited are ordered.
void SetRecordBeforeStart(Scheduler& scheduler, TimePoint now,
                          bool lists_first);

/// \brief Whether the changes up to this one list all starts that were ordered.
bool AllStartsRecorded(const Scheduler& scheduler);

/// \brief Worker that a task's run was ordered on; empty when none may run.
std::string WorkerOfRun(const Scheduler& scheduler, const TaskId& id,
                        const Task& task);

/// \brief Takes in a run that an earlier owner listed. Its task is not started
/// until the worker was looked at, is gone, or its lease has run out.
void InheritRun(Scheduler& scheduler, const TaskRef& ref,
                const WorkerName& worker);

/// \brief The run was found, or cannot exist any more.
void RemoveInheritedRun(Scheduler& scheduler, const TaskRef& ref);

/// \brief Forgets the listed runs that cannot exist any more.
void ResolveInheritedRuns(Scheduler& scheduler, TimePoint now);

}  // namespace filbertspar::scheduler
