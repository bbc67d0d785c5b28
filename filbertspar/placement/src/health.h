#pragma once

#include <array>
#include <cstdint>

#include "filbertspar/base/base.h"

namespace filbertspar {

/// \brief Rules by which a worker's outcomes put it out of service (design
/// page, Q8).
struct EjectionRules {
  std::int64_t m_failures_in_row = 5;
  double m_failure_ratio = 0.5;
  std::int64_t m_min_outcomes = 8;
  double m_max_ejected_share = 0.3;
  Duration m_first_probe = Seconds(5);
  Duration m_last_probe = Seconds(60);
};

namespace internal {

inline constexpr std::size_t kHealthSeconds = 10;

/// \brief Outcomes of one worker over the last ten seconds.
struct Health {
  struct Second {
    std::int64_t m_number = -1;
    std::int32_t m_successes = 0;
    std::int32_t m_failures = 0;
  };
  std::array<Second, kHealthSeconds> m_seconds;
  std::int64_t m_failures_in_row = 0;
};

void Record(Health& health, TimePoint now, bool success);

/// \brief True when the outcomes up to `now` break the rules.
bool LooksBad(const Health& health, TimePoint now, const EjectionRules& rules);

}  // namespace internal
}  // namespace filbertspar
