#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "filbertspar/capacity/capacity.h"
#include "filbertspar/node/src/configuration.h"
#include "filbertspar/node/src/journal.h"
#include "filbertspar/node/src/options.h"
#include "filbertspar/upkeep/upkeep.h"

namespace filbertspar {

/// \brief Manages the VMs for the owner: reads the VM list, orders upkeep
/// within the operators' waves and moves VMs to pools with waiting work.
class VmManager : public std::enable_shared_from_this<VmManager> {
 public:
  struct Parts {
    asio::io_context& m_context;
    const NodeOptions& m_options;
    HttpClient& m_client;
    StoreClient& m_store;
    Configuration& m_configuration;
    MetricsBook& m_metrics;
    EventLog& m_log;
    scheduler::Scheduler& m_scheduler;
    Journal& m_journal;
  };
  struct Hooks {
    /// Whether the store confirmed the ownership recently. Orders to VMs are
    /// not fenced everywhere, so an owner without confirmation sends none.
    std::function<bool()> m_is_confirmed;
    std::function<void()> m_state_changed;
  };

  VmManager(const Parts& parts, Hooks hooks);
  void Start();
  void Stop() { m_running = false; }

 private:
  /// Table of the VMs that have had their upkeep, by wave.
  static constexpr const char* kWaveTable = "filbertspar_waves";
  static constexpr Duration kOrderTimeout = Milliseconds(800);

  asio::awaitable<void> Run();
  asio::awaitable<bool> ReadOrderTimes();
  asio::awaitable<bool> ReadDoneVms();
  asio::awaitable<bool> ReadVmList();
  asio::awaitable<void> OrderUpkeep(upkeep::Plan::Order order);
  asio::awaitable<void> OrderMove(capacity::Move move, std::string kind);
  asio::awaitable<bool> ReadStatusVersion(StoreKey key, upkeep::Wave& wave);
  asio::awaitable<void> WriteWaveStatus();
  void PlanMoves(const upkeep::Plan& plan);
  /// \brief Updates the cores that are moving into each pool, which admission
  /// counts.
  void UpdateIncomingCores();
  void LogPoolLoads(const std::vector<capacity::PoolLoad>& loads,
                    const std::vector<capacity::VmView>& views);
  std::vector<capacity::PoolLoad> PoolLoads() const;
  std::vector<capacity::VmView> VmViews(const upkeep::Plan& plan) const;
  upkeep::VmLoad ComputeVmLoad(const VmRecord& vm) const;
  void UpdateExpectedWorkers();
  void ApplyPlan(const upkeep::Plan& plan);
  /// \brief Records an order to the VM in the store before it is sent, so that
  /// the next owner sends the VM none until the holder's time to live has
  /// passed. False: no order may be sent now.
  asio::awaitable<bool> RecordOrder(VmName vm);
  /// \brief Whether the term goes on and the store confirmed it recently.
  bool IsConfirmed() const;
  bool CanSendOrder(const VmName& vm) const;
  /// \brief How long after an order another holder must send the VM none.
  Duration HolderTime() const;
  /// \brief How long after the record of an order its VM may be away.
  Duration LongestDownTime() const;

  Parts m_parts;
  Hooks m_hooks;
  upkeep::State m_upkeep_state;
  capacity::State m_capacity_state;
  capacity::Policy m_policy;
  /// The owner's share of the order rate to VMs.
  TokenBucket m_order_rate;
  /// Workers of VMs that were ordered to move, with the time of the order.
  std::map<WorkerName, TimePoint> m_moved_workers;
  /// Time of the last order to each VM, in milliseconds of the store's clock.
  upkeep::OrderTimes m_order_times_ms;
  /// VMs that a previous owner sent orders to recently, with the time until
  /// which they receive no more.
  std::map<VmName, TimePoint> m_no_orders_until;
  TimePoint m_no_orders_before = TimePoint::min();
  TimePoint m_loads_logged_at = TimePoint::min();
  bool m_running = true;
};

}  // namespace filbertspar
