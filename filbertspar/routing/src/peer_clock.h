#pragma once

#include "filbertspar/base/base.h"

namespace filbertspar {

/// \brief A reading of another VM's clock, taken between two local times.
struct PeerClock {
  TimePoint m_asked_at{};
  TimePoint m_answered_at{};
  TimePoint m_reading{};
};

/// \brief Bounds of the peer's clock at the local time `at`, before or after
/// the reading. Both clocks include the time suspended.
TimePoint EarliestReading(const PeerClock& clock, TimePoint at);
TimePoint LatestReading(const PeerClock& clock, TimePoint at);

}  // namespace filbertspar
