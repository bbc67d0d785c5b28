#pragma once

#include <optional>

#include "filbertspar/ownership/src/record.h"

namespace filbertspar {

/// \brief What a VM knows of its link to the owner.
enum class LinkHealth : std::uint8_t {
  /// Answers, and the owner says that it reaches the store.
  kGood,
  /// Answers, but the owner does not reach the store.
  kStoreUnreachable,
  /// No answer in time.
  kSilent,
  /// Nothing listens at the owner's address.
  kRefused,
};

/// \brief What a VM knows of the owner.
struct OwnerView {
  /// Nothing while the row was never read or does not exist.
  std::optional<OwnerRecord> m_record;
  RowVersion m_version;
  bool m_has_read = false;
  /// When the row's version was first read.
  TimePoint m_version_first_seen{};
  /// When the last read that showed this version was sent.
  TimePoint m_confirmed_at{};
  /// Time that the last read took.
  Duration m_read_time{0};
  LinkHealth m_link = LinkHealth::kSilent;
  TimePoint m_link_changed_at{};
};

/// \brief This process, as a candidate.
struct Candidate {
  VmName m_vm;
  std::uint64_t m_incarnation = 0;
  Millicores m_cpu_capacity;
  /// In [0, 1); keeps equal VMs from claiming at the same time.
  double m_jitter = 0;
};

/// \brief Whether to claim ownership now. Any claim is safe, since the owner's
/// row and the fencing number shut out the holder before; the waiting times
/// only keep a working owner in place.
bool ShouldClaim(const OwnerView& view, const Candidate& self, TimePoint now);

/// \brief Whether a claim now may rely on the list of runs that the last owner
/// stored. `reached_since` is when this VM last had no contact with the store
/// for a while.
bool CanRelyOnRecordedStarts(const OwnerView& view, TimePoint reached_since,
                             TimePoint now);

/// \brief Time until the owner's row should be read again.
Duration TimeToNextOwnerRead(const OwnerView& view, const Candidate& self,
                             TimePoint now);

/// \brief Head start that a candidate leaves to others: stronger VMs claim
/// first, equal ones do not collide.
Duration ClaimDelay(const OwnerView& view, const Candidate& self);

/// \brief Whether an owner should give up its term to a VM of `other`
/// strength. Answers the load that a weak VM cannot carry after the strong ones
/// were away for a moment.
bool ShouldHandOver(Millicores self, Millicores other);

}  // namespace filbertspar
