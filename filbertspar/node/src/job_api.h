#pragma once

#include <string>

#include "filbertspar/http/http.h"
#include "filbertspar/journal/journal.h"
#include "filbertspar/node/src/configuration.h"
#include "filbertspar/node/src/router.h"
#include "filbertspar/node/src/start_relay.h"

namespace filbertspar {

/// \brief HTTP API for callers: finds the queue, checks the caller's key and
/// routes the call to the owner of the jobs.
class JobApi {
 public:
  JobApi(Configuration& configuration, Router& router, StartRelay& relay,
         MetricsBook& metrics, EventLog& log, std::int64_t row_bytes)
      : m_configuration(configuration),
        m_router(router),
        m_relay(relay),
        m_metrics(metrics),
        m_log(log),
        m_max_job_bytes(MaxValueBytes(MaxPartBytes(row_bytes))) {}

  asio::awaitable<HttpResponse> Handle(const HttpRequest& request);

 private:
  struct Target {
    const QueueConfig* m_queue = nullptr;
    WorkspaceName m_workspace;
    std::string m_job;
  };

  asio::awaitable<HttpResponse> HandleJob(const HttpRequest& request,
                                          const DeploymentConfig& deployment,
                                          const Target& target);
  absl::StatusOr<std::string> JobRow(const HttpRequest& request,
                                     const Target& target) const;
  HttpResponse Refuse(Code code, std::string_view message,
                      Duration retry_after = Duration(0));

  Configuration& m_configuration;
  Router& m_router;
  StartRelay& m_relay;
  MetricsBook& m_metrics;
  EventLog& m_log;
  /// Largest encoded job that the store takes, in several rows.
  std::size_t m_max_job_bytes;
};

}  // namespace filbertspar
