#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "filbertspar/base/base.h"
#include "filbertspar/job/job.h"
#include "filbertspar/settings/settings.h"

namespace filbertspar {

using WorkerName = Name<struct WorkerTag>;

/// \brief Registration of a worker in the metadata store.
struct WorkerRecord {
  WorkerName m_name;
  PoolName m_pool;
  Endpoint m_endpoint;
  ZoneName m_zone;
  RackName m_rack;
  std::vector<LabelName> m_labels;
  ResourceVector m_capacity;
  bool m_draining = false;
  /// Minimum time left before a draining worker ends; 0 when not stated.
  Duration m_remaining{0};
  /// Start time of this incarnation in Unix milliseconds; 0 when not stated.
  std::int64_t m_incarnation = 0;

  friend bool operator==(const WorkerRecord&, const WorkerRecord&) = default;
};

/// \brief How a run finished.
enum class RunOutcome : std::uint8_t {
  kDone,
  kFailed,
  kStopped,
  /// The lease of its worker expired.
  kLeaseExpired,
  /// Another member of its gang ended.
  kGangMemberEnded,
  /// The other members of its gang did not start in time.
  kGangIncomplete,
};

/// \brief Text of an outcome on the wire and in logs; it can differ from the
/// enumerator's name.
std::string_view RunOutcomeName(RunOutcome outcome);

/// \brief A run that a worker reports as running.
struct ActiveRun {
  TaskId m_task;
  RunNumber m_run;
  /// Last checkpoint; empty when there is none.
  std::string m_checkpoint;
  /// Percent of full speed at which it runs, 0 to 100.
  std::int64_t m_speed_percent = 0;
  /// Tail latency in milliseconds for a serving task, CPU use in millicores
  /// for any other task; -1 when not stated.
  std::int64_t m_load = -1;
};

/// \brief A run that finished on a worker and is not yet acknowledged.
struct FinishedRun {
  /// Ascending within an incarnation of the worker.
  std::uint64_t m_number = 0;
  TaskId m_task;
  RunNumber m_run;
  RunOutcome m_outcome = RunOutcome::kDone;
  std::string m_checkpoint;
};

/// \brief Response to a poll: the active runs on a worker and its finished runs
/// that are not yet acknowledged.
struct WorkerStatus {
  /// Milliseconds on the worker's clock.
  std::int64_t m_clock_ms = 0;
  /// Start time of the incarnation in Unix milliseconds; 0 when not stated.
  std::int64_t m_incarnation = 0;
  std::vector<ActiveRun> m_running;
  std::vector<FinishedRun> m_finished;
  /// Whether the worker may have more runs, or finished runs, than those
  /// listed: what is not listed may exist.
  bool m_truncated = false;
};

}  // namespace filbertspar
