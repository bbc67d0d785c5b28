#pragma once

#include "filbertspar/scheduler/src/state.h"

namespace filbertspar::scheduler {

/// \brief Whether the task is left to StartSuspects().
bool WaitsForIsolation(const TaskRef& ref, TimePoint now);

/// \brief Starts tasks of the pool that may have crashed a worker, each on a
/// worker that gets no other task until it is cleared. Answers the load of a
/// few bad tasks among many: the others must not be on the worker that the next
/// run crashes.
void StartSuspects(Scheduler& scheduler, TimePoint now, const PoolName& pool);

}  // namespace filbertspar::scheduler
