#pragma once

#include "filbertspar/scheduler/src/state.h"

namespace filbertspar::scheduler {

/// \brief Slows tasks that fill where a serving task beside them is near its
/// bound, and lets them work again when it is far from it.
void ThrottleBestEffortTasks(Scheduler& scheduler, TimePoint now);

}  // namespace filbertspar::scheduler
