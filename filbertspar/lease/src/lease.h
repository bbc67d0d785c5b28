#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "filbertspar/lease/src/row.h"

namespace filbertspar {

/// \brief Interval at which a process that is not the holder reads the row.
inline constexpr Duration kLeasePollInterval = Seconds(1);
/// \brief Maximum time between two writes of the lease row by the holder.
inline constexpr Duration kLeaseRenewalInterval = Seconds(1);
/// \brief A row whose version has not changed for this long may be taken over.
/// Including one poll interval before it, and the jitter, the store round trips
/// and one lost response after it, another process holds the role within 6 s of
/// the previous holder's last write.
inline constexpr Duration kLeaseTimeout = Milliseconds(3800);
/// \brief Upper bound of the random delay that spreads the takeover attempts of
/// many processes.
inline constexpr Duration kTakeoverJitter = Milliseconds(300);
/// \brief Time after sending its last committed write during which the holder
/// may act on things that the store does not fence, such as a worker. Shorter
/// than kLeaseTimeout, so that it ends before another process can take over.
inline constexpr Duration kLeaseValidity = Seconds(3);
/// \brief Time after which a lease write must be reported, if need be as
/// unsettled.
inline constexpr Duration kLeaseWriteDeadline = Seconds(1);
/// \brief Maximum number of queued fenced writes. A further write is rejected
/// with kNotWritten and kRateBudgetSpent.
inline constexpr std::size_t kMaxFencedWrites = 64;

using LeaseWriteId = Id<struct LeaseWriteTag>;
/// \brief Chosen by the caller of WriteFenced; returned in FencedWriteReport.
using FencedWriteId = Id<struct FencedWriteTag>;

/// \brief Effect: read the lease row and pass the result to HandleLeaseRead.
struct ReadLease {
  std::uint64_t m_read = 0;
};

/// \brief Effect: write these rows in one transaction and pass every report to
/// HandleLeaseWriteReport. The first row is the lease row with its expected
/// version.
struct WriteLease {
  LeaseWriteId m_write;
  std::vector<RowWrite> m_rows;
  Duration m_deadline{};
};

/// \brief Effect: this process now holds the role. It must reload all state
/// from the store before it acts.
struct LeaseAcquired {
  FencingNumber m_fencing;
};

/// \brief Effect: this process no longer holds the role and must stop acting.
struct LeaseLost {};

/// \brief Effect: outcome of a fenced write. kNotWritten with kNotLeaseHolder:
/// this process does not hold the role. kConflict: one of the caller's own rows
/// had another version; the role is still held. As for all writes, kUnsettled
/// is followed by a final report.
struct FencedWriteReport {
  FencedWriteId m_write;
  WriteOutcome m_outcome = WriteOutcome::kUnsettled;
  Code m_code = Code::kOk;
  /// Versions of the caller's rows, without that of the lease row.
  std::vector<RowVersion> m_versions{};
  std::vector<RowConflict> m_conflicts{};
};

using LeaseEffect = std::variant<ReadLease, WriteLease, LeaseAcquired,
                                 LeaseLost, FencedWriteReport>;
using LeaseEffects = std::vector<LeaseEffect>;

namespace internal {

struct FencedWrite {
  FencedWriteId m_id;
  std::vector<RowWrite> m_rows;
};

/// The only lease write in flight: a takeover, a renewal or a fenced write.
struct PendingLeaseWrite {
  LeaseWriteId m_id;
  RowVersion m_expect;
  LeaseRow m_row;
  std::optional<FencedWrite> m_fenced_write;
  TimePoint m_sent_at{};
  bool m_reported_unsettled = false;
};

}  // namespace internal

/// \brief State of one process that competes for a role. All functions below
/// are pure state transitions: the caller passes the time and executes the
/// effects.
struct Lease {
  std::string m_role;
  NodeName m_self;
  Rng m_rng{0};
  /// Version of the row as last read or written; 0 when it does not exist.
  RowVersion m_version;
  LeaseRow m_row;
  /// False before the first read, and after a conflict until the next read.
  bool m_row_known = false;
  /// When this process first saw the row at this version.
  TimePoint m_unchanged_since{};
  bool m_is_holder = false;
  /// When the last committed write was sent; start of kLeaseValidity.
  TimePoint m_last_renewal_sent_at{};
  TimePoint m_next_poll{};
  TimePoint m_next_renewal{};
  /// Earliest takeover if the row does not change until then.
  TimePoint m_takeover_at{};
  std::uint64_t m_last_read_id = 0;
  std::uint64_t m_last_write_id = 0;
  std::optional<internal::PendingLeaseWrite> m_pending;
  std::deque<internal::FencedWrite> m_waiting;
};

/// \brief State of a new process that has not read the row. `self` must be
/// unique to the process, incarnation included; `seed` drives the jitter.
Lease MakeLease(const std::string& role, const NodeName& self,
                std::uint64_t seed, TimePoint now);

/// \brief Emits the reads, renewals and takeovers that are due.
void Tick(Lease& lease, TimePoint now, LeaseEffects& effects);
/// \brief When Tick has work again; TimePoint::max() while the holder has a
/// write in flight.
TimePoint NextTick(const Lease& lease);

/// \brief Result of ReadLease: kOk with the row (version 0 when absent). A
/// failed read or an unreadable row is ignored; the next poll reads again.
void HandleLeaseRead(Lease& lease, TimePoint now, Code code, const Row& row,
                     LeaseEffects& effects);
/// \brief Report of WriteLease. Reports of earlier writes are ignored.
void HandleLeaseWriteReport(Lease& lease, TimePoint now, LeaseWriteId write,
                            const WriteReport& report, LeaseEffects& effects);

/// \brief Writes the caller's rows in one transaction with the lease row, so
/// that they are written only while this process holds the role. One write is
/// in flight at a time, because each raises the lease row's version; others are
/// queued, up to kMaxFencedWrites. `rows` must not be empty.
void WriteFenced(Lease& lease, TimePoint now, FencedWriteId id,
                 std::vector<RowWrite> rows, LeaseEffects& effects);

/// \brief Whether the process holds the role as far as it knows. This is enough
/// to plan fenced writes, since the store checks the lease row.
bool IsHolder(const Lease& lease);
/// \brief Whether the process may act on things that the store does not fence:
/// it holds the role and kLeaseValidity has not passed.
bool CanActOutsideStore(const Lease& lease, TimePoint now);
/// \brief Fencing number of this holder; 0 when it does not hold the role.
FencingNumber HeldFencingNumber(const Lease& lease);
/// \brief Holder of the role as last read; empty when unknown.
NodeName LastKnownHolder(const Lease& lease);

}  // namespace filbertspar
