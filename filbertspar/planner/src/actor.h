#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "boost/asio/awaitable.hpp"
#include "boost/asio/io_context.hpp"
#include "boost/asio/steady_timer.hpp"
#include "filbertspar/lease/lease.h"
#include "filbertspar/store/store.h"

namespace filbertspar {

/// \brief Shell of a single-actor duty: keeps its lease row and writes rows
/// under its fence.
class Actor {
 public:
  using ReportHandler = std::function<void(const FencedWriteReport&)>;

  Actor(asio::io_context& context, Store& store, const std::string& duty,
        const NodeName& node, std::uint64_t seed);
  Actor(const Actor&) = delete;
  Actor& operator=(const Actor&) = delete;

  /// \brief Called when the duty is taken and when it is lost.
  void OnTaken(std::function<void()> handler) { m_taken = std::move(handler); }
  void OnLost(std::function<void()> handler) { m_lost = std::move(handler); }
  void Start() { Schedule(); }

  bool Holds() const { return IsHolder(m_lease); }
  /// \brief Whether things that the table does not fence may be changed.
  bool MayActNow() const { return CanActOutsideStore(m_lease, SteadyNow()); }

  /// \brief Writes rows only while the duty is held; the handler gets the
  /// final report.
  void Write(std::vector<RowWrite> rows, ReportHandler handler);

 private:
  void Apply(LeaseEffects effects);
  void Carry(const ReadLease& read);
  void Carry(WriteLease& write);
  void Carry(const LeaseAcquired& taken);
  void Carry(const LeaseLost& lost);
  void Carry(const FencedWriteReport& report);
  asio::awaitable<void> RunRead();
  void Schedule();

  asio::io_context& m_context;
  Store& m_store;
  Lease m_lease;
  std::function<void()> m_taken;
  std::function<void()> m_lost;
  asio::steady_timer m_timer;
  TimePoint m_timer_at = TimePoint::max();
  std::uint64_t m_last_write = 0;
  std::map<FencedWriteId, ReportHandler> m_writes;
};

}  // namespace filbertspar
