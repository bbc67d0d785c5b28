#pragma once

#include <vector>

#include "boost/asio/awaitable.hpp"
#include "filbertspar/http/http.h"
#include "filbertspar/request/request.h"
#include "filbertspar/settings/settings.h"

namespace filbertspar {

/// \brief The worker agent's protocol over HTTP.
class WorkerClient {
 public:
  explicit WorkerClient(HttpClient& client) : m_client(client) {}

  /// \brief Runs the attempt and reports its end as the worker told it.
  asio::awaitable<AttemptReport> Run(Endpoint worker, StartAttempt attempt);
  /// \brief Asks what became of an attempt.
  asio::awaitable<QueryReport> Query(Endpoint worker, AttemptId attempt,
                                     RequestId request);
  asio::awaitable<void> Stop(Endpoint worker, AttemptId attempt);
  asio::awaitable<void> Renew(Endpoint worker, std::vector<AttemptId> attempts,
                              Duration lease);

 private:
  HttpClient& m_client;
};

}  // namespace filbertspar
