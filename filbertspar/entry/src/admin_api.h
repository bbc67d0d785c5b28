#pragma once

#include <string>
#include <vector>

#include "boost/asio/awaitable.hpp"
#include "filbertspar/entry/src/config.h"
#include "filbertspar/entry/src/dispatcher.h"
#include "filbertspar/entry/src/fleet_view.h"
#include "filbertspar/http/http.h"

namespace filbertspar {

/// \brief Operators' API under /admin/v1; docs/api.md lists its calls.
class AdminApi {
 public:
  /// `bootstrap_hash` is the hash of the operator key that may write the first
  /// configuration; it opens nothing once a configuration is in force.
  AdminApi(Config& config, Store& store, const FleetView& fleet,
           Dispatcher& dispatcher, std::string bootstrap_hash);
  AdminApi(const AdminApi&) = delete;
  AdminApi& operator=(const AdminApi&) = delete;

  asio::awaitable<HttpResponse> Handle(const HttpRequest& request);

 private:
  absl::Status Check(const HttpRequest& request, Role needed) const;
  asio::awaitable<HttpResponse> PutDocument(const HttpRequest& request);
  asio::awaitable<HttpResponse> GetVersion(std::string_view version);
  asio::awaitable<HttpResponse> EditItem(const HttpRequest& request,
                                         std::string kind, std::string name);
  asio::awaitable<HttpResponse> GrantKey(const HttpRequest& request);
  asio::awaitable<HttpResponse> AddOperator(const HttpRequest& request);
  asio::awaitable<HttpResponse> PutVm(const HttpRequest& request,
                                      std::string name);
  asio::awaitable<HttpResponse> SetVmState(const HttpRequest& request,
                                           std::string name, VmState from,
                                           VmState to);
  HttpResponse GetDocument() const;
  HttpResponse GetVms() const;
  HttpResponse GetStatus() const;
  HttpResponse GetExplanation(const std::vector<std::string>& segments) const;

  Config& m_config;
  Store& m_store;
  const FleetView& m_fleet;
  Dispatcher& m_dispatcher;
  std::string m_bootstrap_hash;
};

}  // namespace filbertspar
