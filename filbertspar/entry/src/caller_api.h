#pragma once

#include <string>

#include "absl/container/flat_hash_map.h"
#include "boost/asio/awaitable.hpp"
#include "filbertspar/config/config.h"
#include "filbertspar/entry/src/dispatcher.h"
#include "filbertspar/http/http.h"
#include "filbertspar/metrics/metrics.h"

namespace filbertspar {

/// \brief Callers' API: submit, query and cancel jobs; health and readiness.
class CallerApi {
 public:
  CallerApi(Config& config, Dispatcher& dispatcher, RequestMetrics& metrics)
      : m_config(config), m_dispatcher(dispatcher), m_metrics(metrics) {}
  CallerApi(const CallerApi&) = delete;
  CallerApi& operator=(const CallerApi&) = delete;

  asio::awaitable<HttpResponse> Handle(const HttpRequest& request);

  /// \brief Makes /readyz fail, so that the balancer sends no more callers.
  void SetUnready() { m_ready = false; }

 private:
  /// Team and request of a caller's own id; kept as long as the engine can
  /// answer queries.
  struct Alias {
    TeamName m_team;
    RequestId m_request;
  };

  asio::awaitable<HttpResponse> SubmitJob(const HttpRequest& request);
  /// Answers a job; sets team, class and code of the sample as it learns them.
  asio::awaitable<HttpResponse> RunJob(const HttpRequest& request,
                                       RequestSample& sample);
  HttpResponse QueryJob(const HttpRequest& request, std::string_view id);
  HttpResponse CancelJob(const HttpRequest& request, std::string_view id);
  HttpResponse Ready() const;
  absl::StatusOr<RequestId> FindOwn(const HttpRequest& request,
                                    std::string_view id);
  void Remember(const TeamName& team, const std::string& id, RequestId request);

  Config& m_config;
  Dispatcher& m_dispatcher;
  RequestMetrics& m_metrics;
  bool m_ready = true;
  absl::flat_hash_map<std::string, RequestId> m_aliases;
  std::deque<std::string> m_alias_order;
  absl::flat_hash_map<RequestId, TeamName> m_team_of;
  std::deque<RequestId> m_team_order;
};

/// \brief Body of an answer to a caller.
HttpResponse JobResponse(RequestId request, Code code, const Body& body);

}  // namespace filbertspar
