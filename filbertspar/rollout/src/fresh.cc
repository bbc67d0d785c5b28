#include <algorithm>

#include "filbertspar/rollout/src/rollout.h"

namespace filbertspar {
namespace {

// Moment at which every known entry was heard to be without the store. While
// that holds nobody can have accepted a version.
std::optional<TimePoint> NobodyReachedStore(const Rollout& rollout,
                                            TimePoint now) {
  if (rollout.m_reaches_store || rollout.m_too_many_peers ||
      rollout.m_newest > VersionInForce(rollout)) {
    return std::nullopt;
  }
  TimePoint oldest = now;
  for (const auto& [peer, state] : rollout.m_peers) {
    if (!state.m_reported || state.m_reaches_store) {
      return std::nullopt;
    }
    if (state.m_stopping) {
      continue;
    }
    oldest = std::min(oldest, state.m_as_of);
  }
  return oldest;
}

}  // namespace

ConfigVersion VersionInForce(const Rollout& rollout) {
  return rollout.m_in_force == nullptr
             ? ConfigVersion()
             : rollout.m_in_force->m_catalogue.m_version;
}

std::map<NodeName, ConfigVersion> VersionsInForce(const Rollout& rollout) {
  std::map<NodeName, ConfigVersion> versions;
  versions[rollout.m_self] = VersionInForce(rollout);
  for (const auto& [peer, state] : rollout.m_peers) {
    if (state.m_left) {
      continue;
    }
    versions[peer] = state.m_version;
  }
  return versions;
}

std::optional<TimePoint> FreshAsOf(const Rollout& rollout, TimePoint now) {
  const std::optional<TimePoint> nobody = NobodyReachedStore(rollout, now);
  if (!nobody || !rollout.m_confirmed) {
    return nobody ? nobody : rollout.m_confirmed;
  }
  return std::max(*nobody, *rollout.m_confirmed);
}

Code CheckFresh(const Rollout& rollout, TimePoint now,
                const WorkspaceName& workspace) {
  if (rollout.m_in_force == nullptr) {
    return Code::kNoConfig;
  }
  const Workspace* found =
      FindWorkspace(rollout.m_in_force->m_catalogue, workspace);
  const Duration bound = found != nullptr ? found->m_freshness_bound
                                          : Workspace{}.m_freshness_bound;
  const std::optional<TimePoint> fresh = FreshAsOf(rollout, now);
  return fresh && now - *fresh <= bound ? Code::kOk : Code::kConfigStale;
}

}  // namespace filbertspar
