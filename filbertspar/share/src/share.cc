#include "filbertspar/share/src/share.h"

#include "filbertspar/share/src/cells.h"
#include "filbertspar/share/src/order.h"

namespace filbertspar {
namespace {

using internal::Add;
using internal::CellOf;
using internal::CountReceived;
using internal::Rekey;
using internal::RekeyPool;
using internal::ShareCell;
using internal::SharePool;
using internal::ShareTeamState;
using internal::Units;

// Weight of one more task in the mean size of a team's tasks in a pool.
constexpr double kMeanSizeGain = 1.0 / 8;

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

}  // namespace

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

}  // namespace filbertspar
