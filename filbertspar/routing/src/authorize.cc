#include "filbertspar/routing/src/authorize.h"

namespace filbertspar {

std::string_view BearerKey(std::string_view authorization) {
  constexpr std::string_view kScheme = "Bearer ";
  if (!authorization.starts_with(kScheme)) {
    return {};
  }
  return authorization.substr(kScheme.size());
}

Authorization Authorize(const DeploymentConfig& deployment,
                        const QueueConfig& queue,
                        std::string_view authorization,
                        const ConfigFreshness& freshness, TimePoint now) {
  const std::string_view key = BearerKey(authorization);
  const auto found = deployment.m_workspace_by_key.find(
      absl::string_view(key.data(), key.size()));
  const bool known =
      !key.empty() && found != deployment.m_workspace_by_key.end();
  if (queue.m_public) {
    // A call on a public queue needs no key, but with a known one it is charged
    // to the key's workspace.
    return {Code::kOk, known ? deployment.m_workspaces[found->second].m_name
                             : WorkspaceName()};
  }
  if (!IsFresh(freshness, now)) {
    return {Code::kConfigStale, {}};
  }
  if (key.empty()) {
    return {Code::kKeyMissing, {}};
  }
  if (!known) {
    return {Code::kKeyUnknown, {}};
  }
  return {Code::kOk, deployment.m_workspaces[found->second].m_name};
}

}  // namespace filbertspar
