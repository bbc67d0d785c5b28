#include "filbertspar/ownership/src/claim.h"

#include <algorithm>

namespace filbertspar {
namespace {

/// An owner renews its row every 0.4 s; a renewal is late, and its link has
/// been silent for longer.
constexpr Duration kStaleAfter = Milliseconds(800);
/// A VM on which nothing listens has no owner; the wait lets its last write
/// become visible.
constexpr Duration kRefusedAfter = Milliseconds(150);
/// An owner that says itself that its writes are not confirmed.
constexpr Duration kUnconfirmedAfter = Milliseconds(700);
/// A write takes about as long as this many reads.
constexpr int kReadsPerWrite = 3;
constexpr Duration kReadWhenGood = Seconds(3);
/// Claims of VMs of unequal strength are told apart by reads this close.
constexpr Duration kShortestRead = Milliseconds(20);
constexpr Duration kReadWhenInDoubt = Milliseconds(250);
constexpr Duration kDelaySpread = Milliseconds(120);
/// Head start of stronger VMs when none of them is known to be at work.
constexpr Duration kDelayOfWeakness = Milliseconds(300);
/// Head start of VMs as strong as the strongest that the last owner knew. VMs
/// notice a loss up to 1.3 s apart, by when they last read the row and by the
/// silence of their links; a strong one that noticed last still comes first.
constexpr Duration kDelayOfWeaker = Seconds(2);
/// A VM counts as stronger than another from this ratio on.
constexpr double kStrongerRatio = 1.5;

/// How long the row must stay unchanged before another VM claims it.
Duration PatienceWith(const OwnerView& view) {
  switch (view.m_link) {
    case LinkHealth::kRefused:
      return kRefusedAfter;
    case LinkHealth::kStoreUnreachable:
      return kUnconfirmedAfter;
    case LinkHealth::kSilent:
    case LinkHealth::kGood:
      break;
  }
  return kStaleAfter;
}

/// Time until the claim is due if nothing changes; not above 0 when it is.
Duration TimeToClaim(const OwnerView& view, const Candidate& self,
                     TimePoint now) {
  if (!view.m_record || view.m_record->m_released) {
    return ClaimDelay(view, self) - (now - view.m_version_first_seen);
  }
  if (view.m_record->m_vm == self.m_vm) {
    // Left by an earlier process of this VM.
    return view.m_record->m_incarnation == self.m_incarnation ? kReadWhenGood
                                                              : Duration(0);
  }
  if (view.m_link == LinkHealth::kGood) {
    return kReadWhenGood;
  }
  // A store that answers slowly also takes longer for the owner's writes.
  const Duration unchanged = view.m_confirmed_at - view.m_version_first_seen -
                             view.m_read_time * kReadsPerWrite;
  return PatienceWith(view) + ClaimDelay(view, self) - unchanged;
}

/// An owner orders starts that it cannot list only after it was without the
/// store for 3 s, while every VM says that it does not reach the store either.
/// A VM that reached the store for this long, and saw the owner write less than
/// kListedBound ago, excludes that.
constexpr Duration kReachedBound = Seconds(4);
constexpr Duration kListedBound = Seconds(2);

}  // namespace

bool CanRelyOnRecordedStarts(const OwnerView& view, TimePoint reached_since,
                             TimePoint now) {
  if (!view.m_record) {
    return true;
  }
  if (!view.m_record->m_all_starts_recorded) {
    return false;
  }
  return view.m_record->m_released ||
         (now - view.m_version_first_seen < kListedBound &&
          now - reached_since > kReachedBound);
}

bool ShouldClaim(const OwnerView& view, const Candidate& self, TimePoint now) {
  return view.m_has_read && TimeToClaim(view, self, now) <= Duration(0);
}

Duration TimeToNextOwnerRead(const OwnerView& view, const Candidate& self,
                             TimePoint now) {
  if (!view.m_has_read) {
    return kShortestRead;
  }
  if (view.m_record && !view.m_record->m_released &&
      view.m_link == LinkHealth::kGood) {
    return kReadWhenGood;
  }
  return std::clamp(TimeToClaim(view, self, now), kShortestRead,
                    kReadWhenInDoubt);
}

Duration ClaimDelay(const OwnerView& view, const Candidate& self) {
  const Duration spread(static_cast<std::int64_t>(
      self.m_jitter * static_cast<double>(kDelaySpread.count())));
  const Millicores known =
      view.m_record ? view.m_record->m_strongest_cpu : Millicores(0);
  if (known > Millicores(0)) {
    return spread + (ShouldHandOver(self.m_cpu_capacity, known) ? kDelayOfWeaker
                                                                : Duration(0));
  }
  const double weakness = std::clamp(
      1.0 - static_cast<double>(self.m_cpu_capacity.Count()) / 1000, 0.0, 1.0);
  return spread +
         Duration(static_cast<std::int64_t>(
             weakness * static_cast<double>(kDelayOfWeakness.count())));
}

bool ShouldHandOver(Millicores self, Millicores other) {
  return static_cast<double>(other.Count()) >=
         kStrongerRatio * static_cast<double>(self.Count());
}

}  // namespace filbertspar
