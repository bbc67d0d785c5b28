#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "filbertspar/fleetview/src/worker.h"

namespace filbertspar {

/// \brief Order to start a run; a worker does nothing once its clock passed
/// the deadline.
struct StartOrder {
  TaskId m_task;
  RunNumber m_run;
  std::string m_payload;
  std::int64_t m_deadline_ms = 0;
  FencingNumber m_fencing;
  std::string m_checkpoint;
  /// Approval by the recommendation service; empty when none is needed.
  std::string m_ticket;
};

struct StopOrder {
  TaskId m_task;
  RunNumber m_run;
  FencingNumber m_fencing;
};

struct ThrottleOrder {
  TaskId m_task;
  RunNumber m_run;
  std::int64_t m_speed_percent = 100;
  FencingNumber m_fencing;
};

/// \brief Renews the lease of everything on a worker and asks for its lists.
struct PollOrder {
  FencingNumber m_fencing;
  /// Ends up to this number are forgotten by the worker.
  std::uint64_t m_acknowledged = 0;
  /// Lease, on the worker's clock; without one none is renewed.
  std::optional<std::int64_t> m_deadline_ms;
  /// How long the worker may wait for an end before it answers.
  Duration m_wait{0};
};

enum class OrderResult : std::uint8_t {
  kAccepted,
  /// A higher fencing number was seen.
  kFenced,
  /// A run as high was stopped or ended there.
  kStaleRun,
  kDeadlinePassed,
  kNoCapacity,
  kTicketRefused,
  kMalformed,
  /// The worker is unhealthy and did nothing.
  kUnhealthy,
  /// The address belongs to another worker or incarnation.
  kOtherInstance,
  /// No answer, or one that cannot be read.
  kUnknown,
};

std::string_view OrderResultName(OrderResult result);

struct OrderResponse {
  OrderResult m_result = OrderResult::kUnknown;
  std::optional<std::int64_t> m_clock_ms;
};

/// \brief A worker that may run a step, and the proof to show it.
struct Approval {
  WorkerName m_worker;
  std::string m_ticket;
};

struct Recommendation {
  std::vector<Approval> m_approved;
  Duration m_validity{0};
};

}  // namespace filbertspar
