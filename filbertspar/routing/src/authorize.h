#pragma once

#include <optional>
#include <string_view>

#include "filbertspar/routing/src/deployment_config.h"

namespace filbertspar {

/// \brief Age of this VM's knowledge of the configuration and its bound.
struct ConfigFreshness {
  /// When the last answered read of the configuration was sent, on a clock
  /// that also counts while the VM is suspended.
  TimePoint m_confirmed_at = TimePoint::min();
  /// Largest age at which keys are still accepted.
  Duration m_max_age{0};
};

inline bool IsFresh(const ConfigFreshness& freshness, TimePoint now) {
  return freshness.m_confirmed_at != TimePoint::min() &&
         now - freshness.m_confirmed_at < freshness.m_max_age;
}

/// \brief Whose work a call is: kOk with the workspace (empty for a caller of
/// an open queue without a key), kKeyMissing, kKeyUnknown or kConfigStale.
struct Authorization {
  Code m_code = Code::kOk;
  WorkspaceName m_workspace;
};

/// \brief Decides by the key alone; `authorization` is the header's value.
///
/// With a stale configuration no key is accepted, since it may have been
/// revoked meanwhile; open queues go on.
Authorization Authorize(const DeploymentConfig& deployment,
                        const QueueConfig& queue,
                        std::string_view authorization,
                        const ConfigFreshness& freshness, TimePoint now);

/// \brief Part of the header value after "Bearer "; empty for another form.
std::string_view BearerKey(std::string_view authorization);

}  // namespace filbertspar
