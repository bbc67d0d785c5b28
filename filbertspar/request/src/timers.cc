#include <algorithm>
#include <functional>

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
      PutBackWaiting(engine, now, *request, effects);
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
    ReleaseUnit(engine, now, attempt);
  } else if (IsWorthAsking(engine, now, attempt)) {
    QueryLost(engine, now, id, attempt, effects);
  } else {
    engine.m_attempts.erase(found);
  }
}

TimePoint NextProbe(const Engine& engine, const PoolState& pool) {
  return engine.m_placement.m_pools[pool.m_placement].m_next_probe;
}

void WakePools(Engine& engine, TimePoint now) {
  const std::vector<PlacementPool> unpaused =
      EndPauses(engine.m_placement, now);
  for (std::size_t i = 0; i < engine.m_pools.size(); ++i) {
    const PoolState& pool = engine.m_pools[i];
    if (pool.m_waiting > 0 && (NextProbe(engine, pool) <= now ||
                               std::find(unpaused.begin(), unpaused.end(),
                                         pool.m_placement) != unpaused.end())) {
      MarkDirty(engine, PoolIndex(i));
    }
  }
}

bool IsLive(const Engine& engine, const Timer& timer) {
  switch (timer.m_kind) {
    case TimerKind::kDeadline:
    case TimerKind::kBackoff:
    case TimerKind::kSettleEnd:
      return engine.m_requests.contains(RequestId(timer.m_id));
    case TimerKind::kQuery:
    case TimerKind::kUnitLapse:
      return engine.m_attempts.contains(AttemptId(timer.m_id));
  }
  return false;
}

// Keeps the heap in proportion to the live requests, whose deadlines may be
// hours away when they are answered.
void DropDeadTimers(Engine& engine) {
  constexpr std::size_t kTimersPerItem = 4;
  constexpr std::size_t kSlack = 4096;
  if (engine.m_timers.size() >
      kTimersPerItem * (engine.m_requests.size() + engine.m_attempts.size()) +
          kSlack) {
    std::erase_if(engine.m_timers,
                  [&](const Timer& timer) { return !IsLive(engine, timer); });
    std::make_heap(engine.m_timers.begin(), engine.m_timers.end(),
                   std::greater<>());
  }
}

}  // namespace

void SetTimer(Engine& engine, TimePoint at, TimerKind kind, std::uint64_t id) {
  engine.m_timers.push_back({.m_at = at, .m_kind = kind, .m_id = id});
  std::push_heap(engine.m_timers.begin(), engine.m_timers.end(),
                 std::greater<>());
}

}  // namespace internal

void Tick(Engine& engine, TimePoint now, Effects& effects) {
  engine.m_ticked_at = now;
  while (!engine.m_timers.empty() && engine.m_timers.front().m_at <= now) {
    const internal::Timer timer = engine.m_timers.front();
    std::pop_heap(engine.m_timers.begin(), engine.m_timers.end(),
                  std::greater<>());
    engine.m_timers.pop_back();
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
  internal::DropDeadTimers(engine);
  Settle(engine.m_share, now);
  internal::WakePools(engine, now);
  internal::Dispatch(engine, now, effects);
  internal::ForwardWaiting(engine, now, effects);
  for (internal::TeamState& team : engine.m_teams) {
    internal::UpdateWant(engine, now, team, effects);
  }
  internal::ForgetOldFinished(engine, now);
}

std::optional<TimePoint> NextTick(const Engine& engine) {
  TimePoint next = engine.m_placement.m_next_unpause;
  if (!engine.m_timers.empty()) {
    next = std::min(next, engine.m_timers.front().m_at);
  }
  for (const internal::PoolState& pool : engine.m_pools) {
    // A probe that is overdue waits for room on its worker, not for a tick.
    const TimePoint probe = internal::NextProbe(engine, pool);
    if (pool.m_waiting > 0 && probe > engine.m_ticked_at) {
      next = std::min(next, probe);
    }
  }
  if (!engine.m_requests.empty()) {
    next = std::min(next, engine.m_share.m_settled_at +
                              engine.m_share.m_settings.m_settle_interval);
  }
  for (const internal::TeamState& team : engine.m_teams) {
    if (team.m_running + team.m_waiting != team.m_wanted) {
      next = std::min(next, team.m_wanted_at + engine.m_options.m_want_pause);
    }
  }
  return next == TimePoint::max() ? std::nullopt : std::optional(next);
}

}  // namespace filbertspar
