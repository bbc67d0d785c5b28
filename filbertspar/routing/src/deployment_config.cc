#include "filbertspar/routing/src/deployment_config.h"

#include <algorithm>

namespace filbertspar {

void BuildIndex(DeploymentConfig& deployment) {
  deployment.m_queues_by_host.clear();
  deployment.m_queue_by_name.clear();
  deployment.m_workspace_by_key.clear();
  deployment.m_workspace_by_name.clear();
  for (std::size_t i = 0; i < deployment.m_queues.size(); ++i) {
    deployment.m_queues_by_host[deployment.m_queues[i].m_host].push_back(i);
    deployment.m_queue_by_name[deployment.m_queues[i].m_name] = i;
  }
  for (auto& [host, queues] : deployment.m_queues_by_host) {
    std::stable_sort(queues.begin(), queues.end(),
                     [&](std::size_t a, std::size_t b) {
                       return deployment.m_queues[a].m_path_prefix.size() >
                              deployment.m_queues[b].m_path_prefix.size();
                     });
  }
  for (std::size_t i = 0; i < deployment.m_workspaces.size(); ++i) {
    deployment.m_workspace_by_name[deployment.m_workspaces[i].m_name] = i;
    for (const std::string& key : deployment.m_workspaces[i].m_keys) {
      deployment.m_workspace_by_key[key] = i;
    }
  }
}

const QueueConfig* FindQueue(const DeploymentConfig& deployment,
                             std::string_view host, std::string_view path) {
  const std::string_view name = host.substr(0, host.find(':'));
  const auto found = deployment.m_queues_by_host.find(
      absl::string_view(name.data(), name.size()));
  if (found == deployment.m_queues_by_host.end()) {
    return nullptr;
  }
  for (const std::size_t index : found->second) {
    const QueueConfig& queue = deployment.m_queues[index];
    if (path.starts_with(queue.m_path_prefix)) {
      return &queue;
    }
  }
  return nullptr;
}

const QueueConfig* FindQueue(const DeploymentConfig& deployment,
                             const QueueName& name) {
  const auto found = deployment.m_queue_by_name.find(name);
  return found == deployment.m_queue_by_name.end()
             ? nullptr
             : &deployment.m_queues[found->second];
}

const WorkspaceConfig* FindWorkspace(const DeploymentConfig& deployment,
                                     const WorkspaceName& name) {
  const auto found = deployment.m_workspace_by_name.find(name);
  return found == deployment.m_workspace_by_name.end()
             ? nullptr
             : &deployment.m_workspaces[found->second];
}

}  // namespace filbertspar
