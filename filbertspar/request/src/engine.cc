#include "filbertspar/request/src/engine.h"

#include <algorithm>
#include <utility>

#include "filbertspar/request/src/internal.h"

namespace filbertspar {
namespace internal {

Request* FindRequest(Engine& engine, RequestId id) {
  const auto found = engine.m_requests.find(id);
  return found == engine.m_requests.end() ? nullptr : found->second.get();
}

TeamState& TeamOf(Engine& engine, TeamIndex team) {
  return engine.m_teams[team.Value()];
}

PoolState& PoolOf(Engine& engine, PoolIndex pool) {
  return engine.m_pools[pool.Value()];
}

std::uint64_t NextId(Engine& engine) {
  constexpr int kCounterBits = 64 - kNodeBits;
  ++engine.m_last_id;
  FS_ASSERT(engine.m_last_id < (std::uint64_t{1} << kCounterBits),
            "ids of one process do not wrap");
  return (std::uint64_t{engine.m_options.m_node} << kCounterBits) |
         engine.m_last_id;
}

std::int64_t FreeUnits(const TeamState& team) {
  return std::min(team.m_granted, team.m_ceiling) - team.m_running;
}

}  // namespace internal

Engine MakeEngine(EngineOptions options) {
  FS_ASSERT(options.m_node > 0 && options.m_node < (1U << kNodeBits),
            "a node number has 24 bits and is not zero");
  Engine engine;
  engine.m_rng = Rng(options.m_seed);
  options.m_placement.m_zone = options.m_zone;
  engine.m_placement = MakePlacement(options.m_placement);
  engine.m_share.m_settings = options.m_share;
  engine.m_queue.m_settings = options.m_queue;
  engine.m_options = std::move(options);
  return engine;
}

void SetCatalogue(Engine& engine, TimePoint now,
                  std::shared_ptr<const Catalogue> catalogue,
                  Effects& effects) {
  engine.m_catalogue = std::move(catalogue);
  internal::IndexCatalogue(engine, now);
  internal::ReviewUnstarted(engine, now, effects);
  internal::Dispatch(engine, now, effects);
}

void SetWorkers(Engine& engine, TimePoint now, std::vector<WorkerInfo> workers,
                Effects& effects) {
  SetWorkers(engine.m_placement, now, std::move(workers));
  for (std::size_t i = 0; i < engine.m_pools.size(); ++i) {
    const Resources capacity =
        CapacityInService(engine.m_placement, engine.m_pools[i].m_placement);
    if (!(engine.m_share.m_pools[i].m_capacity == capacity)) {
      SetCapacity(engine.m_share, now, PoolIndex(i), capacity);
    }
    internal::MarkDirty(engine, PoolIndex(i));
  }
  Settle(engine.m_share, now);
  internal::Dispatch(engine, now, effects);
}

void SetGrant(Engine& engine, TimePoint now, const TeamName& team,
              std::int64_t units, Effects& effects) {
  if (units > 0) {
    engine.m_grants[team] = units;
  } else {
    engine.m_grants.erase(team);
  }
  if (const auto index = FindTeamIndex(engine.m_share, team)) {
    internal::TeamOf(engine, *index).m_granted = units;
    internal::UnitsChanged(engine, *index);
    internal::Dispatch(engine, now, effects);
  }
}

void Cancel(Engine& engine, TimePoint now, RequestId id, Effects& effects) {
  internal::Request* request = internal::FindRequest(engine, id);
  if (request == nullptr || request->m_cancelled) {
    return;
  }
  request->m_cancelled = true;
  ++engine.m_counters.m_cancelled;
  switch (request->m_state) {
    case RequestState::kWaiting:
    case RequestState::kClaiming:
    case RequestState::kBackoff:
      internal::FinishUnsettled(engine, now, *request, Code::kCancelled,
                                effects);
      break;
    case RequestState::kRunning:
      effects.emplace_back(
          StopAttempt{.m_attempt = request->m_attempt,
                      .m_worker = engine.m_attempts.find(request->m_attempt)
                                      ->second.m_worker_name});
      break;
    case RequestState::kSettling:
    case RequestState::kForwarded:
    case RequestState::kFinished:
      break;
  }
}

void BeginStop(Engine& engine, TimePoint now, Effects& effects) {
  (void)now;
  (void)effects;
  engine.m_stopping = true;
}

}  // namespace filbertspar
