#pragma once

#include <optional>

#include "filbertspar/ownership/src/contact.h"
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
  /// When the last ping was sent that this owner answered; min() before.
  TimePoint m_answered_ping_at = TimePoint::min();
  /// Epoch of the last owner that this VM saw or was.
  FencingNumber m_last_epoch;
  /// Until when an owner before this one may send orders which has not counted
  /// this VM among its peers.
  TimePoint m_earlier_orders_until = TimePoint::min();
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

/// \brief Applies a read of the row that was sent at `sent` and answered now.
/// True: the row names a holder that it did not name before.
bool UpdateOwnerView(OwnerView& view, const Candidate& self,
                     const std::optional<OwnerRecord>& record,
                     RowVersion version, TimePoint sent, TimePoint now);

/// \brief Applies the answer of an owner's process to a ping.
void HandlePingAnswered(OwnerView& view, std::uint64_t incarnation,
                        TimePoint ping_sent_at);

/// \brief Whether the owner of the view counted this VM among its peers when it
/// was confirmed last, which was before `last_write`, or has ended.
bool IsPeerOfOwner(const OwnerView& view, const Candidate& self,
                   TimePoint last_write);

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
/// contain every run that was started.
bool CanRelyOnRecordedStarts(const OwnerView& view, const Candidate& self,
                             const StoreContact& contact, TimePoint now);

/// \brief Latest time at which the owner whose row a claim replaces may send
/// orders; see permission.h.
TimePoint LatestOrderOfOwner(const OwnerView& view, const Candidate& self,
                             const StoreContact& contact, TimePoint now);

/// \brief A claim that was sent, and the view on which it is conditional.
struct ClaimAttempt {
  OwnerRecord m_record;
  OwnerView m_view;
  TimePoint m_sent_at{};
  /// When the first claim with this record and view was sent; it may have taken
  /// effect without an answer.
  TimePoint m_first_sent_at{};
};

/// \brief A successful claim, with the version of the owner's row.
struct WonClaim {
  OwnerRecord m_record;
  RowVersion m_version;
  /// When the claim that took effect was sent, or earlier.
  TimePoint m_claimed_at{};
  /// Latest time at which previous owners may send orders.
  TimePoint m_previous_orders_until{};
  /// Whether the stored progress records every run that may still be active.
  bool m_all_runs_recorded = false;
};

/// \brief The claim that follows the record of the view; `own_record` has the
/// fields of this process, `last` is its last claim.
ClaimAttempt MakeClaim(const OwnerRecord& own_record, const OwnerView& view,
                       const Candidate& self, const StoreContact& contact,
                       const ClaimAttempt& last, TimePoint now);

/// \brief Begins the term of a claim that was answered, or, without an answer,
/// found in the row with this version. `contact` and `now` are those of the
/// beginning: the previous owner may have gone on while the claim was under
/// way.
WonClaim WinClaim(const ClaimAttempt& attempt, const Candidate& self,
                  RowVersion version, bool is_answered,
                  const StoreContact& contact, TimePoint now);

/// \brief View of a VM whose term has ended.
OwnerView ViewAfterTerm(const WonClaim& won);

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
