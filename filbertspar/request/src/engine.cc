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

TeamIndex InternTeam(Engine& engine, const TeamName& team) {
  const auto [found, added] = engine.m_team_by_name.try_emplace(
      team.Value(), static_cast<TeamIndex>(engine.m_teams.size()));
  if (added) {
    engine.m_teams.emplace_back().m_name = team;
  }
  return found->second;
}

PoolIndex InternEnginePool(Engine& engine, const PoolName& pool) {
  const PoolIndex index = InternPool(engine.m_placement, pool);
  while (engine.m_pools.size() < engine.m_placement.m_pools.size()) {
    engine.m_pools.emplace_back().m_retry_tokens =
        engine.m_options.m_retry_start;
  }
  return index;
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

namespace {

// Collects the ids first, because an answer changes the table.
std::vector<RequestId> UnstartedRequests(const Engine& engine) {
  std::vector<RequestId> ids;
  for (const auto& [id, request] : engine.m_requests) {
    if (request->m_state == RequestState::kWaiting ||
        request->m_state == RequestState::kClaiming ||
        request->m_state == RequestState::kBackoff) {
      ids.push_back(id);
    }
  }
  std::sort(ids.begin(), ids.end());
  return ids;
}

void ReviewUnstarted(Engine& engine, TimePoint now, Effects& effects) {
  for (const RequestId id : UnstartedRequests(engine)) {
    Request& request = *FindRequest(engine, id);
    if (const auto code = RuledOut(engine, request.m_submission)) {
      FinishUnsettled(engine, now, request, *code, effects);
    } else if (request.m_state == RequestState::kWaiting &&
               !FitsEntry(engine, request)) {
      Refit(engine, request);
    }
  }
}

}  // namespace
}  // namespace internal

Engine MakeEngine(EngineOptions options) {
  FS_ASSERT(options.m_node > 0 && options.m_node < (1U << kNodeBits),
            "a node number has 24 bits and is not zero");
  Engine engine;
  engine.m_rng = Rng(options.m_seed);
  options.m_placement.m_zone = options.m_zone;
  engine.m_placement = MakePlacement(options.m_placement);
  engine.m_options = std::move(options);
  return engine;
}

void SetCatalogue(Engine& engine, TimePoint now,
                  std::shared_ptr<const Catalogue> catalogue,
                  Effects& effects) {
  engine.m_catalogue = std::move(catalogue);
  engine.m_entry_by_name.clear();
  engine.m_key_by_name.clear();
  const Catalogue& document = *engine.m_catalogue;
  for (std::size_t i = 0; i < document.m_entries.size(); ++i) {
    engine.m_entry_by_name[document.m_entries[i].m_name.Value()] = i;
    internal::InternEnginePool(engine, document.m_entries[i].m_pool);
  }
  for (std::size_t i = 0; i < document.m_keys.size(); ++i) {
    engine.m_key_by_name[document.m_keys[i].m_name.Value()] = i;
  }
  for (internal::TeamState& team : engine.m_teams) {
    team.m_ceiling = 0;
  }
  for (const Team& team : document.m_teams) {
    const internal::TeamIndex index = internal::InternTeam(engine, team.m_name);
    engine.m_teams[index].m_ceiling = team.m_ceiling;
    internal::MarkTeamDirty(engine, index);
  }
  internal::ReviewUnstarted(engine, now, effects);
  internal::Dispatch(engine, now, effects);
}

void SetWorkers(Engine& engine, TimePoint now, std::vector<WorkerInfo> workers,
                Effects& effects) {
  for (const WorkerInfo& worker : workers) {
    internal::InternEnginePool(engine, worker.m_pool);
  }
  SetWorkers(engine.m_placement, now, std::move(workers));
  for (PoolIndex pool = 0; pool < engine.m_pools.size(); ++pool) {
    internal::MarkDirty(engine, pool);
  }
  internal::Dispatch(engine, now, effects);
}

void SetGrant(Engine& engine, TimePoint now, const TeamName& team,
              std::int64_t units, Effects& effects) {
  const internal::TeamIndex index = internal::InternTeam(engine, team);
  engine.m_teams[index].m_granted = units;
  internal::MarkTeamDirty(engine, index);
  internal::Dispatch(engine, now, effects);
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
