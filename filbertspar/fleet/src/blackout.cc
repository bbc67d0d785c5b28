#include "filbertspar/fleet/src/blackout.h"

#include <algorithm>
#include <chrono>

namespace filbertspar {
namespace {

constexpr std::int64_t kMinuteMs = 60'000;
constexpr std::int64_t kDayMs = 1440 * kMinuteMs;
// Two months hold every day of the month, so a window that recurs is found.
constexpr std::int64_t kSearchDays = 62;

std::int64_t DayOf(std::int64_t time_ms) {
  return time_ms >= 0 ? time_ms / kDayMs : -((-time_ms + kDayMs - 1) / kDayMs);
}

std::int64_t DayOfMonth(std::int64_t day) {
  const std::chrono::year_month_day date{
      std::chrono::sys_days{std::chrono::days{day}}};
  return static_cast<unsigned>(date.day());
}

}  // namespace

std::vector<Blackout> BlackoutsOf(const Catalogue& catalogue,
                                  const PoolName& pool) {
  std::vector<Blackout> blackouts;
  for (const CatalogueEntry& entry : catalogue.m_entries) {
    if (entry.m_pool == pool && !entry.m_withdrawn) {
      blackouts.insert(blackouts.end(), entry.m_blackouts.begin(),
                       entry.m_blackouts.end());
    }
  }
  return blackouts;
}

std::optional<std::int64_t> BlackoutEnd(const std::vector<Blackout>& blackouts,
                                        std::int64_t from_ms,
                                        std::int64_t length_ms) {
  const std::int64_t to_ms = from_ms + std::max<std::int64_t>(length_ms, 1);
  std::optional<std::int64_t> end;
  for (const Blackout& blackout : blackouts) {
    const std::int64_t start_ms = blackout.m_start_minute * kMinuteMs;
    std::int64_t end_ms = blackout.m_end_minute * kMinuteMs;
    if (end_ms <= start_ms) {
      end_ms += kDayMs;
    }
    for (std::int64_t day = DayOf(from_ms) - 1; day <= DayOf(to_ms); ++day) {
      const std::int64_t day_of_month = DayOfMonth(day);
      if (day_of_month < blackout.m_first_day ||
          day_of_month > blackout.m_last_day) {
        continue;
      }
      const std::int64_t span_start = day * kDayMs + start_ms;
      const std::int64_t span_end = day * kDayMs + end_ms;
      if (span_start < to_ms && span_end > from_ms) {
        end = std::max(end.value_or(span_end), span_end);
      }
    }
  }
  return end;
}

std::optional<std::int64_t> NextOpen(const std::vector<Blackout>& blackouts,
                                     std::int64_t from_ms,
                                     std::int64_t length_ms) {
  std::int64_t at_ms = from_ms;
  while (const auto end = BlackoutEnd(blackouts, at_ms, length_ms)) {
    at_ms = *end;
    if (at_ms - from_ms > kSearchDays * kDayMs) {
      return std::nullopt;
    }
  }
  return at_ms;
}

}  // namespace filbertspar
