#include <algorithm>
#include <utility>

#include "filbertspar/request/src/internal.h"

namespace filbertspar::internal {
namespace {

void Start(Engine& engine, TimePoint now, Request& request, WorkerIndex worker,
           Effects& effects) {
  RemoveWaiting(engine, request);
  const AttemptId id(NextId(engine));
  const Duration timeout = request.m_deadline - now;
  const VmName& name = WorkerName(engine.m_placement, worker);
  Occupy(engine.m_placement, worker, request.m_resources);
  TeamState& team = engine.m_teams[request.m_team];
  if (team.m_running_by_pool.size() <= request.m_pool) {
    team.m_running_by_pool.resize(request.m_pool + 1);
  }
  ++team.m_running;
  ++team.m_running_by_pool[request.m_pool];
  FS_ASSERT(team.m_running <= std::min(team.m_granted, team.m_ceiling),
            "nothing starts above the granted units");
  engine.m_attempts.try_emplace(
      id, Attempt{.m_request = request.m_id,
                  .m_worker = worker,
                  .m_worker_name = name,
                  .m_team = request.m_team,
                  .m_pool = request.m_pool,
                  .m_resources = request.m_resources,
                  .m_timeout = timeout,
                  .m_run_time = request.m_run_time,
                  .m_query_pause = engine.m_options.m_first_query_pause});
  request.m_state = RequestState::kRunning;
  request.m_attempt = id;
  ++engine.m_counters.m_attempts;
  effects.emplace_back(StartAttempt{.m_request = request.m_id,
                                    .m_attempt = id,
                                    .m_worker = name,
                                    .m_entry = request.m_submission.m_entry,
                                    .m_team = request.m_submission.m_team,
                                    .m_body = request.m_submission.m_body,
                                    .m_resources = request.m_resources,
                                    .m_lease = engine.m_options.m_lease,
                                    .m_timeout = timeout});
}

// Starts the first waiting request of a team; false when it has to wait.
bool StartNext(Engine& engine, TimePoint now, PoolIndex pool, TeamIndex team,
               Effects& effects) {
  if (FreeUnits(engine.m_teams[team]) <= 0) {
    return false;
  }
  Request* request = FirstWaiting(engine, pool, team);
  if (request == nullptr) {
    return false;
  }
  if (request->m_deadline <= now) {
    FinishUnsettled(engine, now, *request, Code::kDeadlinePassed, effects);
    return true;
  }
  const auto worker =
      Choose(engine.m_placement, now, pool, request->m_resources,
             request->m_repeatable, engine.m_rng);
  if (!worker) {
    return false;
  }
  Start(engine, now, *request, *worker, effects);
  return true;
}

void DispatchPool(Engine& engine, TimePoint now, PoolIndex pool,
                  Effects& effects) {
  std::size_t idle = 0;
  while (engine.m_pools[pool].m_waiting > 0 &&
         idle < engine.m_pools[pool].m_teams.size()) {
    PoolQueue& queue = engine.m_pools[pool];
    const auto team =
        static_cast<TeamIndex>(queue.m_next_team % queue.m_teams.size());
    queue.m_next_team = team + 1;
    idle = StartNext(engine, now, pool, team, effects) ? 0 : idle + 1;
  }
}

}  // namespace

void Dispatch(Engine& engine, TimePoint now, Effects& effects) {
  while (!engine.m_dirty_pools.empty()) {
    const PoolIndex pool = engine.m_dirty_pools.back();
    engine.m_dirty_pools.pop_back();
    engine.m_pools[pool].m_dirty = false;
    DispatchPool(engine, now, pool, effects);
  }
}

}  // namespace filbertspar::internal
