#pragma once

#include "filbertspar/scheduler/src/state.h"

namespace filbertspar::scheduler {

/// \brief Slows down best-effort tasks on workers where a serving task is near
/// its tail latency target, and speeds them up where it is well below.
void ThrottleBestEffortTasks(Scheduler& scheduler, TimePoint now);

}  // namespace filbertspar::scheduler
