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

inline constexpr Duration kLeasePollInterval = Seconds(1);
/// \brief The holder writes its row at least this often.
inline constexpr Duration kLeaseRenewalInterval = Seconds(1);
/// \brief A row that did not change for this long may be taken over. With a
/// poll interval before and jitter, exchanges and one lost answer after it,
/// another process holds the duty within 6 s of the holder's last write.
inline constexpr Duration kLeaseTimeout = Milliseconds(3800);
/// \brief Spreads the take-over attempts of many processes.
inline constexpr Duration kTakeoverJitter = Milliseconds(300);
/// \brief Duration since the sending of its last committed write in which the
/// holder may act on things that the table does not fence, such as a worker.
/// Shorter than kLeaseTimeout, so it ends before another process may hold.
inline constexpr Duration kLeaseValidity = Seconds(3);
/// \brief When an outcome of a lease write is wanted, be it unsettled.
inline constexpr Duration kLeaseWriteDeadline = Seconds(1);
/// \brief Fenced writes that wait; one more is refused as not written.
inline constexpr std::size_t kMaxFencedWrites = 64;

using LeaseWriteId = Id<struct LeaseWriteTag>;
/// \brief A write of the actor under the lease.
using FencedWriteId = Id<struct FencedWriteTag>;

/// \brief Read the duty's row; the answer goes to HandleLeaseRead.
struct ReadLease {
  std::uint64_t m_read = 0;
};

/// \brief Send this table write; every report goes to HandleLeaseWriteReport.
/// The first row is the lease row with its expected version.
struct WriteLease {
  LeaseWriteId m_write;
  std::vector<RowWrite> m_rows;
  Duration m_deadline{};
};

/// \brief The process holds the duty from now on and must read all state anew
/// before it acts.
struct LeaseAcquired {
  FencingNumber m_fencing;
};

/// \brief The process no longer holds the duty and must stop acting.
struct LeaseLost {};

/// \brief Tell the actor what became of a fenced write. kNotWritten with
/// kNotLeaseHolder: another process holds the duty. kConflict: one of the
/// actor's own rows had another version; the duty is still held. As for all
/// writes kUnsettled is followed by a final report.
struct FencedWriteReport {
  FencedWriteId m_write;
  WriteOutcome m_outcome = WriteOutcome::kUnsettled;
  Code m_code = Code::kOk;
  /// Versions of the actor's rows, without the lease row's.
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

/// The one lease write in flight: a take-over, a renewal or a fenced write.
struct PendingLeaseWrite {
  LeaseWriteId m_id;
  RowVersion m_expect;
  LeaseRow m_row;
  std::optional<FencedWrite> m_fenced_write;
  TimePoint m_sent_at{};
  bool m_reported_unsettled = false;
};

}  // namespace internal

/// \brief State of one process's part in a duty.
struct Lease {
  std::string m_role;
  NodeName m_self;
  Rng m_rng{0};
  /// The row as last read or written; version 0 when it does not exist.
  RowVersion m_version;
  LeaseRow m_row;
  bool m_row_known = false;
  /// When this process first saw the row at this version.
  TimePoint m_unchanged_since{};
  bool m_is_holder = false;
  /// When the last committed write was sent.
  TimePoint m_last_renewal_sent_at{};
  TimePoint m_next_poll{};
  TimePoint m_next_renewal{};
  /// When the take-over is due while the row does not change.
  TimePoint m_takeover_at{};
  std::uint64_t m_last_read_id = 0;
  std::uint64_t m_last_write_id = 0;
  std::optional<internal::PendingLeaseWrite> m_pending;
  std::deque<internal::FencedWrite> m_waiting;
};

Lease MakeLease(const std::string& role, const NodeName& self,
                std::uint64_t seed, TimePoint now);

void Tick(Lease& lease, TimePoint now, LeaseEffects& effects);
TimePoint NextTick(const Lease& lease);

/// \brief Answer of ReadLease: kOk with the row (version 0 when absent).
void HandleLeaseRead(Lease& lease, TimePoint now, Code code, const Row& row,
                     LeaseEffects& effects);
/// \brief Report of WriteLease.
void HandleLeaseWriteReport(Lease& lease, TimePoint now, LeaseWriteId write,
                            const WriteReport& report, LeaseEffects& effects);

/// \brief Writes the actor's rows together with the lease row, so that they
/// are written only while this process holds the duty. One is in flight at a
/// time, as each raises the lease row's version. `rows` must not be empty.
void WriteFenced(Lease& lease, TimePoint now, FencedWriteId id,
                 std::vector<RowWrite> rows, LeaseEffects& effects);

/// \brief Whether the process holds the duty as far as it knows. Rows may be
/// planned on this, since the table checks the fence.
bool IsHolder(const Lease& lease);
/// \brief Whether the holder may act on things that the table does not fence.
bool CanActOutsideStore(const Lease& lease, TimePoint now);
/// \brief Fencing number held; 0 when the duty is not held.
FencingNumber HeldFencingNumber(const Lease& lease);
/// \brief The duty's holder as last read; empty when unknown.
NodeName LastKnownHolder(const Lease& lease);

}  // namespace filbertspar
