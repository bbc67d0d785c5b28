#pragma once

#include <array>
#include <cstdint>
#include <limits>
#include <optional>
#include <span>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "filbertspar/base/base.h"
#include "filbertspar/catalogue/catalogue.h"
#include "filbertspar/share/src/index.h"
#include "filbertspar/share/src/water_fill.h"

namespace filbertspar {

struct ShareSettings {
  /// Use that lies one half-life back counts half.
  Duration m_half_life = Seconds(20);
  /// Longest time for which a team's share stays lent after it wants it back.
  Duration m_lending_bound = Seconds(30);
  /// Due shares and the order of teams are brought up to date this often.
  Duration m_settle_interval = Milliseconds(100);
  /// Time over which present use is projected when teams are compared. Without
  /// it all tasks that end between two settlements would go to one team.
  Duration m_lookahead = Seconds(1);
  /// A team with urgent work waiting may run ahead of its due share by the
  /// waiting urgent work held for m_urgent_lookahead, at most by its due share
  /// over m_urgent_advance; its later work repays that. Without it a burst of
  /// urgent work waits for the team's turn. With 2 s instead of 5 s, 6% of the
  /// urgent work of a surge came too late with 6 processes.
  Duration m_urgent_lookahead = Seconds(2);
  Duration m_urgent_advance = Seconds(5);
  /// Weight of a team's lag over the fleet beside its lag in the pool.
  double m_fleet_gain = 1.0;
};

/// \brief A team as the fair share sees it.
struct ShareTeam {
  TeamName m_name{};
  double m_weight = 1.0;
  /// Largest number of tasks running across the fleet; waiting work beyond it
  /// is no demand.
  std::int64_t m_ceiling = std::numeric_limits<std::int64_t>::max();
};

struct ShareConfig {
  std::vector<ShareTeam> m_teams;
  std::vector<PoolName> m_pools;
};

/// \brief Use and demand of one team in one pool at one peer, in tasks.
struct PeerCell {
  PoolIndex m_pool{};
  TeamIndex m_team{};
  std::int64_t m_running = 0;
  std::int64_t m_waiting = 0;
};

/// \brief Shares of one team in one pool, or over the fleet. Shares are
/// dominant shares: fractions of the capacity between 0 and 1.
struct TeamShare {
  double m_weight = 0;
  /// What the team is owed now, by WaterFill over present demand.
  double m_due = 0;
  /// What its running tasks hold now, those at peers included.
  double m_received = 0;
  /// Running and waiting together, at most what the ceiling allows.
  double m_demand = 0;
  /// Decayed received minus due, share-seconds; negative when it is owed work.
  double m_lag_seconds = 0;
  /// Totals since the start, share-seconds, for the fairness account.
  double m_due_seconds = 0;
  double m_received_seconds = 0;
  /// Since when the team has had waiting work and less than its due.
  std::optional<TimePoint> m_short_since;
};

/// \brief A team that holds more than its due while another has waited longer
/// than the lending bound.
struct Reclaim {
  PoolIndex m_pool{};
  TeamIndex m_borrower{};
  /// Dominant share above the borrower's due.
  double m_excess = 0;
};

namespace internal {

/// \brief Amounts of the resource kinds in native units.
struct Amounts {
  std::array<std::int64_t, kResourceKinds> m_units{};
};

struct ShareCell {
  Amounts m_running;
  Amounts m_waiting;
  Amounts m_waiting_urgent;
  std::int64_t m_running_tasks = 0;
  std::int64_t m_waiting_tasks = 0;
  std::int64_t m_peer_running = 0;
  std::int64_t m_peer_waiting = 0;
  /// Mean size of the team's tasks in the pool, for counting peers' tasks.
  std::array<double, kResourceKinds> m_mean_size{1, 0, 0};
  double m_lag = 0;
  double m_due = 0;
  double m_attainable = 0;
  double m_demand = 0;
  double m_received_seconds = 0;
  double m_due_seconds = 0;
  double m_settled_received = 0;
  /// The same for this process's part: its tasks, and the due share divided
  /// over the processes by demand.
  double m_own_lag = 0;
  double m_own_due = 0;
  double m_own_received_seconds = 0;
  TimePoint m_counted_to{};
  std::optional<TimePoint> m_short_since;
  bool m_skipped = false;
};

struct SharePool {
  PoolName m_name;
  bool m_retired = false;
  Resources m_capacity{Slots(0), Megabytes(0), Accelerators(0)};
  std::array<double, kResourceKinds> m_inverse{};
  /// Winner tree over teams: the leaf of team i is at m_leaves + i, the root,
  /// the team with the smallest key, at 1.
  std::vector<std::uint32_t> m_winner;
  std::vector<double> m_key;
  std::vector<std::uint32_t> m_skipped;
  /// Part of the fleet's slots.
  double m_fleet_part = 0;
  WaterLevel m_level;
};

struct ShareTeamState {
  TeamName m_name;
  bool m_retired = false;
  double m_weight = 1.0;
  std::int64_t m_ceiling = 0;
  bool m_blocked = false;
  std::int64_t m_running_tasks = 0;
  std::int64_t m_waiting_tasks = 0;
  std::int64_t m_peer_running = 0;
  std::int64_t m_peer_waiting = 0;
  double m_fleet_lag = 0;
};

}  // namespace internal

/// \brief Fair share of every pool and of the fleet, as one process sees it.
/// Plain state; the functions below read and change it.
struct Share {
  ShareSettings m_settings;
  std::vector<internal::ShareTeamState> m_teams;
  std::vector<internal::SharePool> m_pools;
  /// Pool by pool, m_leaves cells each.
  std::vector<internal::ShareCell> m_cells;
  std::size_t m_leaves = 0;
  absl::flat_hash_map<TeamName, TeamIndex> m_team_index;
  absl::flat_hash_map<PoolName, PoolIndex> m_pool_index;
  absl::flat_hash_map<NodeName, std::vector<PeerCell>> m_peers;
  TimePoint m_settled_at{};
  /// A capacity changed since the last settlement.
  bool m_capacity_changed = false;
  WaterFillScratch m_scratch;
  std::vector<TeamDemand> m_demands;
  std::vector<double> m_due;
  std::vector<std::uint32_t> m_members;
};

/// \brief Takes over teams, weights, ceilings and pools. The index of a name
/// never changes while the team or pool has running or waiting work.
void Configure(Share& share, TimePoint now, const ShareConfig& config);

std::optional<TeamIndex> FindTeamIndex(const Share& share,
                                       const TeamName& name);
std::optional<PoolIndex> FindPoolIndex(const Share& share,
                                       const PoolName& name);

/// \brief Sets what all workers in service of the pool have together.
void SetCapacity(Share& share, TimePoint now, PoolIndex pool,
                 const Resources& capacity);

/// \brief Counts a request that starts or stops waiting. The sizes and classes
/// of the two calls for one request must be equal. O(log teams).
void AddWaiting(Share& share, PoolIndex pool, TeamIndex team,
                const Resources& size,
                WorkClass work_class = WorkClass::kStandard);
void RemoveWaiting(Share& share, PoolIndex pool, TeamIndex team,
                   const Resources& size,
                   WorkClass work_class = WorkClass::kStandard);

/// \brief Counts a task that starts or ends. The sizes of the two calls for
/// one task must be equal. O(log teams).
void TaskStarted(Share& share, TimePoint now, PoolIndex pool, TeamIndex team,
                 const Resources& size);
void TaskEnded(Share& share, TimePoint now, PoolIndex pool, TeamIndex team,
               const Resources& size);

/// \brief Excludes a team from service in every pool while it has no free unit
/// of its ceiling. O(pools in which it has waiting work).
void SetBlocked(Share& share, TeamIndex team, bool blocked);

/// \brief The team to serve next: of those with waiting work, neither blocked
/// nor skipped, the one furthest below its due share relative to its weight.
/// O(1).
std::optional<TeamIndex> NextTeam(const Share& share, PoolIndex pool);

/// \brief Leaves a team whose work fits on no worker now out of the choice
/// until ClearSkips. O(log teams).
void Skip(Share& share, PoolIndex pool, TeamIndex team);
void ClearSkips(Share& share, PoolIndex pool);

/// \brief Replaces what a peer said before by its newest summary. Cells with
/// an unknown team or pool must be left out by the caller.
void SetPeerUse(Share& share, TimePoint now, const NodeName& peer,
                std::span<const PeerCell> cells);
void DropPeer(Share& share, TimePoint now, const NodeName& peer);

/// \brief Recomputes due shares and the order of teams when a settle interval
/// has passed. To be called from the caller's tick. O(pools * teams).
void Settle(Share& share, TimePoint now);

/// \brief Share of the pool that this process may expect for the team's work
/// if it has enough of it; for estimating starts. O(1).
double ExpectedShare(const Share& share, PoolIndex pool, TeamIndex team);

/// \brief Work of a task in share-seconds of its pool: dominant share times
/// run time.
double WorkOf(const Share& share, PoolIndex pool, const Resources& size,
              Duration run_time);

/// \brief Borrowers to checkpoint, for every pool in which a team has been
/// short of its due for longer than the lending bound.
std::vector<Reclaim> ReclaimsDue(const Share& share, TimePoint now);

/// \brief Shares of a team in one pool, as of now.
TeamShare Explain(const Share& share, TimePoint now, PoolIndex pool,
                  TeamIndex team);
/// \brief Shares of a team over the fleet: its pools' shares weighted by the
/// pools' part of the fleet's slots.
TeamShare ExplainFleet(const Share& share, TimePoint now, TeamIndex team);

}  // namespace filbertspar
