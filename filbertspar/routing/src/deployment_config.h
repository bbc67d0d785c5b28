#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "filbertspar/base/base.h"
#include "filbertspar/job/job.h"

namespace filbertspar {

/// \brief A queue of jobs, and the host and path on which it takes calls.
struct QueueConfig {
  QueueName m_name;
  std::string m_host;
  std::string m_path_prefix;
  QueuePolicy m_policy;
  /// Time within which a call on the queue is answered.
  Duration m_call_timeout{0};
  /// Whether calls are accepted without a key.
  bool m_public = false;
};

struct PoolConfig {
  PoolName m_name;
  /// Whether its workers reject tasks that exceed their capacity.
  bool m_enforces_capacity = false;
  /// Whether it is the standby pool, whose VMs are off and cost nothing.
  bool m_standby = false;
  std::string m_health_path;
};

struct WorkspaceConfig {
  WorkspaceName m_name;
  std::vector<std::string> m_keys;
  /// Jobs per second that it may submit as its share while the fleet is full.
  double m_share_per_s = 1;
  /// Total demand of its running tasks over all workers; a resource of 0 has no
  /// limit.
  ResourceVector m_quota;
};

/// \brief Limits on the HTTP calls of callers.
struct CallLimits {
  std::size_t m_header_bytes = 16 << 10;
  std::size_t m_body_bytes = 256 << 10;
  Duration m_header_time = Seconds(3);
  Duration m_idle_time = Seconds(15);
};

/// \brief One version of the operators' configuration, with lookup tables whose
/// values are indices into its lists.
struct DeploymentConfig {
  ConfigVersion m_version;
  std::vector<QueueConfig> m_queues;
  absl::flat_hash_map<PoolName, PoolConfig> m_pools;
  std::vector<WorkspaceConfig> m_workspaces;
  CallLimits m_limits;

  /// Queues of each host, longest path prefix first.
  absl::flat_hash_map<std::string, std::vector<std::size_t>> m_queues_by_host;
  absl::flat_hash_map<std::string, std::size_t> m_workspace_by_key;
  absl::flat_hash_map<WorkspaceName, std::size_t> m_workspace_by_name;
  absl::flat_hash_map<QueueName, std::size_t> m_queue_by_name;
};

using DeploymentConfigPtr = std::shared_ptr<const DeploymentConfig>;

/// \brief Rebuilds the lookup tables from the lists.
void BuildIndex(DeploymentConfig& deployment);

/// \brief The queue on `host`, whose port is ignored, with the longest path
/// prefix that matches `path`; null if there is none.
const QueueConfig* FindQueue(const DeploymentConfig& deployment,
                             std::string_view host, std::string_view path);

/// \brief Null if there is no such queue.
const QueueConfig* FindQueue(const DeploymentConfig& deployment,
                             const QueueName& name);

/// \brief Null if there is no such workspace.
const WorkspaceConfig* FindWorkspace(const DeploymentConfig& deployment,
                                     const WorkspaceName& name);

}  // namespace filbertspar
