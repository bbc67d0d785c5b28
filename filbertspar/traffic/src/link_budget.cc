#include "filbertspar/traffic/src/link_budget.h"

#include <algorithm>

namespace filbertspar {
namespace {

/// Share of the bandwidth in the budget. The rest is for the headers of
/// packets, which the budget does not see, and for callers' responses.
constexpr double kBandwidthShare = 0.75;
/// Share of the budget that only starts use.
constexpr double kStartShare = 0.2;
/// Bytes that may be sent at once, as time on the link: the longest that a poll
/// waits behind starts.
constexpr double kBurstSeconds = 0.06;
/// Limits for how long earlier traffic can hold starts back.
constexpr double kMaxDebtSeconds = 0.3;
/// Debt from which the link counts as loaded, and for how long after it.
constexpr double kLoadedDebtSeconds = 0.05;
constexpr Duration kLoadedTime = Seconds(3);

double Refilled(double tokens, double bytes_per_s, Duration elapsed) {
  return std::min(tokens + bytes_per_s * ToSeconds(elapsed),
                  bytes_per_s * kBurstSeconds);
}

double Taken(double tokens, double bytes_per_s, std::size_t bytes) {
  return std::max(tokens - static_cast<double>(bytes),
                  -bytes_per_s * kMaxDebtSeconds);
}

void Refill(LinkBudget& budget, TimePoint now) {
  const Duration elapsed = now - budget.m_at;
  budget.m_tokens = Refilled(budget.m_tokens, budget.m_bytes_per_s, elapsed);
  budget.m_start_tokens = Refilled(budget.m_start_tokens,
                                   budget.m_bytes_per_s * kStartShare, elapsed);
  budget.m_at = now;
}

}  // namespace

LinkBudget MakeLinkBudget(double link_mbps, TimePoint now) {
  LinkBudget budget;
  budget.m_bytes_per_s = link_mbps * 1e6 / 8 * kBandwidthShare;
  budget.m_tokens = budget.m_bytes_per_s * kBurstSeconds;
  budget.m_start_tokens = budget.m_tokens * kStartShare;
  budget.m_at = now;
  return budget;
}

void ChargeLink(LinkBudget& budget, TimePoint now, std::size_t bytes) {
  Refill(budget, now);
  budget.m_tokens = Taken(budget.m_tokens, budget.m_bytes_per_s, bytes);
  if (budget.m_tokens < -budget.m_bytes_per_s * kLoadedDebtSeconds) {
    budget.m_loaded_until = now + kLoadedTime;
  }
}

void ChargeStart(LinkBudget& budget, TimePoint now, std::size_t bytes) {
  ChargeLink(budget, now, bytes);
  budget.m_start_tokens =
      Taken(budget.m_start_tokens, budget.m_bytes_per_s * kStartShare, bytes);
}

bool HasRoom(const LinkBudget& budget, TimePoint now) {
  LinkBudget current = budget;
  Refill(current, now);
  return current.m_tokens >= 0;
}

bool IsLoaded(const LinkBudget& budget, TimePoint now) {
  return now < budget.m_loaded_until;
}

Duration TimeUntilStart(const LinkBudget& budget, TimePoint now) {
  LinkBudget current = budget;
  Refill(current, now);
  if (current.m_tokens >= 0 || current.m_start_tokens >= 0) {
    return Duration(0);
  }
  const double seconds =
      std::min(-current.m_tokens / current.m_bytes_per_s,
               -current.m_start_tokens / (current.m_bytes_per_s * kStartShare));
  return Duration(static_cast<std::int64_t>(seconds * 1e6) + 1);
}

Duration TimeOnLink(const LinkBudget& budget, std::size_t bytes, double share) {
  return Duration(static_cast<std::int64_t>(
      static_cast<double>(bytes) / (budget.m_bytes_per_s * share) * 1e6));
}

}  // namespace filbertspar
