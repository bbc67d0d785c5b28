#include "filbertspar/request/src/internal.h"

namespace filbertspar::internal {
namespace {

Arrival ArrivalOf(const Engine& engine, const Request& request) {
  return {.m_request = request.m_id,
          .m_pool = request.m_pool,
          .m_team = request.m_team,
          .m_class = request.m_class,
          .m_entry = request.m_entry,
          .m_deadline = request.m_deadline,
          .m_work =
              WorkOf(engine.m_share, request.m_pool, request.m_resources,
                     EstimatedRunTime(
                         engine.m_entries[request.m_entry.Value()].m_estimate)),
          .m_size = request.m_resources,
          .m_max_queue = request.m_max_queue};
}

void CountIn(Engine& engine, Request& request, Ticket ticket) {
  request.m_state = RequestState::kWaiting;
  request.m_ticket = ticket;
  AddWaiting(engine.m_share, request.m_pool, request.m_team,
             request.m_resources);
  ++TeamOf(engine, request.m_team).m_waiting;
  ++PoolOf(engine, request.m_pool).m_waiting;
}

}  // namespace

Code AdmitWaiting(Engine& engine, TimePoint now, Request& request) {
  const Admission admission =
      Admit(engine.m_queue, now, ArrivalOf(engine, request),
            ExpectedShare(engine.m_share, request.m_pool, request.m_team));
  if (admission.m_code == Code::kOk) {
    CountIn(engine, request, admission.m_ticket);
    // Work that waited before still has no room, so the pool is searched only
    // when this request may find some.
    const PoolState& pool = PoolOf(engine, request.m_pool);
    if (HasRoom(engine.m_placement, now, pool.m_placement)) {
      MarkDirty(engine, request.m_pool);
    }
  }
  return admission.m_code;
}

void PutBackWaiting(Engine& engine, TimePoint now, Request& request,
                    Effects& effects) {
  if (request.m_epoch != engine.m_epoch) {
    if (const auto code = RuledOut(engine, request.m_submission)) {
      FinishUnsettled(engine, now, request, *code, effects);
      return;
    }
    FillFromEntry(engine, request);
  }
  CountIn(engine, request,
          PutBack(engine.m_queue, now, ArrivalOf(engine, request)));
  MarkDirty(engine, request.m_pool);
}

void TakeWaiting(Engine& engine, TimePoint now, Request& request,
                 bool to_start) {
  if (to_start) {
    TakeForStart(engine.m_queue, now, request.m_ticket);
  } else {
    const auto removed = Remove(engine.m_queue, request.m_ticket);
    FS_ASSERT(removed.has_value(), "waiting work is in its queue");
  }
  RemoveWaiting(engine.m_share, request.m_pool, request.m_team,
                request.m_resources);
  --TeamOf(engine, request.m_team).m_waiting;
  --PoolOf(engine, request.m_pool).m_waiting;
}

void MarkDirty(Engine& engine, PoolIndex pool) {
  PoolState& state = PoolOf(engine, pool);
  if (!state.m_dirty) {
    state.m_dirty = true;
    engine.m_dirty_pools.push_back(pool);
  }
}

void UnitsChanged(Engine& engine, TeamIndex team) {
  const bool blocked = FreeUnits(TeamOf(engine, team)) <= 0;
  if (engine.m_share.m_teams[team.Value()].m_blocked == blocked) {
    return;
  }
  SetBlocked(engine.m_share, team, blocked);
  if (blocked || TeamOf(engine, team).m_waiting == 0) {
    return;
  }
  for (std::size_t pool = 0; pool < engine.m_pools.size(); ++pool) {
    if (CountWaiting(engine.m_queue, PoolIndex(pool), team) > 0) {
      MarkDirty(engine, PoolIndex(pool));
    }
  }
}

}  // namespace filbertspar::internal
