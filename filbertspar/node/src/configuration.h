#pragma once

#include <functional>
#include <map>
#include <string>

#include "filbertspar/fleetview/fleetview.h"
#include "filbertspar/node/src/event_log.h"
#include "filbertspar/node/src/store_client.h"
#include "filbertspar/routing/routing.h"

namespace filbertspar {

/// \brief Watches what operators write to the store: the configuration, whose
/// version never decreases, and the upkeep waves.
class Configuration {
 public:
  Configuration(asio::io_context& context, StoreClient& store, EventLog& log,
                Duration max_age);

  /// \brief Starts to watch; `changed` is called after each change.
  void Start(std::function<void()> changed);

  const DeploymentConfigPtr& Current() const { return m_current; }
  const std::map<std::uint64_t, UpkeepWave>& Waves() const { return m_waves; }
  ConfigFreshness Freshness() const { return m_freshness; }

 private:
  asio::awaitable<void> Follow();
  asio::awaitable<bool> ReadRows();
  void ApplyRows(const std::vector<StoreRow>& rows);
  void ApplyDeployment(const std::string& text);
  void ApplyWave(const StoreRow& row);

  asio::io_context& m_context;
  StoreClient& m_store;
  EventLog& m_log;
  std::function<void()> m_changed;
  DeploymentConfigPtr m_current;
  std::map<std::uint64_t, UpkeepWave> m_waves;
  ConfigFreshness m_freshness;
  RowVersion m_version;
};

}  // namespace filbertspar
