#include <algorithm>

#include "filbertspar/request/src/internal.h"

namespace filbertspar {
namespace internal {
namespace {

void RequestTimer(Engine& engine, TimePoint now, const Timer& timer,
                  Effects& effects) {
  Request* request = FindRequest(engine, RequestId(timer.m_id));
  if (request == nullptr) {
    return;
  }
  if (timer.m_kind == TimerKind::kDeadline) {
    FinishUnsettled(engine, now, *request, Code::kDeadlinePassed, effects);
  } else if (timer.m_kind == TimerKind::kBackoff) {
    if (request->m_state == RequestState::kBackoff) {
      PushWaiting(engine, *request, /*front=*/true);
    }
  } else if (request->m_state == RequestState::kSettling) {
    FinishUnsettled(engine, now, *request, Code::kOutcomeUnknown, effects);
  }
}

// True while an answer to QueryAttempt would still change something.
bool IsWorthAsking(Engine& engine, TimePoint now, const Attempt& attempt) {
  if (attempt.m_holds_unit) {
    return true;
  }
  if (now >= attempt.m_lost_at + engine.m_options.m_settle_bound) {
    return false;
  }
  if (FindRequest(engine, attempt.m_request) != nullptr) {
    return true;
  }
  const auto finished = engine.m_finished.find(attempt.m_request);
  return finished != engine.m_finished.end() &&
         Describe(finished->second.m_code).m_outcome == Outcome::kUnknown;
}

void AttemptTimer(Engine& engine, TimePoint now, const Timer& timer,
                  Effects& effects) {
  const AttemptId id(timer.m_id);
  const auto found = engine.m_attempts.find(id);
  if (found == engine.m_attempts.end()) {
    return;
  }
  Attempt& attempt = found->second;
  if (timer.m_kind == TimerKind::kUnitLapse) {
    ReleaseUnit(engine, attempt);
    MarkDirty(engine, attempt.m_pool);
    MarkTeamDirty(engine, attempt.m_team);
  } else if (IsWorthAsking(engine, now, attempt)) {
    QueryLost(engine, now, id, attempt, effects);
  } else {
    engine.m_attempts.erase(found);
  }
}

void WakeProbes(Engine& engine, TimePoint now) {
  for (PoolIndex pool = 0; pool < engine.m_pools.size(); ++pool) {
    if (engine.m_pools[pool].m_waiting > 0 &&
        engine.m_placement.m_pools[pool].m_next_probe <= now) {
      MarkDirty(engine, pool);
    }
  }
}

}  // namespace

void SetTimer(Engine& engine, TimePoint at, TimerKind kind, std::uint64_t id) {
  engine.m_timers.push({.m_at = at, .m_kind = kind, .m_id = id});
}

}  // namespace internal

void Tick(Engine& engine, TimePoint now, Effects& effects) {
  while (!engine.m_timers.empty() && engine.m_timers.top().m_at <= now) {
    const internal::Timer timer = engine.m_timers.top();
    engine.m_timers.pop();
    switch (timer.m_kind) {
      case internal::TimerKind::kDeadline:
      case internal::TimerKind::kBackoff:
      case internal::TimerKind::kSettleEnd:
        internal::RequestTimer(engine, now, timer, effects);
        break;
      case internal::TimerKind::kQuery:
      case internal::TimerKind::kUnitLapse:
        internal::AttemptTimer(engine, now, timer, effects);
        break;
    }
  }
  for (const PoolIndex pool : EndPauses(engine.m_placement, now)) {
    internal::MarkDirty(engine, pool);
  }
  internal::WakeProbes(engine, now);
  internal::Dispatch(engine, now, effects);
  internal::ForwardWaiting(engine, now, effects);
  for (internal::TeamIndex team = 0; team < engine.m_teams.size(); ++team) {
    internal::UpdateWant(engine, now, team, effects);
  }
  internal::ForgetOldFinished(engine, now);
}

std::optional<TimePoint> NextTick(const Engine& engine) {
  TimePoint next = engine.m_placement.m_next_unpause;
  if (!engine.m_timers.empty()) {
    next = std::min(next, engine.m_timers.top().m_at);
  }
  for (PoolIndex pool = 0; pool < engine.m_pools.size(); ++pool) {
    if (engine.m_pools[pool].m_waiting > 0) {
      next = std::min(next, engine.m_placement.m_pools[pool].m_next_probe);
    }
  }
  for (const internal::TeamState& team : engine.m_teams) {
    if (team.m_running + team.m_waiting != team.m_wanted) {
      next = std::min(next, team.m_wanted_at + engine.m_options.m_want_pause);
    }
  }
  return next == TimePoint::max() ? std::nullopt : std::optional(next);
}

}  // namespace filbertspar
