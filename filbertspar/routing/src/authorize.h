#pragma once

#include <optional>
#include <string_view>

#include "filbertspar/routing/src/deployment_config.h"

namespace filbertspar {

/// \brief When this VM last confirmed its configuration, and for how long that
/// is enough to accept keys.
struct ConfigFreshness {
  /// When the last successful read of the configuration was sent, on a clock
  /// that also advances while the VM is suspended.
  TimePoint m_confirmed_at = TimePoint::min();
  /// Keys are accepted while the configuration is younger than this.
  Duration m_max_age{0};
};

/// \brief Whether the configuration was read and is younger than its maximum
/// age.
inline bool IsFresh(const ConfigFreshness& freshness, TimePoint now) {
  return freshness.m_confirmed_at != TimePoint::min() &&
         now - freshness.m_confirmed_at < freshness.m_max_age;
}

/// \brief Outcome for a call: kOk with the workspace that it is charged to
/// (empty for a call without a known key on a public queue), kKeyMissing,
/// kKeyUnknown or kConfigStale.
struct Authorization {
  Code m_code = Code::kOk;
  WorkspaceName m_workspace;
};

/// \brief Authorizes a call by its key alone; `authorization` is the value of
/// the Authorization header.
///
/// With a stale configuration no key is accepted, because it may have been
/// revoked in the meantime. Public queues stay available.
Authorization Authorize(const DeploymentConfig& deployment,
                        const QueueConfig& queue,
                        std::string_view authorization,
                        const ConfigFreshness& freshness, TimePoint now);

/// \brief The part of the header value after "Bearer "; empty if the value does
/// not start with it.
std::string_view BearerKey(std::string_view authorization);

}  // namespace filbertspar
