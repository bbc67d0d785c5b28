#pragma once

#include <cstdint>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "filbertspar/scheduler/src/state.h"

namespace filbertspar::scheduler {

/// \brief A worker that accepts tasks now, and what is free on it.
struct FreeCapacity {
  WorkerIndex m_worker = kNoWorker;
  ResourceVector m_free;
  /// Further starts that may be planned on it; the tasks of a gang are started
  /// together and do not count.
  std::uint32_t m_starts_left = 0;
};

/// \brief Number of a step's tasks on each worker and in each rack.
struct StepSpread {
  absl::flat_hash_map<WorkerIndex, std::uint32_t> m_on_worker;
  absl::flat_hash_map<RackName, std::uint32_t> m_in_rack;
};

StepSpread SpreadOf(const Scheduler& scheduler, const TaskRef& ref);
void AddToSpread(StepSpread& spread, const Scheduler& scheduler,
                 WorkerIndex worker);
std::uint32_t CountOnWorker(const StepSpread& spread, WorkerIndex worker);

/// \brief Whether the worker suits the task, apart from its free capacity.
bool CanRun(const Scheduler& scheduler, TimePoint now, WorkerIndex index,
            const TaskRef& ref, const StepSpread& spread);

/// \brief Workers that accept tasks; without those that are isolated.
std::vector<FreeCapacity> FreeCapacities(const Scheduler& scheduler,
                                         TimePoint now, const Pool& pool);

/// \brief Worker for one task, given the spread of its step; kNoWorker when
/// none has capacity now.
WorkerIndex ChooseWorker(const Scheduler& scheduler, TimePoint now,
                         const std::vector<FreeCapacity>& capacities,
                         const TaskRef& ref, const StepSpread& spread);

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
