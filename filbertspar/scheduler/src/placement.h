#pragma once

#include <vector>

#include "filbertspar/scheduler/src/state.h"

namespace filbertspar::scheduler {

/// \brief A worker that accepts tasks now, and what is free on it.
struct FreeCapacity {
  WorkerIndex m_worker = kNoWorker;
  ResourceVector m_free;
};

/// \brief Whether the worker suits the task, apart from its free capacity.
bool CanRun(const Scheduler& scheduler, TimePoint now, const Worker& worker,
            const TaskRef& ref);

/// \brief Workers that accept tasks; without those that are isolated.
std::vector<FreeCapacity> FreeCapacities(const Scheduler& scheduler,
                                         TimePoint now, const Pool& pool);

/// \brief Worker for one task; kNoWorker when none has capacity now.
WorkerIndex ChooseWorker(const Scheduler& scheduler, TimePoint now,
                         const std::vector<FreeCapacity>& capacities,
                         const TaskRef& ref);

/// \brief Workers for all members of a gang, one per task; empty when they do
/// not all fit now.
std::vector<WorkerIndex> ChooseGangWorkers(const Scheduler& scheduler,
                                           TimePoint now,
                                           std::vector<FreeCapacity> capacities,
                                           const TaskRef& first);

/// \brief Ticket that approves a worker for the task's step; null when there is
/// no valid one.
const std::string* FindTicket(const Scheduler& scheduler, TimePoint now,
                              const TaskId& task, const WorkerName& worker);

}  // namespace filbertspar::scheduler
