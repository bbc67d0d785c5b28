#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "boost/asio/io_context.hpp"
#include "filbertspar/membership/membership.h"
#include "filbertspar/peer/src/connection.h"

namespace filbertspar {

/// \brief Open connections of one process, accepted and outgoing together.
inline constexpr std::size_t kMaxPeerConnections = 4096;

/// \brief Server, outgoing connections and membership of one entry VM. Runs on
/// the thread of the io_context, which must outlive it.
class PeerLinks {
 public:
  /// Messages other than heartbeats and probes.
  using MessageHandler = std::function<void(const NodeName&, const Message&)>;
  using ChangeHandler = std::function<void(const MemberUpdate&)>;

  /// \brief `self.m_endpoint` is where to listen; port 0 lets the system
  /// choose.
  PeerLinks(asio::io_context& context, MemberUpdate self,
            MembershipOptions options, std::shared_ptr<const Secrets> secrets,
            std::uint64_t seed, MessageHandler on_message,
            ChangeHandler on_change);
  // NOLINTNEXTLINE(bugprone-exception-escape)
  ~PeerLinks();
  PeerLinks(const PeerLinks&) = delete;
  PeerLinks& operator=(const PeerLinks&) = delete;

  /// \brief Listens and starts the membership; kListenFailed on failure.
  absl::Status Start();
  /// \brief Closes all connections; nothing is called back afterwards.
  void Stop();

  /// \brief Sends on the connection in use; false when there is none to exactly
  /// this node, or the message was dropped.
  bool Send(const NodeName& node, const Message& message);

  void SetStatus(ConfigVersion version, bool reaches_store);
  void SetListed(const std::vector<ListedVm>& listed);
  void Leave();
  /// \brief Secrets of connections made from now on.
  void SetSecrets(std::shared_ptr<const Secrets> secrets);

  const Membership& State() const { return m_state; }
  const PeerCounters& Counters() const { return m_counters; }
  Endpoint LocalEndpoint() const { return m_state.m_self.m_endpoint; }
  /// \brief Peers with a connection that can send.
  std::vector<NodeName> Connected() const;
  /// \brief For tests: all present connections with the VM go silent but stay
  /// open.
  bool MuteForTest(const VmName& vm);

 private:
  struct Peer {
    std::shared_ptr<PeerConnection> m_current;
    bool m_wanted = false;
    bool m_connecting = false;
    Endpoint m_endpoint;
    int m_failures = 0;
  };

  template <typename Call>
  void Do(Call call);
  void Carry(const OpenLink& effect);
  void Carry(const CloseLink& effect);
  void Carry(const SendTo& effect);
  void Carry(const OpenProbe& effect);
  void Carry(const AdoptProbe& effect);
  void Carry(const DropProbe& effect);
  void Carry(const ReplyProbe& effect);
  void Carry(const MemberChanged& effect);

  void AcceptNext();
  std::shared_ptr<PeerConnection> Make(asio::ip::tcp::socket socket,
                                       const VmName& to, bool initiator);
  void Ready(PeerConnection& connection);
  void Received(PeerConnection& connection, const Message& message);
  void Closed(PeerConnection& connection);
  void ConnectLater(const VmName& vm, Duration wait);
  void ConnectNow(const VmName& vm);
  void Use(const VmName& vm, PeerConnection& connection);
  void Drop(std::uint64_t id);
  void ArmTimer();
  void CloseIdle();
  MessageSource SourceOf(const PeerConnection& connection) const;

  asio::io_context& m_context;
  asio::ip::tcp::acceptor m_acceptor;
  asio::steady_timer m_timer;
  Membership m_state;
  std::shared_ptr<const Secrets> m_secrets;
  MessageHandler m_on_message;
  ChangeHandler m_on_change;
  Rng m_rng;
  PeerCounters m_counters;
  std::uint64_t m_next_id = 1;
  std::map<std::uint64_t, std::shared_ptr<PeerConnection>> m_connections;
  std::map<VmName, Peer> m_peers;
  /// Probe by number, and by connection until its Hello arrived.
  std::map<std::uint64_t, std::uint64_t> m_probes;
  std::map<std::uint64_t, Probe> m_unsent_probes;
  std::map<std::uint64_t, VmName> m_outgoing;
  TimePoint m_next_idle_check{};
  /// Callbacks hold a weak reference and do nothing after Stop.
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace filbertspar
