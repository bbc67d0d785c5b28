#include <algorithm>

#include "filbertspar/request/src/internal.h"

namespace filbertspar {

bool IsIdle(const Engine& engine) { return engine.m_requests.empty(); }

std::optional<RequestStatus> Query(const Engine& engine, RequestId request) {
  if (const auto live = engine.m_requests.find(request);
      live != engine.m_requests.end()) {
    const RequestState state = live->second->m_state;
    const bool waits = state == RequestState::kWaiting ||
                       state == RequestState::kClaiming ||
                       state == RequestState::kBackoff;
    return RequestStatus{
        .m_state = state,
        .m_code = waits ? Code::kWaiting : Code::kStillRunning};
  }
  const auto finished = engine.m_finished.find(request);
  if (finished == engine.m_finished.end()) {
    return std::nullopt;
  }
  const Code code = finished->second.m_code;
  return RequestStatus{.m_state = RequestState::kFinished,
                       .m_code = code,
                       .m_outcome = Describe(code).m_outcome,
                       .m_body = finished->second.m_body};
}

std::vector<TeamPoolUse> UseOf(const Engine& engine) {
  const std::size_t pools = engine.m_pools.size();
  std::vector<std::int64_t> running(engine.m_teams.size() * pools);
  for (const auto& [id, attempt] : engine.m_attempts) {
    if (attempt.m_holds_unit) {
      ++running[attempt.m_team.Value() * pools + attempt.m_pool.Value()];
    }
  }
  std::vector<TeamPoolUse> lines;
  for (std::size_t i = 0; i < engine.m_teams.size(); ++i) {
    const internal::TeamState& team = engine.m_teams[i];
    const std::int64_t free =
        std::max<std::int64_t>(0, internal::FreeUnits(team) - team.m_waiting);
    bool any = false;
    for (std::size_t pool = 0; pool < pools; ++pool) {
      const std::int64_t waiting =
          CountWaiting(engine.m_queue, PoolIndex(pool), TeamIndex(i));
      if (running[i * pools + pool] > 0 || waiting > 0) {
        lines.push_back({.m_team = team.m_name,
                         .m_pool = engine.m_pools[pool].m_name,
                         .m_running = running[i * pools + pool],
                         .m_waiting = waiting,
                         .m_free_grant = free});
        any = true;
      }
    }
    if (!any && free > 0) {
      lines.push_back({.m_team = team.m_name, .m_free_grant = free});
    }
  }
  return lines;
}

}  // namespace filbertspar
