#include "filbertspar/lease/src/lease.h"

#include <algorithm>
#include <utility>

namespace filbertspar {

using internal::FencedWrite;
using internal::PendingLeaseWrite;

namespace {

Duration RandomTakeoverDelay(Lease& lease) {
  return Duration(static_cast<std::int64_t>(
      lease.m_rng.Below(static_cast<std::uint64_t>(kTakeoverJitter.count()))));
}

void RejectFencedWrite(FencedWriteId id, Code code, LeaseEffects& effects) {
  effects.push_back(FencedWriteReport{
      .m_write = id, .m_outcome = WriteOutcome::kNotWritten, .m_code = code});
}

void LoseLease(Lease& lease, LeaseEffects& effects) {
  if (!lease.m_is_holder) {
    return;
  }
  lease.m_is_holder = false;
  effects.push_back(LeaseLost{});
  for (const FencedWrite& waiting : lease.m_waiting) {
    RejectFencedWrite(waiting.m_id, Code::kNotLeaseHolder, effects);
  }
  lease.m_waiting.clear();
}

void SendLeaseWrite(Lease& lease, TimePoint now, LeaseRow row,
                    std::optional<FencedWrite> fenced, LeaseEffects& effects) {
  WriteLease write{
      LeaseWriteId(++lease.m_last_write_id), {}, kLeaseWriteDeadline};
  write.m_rows.push_back(
      {LeaseRowKey(lease.m_role), lease.m_version, ToJson(row)});
  if (fenced) {
    write.m_rows.insert(write.m_rows.end(), fenced->m_rows.begin(),
                        fenced->m_rows.end());
  }
  lease.m_pending = PendingLeaseWrite{
      write.m_write, lease.m_version, std::move(row), std::move(fenced), now,
      false};
  lease.m_next_renewal = now + kLeaseRenewalInterval;
  effects.push_back(std::move(write));
}

// Sends the next queued fenced write, or a renewal if one is due. A fenced
// write renews the lease too.
void SendNext(Lease& lease, TimePoint now, LeaseEffects& effects) {
  if (!lease.m_is_holder || lease.m_pending) {
    return;
  }
  if (!lease.m_waiting.empty()) {
    FencedWrite next = std::move(lease.m_waiting.front());
    lease.m_waiting.pop_front();
    SendLeaseWrite(lease, now, lease.m_row, std::move(next), effects);
  } else if (now >= lease.m_next_renewal) {
    SendLeaseWrite(lease, now, lease.m_row, std::nullopt, effects);
  }
}

void UpdateRow(Lease& lease, TimePoint now, RowVersion version,
               const LeaseRow& row) {
  lease.m_row_known = true;
  lease.m_version = version;
  lease.m_row = row;
  lease.m_unchanged_since = now;
  lease.m_takeover_at = now + kLeaseTimeout + RandomTakeoverDelay(lease);
}

void HandleCommit(Lease& lease, TimePoint now, const PendingLeaseWrite& pending,
                  const WriteReport& report, LeaseEffects& effects) {
  // A read may have returned the written row before this report arrived. A row
  // newer than the written one belongs to another process.
  if (!report.m_versions.empty() && report.m_versions[0] >= lease.m_version) {
    UpdateRow(lease, now, report.m_versions[0], pending.m_row);
    lease.m_last_renewal_sent_at = pending.m_sent_at;
    if (!lease.m_is_holder) {
      lease.m_is_holder = true;
      effects.push_back(LeaseAcquired{pending.m_row.m_fencing});
    }
  }
  if (pending.m_fenced_write) {
    FencedWriteReport out{.m_write = pending.m_fenced_write->m_id,
                          .m_outcome = WriteOutcome::kCommitted};
    if (!report.m_versions.empty()) {
      out.m_versions.assign(report.m_versions.begin() + 1,
                            report.m_versions.end());
    }
    effects.push_back(std::move(out));
  }
}

void HandleConflict(Lease& lease, TimePoint now,
                    const PendingLeaseWrite& pending, const WriteReport& report,
                    LeaseEffects& effects) {
  const RowKey key = LeaseRowKey(lease.m_role);
  const bool is_fence_conflict = std::any_of(
      report.m_conflicts.begin(), report.m_conflicts.end(),
      [&](const RowConflict& conflict) { return conflict.m_row == key; });
  if (is_fence_conflict || !pending.m_fenced_write) {
    // Another process wrote the row; the next read shows which one.
    LoseLease(lease, effects);
    lease.m_row_known = false;
    lease.m_next_poll = now;
    if (pending.m_fenced_write) {
      RejectFencedWrite(pending.m_fenced_write->m_id, Code::kNotLeaseHolder,
                        effects);
    }
    return;
  }
  effects.push_back(FencedWriteReport{.m_write = pending.m_fenced_write->m_id,
                                      .m_outcome = WriteOutcome::kConflict,
                                      .m_code = Code::kPlatformConflict,
                                      .m_versions = {},
                                      .m_conflicts = report.m_conflicts});
  // The transaction failed as a whole, so the lease was not renewed either.
  lease.m_next_renewal = now;
}

}  // namespace

Lease MakeLease(const std::string& role, const NodeName& self,
                std::uint64_t seed, TimePoint now) {
  Lease lease;
  lease.m_role = role;
  lease.m_self = self;
  lease.m_rng = Rng(seed);
  lease.m_next_poll = now;
  return lease;
}

void Tick(Lease& lease, TimePoint now, LeaseEffects& effects) {
  if (lease.m_is_holder) {
    SendNext(lease, now, effects);
    return;
  }
  if (now >= lease.m_next_poll) {
    lease.m_next_poll = now + kLeasePollInterval;
    effects.push_back(ReadLease{++lease.m_last_read_id});
  }
  if (lease.m_row_known && !lease.m_pending && now >= lease.m_takeover_at) {
    LeaseRow row{lease.m_self,
                 FencingNumber(lease.m_row.m_fencing.Value() + 1)};
    SendLeaseWrite(lease, now, std::move(row), std::nullopt, effects);
  }
}

TimePoint NextTick(const Lease& lease) {
  if (lease.m_is_holder) {
    return lease.m_pending ? TimePoint::max() : lease.m_next_renewal;
  }
  return lease.m_row_known && !lease.m_pending
             ? std::min(lease.m_next_poll, lease.m_takeover_at)
             : lease.m_next_poll;
}

void HandleLeaseRead(Lease& lease, TimePoint now, Code code, const Row& row,
                     LeaseEffects& effects) {
  if (code != Code::kOk) {
    return;
  }
  LeaseRow read;
  if (row.m_value) {
    absl::StatusOr<LeaseRow> parsed = LeaseRowFromJson(*row.m_value);
    if (!parsed.ok()) {
      return;
    }
    read = *std::move(parsed);
  }
  if (row.m_version < lease.m_version ||
      (row.m_version == lease.m_version && lease.m_row_known)) {
    return;
  }
  const bool is_absent = row.m_version.IsNone();
  if (row.m_version == lease.m_version && !is_absent) {
    lease.m_row_known = true;
    return;
  }
  UpdateRow(lease, now, row.m_version, read);
  if (is_absent) {
    // The role has never been held, so there is no lease to wait for.
    lease.m_takeover_at = now + RandomTakeoverDelay(lease);
  }
  if (lease.m_is_holder && read.m_holder != lease.m_self) {
    LoseLease(lease, effects);
  }
}

void HandleLeaseWriteReport(Lease& lease, TimePoint now, LeaseWriteId write,
                            const WriteReport& report, LeaseEffects& effects) {
  if (!lease.m_pending || lease.m_pending->m_id != write) {
    return;
  }
  if (!report.IsFinal()) {
    // Nothing else is sent until the outcome is known, because the next write
    // needs the row version that results from this one.
    if (lease.m_pending->m_fenced_write &&
        !lease.m_pending->m_reported_unsettled) {
      lease.m_pending->m_reported_unsettled = true;
      effects.push_back(
          FencedWriteReport{.m_write = lease.m_pending->m_fenced_write->m_id,
                            .m_outcome = WriteOutcome::kUnsettled,
                            .m_code = Code::kPlatformUnsettled});
    }
    return;
  }
  const PendingLeaseWrite pending = *std::move(lease.m_pending);
  lease.m_pending.reset();
  switch (report.m_outcome) {
    case WriteOutcome::kCommitted:
      HandleCommit(lease, now, pending, report, effects);
      break;
    case WriteOutcome::kConflict:
      HandleConflict(lease, now, pending, report, effects);
      break;
    case WriteOutcome::kNotWritten:
    case WriteOutcome::kUnsettled:
      lease.m_takeover_at =
          std::max(lease.m_takeover_at, now + kTakeoverJitter);
      if (pending.m_fenced_write) {
        RejectFencedWrite(pending.m_fenced_write->m_id, report.m_code, effects);
      }
      break;
  }
  SendNext(lease, now, effects);
}

void WriteFenced(Lease& lease, TimePoint now, FencedWriteId id,
                 std::vector<RowWrite> rows, LeaseEffects& effects) {
  FS_ASSERT(!rows.empty(), "a fenced write has at least one row");
  if (!lease.m_is_holder) {
    RejectFencedWrite(id, Code::kNotLeaseHolder, effects);
    return;
  }
  if (lease.m_waiting.size() >= kMaxFencedWrites) {
    RejectFencedWrite(id, Code::kRateBudgetSpent, effects);
    return;
  }
  lease.m_waiting.push_back({id, std::move(rows)});
  SendNext(lease, now, effects);
}

bool IsHolder(const Lease& lease) { return lease.m_is_holder; }

bool CanActOutsideStore(const Lease& lease, TimePoint now) {
  return lease.m_is_holder &&
         now - lease.m_last_renewal_sent_at <= kLeaseValidity;
}

FencingNumber HeldFencingNumber(const Lease& lease) {
  return lease.m_is_holder ? lease.m_row.m_fencing : FencingNumber();
}

NodeName LastKnownHolder(const Lease& lease) { return lease.m_row.m_holder; }

}  // namespace filbertspar
