#include "filbertspar/platform/src/client.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <utility>

#include "absl/strings/str_cat.h"
#include "filbertspar/platform/src/steps.h"

namespace filbertspar {

using internal::Operation;
using internal::Purpose;

PlatformClient MakePlatformClient(const NodeName& node, std::uint64_t seed,
                                  TimePoint now, PlatformLimits limits) {
  PlatformClient client;
  client.m_node = node.Value();
  client.m_limits = limits;
  client.m_rng = Rng(seed);
  client.m_writes =
      MakeBucket(limits.m_writes_per_second, limits.m_write_burst, now);
  client.m_reads =
      MakeBucket(limits.m_reads_per_second, limits.m_read_burst, now);
  client.m_retries_saved = limits.m_max_retries_saved;
  client.m_hedges_saved = 1;
  return client;
}

OperationId SubmitWrite(PlatformClient& client, TimePoint now,
                        std::vector<RowWrite> rows, Duration deadline,
                        PlatformEffects& effects) {
  FS_ASSERT(!rows.empty(), "a write has at least one row");
  const OperationId id(++client.m_last_operation);
  if (client.m_breaker.m_open ||
      client.m_operations.size() >= client.m_limits.m_max_operations) {
    effects.push_back(WriteReport{.m_operation = id,
                                  .m_outcome = WriteOutcome::kNotWritten,
                                  .m_code = client.m_breaker.m_open
                                                ? Code::kBreakerOpen
                                                : Code::kRateBudgetSpent});
    return id;
  }
  Operation operation;
  operation.m_is_write = true;
  operation.m_write = {absl::StrCat(client.m_node, "/", id.Value()),
                       std::move(rows)};
  operation.m_deadline = now + deadline;
  operation.m_next_step = now;
  client.m_operations.emplace(id, std::move(operation));
  internal::StepOperation(client, now, id, effects);
  return id;
}

OperationId SubmitCall(PlatformClient& client, TimePoint now, PlatformCall call,
                       Duration deadline, PlatformEffects& effects) {
  const OperationId id(++client.m_last_operation);
  if (client.m_breaker.m_open ||
      client.m_operations.size() >= client.m_limits.m_max_operations) {
    effects.push_back(CallReport{.m_operation = id,
                                 .m_code = client.m_breaker.m_open
                                               ? Code::kBreakerOpen
                                               : Code::kRateBudgetSpent,
                                 .m_answer = {}});
    return id;
  }
  Operation operation;
  operation.m_call = std::move(call);
  operation.m_deadline = now + deadline;
  operation.m_next_step = now;
  client.m_operations.emplace(id, std::move(operation));
  internal::StepOperation(client, now, id, effects);
  return id;
}

void TransmissionEnded(PlatformClient& client, TimePoint now,
                       const TransmissionReport& report,
                       PlatformEffects& effects) {
  const auto found = client.m_transmissions.find(report.m_transmission);
  if (found == client.m_transmissions.end()) {
    return;
  }
  const internal::Transmission transmission = found->second;
  client.m_transmissions.erase(found);
  internal::RecordEnd(client, now, transmission, report);
  const auto operation = client.m_operations.find(transmission.m_operation);
  if (operation == client.m_operations.end()) {
    return;
  }
  --operation->second.m_open;
  switch (transmission.m_purpose) {
    case Purpose::kWrite:
      internal::WriteEnded(client, now, transmission.m_operation, report,
                           effects);
      break;
    case Purpose::kReadBack:
      internal::ReadBackEnded(client, now, transmission.m_operation, report,
                              effects);
      break;
    case Purpose::kCall:
      internal::CallEnded(client, now, transmission.m_operation, report,
                          effects);
      break;
    case Purpose::kProbe:
      break;
  }
}

void Tick(PlatformClient& client, TimePoint now, PlatformEffects& effects) {
  std::vector<TransmissionId> timed_out;
  for (const auto& [id, transmission] : client.m_transmissions) {
    if (now >= transmission.m_timeout) {
      timed_out.push_back(id);
    }
  }
  for (const TransmissionId id : timed_out) {
    TransmissionReport report;
    report.m_transmission = id;
    TransmissionEnded(client, now, report, effects);
  }
  internal::Probe(client, now, effects);
  std::vector<OperationId> ids;
  for (const auto& [id, operation] : client.m_operations) {
    ids.push_back(id);
  }
  for (const OperationId id : ids) {
    internal::StepOperation(client, now, id, effects);
  }
}

TimePoint NextTick(const PlatformClient& client, TimePoint now) {
  TimePoint next = TimePoint::max();
  for (const auto& [id, transmission] : client.m_transmissions) {
    next = std::min(next, transmission.m_timeout);
  }
  for (const auto& [id, operation] : client.m_operations) {
    if (!operation.m_reported_unsettled) {
      next = std::min(next, operation.m_deadline);
    }
    if (operation.m_open == 0) {
      next = std::min(next, operation.m_next_step);
    } else if (!operation.m_is_write && !operation.m_hedged) {
      next = std::min(next, operation.m_hedge_at);
    }
  }
  if (client.m_breaker.m_open) {
    next = std::min(next, client.m_breaker.m_next_probe);
  }
  return next == TimePoint::max() ? next : std::max(next, now);
}

}  // namespace filbertspar
