#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "filbertspar/base/base.h"
#include "filbertspar/job/job.h"
#include "filbertspar/settings/settings.h"

namespace filbertspar {

using WorkerName = Name<struct WorkerTag>;

/// \brief A worker's registration.
struct WorkerRecord {
  WorkerName m_name;
  PoolName m_pool;
  Endpoint m_endpoint;
  ZoneName m_zone;
  RackName m_rack;
  std::vector<LabelName> m_labels;
  ResourceVector m_capacity;
  bool m_draining = false;
  /// Least time that is left while it drains; 0 when not stated.
  Duration m_remaining{0};
  /// Start of this incarnation, Unix milliseconds; 0 when not stated.
  std::int64_t m_incarnation = 0;

  friend bool operator==(const WorkerRecord&, const WorkerRecord&) = default;
};

/// \brief Why a run ended.
enum class RunOutcome : std::uint8_t {
  kDone,
  kFailed,
  kStopped,
  /// Its worker's lease ran out.
  kLeaseExpired,
  /// Another member of its gang ended.
  kGangMemberEnded,
  /// The rest of its gang did not come in time.
  kGangIncomplete,
};

std::string_view RunOutcomeName(RunOutcome kind);

struct ActiveRun {
  TaskId m_task;
  RunNumber m_run;
  std::string m_checkpoint;
  /// Share of full speed at which it works, 0 to 100.
  std::int64_t m_speed_percent = 0;
  /// For a serving task the tail of its response times in milliseconds, for
  /// another the processor use in thousandths of a core; -1 when not stated.
  std::int64_t m_load = -1;
};

struct FinishedRun {
  /// Ascending in each incarnation of a worker.
  std::uint64_t m_number = 0;
  TaskId m_task;
  RunNumber m_run;
  RunOutcome m_outcome = RunOutcome::kDone;
  std::string m_checkpoint;
};

/// \brief What runs on a worker, and the ends not acknowledged yet.
struct WorkerStatus {
  /// Milliseconds on the worker's own clock.
  std::int64_t m_clock_ms = 0;
  /// Unix milliseconds; 0 when not stated.
  std::int64_t m_incarnation = 0;
  std::vector<ActiveRun> m_running;
  std::vector<FinishedRun> m_finished;
  /// Whether more ends may follow those listed.
  bool m_truncated = false;
};

}  // namespace filbertspar
