#pragma once

#include <cstdint>
#include <limits>
#include <string>
#include <vector>

#include "filbertspar/fleetview/fleetview.h"

namespace filbertspar::scheduler {

using WorkerIndex = std::uint32_t;
inline constexpr WorkerIndex kNoWorker =
    std::numeric_limits<WorkerIndex>::max();

/// \brief Orders and log events that calls into the scheduler produced.
struct Effects {
  struct Start {
    WorkerIndex m_worker = kNoWorker;
    StartOrder m_order;
  };
  struct Stop {
    WorkerIndex m_worker = kNoWorker;
    StopOrder m_order;
  };
  struct Throttle {
    WorkerIndex m_worker = kNoWorker;
    ThrottleOrder m_order;
  };
  enum class LogLevel : std::uint8_t {
    /// About one run of a task; the first to be dropped under load.
    kDetail,
    kInfo,
    kWarning,
  };
  /// A scheduling decision, to be logged.
  struct LogEvent {
    std::string m_event;
    TaskId m_task;
    WorkerIndex m_worker = kNoWorker;
    /// Further `key=value` pairs; may be empty.
    std::string m_detail;
    LogLevel m_level = LogLevel::kInfo;
  };
  std::vector<Start> m_starts;
  /// Worker of each start that was planned; it is ordered once it is recorded.
  std::vector<WorkerIndex> m_planned_workers;
  std::vector<Stop> m_stops;
  std::vector<Throttle> m_throttles;
  std::vector<LogEvent> m_log_events;
};

}  // namespace filbertspar::scheduler
