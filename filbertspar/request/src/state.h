#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "filbertspar/base/base.h"
#include "filbertspar/catalogue/catalogue.h"
#include "filbertspar/placement/placement.h"
#include "filbertspar/queue/queue.h"
#include "filbertspar/request/src/events.h"
#include "filbertspar/share/share.h"

namespace filbertspar {

/// \brief Where a request is in its life.
enum class RequestState : std::uint8_t {
  kWaiting,
  kClaiming,
  kRunning,
  /// Waits for its next attempt.
  kBackoff,
  /// Its attempt was lost; the worker is asked what became of it.
  kSettling,
  kForwarded,
  kFinished,
};

namespace internal {

/// \brief A request that has no final answer yet.
struct Request {
  RequestId m_id;
  Submission m_submission;
  // The fields from here to m_repeatable follow from the catalogue entry and
  // hold for the configuration m_epoch.
  TeamIndex m_team;
  PoolIndex m_pool;
  EntryIndex m_entry;
  WorkClass m_class = WorkClass::kStandard;
  Resources m_resources;
  Duration m_run_time{0};
  std::int64_t m_max_queue = 0;
  bool m_repeatable = true;
  std::uint64_t m_epoch = 0;
  RequestState m_state = RequestState::kWaiting;
  TimePoint m_deadline;
  /// Place in the queue while it waits.
  Ticket m_ticket;
  /// The attempt whose end is awaited, or none.
  AttemptId m_attempt;
  std::int32_t m_retries = 0;
  std::int32_t m_refusals = 0;
  /// Attempts whose worker ended.
  std::int32_t m_crashes = 0;
  bool m_claimed = false;
  bool m_cancelled = false;
  bool m_was_forwarded = false;
  /// An attempt may have run; its end is not known.
  bool m_may_have_run = false;
  /// An attempt ran and failed.
  bool m_ran = false;
};

/// \brief An attempt that is not known to have ended, or whose end is known
/// only as lost.
struct Attempt {
  RequestId m_request;
  WorkerIndex m_worker = 0;
  VmName m_worker_name;
  TeamIndex m_team;
  PoolIndex m_pool;
  EntryIndex m_entry;
  Resources m_resources;
  TimePoint m_started;
  Duration m_timeout{0};
  Duration m_run_time{0};
  Duration m_query_pause{0};
  TimePoint m_lost_at{};
  bool m_lost = false;
  /// Occupies a unit of the team's grant and its place on the worker.
  bool m_holds_unit = true;
};

/// \brief Answered request, kept for later queries.
struct Finished {
  Code m_code = Code::kOk;
  Body m_body;
  TeamName m_team;
  /// Set while the claim row lacks the answer.
  std::string m_request_key{};
};

struct PeerGrant {
  NodeName m_peer;
  std::int64_t m_free = 0;
};

/// \brief State of the team at a TeamIndex of the share.
struct TeamState {
  TeamName m_name;
  std::int64_t m_granted = 0;
  /// Ceiling of the configuration in force; bounds the grant.
  std::int64_t m_ceiling = 0;
  /// Attempts that hold a unit.
  std::int64_t m_running = 0;
  std::int64_t m_waiting = 0;
  /// Demand of the last WantGrant.
  std::int64_t m_wanted = 0;
  TimePoint m_wanted_at = TimePoint::min();
  std::vector<PeerGrant> m_peers;
};

/// \brief State of the pool at a PoolIndex of the share.
struct PoolState {
  PoolName m_name;
  PlacementPool m_placement = 0;
  std::int64_t m_waiting = 0;
  /// Listed in Engine::m_dirty_pools.
  bool m_dirty = false;
  /// Retries allowed; see EngineOptions.
  double m_retry_tokens = 0;
};

/// \brief State of the entry at an EntryIndex.
struct EntryState {
  /// Position in the catalogue in force.
  std::size_t m_position = 0;
  TaskEstimate m_estimate;
};

enum class TimerKind : std::uint8_t {
  kDeadline,
  kBackoff,
  kSettleEnd,
  kQuery,
  kUnitLapse,
};

struct Timer {
  TimePoint m_at;
  TimerKind m_kind = TimerKind::kDeadline;
  /// Request or attempt id.
  std::uint64_t m_id = 0;

  friend bool operator>(const Timer& a, const Timer& b) {
    return a.m_at > b.m_at;
  }
};

}  // namespace internal
}  // namespace filbertspar
