#include "filbertspar/ownership/src/claim.h"

#include <algorithm>

namespace filbertspar {
namespace {

/// An owner renews its row every 0.4 s; two renewals may be late or lost.
constexpr Duration kStaleAfter = Milliseconds(1200);
/// A VM on which nothing listens has no owner; the wait lets its last write
/// become visible.
constexpr Duration kRefusedAfter = Milliseconds(150);
/// An owner that says itself that its writes are not confirmed.
constexpr Duration kUnconfirmedAfter = Milliseconds(700);
/// A write takes about as long as this many reads.
constexpr int kReadsPerWrite = 3;
constexpr Duration kReadWhenGood = Seconds(3);
constexpr Duration kReadWhenInDoubt = Milliseconds(250);
constexpr Duration kLongestDelay = Milliseconds(300);
constexpr Duration kDelaySpread = Milliseconds(120);

}  // namespace

bool ShouldClaim(const OwnerView& view, const Candidate& self, TimePoint now) {
  if (!view.m_read) {
    return false;
  }
  const Duration known_for = now - view.m_version_since;
  if (!view.m_record || view.m_record->m_released) {
    return known_for >= self.m_delay;
  }
  if (view.m_record->m_vm == self.m_vm) {
    // Left by an earlier process of this VM.
    return view.m_record->m_incarnation != self.m_incarnation;
  }
  if (view.m_link == LinkHealth::kGood) {
    return false;
  }
  // A store that answers slowly also takes longer for the owner's writes.
  const Duration unchanged = view.m_confirmed_at - view.m_version_since -
                             view.m_read_time * kReadsPerWrite;
  if (view.m_link == LinkHealth::kRefused &&
      unchanged >= kRefusedAfter + self.m_delay) {
    return true;
  }
  if (view.m_link == LinkHealth::kUnconfirmed &&
      unchanged >= kUnconfirmedAfter + self.m_delay) {
    return true;
  }
  return unchanged >= kStaleAfter + self.m_delay;
}

Duration NextOwnerRead(const OwnerView& view, TimePoint now) {
  static_cast<void>(now);
  if (!view.m_read) {
    return Duration(0);
  }
  if (!view.m_record || view.m_record->m_released) {
    return Milliseconds(50);
  }
  return view.m_link == LinkHealth::kGood ? kReadWhenGood : kReadWhenInDoubt;
}

Duration ClaimDelay(double cpu_share, double random) {
  const double weakness = std::clamp(1.0 - cpu_share, 0.0, 1.0);
  const double micros = weakness * static_cast<double>(kLongestDelay.count()) +
                        random * static_cast<double>(kDelaySpread.count());
  return Duration(static_cast<std::int64_t>(micros));
}

}  // namespace filbertspar
