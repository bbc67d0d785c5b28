#pragma once

#include <ctime>

#include "filbertspar/base/base.h"

namespace filbertspar {

/// \brief Monotonic time that includes time suspended (CLOCK_BOOTTIME), so that
/// state read before a suspension of the VM counts as old after it.
inline TimePoint BootNow() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return TimePoint(Seconds(now.tv_sec) + Duration(now.tv_nsec / 1000));
}

/// \brief Time since the Unix epoch by the VM's wall clock.
inline Duration UnixNow() {
  timespec now{};
  clock_gettime(CLOCK_REALTIME, &now);
  return Seconds(now.tv_sec) + Duration(now.tv_nsec / 1000);
}

}  // namespace filbertspar
