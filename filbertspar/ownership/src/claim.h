#pragma once

#include <optional>

#include "filbertspar/ownership/src/record.h"

namespace filbertspar {

/// \brief State of a VM's link to the owner.
enum class LinkHealth : std::uint8_t {
  /// The owner answers and reports that it reaches the store.
  kGood,
  /// The owner's last answer is overdue.
  kLate,
  /// The owner answers and reports that it does not reach the store.
  kStoreUnreachable,
  /// The owner does not answer in time.
  kSilent,
  /// The owner's address refuses connections.
  kRefused,
};

/// \brief What a VM that is not the owner knows of the owner.
struct OwnerView {
  /// Empty if the row was never read or does not exist.
  std::optional<OwnerRecord> m_record;
  RowVersion m_version;
  /// Whether the row, or its absence, was read at least once.
  bool m_has_read = false;
  /// When the row was first read with this owner and epoch.
  TimePoint m_owner_first_seen = TimePoint::min();
  /// When this version of the row was first read.
  TimePoint m_version_first_seen{};
  /// When the latest read was sent that returned this version.
  TimePoint m_confirmed_at{};
  /// Duration of the latest read.
  Duration m_read_time{0};
  LinkHealth m_link = LinkHealth::kSilent;
  TimePoint m_link_changed_at{};
};

/// \brief This process as a candidate for the ownership.
struct Candidate {
  VmName m_vm;
  std::uint64_t m_incarnation = 0;
  Millicores m_cpu_capacity;
  /// Random, in [0, 1); keeps VMs of equal capacity from claiming at the same
  /// time.
  double m_jitter = 0;
};

/// \brief Whether to claim the ownership now.
///
/// A claim is safe at any time, because the version of the owner row and the
/// fencing number exclude the previous owner. The delays only avoid replacing
/// an owner that still works.
bool ShouldClaim(const OwnerView& view, const Candidate& self, TimePoint now);

/// \brief Whether the row shows a claim of this process whose answer was lost:
/// a term that it has not begun, `last_term` being the last that it has.
bool IsOwnUnansweredClaim(const OwnerView& view, const Candidate& self,
                          FencingNumber last_term);

/// \brief Whether an owner that claims now can rely on the stored progress to
/// contain every run that was started. `reached_since` is the start of this
/// VM's uninterrupted contact with the store; TimePoint::max() if it had none.
bool CanRelyOnRecordedStarts(const OwnerView& view, TimePoint reached_since,
                             TimePoint now);

/// \brief Latest time at which the owner's last write may have been confirmed
/// to it, or at which it may have known that no VM reaches the store. It stops
/// sending orders a bounded time after both. `reached_since` is the start of
/// this VM's uninterrupted contact with the store.
TimePoint LastEvidenceOfOwner(const OwnerView& view, TimePoint reached_since);

/// \brief Time until the owner row should be read again.
Duration TimeToNextOwnerRead(const OwnerView& view, const Candidate& self,
                             TimePoint now);

/// \brief Additional delay of a candidate's claim: VMs with more CPU capacity
/// claim first, and VMs of equal capacity at different times.
Duration ClaimDelay(const OwnerView& view, const Candidate& self);

/// \brief Whether an owner with CPU capacity `self` should hand over to a VM
/// with `other`. Otherwise a small VM that took over while the large ones were
/// briefly unavailable would remain the owner under a load that is too high for
/// it.
bool ShouldHandOver(Millicores self, Millicores other);

}  // namespace filbertspar
