#pragma once

#include <deque>
#include <map>
#include <memory>
#include <vector>

#include "boost/asio/awaitable.hpp"
#include "boost/asio/io_context.hpp"
#include "filbertspar/config/config.h"
#include "filbertspar/entry/src/dispatcher.h"
#include "filbertspar/entry/src/grant_keeper.h"
#include "filbertspar/entry/src/options.h"
#include "filbertspar/peer/peer.h"
#include "filbertspar/store/store.h"

namespace filbertspar {

/// \brief What this entry VM exchanges with the others: configuration offers,
/// use and demand, forwarded requests, and who lives.
class Peers {
 public:
  Peers(asio::io_context& context, const EntryOptions& options,
        const NodeName& node, std::shared_ptr<const Secrets> secrets,
        std::uint64_t seed, Store& store, Config& config,
        Dispatcher& dispatcher, GrantKeeper& grants,
        const WorkerDirectory& workers);
  Peers(const Peers&) = delete;
  Peers& operator=(const Peers&) = delete;

  absl::Status Start();
  void Leave() { m_links.Leave(); }
  void Stop() { m_links.Stop(); }
  const PeerLinks& Links() const { return m_links; }

  /// \brief A request of a peer and the id it got here.
  struct TakenOver {
    RequestId m_origin;
    RequestId m_request;
  };
  /// \brief The last requests taken over from peers, oldest first.
  const std::deque<TakenOver>& LastTakenOver() const { return m_taken_over; }

 private:
  struct PendingForward {
    NodeName m_peer;
    TimePoint m_give_up;
  };

  void Received(const NodeName& peer, const Message& message);
  void Take(const NodeName& peer, const ConfigOffer& offer);
  void Take(const NodeName& peer, const ConfigFetch& fetch);
  void Take(const NodeName& peer, const UseSummary& summary);
  void Take(const NodeName& peer, const Forward& forward);
  void Take(const NodeName& peer, const ForwardReply& reply);
  void Changed(const MemberUpdate& update);
  void SendForward(const ForwardRequest& request);
  asio::awaitable<void> RunForwarded(NodeName peer, Forward forward);
  void SettleForward(const ForwardReport& report);
  asio::awaitable<void> RunRounds();
  asio::awaitable<void> PollList();
  void SendUse();
  void ReportFreshness();
  void ExpireForwards();

  asio::io_context& m_context;
  const EntryOptions& m_options;
  Store& m_store;
  Config& m_config;
  Dispatcher& m_dispatcher;
  GrantKeeper& m_grants;
  const WorkerDirectory& m_workers;
  NodeName m_node;
  PeerLinks m_links;
  std::map<NodeName, std::vector<PeerUse>> m_use;
  std::map<NodeName, TimePoint> m_use_at;
  std::map<RequestId, PendingForward> m_forwards;
  /// Node that is live on each VM, to see when a newer one replaces it.
  std::map<VmName, NodeName> m_live;
  std::deque<TakenOver> m_taken_over;
  TimePoint m_last_round;
  TimePoint m_paused_until;
};

}  // namespace filbertspar
