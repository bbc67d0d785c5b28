#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "filbertspar/base/base.h"
#include "filbertspar/placement/src/health.h"
#include "filbertspar/placement/src/room.h"
#include "filbertspar/placement/src/worker.h"

namespace filbertspar {

/// \brief Position of a worker or pool in the table; stable while the worker
/// is listed or has work, and for ever for a pool.
using WorkerIndex = std::uint32_t;
using PlacementPool = std::uint32_t;

struct PlacementOptions {
  /// Workers of this zone are preferred.
  ZoneName m_zone;
  EjectionRules m_ejection{};
  /// How long a worker that refused gets nothing; doubled with each further
  /// refusal in a row.
  Duration m_first_refusal_pause = Milliseconds(20);
  Duration m_last_refusal_pause = Milliseconds(500);
};

/// \brief How an attempt ended, as far as the worker is judged by it.
enum class WorkerOutcome : std::uint8_t {
  kSuccess,
  kFailure,
  /// Says nothing about the worker's health.
  kNeutral,
  /// The worker is full or cordoned; it gets nothing for a moment.
  kRefused,
};

namespace internal {

struct Worker {
  WorkerInfo m_info;
  PlacementPool m_pool = 0;
  /// Listed by the last SetWorkers.
  bool m_listed = false;
  bool m_local = false;
  std::size_t m_leaf = 0;
  Resources m_used{.m_slots = Slots(0)};
  std::int64_t m_connections_used = 0;
  Health m_health;
  /// Judged bad: ejected, or only used as a last resort when the pool's
  /// ejection limit is reached.
  bool m_bad = false;
  bool m_ejected = false;
  bool m_probing = false;
  TimePoint m_probe_at;
  Duration m_probe_interval{0};
  bool m_paused = false;
  TimePoint m_paused_until;
  Duration m_pause{0};
};

struct PoolView {
  PoolName m_name;
  std::vector<WorkerIndex> m_workers;
  /// Trees over the workers of the own and of the other zones, and the
  /// workers at their leaves.
  RoomTree m_local;
  RoomTree m_remote;
  std::vector<WorkerIndex> m_local_workers;
  std::vector<WorkerIndex> m_remote_workers;
  std::vector<WorkerIndex> m_bad;
  /// Earliest probe among the bad workers; no later than the real one.
  TimePoint m_next_probe = TimePoint::max();
  std::int64_t m_ejected = 0;
  std::int64_t m_in_service = 0;
  Resources m_capacity{.m_slots = Slots(0)};
  /// Distinct capacities of the listed workers.
  std::vector<Resources> m_shapes;
};

}  // namespace internal

/// \brief View of the workers of all pools; plain state.
struct Placement {
  PlacementOptions m_options;
  std::vector<internal::Worker> m_workers;
  std::vector<WorkerIndex> m_free;
  absl::flat_hash_map<std::string, WorkerIndex> m_worker_by_name;
  std::vector<internal::PoolView> m_pools;
  absl::flat_hash_map<std::string, PlacementPool> m_pool_by_name;
  /// Paused workers; bounded by the number of workers.
  std::vector<WorkerIndex> m_paused;
  TimePoint m_next_unpause = TimePoint::max();
};

Placement MakePlacement(PlacementOptions options);

/// \brief The index of a pool, which is added when it is new.
PlacementPool InternPool(Placement& placement, const PoolName& pool);

/// \brief Replaces the list of workers. Work in progress keeps its place. A
/// worker that leaves the list gets nothing. A returning worker starts with a
/// clean record.
void SetWorkers(Placement& placement, TimePoint now,
                std::vector<WorkerInfo> workers);

/// \brief True when some listed worker of the pool, in service or not, is
/// large enough for the work.
bool CanEverHold(const Placement& placement, PlacementPool pool,
                 const Resources& need);

/// \brief False when no worker of the pool takes even the smallest work now.
bool HasRoom(const Placement& placement, TimePoint now, PlacementPool pool);

/// \brief What the workers of the pool that are in service have together.
Resources CapacityInService(const Placement& placement, PlacementPool pool);

/// \brief Chooses a worker for `need`: one due for a probe, else the roomiest
/// of the own zone, else of the other zones, else a bad one that is not
/// ejected. Work with `may_fail` false never goes to a bad worker.
std::optional<WorkerIndex> Choose(Placement& placement, TimePoint now,
                                  PlacementPool pool, const Resources& need,
                                  bool may_fail, Rng& rng);

/// \brief Occupies the worker for one attempt.
void Occupy(Placement& placement, WorkerIndex worker, const Resources& need);

/// \brief Frees what Occupy took. Says nothing about the outcome.
void Vacate(Placement& placement, WorkerIndex worker, const Resources& need);

/// \brief Records the outcome of an attempt; may eject the worker, return it
/// to service or pause it.
void Judge(Placement& placement, TimePoint now, WorkerIndex worker,
           WorkerOutcome outcome);

/// \brief Ends pauses that are over and returns the pools concerned.
std::vector<PlacementPool> EndPauses(Placement& placement, TimePoint now);

/// \brief Figures of one pool for reports.
struct PoolSummary {
  std::int64_t m_listed = 0;
  std::int64_t m_in_service = 0;
  std::int64_t m_bad = 0;
  std::int64_t m_ejected = 0;
  std::int64_t m_slots = 0;
  std::int64_t m_slots_used = 0;
};
PoolSummary Summarize(const Placement& placement, PlacementPool pool);

const VmName& WorkerName(const Placement& placement, WorkerIndex worker);

}  // namespace filbertspar
