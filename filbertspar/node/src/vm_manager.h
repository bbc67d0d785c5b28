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

/// \brief The owner's dealings with VMs: reads their list, has their upkeep
/// done within the operators' waves, and moves them to where work waits.
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
    /// Whether the store confirmed the ownership lately. Orders to VMs are
    /// not fenced everywhere, so an owner in doubt gives none.
    std::function<bool()> m_is_confirmed;
    std::function<void()> m_changed;
  };

  VmManager(const Parts& parts, Hooks hooks);
  void Start();
  void Stop() { m_running = false; }

 private:
  asio::awaitable<void> Run();
  asio::awaitable<bool> ReadOrders();
  asio::awaitable<bool> ReadDone();
  asio::awaitable<bool> ReadList();
  asio::awaitable<void> OrderUpkeep(upkeep::Plan::Order order);
  asio::awaitable<void> OrderMove(capacity::Move move, std::string kind);
  asio::awaitable<void> ShowStatus();
  void PlanMoves(const upkeep::Plan& plan);
  /// \brief Lets the admission count VMs that are on their way.
  void TellIncoming();
  void LogLoads(const std::vector<capacity::PoolLoad>& loads,
                const std::vector<capacity::VmView>& views);
  std::vector<capacity::PoolLoad> PoolLoads() const;
  std::vector<capacity::VmView> VmViews(const upkeep::Plan& plan) const;
  upkeep::VmLoad FactsOf(const VmRecord& vm) const;
  void TakeRoster();
  void ApplyPlan(const upkeep::Plan& plan);
  /// \brief Stores that the VM is ordered about, so that a successor leaves it
  /// alone for a while; false when it may not be ordered now.
  asio::awaitable<bool> Announce(VmName vm);
  bool MayOrder(const VmName& vm) const;

  Parts m_parts;
  Hooks m_hooks;
  TimePoint m_began_at;
  upkeep::State m_state;
  capacity::State m_moves;
  capacity::Policy m_policy;
  /// Part of the shared rate of orders to VMs.
  TokenBucket m_order_rate;
  /// Workers of VMs that were ordered to move, and since when.
  std::map<WorkerName, TimePoint> m_moved_workers;
  /// When each VM was last ordered about, by the store's clock.
  std::map<VmName, std::int64_t> m_ordered_ms;
  /// VMs that an earlier holder ordered about lately, and until when they are
  /// left alone.
  std::map<VmName, TimePoint> m_left_alone;
  TimePoint m_loads_logged_at = TimePoint::min();
  bool m_running = true;
};

}  // namespace filbertspar
