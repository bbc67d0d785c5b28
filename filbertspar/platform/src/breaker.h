#pragma once

#include "filbertspar/base/base.h"

namespace filbertspar {

/// \brief Consecutive failures that open the circuit breaker.
inline constexpr int kBreakerFailures = 5;
inline constexpr Duration kBreakerProbeInterval = Seconds(1);

/// \brief Circuit breaker; an open one lets only one probe a second through.
struct CircuitBreaker {
  int m_failures = 0;
  bool m_open = false;
  TimePoint m_next_probe{};
};

inline void RecordSuccess(CircuitBreaker& breaker) {
  breaker.m_failures = 0;
  breaker.m_open = false;
}

inline void RecordFailure(CircuitBreaker& breaker, TimePoint now) {
  if (++breaker.m_failures >= kBreakerFailures && !breaker.m_open) {
    breaker.m_open = true;
    breaker.m_next_probe = now + kBreakerProbeInterval;
  }
}

/// \brief True when a probe is due; the next one is due an interval later.
inline bool TakeProbe(CircuitBreaker& breaker, TimePoint now) {
  if (!breaker.m_open || now < breaker.m_next_probe) {
    return false;
  }
  breaker.m_next_probe = now + kBreakerProbeInterval;
  return true;
}

}  // namespace filbertspar
