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
  std::vector<TeamPoolUse> lines;
  for (const internal::TeamState& team : engine.m_teams) {
    const std::int64_t free =
        std::max<std::int64_t>(0, internal::FreeUnits(team) - team.m_waiting);
    bool any = false;
    for (PoolIndex pool = 0; pool < engine.m_pools.size(); ++pool) {
      const auto at = [pool](const std::vector<std::int64_t>& counts) {
        return pool < counts.size() ? counts[pool] : 0;
      };
      const std::int64_t running = at(team.m_running_by_pool);
      const std::int64_t waiting = at(team.m_waiting_by_pool);
      if (running > 0 || waiting > 0) {
        lines.push_back({.m_team = team.m_name,
                         .m_pool = engine.m_placement.m_pools[pool].m_name,
                         .m_running = running,
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
