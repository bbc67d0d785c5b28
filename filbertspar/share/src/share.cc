#include "filbertspar/share/src/share.h"

#include <algorithm>
#include <bit>
#include <cmath>
#include <utility>

namespace filbertspar {
namespace {

using internal::Amounts;
using internal::ShareCell;
using internal::SharePool;
using internal::ShareTeamState;

constexpr double kNeverKey = std::numeric_limits<double>::infinity();
// Weight of one more task in the mean size of a team's tasks in a pool.
constexpr double kMeanSizeGain = 1.0 / 8;

std::array<std::int64_t, kResourceKinds> Units(const Resources& size) {
  return {size.m_slots.Count(), size.m_memory.Count(),
          size.m_accelerators.Count()};
}

void Add(Amounts& amounts, const Resources& size, std::int64_t sign) {
  const auto units = Units(size);
  for (int kind = 0; kind < kResourceKinds; ++kind) {
    amounts.m_units[kind] += sign * units[kind];
    FS_ASSERT(amounts.m_units[kind] >= 0,
              "sizes are counted out as counted in");
  }
}

ShareCell& CellOf(Share& share, std::size_t pool, std::size_t team) {
  return share.m_cells[pool * share.m_leaves + team];
}

const ShareCell& CellOf(const Share& share, std::size_t pool,
                        std::size_t team) {
  return share.m_cells[pool * share.m_leaves + team];
}

Fractions RunningFractions(const SharePool& pool, const ShareCell& cell) {
  Fractions result;
  for (int kind = 0; kind < kResourceKinds; ++kind) {
    result[kind] =
        (static_cast<double>(cell.m_running.m_units[kind]) +
         static_cast<double>(cell.m_peer_running) * cell.m_mean_size[kind]) *
        pool.m_inverse[kind];
  }
  return result;
}

Fractions MeanFractions(const SharePool& pool, const ShareCell& cell) {
  Fractions result;
  for (int kind = 0; kind < kResourceKinds; ++kind) {
    result[kind] = cell.m_mean_size[kind] * pool.m_inverse[kind];
  }
  return result;
}

double Received(const SharePool& pool, const ShareCell& cell) {
  return DominantShare(RunningFractions(pool, cell));
}

double DominantOf(const SharePool& pool, const Amounts& amounts) {
  double dominant = 0;
  for (int kind = 0; kind < kResourceKinds; ++kind) {
    dominant = std::max(dominant, static_cast<double>(amounts.m_units[kind]) *
                                      pool.m_inverse[kind]);
  }
  return dominant;
}

double OwnReceived(const SharePool& pool, const ShareCell& cell) {
  return DominantOf(pool, cell.m_running);
}

// Share-seconds by which urgent work may run ahead of a due share, for a part
// of the urgent work that waits at all processes.
double AdvanceOf(const ShareSettings& settings, const SharePool& pool,
                 const ShareCell& cell, double due, double part) {
  const double urgent = DominantOf(pool, cell.m_waiting_urgent) / part;
  return std::min(ToSeconds(settings.m_urgent_lookahead) * urgent,
                  ToSeconds(settings.m_urgent_advance) * due);
}

double PartOf(const Share& share) {
  return 1.0 / (1.0 + static_cast<double>(share.m_peers.size()));
}

// An advance in use is a debt, so it does not decay; if it did, a team with
// urgent work at all times would stay above its due share for good.
double Decayed(double lag, double advance, double decay) {
  const double kept = std::clamp(lag, 0.0, advance);
  return kept + (lag - kept) * decay;
}

void CountReceived(const SharePool& pool, ShareCell& cell, TimePoint now) {
  if (now > cell.m_counted_to) {
    const double seconds = ToSeconds(now - cell.m_counted_to);
    cell.m_received_seconds += Received(pool, cell) * seconds;
    cell.m_own_received_seconds += OwnReceived(pool, cell) * seconds;
    cell.m_counted_to = now;
  }
}

// Projected excess over the due share relative to the weight. Lent idle share
// is part of the borrower's due, so it is not held against the borrower. All
// processes see the excess over all of them one summary late, and if each
// corrected the whole, together they would overshoot as many times as there
// are processes. So each keeps its own part of the due share and corrects its
// part of the whole.
double KeyOf(const Share& share, const SharePool& pool, const ShareCell& cell,
             const ShareTeamState& team) {
  if (cell.m_waiting_tasks == 0 || team.m_blocked || cell.m_skipped) {
    return kNeverKey;
  }
  const double part = PartOf(share);
  const double lookahead = ToSeconds(share.m_settings.m_lookahead);
  const double whole =
      cell.m_lag + share.m_settings.m_fleet_gain * team.m_fleet_lag +
      lookahead * (Received(pool, cell) - cell.m_due) -
      AdvanceOf(share.m_settings, pool, cell, cell.m_due, part);
  const double own =
      cell.m_own_lag + lookahead * (OwnReceived(pool, cell) - cell.m_own_due) -
      AdvanceOf(share.m_settings, pool, cell, cell.m_own_due, 1.0);
  return (part * whole + (1.0 - part) * own) / team.m_weight;
}

void PickWinner(SharePool& pool, std::size_t node) {
  const std::uint32_t left = pool.m_winner[2 * node];
  const std::uint32_t right = pool.m_winner[2 * node + 1];
  pool.m_winner[node] = pool.m_key[left] <= pool.m_key[right] ? left : right;
}

void Rekey(Share& share, std::size_t pool_index, std::size_t team_index) {
  SharePool& pool = share.m_pools[pool_index];
  const double key = KeyOf(share, pool, CellOf(share, pool_index, team_index),
                           share.m_teams[team_index]);
  if (key == pool.m_key[team_index]) {
    return;
  }
  pool.m_key[team_index] = key;
  for (std::size_t node = (share.m_leaves + team_index) / 2; node >= 1;
       node /= 2) {
    PickWinner(pool, node);
  }
}

void RekeyPool(Share& share, std::size_t pool_index) {
  SharePool& pool = share.m_pools[pool_index];
  for (std::size_t i = 0; i < share.m_teams.size(); ++i) {
    pool.m_key[i] =
        KeyOf(share, pool, CellOf(share, pool_index, i), share.m_teams[i]);
  }
  for (std::size_t node = share.m_leaves - 1; node >= 1; --node) {
    PickWinner(pool, node);
  }
}

// Part of the team's waiting work that its ceiling lets run.
double WaitingScale(const ShareTeamState& team) {
  const std::int64_t running = team.m_running_tasks + team.m_peer_running;
  const std::int64_t waiting = team.m_waiting_tasks + team.m_peer_waiting;
  const std::int64_t room = std::max<std::int64_t>(0, team.m_ceiling - running);
  return waiting <= room
             ? 1.0
             : static_cast<double>(room) / static_cast<double>(waiting);
}

Fractions DemandOf(const SharePool& pool, const ShareCell& cell,
                   double waiting_scale) {
  Fractions demand = RunningFractions(pool, cell);
  for (int kind = 0; kind < kResourceKinds; ++kind) {
    demand[kind] +=
        waiting_scale *
        (static_cast<double>(cell.m_waiting.m_units[kind]) +
         static_cast<double>(cell.m_peer_waiting) * cell.m_mean_size[kind]) *
        pool.m_inverse[kind];
  }
  return demand;
}

void NoteShortage(const SharePool& pool, ShareCell& cell, TimePoint now) {
  const double received = Received(pool, cell);
  const double half_task = DominantShare(MeanFractions(pool, cell)) / 2;
  const bool waits = cell.m_waiting_tasks + cell.m_peer_waiting > 0;
  const bool is_short = waits && cell.m_due > 0 &&
                        (received + half_task < cell.m_due || received <= 0);
  if (!is_short) {
    cell.m_short_since.reset();
  } else if (!cell.m_short_since) {
    cell.m_short_since = now;
  }
}

void CountInterval(Share& share, std::size_t p, TimePoint now, double seconds,
                   double decay) {
  const double part = PartOf(share);
  SharePool& pool = share.m_pools[p];
  for (std::size_t i = 0; i < share.m_teams.size(); ++i) {
    ShareCell& cell = CellOf(share, p, i);
    CountReceived(pool, cell, now);
    const double received = cell.m_received_seconds - cell.m_settled_received;
    const double due = cell.m_due * seconds;
    cell.m_settled_received = cell.m_received_seconds;
    cell.m_due_seconds += due;
    cell.m_lag =
        Decayed(cell.m_lag,
                AdvanceOf(share.m_settings, pool, cell, cell.m_due, part),
                decay) +
        received - due;
    cell.m_own_lag =
        Decayed(cell.m_own_lag,
                AdvanceOf(share.m_settings, pool, cell, cell.m_own_due, 1.0),
                decay) +
        cell.m_own_received_seconds - cell.m_own_due * seconds;
    cell.m_own_received_seconds = 0;
    share.m_teams[i].m_fleet_lag += cell.m_lag * pool.m_fleet_part;
  }
}

void FillPool(Share& share, std::size_t p, TimePoint now) {
  SharePool& pool = share.m_pools[p];
  share.m_demands.clear();
  share.m_members.clear();
  for (std::size_t i = 0; i < share.m_teams.size(); ++i) {
    ShareCell& cell = CellOf(share, p, i);
    const Fractions demand =
        DemandOf(pool, cell, WaitingScale(share.m_teams[i]));
    cell.m_demand = DominantShare(demand);
    cell.m_due = 0;
    cell.m_own_due = 0;
    if (cell.m_demand > 0) {
      share.m_members.push_back(static_cast<std::uint32_t>(i));
      share.m_demands.push_back({share.m_teams[i].m_weight, demand});
    }
  }
  share.m_due.assign(share.m_demands.size(), 0.0);
  pool.m_level = WaterFill(share.m_demands, share.m_due, share.m_scratch);
  for (std::size_t j = 0; j < share.m_members.size(); ++j) {
    ShareCell& cell = CellOf(share, p, share.m_members[j]);
    const auto own =
        static_cast<double>(cell.m_running_tasks + cell.m_waiting_tasks);
    const auto peers =
        static_cast<double>(cell.m_peer_running + cell.m_peer_waiting);
    cell.m_due = share.m_due[j];
    cell.m_own_due = cell.m_due * own / (own + peers);
  }
  for (std::size_t i = 0; i < share.m_teams.size(); ++i) {
    NoteShortage(pool, CellOf(share, p, i), now);
  }
}

void Lay(Share& share, std::size_t teams, std::size_t pools, TimePoint now) {
  const std::size_t leaves = std::bit_ceil(std::max<std::size_t>(2, teams));
  std::vector<ShareCell> cells(pools * leaves);
  for (ShareCell& cell : cells) {
    cell.m_counted_to = now;
  }
  for (std::size_t p = 0; p < share.m_pools.size(); ++p) {
    for (std::size_t i = 0; i < share.m_teams.size(); ++i) {
      cells[p * leaves + i] = CellOf(share, p, i);
    }
  }
  share.m_cells = std::move(cells);
  share.m_leaves = leaves;
  share.m_teams.resize(teams);
  share.m_pools.resize(pools);
  for (SharePool& pool : share.m_pools) {
    pool.m_key.assign(leaves, kNeverKey);
    pool.m_winner.assign(2 * leaves, 0);
    for (std::size_t i = 0; i < leaves; ++i) {
      pool.m_winner[leaves + i] = static_cast<std::uint32_t>(i);
    }
  }
}

bool IsIdle(const ShareTeamState& team) {
  return team.m_running_tasks == 0 && team.m_waiting_tasks == 0 &&
         team.m_peer_running == 0 && team.m_peer_waiting == 0;
}

bool IsIdlePool(const Share& share, std::size_t pool) {
  for (std::size_t i = 0; i < share.m_teams.size(); ++i) {
    const ShareCell& cell = CellOf(share, pool, i);
    if (cell.m_running_tasks + cell.m_waiting_tasks + cell.m_peer_running +
            cell.m_peer_waiting !=
        0) {
      return false;
    }
  }
  return true;
}

// Index for a name that has none: a retired one without work, or a new one.
template <typename Items, typename IsFree>
std::size_t PlaceFor(const Items& items, std::size_t used, IsFree is_free) {
  for (std::size_t i = 0; i < items.size(); ++i) {
    if (items[i].m_retired && is_free(i)) {
      return i;
    }
  }
  return used;
}

void ConfigureTeams(Share& share, TimePoint now, const ShareConfig& config) {
  for (ShareTeamState& team : share.m_teams) {
    team.m_retired = true;
  }
  for (const ShareTeam& team : config.m_teams) {
    if (const auto it = share.m_team_index.find(team.m_name);
        it != share.m_team_index.end()) {
      share.m_teams[it->second.Value()].m_retired = false;
    }
  }
  for (const ShareTeam& team : config.m_teams) {
    FS_ASSERT(team.m_weight > 0, "weights are above 0");
    auto it = share.m_team_index.find(team.m_name);
    if (it == share.m_team_index.end()) {
      const std::size_t place =
          PlaceFor(share.m_teams, share.m_teams.size(),
                   [&](std::size_t i) { return IsIdle(share.m_teams[i]); });
      if (place == share.m_teams.size()) {
        Lay(share, place + 1, share.m_pools.size(), now);
      } else {
        share.m_team_index.erase(share.m_teams[place].m_name);
        share.m_teams[place] = {};
        for (std::size_t p = 0; p < share.m_pools.size(); ++p) {
          CellOf(share, p, place) = {};
          CellOf(share, p, place).m_counted_to = now;
        }
      }
      it = share.m_team_index.emplace(team.m_name, TeamIndex(place)).first;
    }
    ShareTeamState& state = share.m_teams[it->second.Value()];
    state.m_name = team.m_name;
    state.m_retired = false;
    state.m_weight = team.m_weight;
    state.m_ceiling = team.m_ceiling;
  }
}

void ConfigurePools(Share& share, TimePoint now, const ShareConfig& config) {
  for (SharePool& pool : share.m_pools) {
    pool.m_retired = true;
  }
  for (const PoolName& name : config.m_pools) {
    if (const auto it = share.m_pool_index.find(name);
        it != share.m_pool_index.end()) {
      share.m_pools[it->second.Value()].m_retired = false;
    }
  }
  for (const PoolName& name : config.m_pools) {
    if (share.m_pool_index.contains(name)) {
      continue;
    }
    const std::size_t place =
        PlaceFor(share.m_pools, share.m_pools.size(),
                 [&](std::size_t p) { return IsIdlePool(share, p); });
    if (place == share.m_pools.size()) {
      Lay(share, share.m_teams.size(), place + 1, now);
    } else {
      share.m_pool_index.erase(share.m_pools[place].m_name);
      for (std::size_t i = 0; i < share.m_teams.size(); ++i) {
        CellOf(share, place, i) = {};
        CellOf(share, place, i).m_counted_to = now;
      }
      share.m_pools[place].m_capacity =
          Resources{Slots(0), Megabytes(0), Accelerators(0)};
      share.m_pools[place].m_inverse = {};
    }
    share.m_pools[place].m_name = name;
    share.m_pools[place].m_retired = false;
    share.m_pool_index.emplace(name, PoolIndex(place));
  }
}

void AddPeer(Share& share, TimePoint now, std::span<const PeerCell> cells,
             std::int64_t sign) {
  for (const PeerCell& use : cells) {
    const std::size_t p = use.m_pool.Value();
    const std::size_t i = use.m_team.Value();
    ShareCell& cell = CellOf(share, p, i);
    CountReceived(share.m_pools[p], cell, now);
    cell.m_peer_running += sign * use.m_running;
    cell.m_peer_waiting += sign * use.m_waiting;
    share.m_teams[i].m_peer_running += sign * use.m_running;
    share.m_teams[i].m_peer_waiting += sign * use.m_waiting;
    Rekey(share, p, i);
  }
}

void SettleNow(Share& share, TimePoint now) {
  const Duration passed = now - share.m_settled_at;
  const double decay =
      std::exp2(-ToSeconds(passed) / ToSeconds(share.m_settings.m_half_life));
  for (ShareTeamState& team : share.m_teams) {
    team.m_fleet_lag = 0;
  }
  double slots = 0;
  for (const SharePool& pool : share.m_pools) {
    slots += static_cast<double>(pool.m_capacity.m_slots.Count());
  }
  for (std::size_t p = 0; p < share.m_pools.size(); ++p) {
    SharePool& pool = share.m_pools[p];
    pool.m_fleet_part =
        slots > 0 ? static_cast<double>(pool.m_capacity.m_slots.Count()) / slots
                  : 0;
    CountInterval(share, p, now, ToSeconds(passed), decay);
  }
  for (std::size_t p = 0; p < share.m_pools.size(); ++p) {
    FillPool(share, p, now);
    RekeyPool(share, p);
  }
  share.m_settled_at = now;
  share.m_capacity_changed = false;
}

}  // namespace

void Configure(Share& share, TimePoint now, const ShareConfig& config) {
  if (share.m_leaves == 0) {
    share.m_settled_at = now;
    Lay(share, 0, 0, now);
  }
  ConfigureTeams(share, now, config);
  ConfigurePools(share, now, config);
  SettleNow(share, now);
}

std::optional<TeamIndex> FindTeamIndex(const Share& share,
                                       const TeamName& name) {
  const auto it = share.m_team_index.find(name);
  if (it == share.m_team_index.end() ||
      share.m_teams[it->second.Value()].m_retired) {
    return std::nullopt;
  }
  return it->second;
}

std::optional<PoolIndex> FindPoolIndex(const Share& share,
                                       const PoolName& name) {
  const auto it = share.m_pool_index.find(name);
  if (it == share.m_pool_index.end() ||
      share.m_pools[it->second.Value()].m_retired) {
    return std::nullopt;
  }
  return it->second;
}

void SetCapacity(Share& share, TimePoint now, PoolIndex pool_index,
                 const Resources& capacity) {
  SharePool& pool = share.m_pools[pool_index.Value()];
  for (std::size_t i = 0; i < share.m_teams.size(); ++i) {
    CountReceived(pool, CellOf(share, pool_index.Value(), i), now);
  }
  pool.m_capacity = capacity;
  const auto units = Units(capacity);
  for (int kind = 0; kind < kResourceKinds; ++kind) {
    pool.m_inverse[kind] =
        units[kind] > 0 ? 1.0 / static_cast<double>(units[kind]) : 0.0;
  }
  RekeyPool(share, pool_index.Value());
  share.m_capacity_changed = true;
}

void AddWaiting(Share& share, PoolIndex pool, TeamIndex team,
                const Resources& size, WorkClass work_class) {
  ShareCell& cell = CellOf(share, pool.Value(), team.Value());
  Add(cell.m_waiting, size, 1);
  const auto units = Units(size);
  for (int kind = 0; kind < kResourceKinds; ++kind) {
    cell.m_mean_size[kind] +=
        kMeanSizeGain *
        (static_cast<double>(units[kind]) - cell.m_mean_size[kind]);
  }
  const bool urgent = work_class == WorkClass::kUrgent;
  if (urgent) {
    Add(cell.m_waiting_urgent, size, 1);
  }
  ++cell.m_waiting_tasks;
  ++share.m_teams[team.Value()].m_waiting_tasks;
  if (cell.m_waiting_tasks == 1 || urgent) {
    Rekey(share, pool.Value(), team.Value());
  }
}

void RemoveWaiting(Share& share, PoolIndex pool, TeamIndex team,
                   const Resources& size, WorkClass work_class) {
  ShareCell& cell = CellOf(share, pool.Value(), team.Value());
  Add(cell.m_waiting, size, -1);
  const bool urgent = work_class == WorkClass::kUrgent;
  if (urgent) {
    Add(cell.m_waiting_urgent, size, -1);
  }
  --cell.m_waiting_tasks;
  FS_ASSERT(cell.m_waiting_tasks >= 0,
            "requests are counted out as counted in");
  --share.m_teams[team.Value()].m_waiting_tasks;
  if (cell.m_waiting_tasks == 0 || urgent) {
    Rekey(share, pool.Value(), team.Value());
  }
}

void TaskStarted(Share& share, TimePoint now, PoolIndex pool, TeamIndex team,
                 const Resources& size) {
  ShareCell& cell = CellOf(share, pool.Value(), team.Value());
  CountReceived(share.m_pools[pool.Value()], cell, now);
  Add(cell.m_running, size, 1);
  ++cell.m_running_tasks;
  ++share.m_teams[team.Value()].m_running_tasks;
  Rekey(share, pool.Value(), team.Value());
}

void TaskEnded(Share& share, TimePoint now, PoolIndex pool, TeamIndex team,
               const Resources& size) {
  ShareCell& cell = CellOf(share, pool.Value(), team.Value());
  CountReceived(share.m_pools[pool.Value()], cell, now);
  Add(cell.m_running, size, -1);
  --cell.m_running_tasks;
  --share.m_teams[team.Value()].m_running_tasks;
  Rekey(share, pool.Value(), team.Value());
}

void SetBlocked(Share& share, TeamIndex team, bool blocked) {
  ShareTeamState& state = share.m_teams[team.Value()];
  if (state.m_blocked == blocked) {
    return;
  }
  state.m_blocked = blocked;
  for (std::size_t p = 0; p < share.m_pools.size(); ++p) {
    if (CellOf(share, p, team.Value()).m_waiting_tasks > 0) {
      Rekey(share, p, team.Value());
    }
  }
}

std::optional<TeamIndex> NextTeam(const Share& share, PoolIndex pool_index) {
  const SharePool& pool = share.m_pools[pool_index.Value()];
  const std::uint32_t winner = pool.m_winner[1];
  if (pool.m_key[winner] == kNeverKey) {
    return std::nullopt;
  }
  return TeamIndex(winner);
}

void Skip(Share& share, PoolIndex pool, TeamIndex team) {
  ShareCell& cell = CellOf(share, pool.Value(), team.Value());
  if (!cell.m_skipped) {
    cell.m_skipped = true;
    share.m_pools[pool.Value()].m_skipped.push_back(
        static_cast<std::uint32_t>(team.Value()));
    Rekey(share, pool.Value(), team.Value());
  }
}

void ClearSkips(Share& share, PoolIndex pool) {
  std::vector<std::uint32_t>& skipped = share.m_pools[pool.Value()].m_skipped;
  for (const std::uint32_t team : skipped) {
    CellOf(share, pool.Value(), team).m_skipped = false;
    Rekey(share, pool.Value(), team);
  }
  skipped.clear();
}

void SetPeerUse(Share& share, TimePoint now, const NodeName& peer,
                std::span<const PeerCell> cells) {
  std::vector<PeerCell>& held = share.m_peers[peer];
  AddPeer(share, now, held, -1);
  held.assign(cells.begin(), cells.end());
  AddPeer(share, now, held, 1);
}

void DropPeer(Share& share, TimePoint now, const NodeName& peer) {
  if (const auto it = share.m_peers.find(peer); it != share.m_peers.end()) {
    AddPeer(share, now, it->second, -1);
    share.m_peers.erase(it);
  }
}

void Settle(Share& share, TimePoint now) {
  const Duration passed = now - share.m_settled_at;
  if (passed >= share.m_settings.m_settle_interval ||
      (share.m_capacity_changed && passed >= Duration(0))) {
    SettleNow(share, now);
  }
}

double ExpectedShare(const Share& share, PoolIndex pool_index,
                     TeamIndex team_index) {
  const SharePool& pool = share.m_pools[pool_index.Value()];
  const ShareCell& cell = CellOf(share, pool_index.Value(), team_index.Value());
  const double weight = share.m_teams[team_index.Value()].m_weight;
  double expected = cell.m_due;
  if (std::isfinite(pool.m_level.m_level)) {
    expected = std::max(expected, pool.m_level.m_level * weight);
  }
  const Fractions mean = MeanFractions(pool, cell);
  const double dominant = DominantShare(mean);
  double free = 1.0;
  for (int kind = 0; kind < kResourceKinds; ++kind) {
    if (mean[kind] > 0) {
      free = std::min(free, pool.m_level.m_free[kind] * dominant / mean[kind]);
    }
  }
  expected = dominant > 0 ? std::min(1.0, expected + free) : 0.0;
  const double own =
      static_cast<double>(cell.m_running_tasks + cell.m_waiting_tasks + 1);
  return expected * own /
         (own + static_cast<double>(cell.m_peer_running + cell.m_peer_waiting));
}

double WorkOf(const Share& share, PoolIndex pool, const Resources& size,
              Duration run_time) {
  return DominantShare(
             FractionsOf(size, share.m_pools[pool.Value()].m_capacity)) *
         ToSeconds(run_time);
}

std::vector<Reclaim> ReclaimsDue(const Share& share, TimePoint now) {
  std::vector<Reclaim> result;
  for (std::size_t p = 0; p < share.m_pools.size(); ++p) {
    const SharePool& pool = share.m_pools[p];
    double shortage = 0;
    std::vector<Reclaim> borrowers;
    for (std::size_t i = 0; i < share.m_teams.size(); ++i) {
      const ShareCell& cell = CellOf(share, p, i);
      const double excess = Received(pool, cell) - cell.m_due;
      if (cell.m_short_since &&
          now - *cell.m_short_since >= share.m_settings.m_lending_bound) {
        shortage -= excess;
      } else if (excess > DominantShare(MeanFractions(pool, cell)) / 2) {
        borrowers.push_back({PoolIndex(p), TeamIndex(i), excess});
      }
    }
    std::stable_sort(borrowers.begin(), borrowers.end(),
                     [](const Reclaim& a, const Reclaim& b) {
                       return a.m_excess > b.m_excess;
                     });
    for (Reclaim& borrower : borrowers) {
      if (shortage <= 0) {
        break;
      }
      borrower.m_excess = std::min(borrower.m_excess, shortage);
      shortage -= borrower.m_excess;
      result.push_back(borrower);
    }
  }
  return result;
}

TeamShare Explain(const Share& share, TimePoint now, PoolIndex pool_index,
                  TeamIndex team) {
  const SharePool& pool = share.m_pools[pool_index.Value()];
  ShareCell cell = CellOf(share, pool_index.Value(), team.Value());
  CountReceived(pool, cell, now);
  return {.m_weight = share.m_teams[team.Value()].m_weight,
          .m_due = cell.m_due,
          .m_received = Received(pool, cell),
          .m_demand = cell.m_demand,
          .m_lag_seconds = cell.m_lag,
          .m_due_seconds = cell.m_due_seconds +
                           cell.m_due * ToSeconds(now - share.m_settled_at),
          .m_received_seconds = cell.m_received_seconds,
          .m_short_since = cell.m_short_since};
}

TeamShare ExplainFleet(const Share& share, TimePoint now, TeamIndex team) {
  TeamShare fleet;
  fleet.m_weight = share.m_teams[team.Value()].m_weight;
  for (std::size_t p = 0; p < share.m_pools.size(); ++p) {
    const TeamShare part = Explain(share, now, PoolIndex(p), team);
    const double scale = share.m_pools[p].m_fleet_part;
    fleet.m_due += part.m_due * scale;
    fleet.m_received += part.m_received * scale;
    fleet.m_demand += part.m_demand * scale;
    fleet.m_lag_seconds += part.m_lag_seconds * scale;
    fleet.m_due_seconds += part.m_due_seconds * scale;
    fleet.m_received_seconds += part.m_received_seconds * scale;
    if (part.m_short_since &&
        (!fleet.m_short_since || *part.m_short_since < *fleet.m_short_since)) {
      fleet.m_short_since = part.m_short_since;
    }
  }
  return fleet;
}

}  // namespace filbertspar
