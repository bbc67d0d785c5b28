#include "filbertspar/ownership/src/claim.h"

#include <algorithm>

#include "filbertspar/ownership/src/permission.h"

namespace filbertspar {
namespace {

/// An owner renews its row every 0.4 s. After this time a renewal is overdue,
/// and the link to the owner has been silent for even longer.
constexpr Duration kSilentTimeout = Milliseconds(800);
/// An address that refuses connections has no owner process. The delay only
/// lets the last write of the owner become visible.
constexpr Duration kRefusedTimeout = Milliseconds(150);
/// For an owner which itself reports that the store does not confirm its
/// writes.
constexpr Duration kStoreUnreachableTimeout = Milliseconds(700);
/// A write takes about as long as this many reads.
constexpr int kReadsPerWrite = 3;
constexpr Duration kHealthyReadPeriod = Seconds(3);
/// Reads must be this frequent for VMs of different CPU capacity to claim in
/// the order of their delays.
constexpr Duration kMinReadPeriod = Milliseconds(20);
constexpr Duration kMaxSuspectReadPeriod = Milliseconds(250);
constexpr Duration kMaxJitter = Milliseconds(120);
/// Delay of the smallest VMs when the capacity of the running VMs is not known;
/// lets larger ones claim first.
constexpr Duration kMaxCapacityDelay = Milliseconds(300);
/// Delay of a VM that is smaller than the largest one known to the previous
/// owner. VMs detect the loss of an owner up to 1.3 s apart, depending on when
/// they last read the row and when their links went silent. With this delay the
/// largest VM claims first even if it is the last to detect the loss.
constexpr Duration kSmallerVmDelay = Seconds(2);
/// Ratio of CPU capacities from which on a VM counts as larger than another.
constexpr double kLargerVmRatio = 1.5;

/// A VM that has just become the owner reads all rows, which can hold up its
/// first writes on a slow link. Replacing it then only makes the next VM read
/// them too.
constexpr Duration kSettlingTime = Seconds(4);
constexpr Duration kSettlingAllowance = Milliseconds(1200);

/// How long the row must stay unchanged before another VM may claim it.
Duration OwnerTimeout(const OwnerView& view, TimePoint now) {
  const Duration allowance = now < view.m_owner_first_seen + kSettlingTime
                                 ? kSettlingAllowance
                                 : Duration(0);
  switch (view.m_link) {
    case LinkHealth::kRefused:
      return kRefusedTimeout;
    case LinkHealth::kStoreUnreachable:
      return kStoreUnreachableTimeout + allowance;
    case LinkHealth::kSilent:
    case LinkHealth::kLate:
    case LinkHealth::kGood:
      break;
  }
  return kSilentTimeout + allowance;
}

/// Time until a claim is due if nothing changes; at most 0 when it is due.
Duration TimeToClaim(const OwnerView& view, const Candidate& self,
                     TimePoint now) {
  if (!view.m_record || view.m_record->m_released) {
    return ClaimDelay(view, self) - (now - view.m_version_first_seen);
  }
  if (view.m_record->m_vm == self.m_vm &&
      view.m_record->m_incarnation != self.m_incarnation) {
    // Left by an earlier process on this VM.
    return Duration(0);
  }
  if (view.m_link == LinkHealth::kGood) {
    return kHealthyReadPeriod;
  }
  // While the link is late the row is read, so that the time for which it has
  // not changed is known when the link counts as silent.
  if (view.m_link == LinkHealth::kLate) {
    return kMaxSuspectReadPeriod;
  }
  // A store that answers reads slowly also delays the owner's writes.
  const Duration unchanged = view.m_confirmed_at - view.m_version_first_seen -
                             view.m_read_time * kReadsPerWrite;
  return OwnerTimeout(view, now) + ClaimDelay(view, self) - unchanged;
}

/// An owner starts tasks without recording them in the store only after it has
/// not reached the store for 3 s and every VM reports that it does not reach
/// the store either. A VM that has reached the store for longer than
/// kMinStoreContact, and saw a write of the owner less than kMaxOwnerWriteAge
/// ago, can rule that out.
constexpr Duration kMinStoreContact = Seconds(4);
constexpr Duration kMaxOwnerWriteAge = Seconds(2);

}  // namespace

bool UpdateOwnerView(OwnerView& view, const Candidate& self,
                     const std::optional<OwnerRecord>& record,
                     RowVersion version, TimePoint sent, TimePoint now) {
  const bool is_same_term =
      record && view.m_record && record->m_epoch == view.m_record->m_epoch;
  if (record && !is_same_term) {
    const bool is_next = record->m_epoch == NextEpoch(view.m_last_epoch);
    // The owners before this one were confirmed for the last time before now.
    if (!is_next || !IsPeerOfOwner(view, self, now)) {
      view.m_earlier_orders_until = now + kMaxOutageTime;
    }
    view.m_last_epoch = record->m_epoch;
  }
  if (record && record->m_is_sole) {
    view.m_earlier_orders_until = TimePoint::min();
  }
  if (!is_same_term) {
    view.m_owner_first_seen = now;
  }
  const bool is_same_holder =
      record && view.m_record && record->m_vm == view.m_record->m_vm &&
      record->m_incarnation == view.m_record->m_incarnation &&
      record->m_released == view.m_record->m_released;
  if (!view.m_has_read || version != view.m_version) {
    view.m_version = version;
    view.m_version_first_seen = now;
  }
  view.m_confirmed_at = sent;
  view.m_read_time = now - sent;
  view.m_has_read = true;
  view.m_record = record;
  if (is_same_holder || !record) {
    return false;
  }
  view.m_link = LinkHealth::kSilent;
  return true;
}

void HandlePingAnswered(OwnerView& view, std::uint64_t incarnation,
                        TimePoint ping_sent_at) {
  if (view.m_record && view.m_record->m_incarnation == incarnation) {
    view.m_answered_ping_at = std::max(view.m_answered_ping_at, ping_sent_at);
  }
}

bool IsPeerOfOwner(const OwnerView& view, const Candidate& self,
                   TimePoint last_write) {
  if (!view.m_record || view.m_record->m_vm == self.m_vm ||
      view.m_link == LinkHealth::kRefused) {
    return true;
  }
  // An answer to a ping of before this term may be one of an earlier term of
  // the same process.
  return view.m_answered_ping_at >= view.m_owner_first_seen &&
         last_write < view.m_answered_ping_at + kPeerMemory;
}

bool IsOwnUnansweredClaim(const OwnerView& view, const Candidate& self,
                          FencingNumber last_term) {
  return view.m_record && view.m_record->m_vm == self.m_vm &&
         view.m_record->m_incarnation == self.m_incarnation &&
         !view.m_record->m_released && view.m_record->m_epoch > last_term;
}

bool CanRelyOnRecordedStarts(const OwnerView& view, const Candidate& self,
                             const StoreContact& contact, TimePoint now) {
  if (!view.m_record) {
    return true;
  }
  if (!view.m_record->m_all_starts_recorded) {
    return false;
  }
  return view.m_record->m_released ||
         (IsPeerOfOwner(view, self, view.m_version_first_seen) &&
          now - view.m_version_first_seen < kMaxOwnerWriteAge &&
          now - contact.m_reached_since > kMinStoreContact);
}

TimePoint LatestOrderOfOwner(const OwnerView& view, const Candidate& self,
                             const StoreContact& contact, TimePoint now) {
  // The last write took effect before the row was first read with it.
  const TimePoint read_at = view.m_version_first_seen;
  TimePoint latest = read_at + kMaxOutageTime;
  if (IsPeerOfOwner(view, self, read_at)) {
    latest =
        std::min(latest, std::max(read_at + kMaxUnconfirmedTime,
                                  AwayUntil(contact, now) + kMaxStatementAge));
  }
  return std::max(latest, view.m_earlier_orders_until);
}

ClaimAttempt MakeClaim(const OwnerRecord& own_record, const OwnerView& view,
                       const Candidate& self, const StoreContact& contact,
                       const ClaimAttempt& last, TimePoint now) {
  ClaimAttempt attempt{own_record, view, now, now};
  attempt.m_record.m_epoch =
      NextEpoch(view.m_record ? view.m_record->m_epoch : FencingNumber());
  attempt.m_record.m_write_number = 0;
  attempt.m_record.m_released = false;
  attempt.m_record.m_is_sole = false;
  attempt.m_record.m_all_starts_recorded =
      CanRelyOnRecordedStarts(view, self, contact, now);
  if (last.m_record.m_epoch == attempt.m_record.m_epoch &&
      last.m_view.m_version == view.m_version) {
    attempt.m_first_sent_at = last.m_first_sent_at;
  }
  return attempt;
}

WonClaim WinClaim(const ClaimAttempt& attempt, const Candidate& self,
                  RowVersion version, bool is_answered,
                  const StoreContact& contact, TimePoint now) {
  WonClaim won;
  won.m_record = attempt.m_record;
  won.m_version = version;
  won.m_claimed_at = is_answered ? attempt.m_sent_at : attempt.m_first_sent_at;
  won.m_previous_orders_until =
      LatestOrderOfOwner(attempt.m_view, self, contact, now);
  won.m_all_runs_recorded =
      is_answered &&
      CanRelyOnRecordedStarts(attempt.m_view, self, contact, now);
  return won;
}

OwnerView ViewAfterTerm(const WonClaim& won) {
  OwnerView view;
  view.m_last_epoch = won.m_record.m_epoch;
  view.m_earlier_orders_until = won.m_previous_orders_until;
  return view;
}

bool ShouldClaim(const OwnerView& view, const Candidate& self, TimePoint now) {
  return view.m_has_read && TimeToClaim(view, self, now) <= Duration(0);
}

Duration TimeToNextOwnerRead(const OwnerView& view, const Candidate& self,
                             TimePoint now) {
  if (!view.m_has_read) {
    return kMinReadPeriod;
  }
  if (view.m_record && !view.m_record->m_released &&
      view.m_link == LinkHealth::kGood) {
    return kHealthyReadPeriod;
  }
  return std::clamp(TimeToClaim(view, self, now), kMinReadPeriod,
                    kMaxSuspectReadPeriod);
}

Duration ClaimDelay(const OwnerView& view, const Candidate& self) {
  const Duration jitter(static_cast<std::int64_t>(
      self.m_jitter * static_cast<double>(kMaxJitter.count())));
  const Millicores strongest_cpu =
      view.m_record ? view.m_record->m_strongest_cpu : Millicores(0);
  if (strongest_cpu > Millicores(0)) {
    return jitter + (ShouldHandOver(self.m_cpu_capacity, strongest_cpu)
                         ? kSmallerVmDelay
                         : Duration(0));
  }
  const double capacity_deficit = std::clamp(
      1.0 - static_cast<double>(self.m_cpu_capacity.Count()) / 1000, 0.0, 1.0);
  return jitter + Duration(static_cast<std::int64_t>(
                      capacity_deficit *
                      static_cast<double>(kMaxCapacityDelay.count())));
}

bool ShouldHandOver(Millicores self, Millicores other) {
  return static_cast<double>(other.Count()) >=
         kLargerVmRatio * static_cast<double>(self.Count());
}

}  // namespace filbertspar
