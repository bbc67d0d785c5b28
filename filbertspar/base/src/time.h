#pragma once

#include <chrono>
#include <cstdint>

namespace filbertspar {

/// \brief Resolution of every time in the decision cores: microseconds.
using Duration = std::chrono::microseconds;

/// \brief Clock whose readings are handed in by the caller, real or virtual.
struct Clock {
  using rep = std::int64_t;
  using period = std::micro;
  using duration = Duration;
  using time_point = std::chrono::time_point<Clock>;
  static constexpr bool kIsSteady = true;
};

using TimePoint = Clock::time_point;

constexpr Duration Milliseconds(std::int64_t count) {
  return std::chrono::milliseconds(count);
}
constexpr Duration Seconds(std::int64_t count) {
  return std::chrono::seconds(count);
}
constexpr double ToSeconds(Duration duration) {
  return static_cast<double>(duration.count()) / 1e6;
}
constexpr std::int64_t ToMilliseconds(Duration duration) {
  return duration.count() / 1000;
}

/// \brief Reading of the host's steady clock, for shells only.
inline TimePoint SteadyNow() {
  return TimePoint(std::chrono::duration_cast<Duration>(
      std::chrono::steady_clock::now().time_since_epoch()));
}

}  // namespace filbertspar
