#include "filbertspar/share/src/order.h"

#include "filbertspar/share/src/cells.h"

namespace filbertspar {
namespace internal {
namespace {

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

}  // namespace

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

}  // namespace internal

std::optional<TeamIndex> NextTeam(const Share& share, PoolIndex pool_index) {
  const internal::SharePool& pool = share.m_pools[pool_index.Value()];
  const std::uint32_t winner = pool.m_winner[1];
  if (pool.m_key[winner] == internal::kNeverKey) {
    return std::nullopt;
  }
  return TeamIndex(winner);
}

void Skip(Share& share, PoolIndex pool, TeamIndex team) {
  internal::ShareCell& cell =
      internal::CellOf(share, pool.Value(), team.Value());
  if (!cell.m_skipped) {
    cell.m_skipped = true;
    share.m_pools[pool.Value()].m_skipped.push_back(
        static_cast<std::uint32_t>(team.Value()));
    internal::Rekey(share, pool.Value(), team.Value());
  }
}

void ClearSkips(Share& share, PoolIndex pool) {
  std::vector<std::uint32_t>& skipped = share.m_pools[pool.Value()].m_skipped;
  for (const std::uint32_t team : skipped) {
    internal::CellOf(share, pool.Value(), team).m_skipped = false;
    internal::Rekey(share, pool.Value(), team);
  }
  skipped.clear();
}

}  // namespace filbertspar
