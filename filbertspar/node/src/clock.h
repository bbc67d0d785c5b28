#pragma once

#include <algorithm>
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

/// \brief Times of the link protocol, in milliseconds of a VM's own clock.
/// Values that no clock shows are clamped.
inline TimePoint TimeFromMs(std::int64_t milliseconds) {
  constexpr std::int64_t kMaxMs = 1LL << 50;
  return TimePoint(
      Milliseconds(std::clamp<std::int64_t>(milliseconds, 0, kMaxMs)));
}
inline std::int64_t MsFromTime(TimePoint time) {
  return std::max<std::int64_t>(0, ToMilliseconds(time.time_since_epoch()));
}

}  // namespace filbertspar
