#pragma once

#include "filbertspar/scheduler/src/state.h"

namespace filbertspar::scheduler {

/// \brief Stops tasks on workers that are draining or cordoned so that they
/// restart elsewhere; long-running tasks only within their max_unavailable
/// limit.
void Evacuate(Scheduler& scheduler, TimePoint now);

/// \brief Whether one more task of a long-running step may become unavailable.
/// A task on a worker that does not respond is not known to be available.
bool IsDisruptionAllowed(const Scheduler& scheduler, TimePoint now,
                         const TaskRef& ref);

}  // namespace filbertspar::scheduler
