#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "filbertspar/fleetview/src/worker.h"

namespace filbertspar {

/// \brief Starts a run of a task on a worker.
struct StartOrder {
  TaskId m_task;
  RunNumber m_run;
  /// Filled in when the order is sent.
  std::string m_payload;
  /// Incarnation of the worker for which the order is; see WorkerStatus.
  std::int64_t m_incarnation = 0;
  /// Milliseconds on the clock of that incarnation; the worker refuses the
  /// order after it.
  std::int64_t m_deadline_ms = 0;
  FencingNumber m_fencing;
  /// Checkpoint to resume from; empty to start from the beginning.
  std::string m_checkpoint;
  /// Ticket of the recommendation service's approval; empty when the step
  /// needs none.
  std::string m_ticket;
};

struct StopOrder {
  TaskId m_task;
  RunNumber m_run;
  FencingNumber m_fencing;
};

/// \brief Limits the speed of a run.
struct ThrottleOrder {
  TaskId m_task;
  RunNumber m_run;
  /// Percent of full speed, 0 to 100.
  std::int64_t m_speed_percent = 100;
  FencingNumber m_fencing;
};

/// \brief Renews the lease of all runs on a worker and asks for its status.
struct PollOrder {
  FencingNumber m_fencing;
  /// The worker deletes its records of finished runs up to this number.
  std::uint64_t m_acknowledged = 0;
  /// New end of the lease, in milliseconds on the worker's clock; the lease is
  /// not renewed when absent.
  std::optional<std::int64_t> m_deadline_ms;
  /// Longest time the worker may hold the request until a run finishes
  /// (long poll); 0 for an immediate response.
  Duration m_wait{0};
};

enum class OrderResult : std::uint8_t {
  kAccepted,
  /// The worker has seen a higher fencing number.
  kFenced,
  /// This run or a later run of the task already stopped or finished there.
  kStaleRun,
  /// The worker's clock is past the order's deadline.
  kDeadlinePassed,
  kNoCapacity,
  kTicketRefused,
  kMalformed,
  /// The worker is unhealthy; the order had no effect.
  kUnhealthy,
  /// The address belongs to another worker or incarnation.
  kOtherInstance,
  /// No connection to the worker; nothing was sent.
  kNotDelivered,
  /// No response, or an invalid one; the order may have taken effect.
  kUnknown,
};

/// \brief Label of a result in logs and metrics. The labels are part of the
/// operators' interface and can differ from the enumerators' names.
std::string_view OrderResultName(OrderResult result);

/// \brief Result with this number; kUnknown when there is none.
OrderResult OrderResultFromNumber(std::uint8_t number);

struct OrderResponse {
  OrderResult m_result = OrderResult::kUnknown;
  /// Milliseconds on the worker's clock; absent when not stated.
  std::optional<std::int64_t> m_clock_ms;
};

/// \brief A worker that may run a step, and the ticket that a start order must
/// carry to it.
struct Approval {
  WorkerName m_worker;
  std::string m_ticket;
};

/// \brief Response of the recommendation service about one step.
struct Recommendation {
  std::vector<Approval> m_approved;
  /// How long the approvals are valid.
  Duration m_validity{0};
};

}  // namespace filbertspar
