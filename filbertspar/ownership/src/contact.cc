#include "filbertspar/ownership/src/contact.h"

#include <algorithm>

#include "filbertspar/ownership/src/permission.h"

namespace filbertspar {
namespace {

/// Answers further apart than this do not count as one continuous contact.
constexpr Duration kMaxContactGap = Milliseconds(1500);
/// Pings state the time since the last answer in whole milliseconds.
constexpr Duration kPingResolution = Milliseconds(1);

bool IsAway(const StoreContact& contact, TimePoint now) {
  return now >= contact.m_reached_at + kStoreAwayTime - kPingResolution;
}

}  // namespace

void HandleStoreAnswer(StoreContact& contact, TimePoint now) {
  if (now > contact.m_reached_at + kMaxContactGap) {
    contact.m_reached_since = now;
  }
  contact.m_away_until = AwayUntil(contact, now);
  contact.m_reached_at = now;
}

TimePoint AwayUntil(const StoreContact& contact, TimePoint now) {
  return IsAway(contact, now) ? now : contact.m_away_until;
}

Duration ReachableFor(const StoreContact& contact, TimePoint since,
                      TimePoint now) {
  return now - std::max(since, AwayUntil(contact, now));
}

}  // namespace filbertspar
