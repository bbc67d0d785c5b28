#include "filbertspar/share/src/settle.h"

#include <algorithm>
#include <cmath>

#include "filbertspar/share/src/cells.h"
#include "filbertspar/share/src/order.h"

namespace filbertspar {
namespace internal {
namespace {

// An advance in use is a debt, so it does not decay; if it did, a team with
// urgent work at all times would stay above its due share for good.
double Decayed(double lag, double advance, double decay) {
  const double kept = std::clamp(lag, 0.0, advance);
  return kept + (lag - kept) * decay;
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

}  // namespace

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

}  // namespace internal

void Settle(Share& share, TimePoint now) {
  const Duration passed = now - share.m_settled_at;
  if (passed >= share.m_settings.m_settle_interval ||
      (share.m_capacity_changed && passed >= Duration(0))) {
    internal::SettleNow(share, now);
  }
}

}  // namespace filbertspar
