#include "filbertspar/platform/src/steps.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <utility>

namespace filbertspar::internal {
namespace {

using End = TransmissionReport::End;

// Any row serves; that of the configuration's head always exists.
const RowQuery kProbedRow{{"config", "head"}};

constexpr int kMaxBackoffDoublings = 10;
// Gains of the smoothed latency, as TCP uses for its round-trip time (RFC
// 6298).
constexpr double kMeanGain = 1.0 / 8;
constexpr double kDeviationGain = 1.0 / 4;

bool IsAnswer(const TransmissionReport& report) {
  return report.m_end == End::kAnswered && report.m_status >= 200 &&
         report.m_status < 500;
}

// Full jitter: uniform between nothing and the exponential bound.
Duration Backoff(PlatformClient& client, int steps) {
  const PlatformLimits& limits = client.m_limits;
  const Duration bound = std::min(
      limits.m_last_backoff,
      limits.m_first_backoff * (1 << std::min(steps, kMaxBackoffDoublings)));
  return Duration(static_cast<std::int64_t>(
      client.m_rng.Uniform() * static_cast<double>(bound.count())));
}

Duration HedgeDelay(const PlatformClient& client) {
  const auto delay = Duration(static_cast<std::int64_t>(
      client.m_latency_mean + 4 * client.m_latency_deviation));
  return std::max(client.m_limits.m_min_hedge_delay, delay);
}

void Send(PlatformClient& client, TimePoint now, OperationId id,
          Operation& operation, Purpose purpose, PlatformRequest request,
          PlatformEffects& effects) {
  const TransmissionId transmission(++client.m_last_transmission);
  const Duration timeout = client.m_limits.m_transmission_timeout;
  client.m_transmissions.emplace(transmission,
                                 Transmission{id, purpose, now, now + timeout});
  ++operation.m_open;
  ++operation.m_steps;
  operation.m_maybe_applied |= purpose == Purpose::kWrite;
  effects.push_back(Transmit{transmission, std::move(request), timeout,
                             operation.m_lost_one || operation.m_hedged});
}

void EndWrite(PlatformClient& client, OperationId id, WriteOutcome outcome,
              Code code, PlatformEffects& effects) {
  client.m_operations.erase(id);
  effects.push_back(
      WriteReport{.m_operation = id, .m_outcome = outcome, .m_code = code});
}

void EndCall(PlatformClient& client, OperationId id, Code code,
             PlatformAnswer answer, PlatformEffects& effects) {
  client.m_operations.erase(id);
  effects.push_back(CallReport{id, code, std::move(answer)});
}

// Sends the next step of a write that may have taken effect: the same attempt
// id again until the deadline. After it a read of the first row comes first,
// which costs no write, and a repeat only when the read does not decide.
void StepSettling(PlatformClient& client, TimePoint now, OperationId id,
                  Operation& operation, PlatformEffects& effects) {
  if (client.m_breaker.m_open) {
    operation.m_next_step = now + client.m_limits.m_settle_backoff;
    return;
  }
  const bool read_back =
      now >= operation.m_deadline && !operation.m_was_read_back;
  TokenBucket& bucket = read_back ? client.m_reads : client.m_writes;
  if (!TakeToken(bucket, now)) {
    operation.m_next_step = NextToken(bucket, now);
    return;
  }
  operation.m_was_read_back = read_back;
  if (read_back) {
    Send(client, now, id, operation, Purpose::kReadBack,
         EncodeCall(RowQuery{operation.m_write.m_rows[0].m_row}), effects);
  } else {
    Send(client, now, id, operation, Purpose::kWrite,
         EncodeWrite(operation.m_write), effects);
  }
}

void StepWrite(PlatformClient& client, TimePoint now, OperationId id,
               Operation& operation, PlatformEffects& effects) {
  const bool expired = now >= operation.m_deadline;
  if (operation.m_maybe_applied && expired && !operation.m_reported_unsettled) {
    operation.m_reported_unsettled = true;
    effects.push_back(WriteReport{.m_operation = id,
                                  .m_outcome = WriteOutcome::kUnsettled,
                                  .m_code = Code::kPlatformUnsettled});
  }
  if (operation.m_open > 0) {
    return;
  }
  if (!operation.m_maybe_applied && (expired || client.m_breaker.m_open)) {
    EndWrite(
        client, id, WriteOutcome::kNotWritten,
        client.m_breaker.m_open ? Code::kBreakerOpen : Code::kPlatformTimeout,
        effects);
    return;
  }
  if (now < operation.m_next_step) {
    return;
  }
  if (operation.m_maybe_applied) {
    StepSettling(client, now, id, operation, effects);
  } else if (TakeToken(client.m_writes, now)) {
    Send(client, now, id, operation, Purpose::kWrite,
         EncodeWrite(operation.m_write), effects);
  } else {
    operation.m_next_step = NextToken(client.m_writes, now);
  }
}

void StepCall(PlatformClient& client, TimePoint now, OperationId id,
              Operation& operation, PlatformEffects& effects) {
  if (now >= operation.m_deadline) {
    EndCall(client, id, Code::kPlatformTimeout, {}, effects);
    return;
  }
  if (operation.m_open > 0) {
    const bool hedge = !operation.m_hedged && now >= operation.m_hedge_at &&
                       client.m_hedges_saved >= 1 &&
                       TakeToken(client.m_reads, now);
    if (hedge) {
      client.m_hedges_saved -= 1;
      operation.m_hedged = true;
      Send(client, now, id, operation, Purpose::kCall,
           EncodeCall(operation.m_call), effects);
    } else if (now >= operation.m_hedge_at) {
      operation.m_hedge_at = operation.m_deadline;
    }
    return;
  }
  if (client.m_breaker.m_open) {
    EndCall(client, id, Code::kBreakerOpen, {}, effects);
    return;
  }
  if (now < operation.m_next_step) {
    return;
  }
  TokenBucket& bucket = std::holds_alternative<ObjectPut>(operation.m_call)
                            ? client.m_writes
                            : client.m_reads;
  if (!TakeToken(bucket, now)) {
    operation.m_next_step = NextToken(bucket, now);
    return;
  }
  // A body that is stored is long and its repeat costs a write.
  operation.m_hedged = std::holds_alternative<ObjectPut>(operation.m_call);
  operation.m_hedge_at = now + HedgeDelay(client);
  Send(client, now, id, operation, Purpose::kCall, EncodeCall(operation.m_call),
       effects);
}

// Takes one retry out of the budget, or returns false.
bool TakeRetry(PlatformClient& client) {
  if (client.m_retries_saved < 1) {
    return false;
  }
  client.m_retries_saved -= 1;
  return true;
}

void SettleLater(PlatformClient& client, TimePoint now, Operation& operation) {
  operation.m_lost_one = true;
  const bool expired = now >= operation.m_deadline;
  Duration pause = Backoff(client, operation.m_steps);
  // Without a retry left the write is settled more slowly, not given up.
  if (expired || !TakeRetry(client)) {
    pause += client.m_limits.m_settle_backoff;
  }
  operation.m_next_step = now + pause;
}

void Commit(PlatformClient& client, OperationId id,
            std::vector<RowVersion> versions, PlatformEffects& effects) {
  client.m_operations.erase(id);
  effects.push_back(WriteReport{.m_operation = id,
                                .m_outcome = WriteOutcome::kCommitted,
                                .m_versions = std::move(versions)});
}

}  // namespace

void StepOperation(PlatformClient& client, TimePoint now, OperationId id,
                   PlatformEffects& effects) {
  const auto found = client.m_operations.find(id);
  if (found == client.m_operations.end()) {
    return;
  }
  if (found->second.m_is_write) {
    StepWrite(client, now, id, found->second, effects);
  } else {
    StepCall(client, now, id, found->second, effects);
  }
}

void RecordEnd(PlatformClient& client, TimePoint now,
               const Transmission& transmission,
               const TransmissionReport& report) {
  if (!IsAnswer(report)) {
    RecordFailure(client.m_breaker, now);
    return;
  }
  const PlatformLimits& limits = client.m_limits;
  RecordSuccess(client.m_breaker);
  client.m_retries_saved =
      std::min(limits.m_max_retries_saved,
               client.m_retries_saved + limits.m_retry_ratio);
  client.m_hedges_saved = std::min(
      limits.m_max_retries_saved, client.m_hedges_saved + limits.m_hedge_ratio);
  const auto latency = static_cast<double>((now - transmission.m_sent).count());
  if (client.m_latency_mean == 0) {
    client.m_latency_mean = latency;
    client.m_latency_deviation = latency / 2;
    return;
  }
  client.m_latency_deviation +=
      kDeviationGain *
      (std::abs(latency - client.m_latency_mean) - client.m_latency_deviation);
  client.m_latency_mean += kMeanGain * (latency - client.m_latency_mean);
}

void WriteEnded(PlatformClient& client, TimePoint now, OperationId id,
                const TransmissionReport& report, PlatformEffects& effects) {
  Operation& operation = client.m_operations.at(id);
  if (IsAnswer(report) && report.m_status == 200) {
    absl::StatusOr<std::vector<RowVersion>> versions =
        DecodeVersions(report.m_body);
    if (versions.ok() && versions->size() == operation.m_write.m_rows.size()) {
      Commit(client, id, *std::move(versions), effects);
      return;
    }
  } else if (IsAnswer(report) && report.m_status == 409) {
    absl::StatusOr<std::vector<RowConflict>> conflicts =
        DecodeConflicts(report.m_body);
    const bool ours =
        conflicts.ok() &&
        std::any_of(conflicts->begin(), conflicts->end(),
                    [&](const RowConflict& conflict) {
                      return conflict.m_attempt == operation.m_write.m_attempt;
                    });
    if (conflicts.ok() && !ours) {
      client.m_operations.erase(id);
      effects.push_back(WriteReport{.m_operation = id,
                                    .m_outcome = WriteOutcome::kConflict,
                                    .m_code = Code::kPlatformConflict,
                                    .m_conflicts = *std::move(conflicts)});
      return;
    }
    // A conflict with our own attempt contradicts the protocol, which answers
    // a repeat with 200; reading the row back decides.
    operation.m_was_read_back = operation.m_was_read_back && !ours;
  } else if (IsAnswer(report) &&
             (report.m_status == 400 || report.m_status == 413)) {
    // Refused before it was looked at, such as a malformed or oversized body.
    // An earlier transmission of the same bytes was refused alike.
    EndWrite(client, id, WriteOutcome::kNotWritten, Code::kPlatformBadAnswer,
             effects);
    return;
  }
  if (report.m_end == End::kNotSent && !operation.m_lost_one) {
    operation.m_maybe_applied = false;
    if (!TakeRetry(client)) {
      EndWrite(client, id, WriteOutcome::kNotWritten, Code::kPlatformDown,
               effects);
      return;
    }
    operation.m_next_step = now + Backoff(client, operation.m_steps);
  } else {
    SettleLater(client, now, operation);
  }
  StepOperation(client, now, id, effects);
}

void ReadBackEnded(PlatformClient& client, TimePoint now, OperationId id,
                   const TransmissionReport& report, PlatformEffects& effects) {
  Operation& operation = client.m_operations.at(id);
  if (IsAnswer(report)) {
    const RowQuery query{operation.m_write.m_rows[0].m_row};
    absl::StatusOr<PlatformAnswer> answer =
        DecodeAnswer(query, report.m_status, report.m_body);
    const Row* row = answer.ok() ? std::get_if<Row>(&*answer) : nullptr;
    if (row != nullptr && row->m_attempt == operation.m_write.m_attempt &&
        operation.m_write.m_rows.size() == 1) {
      Commit(client, id, {row->m_version}, effects);
      return;
    }
    // With more rows the repeat also yields the other rows' versions. A row
    // that moved on may have been ours and overwritten since; a row that did
    // not move may still be reached by a late packet. Only the repeat decides.
    operation.m_next_step = now;
    StepOperation(client, now, id, effects);
    return;
  }
  operation.m_was_read_back = false;
  SettleLater(client, now, operation);
  StepOperation(client, now, id, effects);
}

void CallEnded(PlatformClient& client, TimePoint now, OperationId id,
               const TransmissionReport& report, PlatformEffects& effects) {
  Operation& operation = client.m_operations.at(id);
  Code code = report.m_end == End::kNotSent ? Code::kPlatformDown
                                            : Code::kPlatformTimeout;
  if (report.m_end == End::kAnswered) {
    absl::StatusOr<PlatformAnswer> answer =
        DecodeAnswer(operation.m_call, report.m_status, report.m_body);
    if (answer.ok()) {
      EndCall(client, id, Code::kOk, *std::move(answer), effects);
      return;
    }
    code = CodeOf(answer.status());
    if (code == Code::kNotFound) {
      EndCall(client, id, code, {}, effects);
      return;
    }
  }
  if (operation.m_open > 0) {
    return;
  }
  operation.m_lost_one = true;
  if (!TakeRetry(client)) {
    EndCall(client, id, code, {}, effects);
    return;
  }
  operation.m_next_step = now + Backoff(client, operation.m_steps);
  StepOperation(client, now, id, effects);
}

void Probe(PlatformClient& client, TimePoint now, PlatformEffects& effects) {
  if (!TakeProbe(client.m_breaker, now)) {
    return;
  }
  Operation unused;
  unused.m_lost_one = true;
  Send(client, now, OperationId(), unused, Purpose::kProbe,
       EncodeCall(kProbedRow), effects);
}

}  // namespace filbertspar::internal
