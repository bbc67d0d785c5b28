#include <algorithm>
#include <bit>
#include <utility>

#include "filbertspar/share/src/cells.h"
#include "filbertspar/share/src/settle.h"
#include "filbertspar/share/src/share.h"

namespace filbertspar {
namespace {

using internal::CellOf;
using internal::kNeverKey;
using internal::SettleNow;
using internal::ShareCell;
using internal::SharePool;
using internal::ShareTeamState;

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

}  // namespace filbertspar
