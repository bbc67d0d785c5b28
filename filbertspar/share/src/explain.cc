#include <algorithm>
#include <cmath>

#include "filbertspar/share/src/cells.h"
#include "filbertspar/share/src/share.h"

namespace filbertspar {
namespace {

using internal::CellOf;
using internal::CountReceived;
using internal::MeanFractions;
using internal::Received;
using internal::ShareCell;
using internal::SharePool;

}  // namespace

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
