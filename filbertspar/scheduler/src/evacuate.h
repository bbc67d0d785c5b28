#pragma once

#include "filbertspar/scheduler/src/state.h"

namespace filbertspar::scheduler {

/// \brief Stops tasks on workers that are draining or cordoned so that they
/// restart elsewhere; long-running tasks only within their max_unavailable
/// limit.
void Evacuate(Scheduler& scheduler, TimePoint now);

/// \brief Whether one more task of a long-running step may become unavailable.
bool IsDisruptionAllowed(const TaskRef& ref);

}  // namespace filbertspar::scheduler
