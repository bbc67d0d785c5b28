#include "filbertspar/placement/src/health.h"

namespace filbertspar::internal {
namespace {

std::int64_t SecondOf(TimePoint now) {
  return now.time_since_epoch().count() / 1'000'000;
}

}  // namespace

void Record(Health& health, TimePoint now, bool success) {
  const std::int64_t number = SecondOf(now);
  Health::Second& second =
      health.m_seconds[static_cast<std::size_t>(number) % kHealthSeconds];
  if (second.m_number != number) {
    second = {.m_number = number};
  }
  if (success) {
    ++second.m_successes;
    health.m_failures_in_row = 0;
  } else {
    ++second.m_failures;
    ++health.m_failures_in_row;
  }
}

bool LooksBad(const Health& health, TimePoint now, const EjectionRules& rules) {
  if (health.m_failures_in_row >= rules.m_failures_in_row) {
    return true;
  }
  const std::int64_t oldest =
      SecondOf(now) - static_cast<std::int64_t>(kHealthSeconds);
  std::int64_t successes = 0;
  std::int64_t failures = 0;
  for (const Health::Second& second : health.m_seconds) {
    if (second.m_number > oldest) {
      successes += second.m_successes;
      failures += second.m_failures;
    }
  }
  const std::int64_t outcomes = successes + failures;
  return outcomes >= rules.m_min_outcomes &&
         static_cast<double>(failures) >=
             rules.m_failure_ratio * static_cast<double>(outcomes);
}

}  // namespace filbertspar::internal
