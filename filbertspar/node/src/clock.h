#pragma once

#include <ctime>

#include "filbertspar/base/base.h"

namespace filbertspar {

/// \brief Clock that also counts while the VM is suspended, so that what was
/// learned before a suspension is known to be old after it.
inline TimePoint BootNow() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return TimePoint(Seconds(now.tv_sec) + Duration(now.tv_nsec / 1000));
}

/// \brief Unix time of the VM's own clock.
inline Duration UnixNow() {
  timespec now{};
  clock_gettime(CLOCK_REALTIME, &now);
  return Seconds(now.tv_sec) + Duration(now.tv_nsec / 1000);
}

}  // namespace filbertspar
