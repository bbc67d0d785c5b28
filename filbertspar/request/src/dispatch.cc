#include <algorithm>
#include <utility>

#include "filbertspar/request/src/internal.h"

namespace filbertspar::internal {
namespace {

void Start(Engine& engine, TimePoint now, Request& request, WorkerIndex worker,
           Effects& effects) {
  TakeWaiting(engine, now, request, /*to_start=*/true);
  const AttemptId id(NextId(engine));
  const Duration timeout = request.m_deadline - now;
  const VmName& name = WorkerName(engine.m_placement, worker);
  TeamState& team = TeamOf(engine, request.m_team);
  FS_ASSERT(FreeUnits(team) > 0, "nothing starts above the granted units");
  Occupy(engine.m_placement, worker, request.m_resources);
  TaskStarted(engine.m_share, now, request.m_pool, request.m_team,
              request.m_resources);
  ++team.m_running;
  UnitsChanged(engine, request.m_team);
  engine.m_attempts.try_emplace(
      id, Attempt{.m_request = request.m_id,
                  .m_worker = worker,
                  .m_worker_name = name,
                  .m_team = request.m_team,
                  .m_pool = request.m_pool,
                  .m_entry = request.m_entry,
                  .m_resources = request.m_resources,
                  .m_started = now,
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

// Starts or answers one waiting request of a team; false when all those tried
// fit on no worker now.
bool StartOne(Engine& engine, TimePoint now, PoolIndex pool, TeamIndex team,
              Effects& effects) {
  std::optional<Ticket> ticket = NextRequest(engine.m_queue, now, pool, team);
  const PlacementPool placement_pool = PoolOf(engine, pool).m_placement;
  for (int tries = 0; ticket && tries <= engine.m_options.m_look_past;
       ++tries) {
    Request& request =
        *FindRequest(engine, Find(engine.m_queue, *ticket)->m_request);
    if (request.m_deadline <= now) {
      FinishUnsettled(engine, now, request, Code::kDeadlinePassed, effects);
      return true;
    }
    const auto worker =
        Choose(engine.m_placement, now, placement_pool, request.m_resources,
               request.m_repeatable, engine.m_rng);
    if (worker) {
      Start(engine, now, request, *worker, effects);
      return true;
    }
    ticket = Following(engine.m_queue, *ticket);
  }
  return false;
}

void DispatchPool(Engine& engine, TimePoint now, PoolIndex pool,
                  Effects& effects) {
  const PlacementPool placement_pool = PoolOf(engine, pool).m_placement;
  while (PoolOf(engine, pool).m_waiting > 0 &&
         HasRoom(engine.m_placement, now, placement_pool)) {
    const std::optional<TeamIndex> team = NextTeam(engine.m_share, pool);
    if (!team) {
      break;
    }
    if (!StartOne(engine, now, pool, *team, effects)) {
      Skip(engine.m_share, pool, *team);
    }
  }
  ClearSkips(engine.m_share, pool);
}

}  // namespace

void Dispatch(Engine& engine, TimePoint now, Effects& effects) {
  while (!engine.m_dirty_pools.empty()) {
    const PoolIndex pool = engine.m_dirty_pools.back();
    engine.m_dirty_pools.pop_back();
    PoolOf(engine, pool).m_dirty = false;
    DispatchPool(engine, now, pool, effects);
  }
}

}  // namespace filbertspar::internal
