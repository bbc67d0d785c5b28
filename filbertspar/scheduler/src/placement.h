#pragma once

#include <vector>

#include "filbertspar/scheduler/src/state.h"

namespace filbertspar::scheduler {

/// \brief Workers of a pool that take tasks now, with the room that is left.
struct FreeCapacity {
  WorkerIndex m_worker = kNoWorker;
  ResourceVector m_free;
};

std::vector<FreeCapacity> FreeCapacities(const Scheduler& scheduler,
                                         TimePoint now, const Pool& pool);

/// \brief One task's place; kNoWorker when there is none now.
WorkerIndex ChooseWorker(const Scheduler& scheduler, TimePoint now,
                         const std::vector<FreeCapacity>& capacities,
                         const TaskRef& ref);

/// \brief Places of all members of a gang, one a task; empty when they do not
/// all fit now.
std::vector<WorkerIndex> ChooseGangWorkers(const Scheduler& scheduler,
                                           TimePoint now,
                                           std::vector<FreeCapacity> capacities,
                                           const TaskRef& first);

/// \brief Ticket of a worker for the task's step; null when none is held.
const std::string* FindTicket(const Scheduler& scheduler, TimePoint now,
                              const TaskId& task, const WorkerName& worker);

}  // namespace filbertspar::scheduler
