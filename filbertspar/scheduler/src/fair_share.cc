#include "filbertspar/scheduler/src/fair_share.h"

#include <algorithm>

namespace filbertspar::scheduler {
namespace {

/// Bucket size, as the seconds of share that it holds.
constexpr double kBurstSeconds = 1;

/// Returns jobs per second; nullopt when the workspace is unknown, which means
/// that no share applies.
std::optional<double> ShareRate(const Scheduler& scheduler,
                                const WorkspaceName& workspace) {
  if (workspace.Empty() || scheduler.m_deployment == nullptr) {
    return std::nullopt;
  }
  const WorkspaceConfig* config =
      FindWorkspace(*scheduler.m_deployment, workspace);
  if (config == nullptr) {
    return std::nullopt;
  }
  return config->m_share_per_s;
}

double BurstSize(double share) { return std::max(1.0, share * kBurstSeconds); }

double TokensAt(const ShareBucket& use, TimePoint now, double share) {
  return std::min(BurstSize(share),
                  use.m_tokens + share * ToSeconds(now - use.m_at));
}

}  // namespace

bool IsOverShare(const Scheduler& scheduler, TimePoint now,
                 const WorkspaceName& workspace) {
  const std::optional<double> share = ShareRate(scheduler, workspace);
  const auto found = scheduler.m_share_buckets.find(workspace);
  return share && found != scheduler.m_share_buckets.end() &&
         TokensAt(found->second, now, *share) < 1;
}

bool ConsumeShare(Scheduler& scheduler, TimePoint now,
                  const WorkspaceName& workspace) {
  const std::optional<double> share = ShareRate(scheduler, workspace);
  if (!share) {
    return true;
  }
  const auto [found, is_new] =
      scheduler.m_share_buckets.try_emplace(workspace, ShareBucket{});
  ShareBucket& use = found->second;
  use.m_tokens = is_new ? BurstSize(*share) : TokensAt(use, now, *share);
  use.m_at = now;
  if (use.m_tokens < 1) {
    return false;
  }
  use.m_tokens -= 1;
  return true;
}

}  // namespace filbertspar::scheduler
