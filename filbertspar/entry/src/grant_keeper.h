#pragma once

#include <map>

#include "boost/asio/awaitable.hpp"
#include "boost/asio/io_context.hpp"
#include "boost/asio/steady_timer.hpp"
#include "filbertspar/entry/src/dispatcher.h"
#include "filbertspar/grant/grant.h"
#include "filbertspar/store/store.h"

namespace filbertspar {

/// \brief Shell of the grant library: tells it what the engine uses, carries
/// out its reads and writes, and gives the engine the units it may use.
class GrantKeeper {
 public:
  GrantKeeper(asio::io_context& context, Store& store, Dispatcher& dispatcher,
              const NodeName& node, std::uint64_t seed);
  GrantKeeper(const GrantKeeper&) = delete;
  GrantKeeper& operator=(const GrantKeeper&) = delete;

  void Start();
  void SetCatalogue(const Catalogue& catalogue);

  /// \brief Brings the next round forward when a team has work and no unit.
  void Want(const WantGrant& want);

  /// \brief From now on units that end are returned and none is asked for.
  void BeginStop() { m_stopping = true; }
  /// \brief Units that this process holds in the table.
  std::int64_t HeldUnits() const;

  /// \brief Takes in an event of the peers.
  template <typename Event>
  void Update(Event event) {
    SyncUse();
    GrantEffects effects;
    event(m_grants, SteadyNow(), effects);
    Apply(std::move(effects));
  }

 private:
  void SyncUse();
  void Apply(GrantEffects effects);
  void PushUnits();
  asio::awaitable<void> ReadChanges(std::uint64_t since);
  void Write(const WriteGrant& write);
  void Schedule();

  asio::io_context& m_context;
  Store& m_store;
  Dispatcher& m_dispatcher;
  Grants m_grants;
  asio::steady_timer m_timer;
  TimePoint m_timer_at = TimePoint::max();
  TimePoint m_last_round;
  bool m_stopping = false;
  /// Units in use that the grant library was told of.
  std::map<TeamName, std::int64_t> m_told;
  /// Units that the engine was told of.
  std::map<TeamName, std::int64_t> m_pushed;
};

}  // namespace filbertspar
