#pragma once

#include "filbertspar/scheduler/src/state.h"

namespace filbertspar::scheduler {

/// \brief Stops tasks on workers that leave or are to be emptied, so that they
/// start again elsewhere; long-running ones within their availability guard.
void Evacuate(Scheduler& scheduler, TimePoint now);

/// \brief Whether one more task of a long-running step may be taken away.
bool IsDisruptionAllowed(const TaskRef& ref);

}  // namespace filbertspar::scheduler
