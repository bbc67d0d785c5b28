#include <algorithm>

#include "filbertspar/request/src/internal.h"

namespace filbertspar::internal {
namespace {

PoolQueue::TeamQueue& QueueOf(Engine& engine, const Request& request) {
  PoolQueue& pool = engine.m_pools[request.m_pool];
  if (pool.m_teams.size() <= request.m_team) {
    pool.m_teams.resize(request.m_team + 1);
  }
  return pool.m_teams[request.m_team];
}

void Count(Engine& engine, const Request& request, std::int64_t change) {
  TeamState& team = engine.m_teams[request.m_team];
  if (team.m_waiting_by_pool.size() <= request.m_pool) {
    team.m_waiting_by_pool.resize(request.m_pool + 1);
  }
  team.m_waiting += change;
  team.m_waiting_by_pool[request.m_pool] += change;
  engine.m_pools[request.m_pool].m_waiting += change;
}

}  // namespace

void PushWaiting(Engine& engine, Request& request, bool front) {
  request.m_state = RequestState::kWaiting;
  auto& queue = QueueOf(engine, request)
                    .m_classes[static_cast<std::size_t>(request.m_class)];
  if (front) {
    queue.push_front(request.m_id);
  } else {
    queue.push_back(request.m_id);
  }
  Count(engine, request, 1);
  MarkDirty(engine, request.m_pool);
}

void RemoveWaiting(Engine& engine, Request& request) {
  auto& queue = QueueOf(engine, request)
                    .m_classes[static_cast<std::size_t>(request.m_class)];
  const auto found = std::find(queue.begin(), queue.end(), request.m_id);
  FS_ASSERT(found != queue.end(), "waiting work is in its queue");
  queue.erase(found);
  Count(engine, request, -1);
}

Request* FirstWaiting(Engine& engine, PoolIndex pool, TeamIndex team) {
  PoolQueue& queue = engine.m_pools[pool];
  if (queue.m_teams.size() <= team) {
    return nullptr;
  }
  for (auto& ids : queue.m_teams[team].m_classes) {
    if (!ids.empty()) {
      return FindRequest(engine, ids.front());
    }
  }
  return nullptr;
}

void MarkDirty(Engine& engine, PoolIndex pool) {
  if (!engine.m_pools[pool].m_dirty) {
    engine.m_pools[pool].m_dirty = true;
    engine.m_dirty_pools.push_back(pool);
  }
}

void MarkTeamDirty(Engine& engine, TeamIndex team) {
  const auto& waiting = engine.m_teams[team].m_waiting_by_pool;
  for (PoolIndex pool = 0; pool < waiting.size(); ++pool) {
    if (waiting[pool] > 0) {
      MarkDirty(engine, pool);
    }
  }
}

}  // namespace filbertspar::internal
