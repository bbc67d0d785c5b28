#include "filbertspar/routing/src/peer_clock.h"

#include <algorithm>

namespace filbertspar {
namespace {

/// Largest difference between the rates of two VMs' clocks.
constexpr double kMaxDrift = 0.03;

Duration Scaled(Duration duration, double factor) {
  return Duration(static_cast<std::int64_t>(
      static_cast<double>(duration.count()) * factor));
}

}  // namespace

TimePoint EarliestReading(const PeerClock& clock, TimePoint at) {
  const Duration since = at - clock.m_answered_at;
  return clock.m_reading +
         std::min(Scaled(since, 1 - kMaxDrift), Scaled(since, 1 + kMaxDrift));
}

TimePoint LatestReading(const PeerClock& clock, TimePoint at) {
  const Duration since = at - clock.m_asked_at;
  return clock.m_reading +
         std::max(Scaled(since, 1 - kMaxDrift), Scaled(since, 1 + kMaxDrift));
}

}  // namespace filbertspar
