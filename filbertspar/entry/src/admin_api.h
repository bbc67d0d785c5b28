#pragma once

#include <functional>
#include <string>
#include <vector>

#include "boost/asio/awaitable.hpp"
#include "filbertspar/config/config.h"
#include "filbertspar/entry/src/dispatcher.h"
#include "filbertspar/entry/src/fleet_api.h"
#include "filbertspar/entry/src/worker_directory.h"
#include "filbertspar/http/http.h"

namespace filbertspar {

/// \brief Operators' API under /admin/v1; docs/api.md lists its calls.
class AdminApi {
 public:
  /// `bootstrap_hash` is the hash of the operator key that may write the first
  /// configuration; it opens nothing once a configuration is in force.
  AdminApi(Config& config, Store& store, const WorkerDirectory& fleet,
           Dispatcher& dispatcher, std::string bootstrap_hash);
  AdminApi(const AdminApi&) = delete;
  AdminApi& operator=(const AdminApi&) = delete;

  asio::awaitable<HttpResponse> Handle(const HttpRequest& request);

  /// \brief Name of the operator whose key came with the request.
  absl::StatusOr<std::string> Check(const HttpRequest& request,
                                    Role needed) const;

 private:
  asio::awaitable<HttpResponse> Read(const HttpRequest& request,
                                     const std::vector<std::string>& segments);
  asio::awaitable<HttpResponse> ChangeConfig(
      const HttpRequest& request, const std::vector<std::string>& segments,
      std::string author);
  asio::awaitable<HttpResponse> PutDocument(const HttpRequest& request,
                                            std::string author);
  asio::awaitable<HttpResponse> RestoreVersion(const HttpRequest& request,
                                               std::string author);
  asio::awaitable<HttpResponse> GetVersion(std::string text);
  HttpResponse GetVersions() const;
  asio::awaitable<HttpResponse> GetComparison(const HttpRequest& request);
  asio::awaitable<HttpResponse> EditItem(const HttpRequest& request,
                                         std::string kind, std::string name,
                                         std::string author);
  asio::awaitable<HttpResponse> GrantKey(const HttpRequest& request,
                                         std::string author);
  asio::awaitable<HttpResponse> AddOperator(const HttpRequest& request,
                                            std::string author);
  HttpResponse GetDocument() const;
  HttpResponse GetStatus() const;
  HttpResponse GetExplanation(const std::vector<std::string>& segments) const;

  Config& m_config;
  Store& m_store;
  const WorkerDirectory& m_fleet;
  Dispatcher& m_dispatcher;
  FleetApi m_fleet_api;
  std::string m_bootstrap_hash;
};

}  // namespace filbertspar
