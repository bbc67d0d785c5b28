#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "filbertspar/base/base.h"
#include "filbertspar/catalogue/catalogue.h"
#include "filbertspar/placement/placement.h"
#include "filbertspar/queue/queue.h"
#include "filbertspar/request/src/effects.h"
#include "filbertspar/request/src/events.h"
#include "filbertspar/request/src/state.h"
#include "filbertspar/share/share.h"

namespace filbertspar {

inline constexpr int kNodeBits = 24;

struct EngineOptions {
  /// Below 2^24, not zero, unique over the nodes and their restarts: the upper
  /// bits of every request and attempt id of this engine.
  std::uint32_t m_node = 1;
  ZoneName m_zone;
  std::uint64_t m_seed = 1;
  /// Largest number of requests without a final answer.
  std::size_t m_max_requests = 20000;
  /// Finished requests are kept for later queries up to this number and age.
  std::size_t m_max_finished = 20000;
  std::size_t m_max_finished_bytes = 16U << 20U;
  Duration m_finished_age = Seconds(600);
  /// A lost attempt counts as running until its lease, unrenewed since the
  /// loss, has lapsed with this margin (design page, Q1).
  Duration m_lease = Seconds(10);
  Duration m_lease_margin = Seconds(5);
  /// Retry budget of a pool (design page, Q7).
  double m_retry_start = 10;
  double m_retry_per_success = 0.1;
  double m_retry_max = 100;
  Duration m_backoff_base = Milliseconds(20);
  Duration m_backoff_cap = Milliseconds(500);
  std::int32_t m_max_retries = 8;
  /// Workers that may end while they run a request; it is not sent to another
  /// one then.
  std::int32_t m_max_crashes = 3;
  /// Refusals after which a request that did not start is given up.
  std::int32_t m_max_refusals = 64;
  /// How long the caller of lost repeatable work waits for the worker to say
  /// what became of it.
  Duration m_settle_wait = Seconds(2);
  /// Pauses between questions about a lost attempt, doubled from the first to
  /// the last, and the time after which an answer is no longer expected.
  Duration m_first_query_pause = Milliseconds(250);
  Duration m_last_query_pause = Seconds(5);
  Duration m_settle_bound = Seconds(60);
  /// Smallest time between two WantGrant effects of one team.
  Duration m_want_pause = Milliseconds(100);
  /// Waiting requests of a team that are tried when the first ones fit on no
  /// worker now.
  int m_look_past = 8;
  PlacementOptions m_placement{};
  ShareSettings m_share{};
  QueueSettings m_queue{};
};

struct EngineCounters {
  std::uint64_t m_submitted = 0;
  std::uint64_t m_refused_at_admission = 0;
  std::uint64_t m_attempts = 0;
  std::uint64_t m_retries = 0;
  std::uint64_t m_refused_by_worker = 0;
  std::uint64_t m_lost = 0;
  std::uint64_t m_forwarded = 0;
  std::uint64_t m_cancelled = 0;
  std::uint64_t m_settled_late = 0;
  /// Answers that did not belong to the attempt or were cut short.
  std::uint64_t m_mismatched = 0;
  /// Requests that were given up because of the workers that ended.
  std::uint64_t m_given_up = 0;
  /// Reports about attempts that had ended before.
  std::uint64_t m_duplicates = 0;
  /// Replies per result code.
  std::map<Code, std::uint64_t> m_replies;
};

/// \brief The request engine's state. It has no clock, thread or socket;
/// every call passes `now`, which never decreases.
struct Engine {
  EngineOptions m_options;
  Rng m_rng{1};
  std::uint64_t m_last_id = 0;
  bool m_stopping = false;
  std::shared_ptr<const Catalogue> m_catalogue;
  /// Counts the calls of SetCatalogue.
  std::uint64_t m_epoch = 0;
  /// Positions in the catalogue's keys.
  absl::flat_hash_map<std::string, std::size_t> m_key_by_name;
  absl::flat_hash_map<std::string, EntryIndex> m_entry_by_name;
  std::vector<internal::EntryState> m_entries;
  std::vector<EntryIndex> m_free_entries;
  Placement m_placement;
  Share m_share;
  Queue m_queue;
  /// Indexed by TeamIndex and PoolIndex of the share.
  std::vector<internal::TeamState> m_teams;
  std::vector<internal::PoolState> m_pools;
  std::vector<PoolIndex> m_dirty_pools;
  /// Units held per team, also of teams that the catalogue lacks.
  absl::flat_hash_map<TeamName, std::int64_t> m_grants;
  absl::flat_hash_map<RequestId, std::unique_ptr<internal::Request>> m_requests;
  absl::flat_hash_map<AttemptId, internal::Attempt> m_attempts;
  absl::flat_hash_map<RequestId, internal::Finished> m_finished;
  std::deque<std::pair<TimePoint, RequestId>> m_finished_order;
  std::size_t m_finished_bytes = 0;
  /// Requests answered while their claim was being written.
  absl::flat_hash_map<RequestId, std::pair<TeamName, std::string>>
      m_orphan_claims;
  /// Heap, earliest first; entries of ended requests and attempts are dropped
  /// when they make up most of it.
  std::vector<internal::Timer> m_timers;
  TimePoint m_ticked_at = TimePoint::min();
  EngineCounters m_counters;
};

Engine MakeEngine(EngineOptions options);

/// \brief Puts a configuration in force. Waiting work whose key was revoked or
/// whose entry was withdrawn is refused.
void SetCatalogue(Engine& engine, TimePoint now,
                  std::shared_ptr<const Catalogue> catalogue, Effects& effects);

/// \brief Replaces the list of workers of all pools.
void SetWorkers(Engine& engine, TimePoint now, std::vector<WorkerInfo> workers,
                Effects& effects);

/// \brief Sets the units of a team's ceiling that this node holds. Attempts
/// above a lowered number go on; nothing new starts until they have ended.
void SetGrant(Engine& engine, TimePoint now, const TeamName& team,
              std::int64_t units, Effects& effects);

/// \brief Replaces what the peers told of their use.
void SetPeerUse(Engine& engine, TimePoint now, std::vector<PeerUse> use);

/// \brief Admits a request. A refusal is a Reply effect too.
RequestId Submit(Engine& engine, TimePoint now, Submission submission,
                 Effects& effects);

/// \brief Takes the end of an attempt. A second report about an attempt, and
/// one whose echoed ids or declared length do not match, reach no caller.
void AttemptEnded(Engine& engine, TimePoint now, const AttemptReport& report,
                  Effects& effects);

/// \brief Takes a worker's answer to QueryAttempt.
void AttemptSettled(Engine& engine, TimePoint now, const QueryReport& report,
                    Effects& effects);

/// \brief Takes the outcome of WriteClaim. After kUnsettled another report
/// follows.
void ClaimSettled(Engine& engine, TimePoint now, const ClaimReport& report,
                  Effects& effects);

/// \brief Takes the outcome of ForwardRequest.
void ForwardSettled(Engine& engine, TimePoint now, const ForwardReport& report,
                    Effects& effects);

/// \brief Cancels a request: waiting work is answered at once, running work is
/// stopped and answered when its end is known.
void Cancel(Engine& engine, TimePoint now, RequestId request, Effects& effects);

/// \brief Carries out what is due by `now`.
void Tick(Engine& engine, TimePoint now, Effects& effects);

/// \brief When the next Tick has something to do; none when idle.
std::optional<TimePoint> NextTick(const Engine& engine);

/// \brief Refuses new work from now on; accepted work goes on.
void BeginStop(Engine& engine, TimePoint now, Effects& effects);

/// \brief True when no accepted request lacks its answer.
bool IsIdle(const Engine& engine);

struct RequestStatus {
  RequestState m_state = RequestState::kWaiting;
  /// Final code, or kWaiting or kStillRunning.
  Code m_code = Code::kWaiting;
  Outcome m_outcome = Outcome::kNone;
  Body m_body = nullptr;
};

/// \brief What is known of a request; none when it is unknown or forgotten.
std::optional<RequestStatus> Query(const Engine& engine, RequestId request);

/// \brief Running, waiting and free grant of one team in one pool.
struct TeamPoolUse {
  TeamName m_team;
  PoolName m_pool{};
  std::int64_t m_running = 0;
  std::int64_t m_waiting = 0;
  /// Units granted to the team here that no attempt holds, over all pools.
  std::int64_t m_free_grant = 0;
};

/// \brief Lines for every team and pool with running or waiting work, and one
/// with an empty pool for each team with only free grant.
std::vector<TeamPoolUse> UseOf(const Engine& engine);

}  // namespace filbertspar
