#pragma once

#include <functional>
#include <string>
#include <vector>

#include "boost/asio/awaitable.hpp"
#include "filbertspar/config/config.h"
#include "filbertspar/fleet/fleet.h"
#include "filbertspar/http/http.h"
#include "filbertspar/planner/planner.h"
#include "filbertspar/store/store.h"

namespace filbertspar {

/// \brief Operators' calls on VMs, drains, moves and waves.
///
/// Each change is one conditional write over the VM row and its budget rows,
/// so operators and the planner cannot pass a budget together.
class FleetApi {
 public:
  FleetApi(Config& config, Store& store)
      : m_config(config), m_store(store), m_tables(store) {}
  FleetApi(const FleetApi&) = delete;
  FleetApi& operator=(const FleetApi&) = delete;

  /// \brief Whether the first path segment is one of this class.
  static bool Serves(const std::string& kind);

  asio::awaitable<HttpResponse> Handle(const HttpRequest& request,
                                       std::vector<std::string> segments,
                                       std::string author);

 private:
  using Plan = std::function<ChangePlan(const FleetView&, const Catalogue&)>;

  asio::awaitable<HttpResponse> Register(const HttpRequest& request,
                                         std::string name);
  asio::awaitable<HttpResponse> Drain(const HttpRequest& request,
                                      std::string name);
  asio::awaitable<HttpResponse> PutWave(const HttpRequest& request,
                                        std::string name, std::string author);
  asio::awaitable<HttpResponse> ListVms();
  asio::awaitable<HttpResponse> ListBudgets();
  asio::awaitable<HttpResponse> ListWaves();
  asio::awaitable<HttpResponse> Change(Plan plan);
  asio::awaitable<absl::Status> Refresh();
  asio::awaitable<absl::Status> RefreshForList();

  Config& m_config;
  Store& m_store;
  FleetTables m_tables;
  FleetView m_view;
  TimePoint m_read_at;
};

}  // namespace filbertspar
