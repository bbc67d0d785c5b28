#include <catch2/catch.hpp>

#include "filbertspar/routing/routing.h"

namespace filbertspar {
namespace {

constexpr TimePoint kNow{Seconds(100)};

DeploymentConfig MakeDeployment() {
  DeploymentConfig deployment;
  const auto add = [&deployment](const std::string& name,
                                 const std::string& prefix, bool is_public) {
    QueueConfig queue;
    queue.m_name = QueueName(name);
    queue.m_host = "h.example";
    queue.m_path_prefix = prefix;
    queue.m_public = is_public;
    deployment.m_queues.push_back(queue);
  };
  add("short", "/a/", false);
  add("long", "/a/b/", false);
  add("open", "/open/", true);
  WorkspaceConfig workspace;
  workspace.m_name = WorkspaceName("team");
  workspace.m_keys = {"key"};
  deployment.m_workspaces.push_back(workspace);
  BuildIndex(deployment);
  return deployment;
}

ConfigFreshness Fresh() { return {kNow - Seconds(1), Seconds(3)}; }

// Guards against a call that is routed to the wrong queue.
TEST_CASE("a call goes to the queue with the longest prefix on its host") {
  const DeploymentConfig deployment = MakeDeployment();
  const auto name = [&deployment](std::string_view host,
                                  std::string_view path) {
    const QueueConfig* queue = FindQueue(deployment, host, path);
    return queue == nullptr ? std::string() : queue->m_name.Value();
  };
  CHECK(name("h.example", "/a/x") == "short");
  CHECK(name("h.example:8340", "/a/b/x") == "long");
  CHECK(name("h.example", "/c/x").empty());
  CHECK(name("other.example", "/a/x").empty());
}

// Guards against a call that is accepted with a missing, unknown or revoked
// key.
TEST_CASE("only a known key is accepted") {
  const DeploymentConfig deployment = MakeDeployment();
  const QueueConfig& queue = deployment.m_queues[0];
  const auto code = [&](std::string_view header) {
    return Authorize(deployment, queue, header, Fresh(), kNow).m_code;
  };
  CHECK(code("Bearer key") == Code::kOk);
  CHECK(code("") == Code::kKeyMissing);
  CHECK(code("key") == Code::kKeyMissing);
  CHECK(code("Bearer revoked") == Code::kKeyUnknown);
}

// Guards against a revoked key that is still accepted by a VM that cannot read
// the configuration, or that was suspended.
TEST_CASE("with a stale configuration only public queues accept calls") {
  const DeploymentConfig deployment = MakeDeployment();
  const ConfigFreshness stale{kNow - Seconds(4), Seconds(3)};
  CHECK(Authorize(deployment, deployment.m_queues[0], "Bearer key", stale, kNow)
            .m_code == Code::kConfigStale);
  CHECK(Authorize(deployment, deployment.m_queues[0], "Bearer key", {}, kNow)
            .m_code == Code::kConfigStale);
  CHECK(Authorize(deployment, deployment.m_queues[2], "", stale, kNow).m_code ==
        Code::kOk);
}

}  // namespace
}  // namespace filbertspar
