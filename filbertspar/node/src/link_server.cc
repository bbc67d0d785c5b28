#include "filbertspar/node/src/link_server.h"

#include <algorithm>
#include <array>
#include <set>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "boost/asio/co_spawn.hpp"
#include "boost/asio/detached.hpp"
#include "boost/asio/ip/tcp.hpp"
#include "filbertspar/http/http.h"
#include "filbertspar/node/src/clock.h"
#include "filbertspar/node/src/frame_queue.h"
#include "filbertspar/node/src/random.h"

namespace filbertspar {
namespace {

using tcp = asio::ip::tcp;

constexpr std::size_t kReadBytes = 16 << 10;
constexpr Duration kAcceptRetryDelay = Milliseconds(50);
/// Bytes queued for a peer that does not read; beyond them its link is closed.
constexpr std::size_t kMaxQueuedBytes = 8 << 20;
/// Time in which a VM that connects must have identified itself, and number of
/// connections that have not: anybody may connect to the port.
constexpr Duration kHelloTimeout = Seconds(2);
constexpr std::size_t kMaxUnidentifiedLinks = 64;
/// VMs ping four times a second; one that is this late is paused or cut off.
constexpr Duration kRelayPingAge = Milliseconds(600);
/// Starts that one VM is asked to send at the same time.
constexpr std::size_t kMaxRelaysPerVm = 64;

}  // namespace

struct LinkServer::State : std::enable_shared_from_this<LinkServer::State> {
  struct Link {
    explicit Link(LinkSocket socket) : m_socket(std::move(socket)) {}
    LinkSocket m_socket;
    std::unique_ptr<Session> m_session;
    VmName m_peer;
    std::uint64_t m_incarnation = 0;
    /// Whether a message followed the Hello, which alone may be a repeated one.
    bool m_is_established = false;
    TimePoint m_accepted_at = BootNow();
    FrameQueue m_queue;
    std::size_t m_relays = 0;
    bool m_closed = false;
  };
  using LinkPtr = std::shared_ptr<Link>;

  struct PendingRelay {
    explicit PendingRelay(asio::io_context& context) : m_done(context) {}
    LinkPtr m_link;
    Signal m_done;
    std::optional<RelayedStartReply> m_reply;
    bool m_is_done = false;
  };

  State(asio::io_context& context, EventLog& log, TrafficMeter& traffic,
        Hello self, std::string secret)
      : m_context(context),
        m_log(log),
        m_traffic(traffic),
        m_acceptor(context),
        m_self(std::move(self)),
        m_secrets(std::make_shared<const Secrets>(
            Secrets{std::move(secret), std::nullopt})) {}

  asio::awaitable<void> Accept();
  asio::awaitable<void> Serve(LinkPtr link);
  asio::awaitable<void> Answer(LinkPtr link, JobCall call);
  asio::awaitable<void> WriteQueue(LinkPtr link);
  bool HandleMessage(const LinkPtr& link, const Envelope& envelope);
  void Send(const LinkPtr& link, Envelope envelope);
  void Close(const LinkPtr& link);

  LinkPtr LinkTo(const VmName& vm) const;
  /// Closes the links of other processes of the same VM: they have ended.
  void CloseLinksOfOtherProcesses(const Link& link);
  /// Closes links whose VM has not identified itself in time, and the oldest
  /// such link while there are too many.
  void CloseUnidentified();

  asio::io_context& m_context;
  EventLog& m_log;
  TrafficMeter& m_traffic;
  TcpAcceptor m_acceptor;
  Hello m_self;
  std::shared_ptr<const Secrets> m_secrets;
  std::map<std::uint64_t, std::shared_ptr<PendingRelay>> m_pending_relays;
  std::uint64_t m_last_relay = 0;
  Handler m_handler;
  std::function<bool()> m_confirmed;
  std::set<LinkPtr> m_links;
  std::map<VmName, LinkPeer> m_peers;
};

asio::awaitable<void> LinkServer::State::Accept() {
  auto self = shared_from_this();
  while (m_acceptor.is_open()) {
    auto [error, socket] = co_await m_acceptor.async_accept(kAsTuple);
    if (error == asio::error::operation_aborted) {
      co_return;
    }
    if (error) {
      co_await SleepFor(kAcceptRetryDelay);
      continue;
    }
    if (!m_handler) {
      continue;
    }
    boost::system::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    auto link = std::make_shared<Link>(std::move(socket));
    m_links.insert(link);
    CloseUnidentified();
    asio::co_spawn(m_context, Serve(link), asio::detached);
  }
}

asio::awaitable<void> LinkServer::State::Serve(LinkPtr link) {
  auto self = shared_from_this();
  Hello hello = m_self;
  hello.m_nonce = RandomNonce();
  link->m_session = std::make_unique<Session>(hello, /*initiator=*/false);
  FrameDecoder decoder(m_secrets);
  std::vector<char> buffer(kReadBytes);
  while (!link->m_closed) {
    auto [error, bytes] =
        co_await link->m_socket.async_read_some(asio::buffer(buffer), kAsTuple);
    if (error) {
      break;
    }
    m_traffic.CountReceived("link", bytes);
    std::vector<Envelope> envelopes;
    const absl::Status status =
        decoder.Feed(std::string_view(buffer.data(), bytes), envelopes);
    bool accepted = status.ok();
    for (const Envelope& envelope : envelopes) {
      accepted = accepted && HandleMessage(link, envelope);
    }
    if (!accepted) {
      m_log.Warn("link", "link_refused",
                 absl::StrCat("peer=", link->m_peer.Value()));
      break;
    }
  }
  Close(link);
}

bool LinkServer::State::HandleMessage(const LinkPtr& link,
                                      const Envelope& envelope) {
  if (!link->m_session->Accept(envelope).ok()) {
    return false;
  }
  if (std::holds_alternative<Hello>(envelope.m_message)) {
    if (!link->m_session->CanSendHello()) {
      return false;
    }
    Send(link, link->m_session->WrapHello());
    const NodeName& node = link->m_session->Peer()->m_node;
    link->m_peer = VmOf(node);
    link->m_incarnation = IncarnationOf(node);
    LinkPeer& peer = m_peers[link->m_peer];
    if (peer.m_incarnation != link->m_incarnation) {
      peer = LinkPeer();
      peer.m_incarnation = link->m_incarnation;
    }
    peer.m_connected = true;
    peer.m_last_ping_at = BootNow();
    m_log.Info("link", "link_opened",
               absl::StrCat("peer=", link->m_peer.Value()));
    return true;
  }
  if (!link->m_is_established) {
    link->m_is_established = true;
    CloseLinksOfOtherProcesses(*link);
  }
  if (const auto* ping = std::get_if<LinkPing>(&envelope.m_message)) {
    LinkPeer& peer = m_peers[link->m_peer];
    peer.m_incarnation = link->m_incarnation;
    peer.m_last_ping_at = BootNow();
    peer.m_store_age = ping->m_store_age;
    // A ping may have been held up on its way, or in a process that was
    // suspended.
    peer.m_stated_at = ping->m_stated_ms < 0
                           ? TimePoint::min()
                           : std::min(BootNow(), TimeFromMs(ping->m_stated_ms));
    peer.m_cpu_capacity = ping->m_cpu_capacity;
    peer.m_willing = ping->m_willing;
    peer.m_relays_starts = ping->m_relays_to_incarnation;
    Send(link, link->m_session->Wrap(
                   LinkPong{ping->m_number, m_confirmed && m_confirmed(),
                            ShouldAskFirst(m_traffic.Received(), BootNow()),
                            MsFromTime(BootNow())}));
    return true;
  }
  if (const auto* done = std::get_if<RelayedStartReply>(&envelope.m_message)) {
    const auto found = m_pending_relays.find(done->m_number);
    if (found != m_pending_relays.end() && found->second->m_link == link) {
      found->second->m_reply = *done;
      found->second->m_is_done = true;
      found->second->m_done.Notify();
    }
    return true;
  }
  if (const auto* call = std::get_if<JobCall>(&envelope.m_message)) {
    asio::co_spawn(m_context, Answer(link, *call), asio::detached);
    return true;
  }
  return false;
}

asio::awaitable<void> LinkServer::State::Answer(LinkPtr link, JobCall call) {
  auto self = shared_from_this();
  const std::uint64_t number = call.m_number;
  if (!m_handler) {
    co_return;
  }
  JobReply reply = co_await m_handler(link->m_peer, std::move(call));
  reply.m_number = number;
  if (!link->m_closed && link->m_session->CanSend()) {
    Send(link, link->m_session->Wrap(reply));
  }
}

void LinkServer::State::Send(const LinkPtr& link, Envelope envelope) {
  absl::StatusOr<std::string> frame = EncodeFrame(envelope, *m_secrets);
  if (!frame.ok() || link->m_queue.m_bytes > kMaxQueuedBytes) {
    m_log.Warn("link", "frame_not_sent",
               absl::StrCat("peer=", link->m_peer.Value(),
                            " queued_bytes=", link->m_queue.m_bytes));
    Close(link);
    return;
  }
  m_traffic.CountSent("link", frame->size());
  if (PushFrame(link->m_queue, *std::move(frame))) {
    asio::co_spawn(m_context, WriteQueue(link), asio::detached);
  }
}

void LinkServer::State::CloseLinksOfOtherProcesses(const Link& link) {
  const std::set<LinkPtr> links = m_links;
  for (const LinkPtr& other : links) {
    if (other->m_peer == link.m_peer &&
        other->m_incarnation != link.m_incarnation) {
      Close(other);
    }
  }
}

void LinkServer::State::CloseUnidentified() {
  std::vector<LinkPtr> unidentified;
  for (const LinkPtr& link : m_links) {
    if (link->m_peer.Empty()) {
      unidentified.push_back(link);
    }
  }
  std::sort(unidentified.begin(), unidentified.end(),
            [](const LinkPtr& a, const LinkPtr& b) {
              return a->m_accepted_at < b->m_accepted_at;
            });
  const TimePoint latest = BootNow() - kHelloTimeout;
  for (std::size_t i = 0; i < unidentified.size(); ++i) {
    if (unidentified[i]->m_accepted_at < latest ||
        unidentified.size() - i > kMaxUnidentifiedLinks) {
      Close(unidentified[i]);
    }
  }
}

LinkServer::State::LinkPtr LinkServer::State::LinkTo(const VmName& vm) const {
  for (const LinkPtr& link : m_links) {
    if (link->m_peer == vm && !link->m_closed && link->m_session->CanSend()) {
      return link;
    }
  }
  return nullptr;
}

asio::awaitable<void> LinkServer::State::WriteQueue(LinkPtr link) {
  auto self = shared_from_this();
  if (!co_await WriteFrames(link->m_socket, link->m_queue, link->m_closed)) {
    Close(link);
  }
}

void LinkServer::State::Close(const LinkPtr& link) {
  if (link->m_closed) {
    return;
  }
  link->m_closed = true;
  boost::system::error_code ignored;
  link->m_socket.close(ignored);
  m_links.erase(link);
  for (const auto& [number, pending] : m_pending_relays) {
    if (pending->m_link == link) {
      pending->m_is_done = true;
      pending->m_done.Notify();
    }
  }
  if (link->m_peer.Empty()) {
    return;
  }
  for (const LinkPtr& other : m_links) {
    if (other->m_peer == link->m_peer) {
      return;
    }
  }
  LinkPeer& peer = m_peers[link->m_peer];
  peer.m_connected = false;
  peer.m_disconnected_at = BootNow();
  m_log.Info("link", "link_closed",
             absl::StrCat("peer=", link->m_peer.Value()));
}

LinkServer::LinkServer(asio::io_context& context, EventLog& log,
                       TrafficMeter& traffic, Hello self, std::string secret)
    : m_state(std::make_shared<State>(context, log, traffic, std::move(self),
                                      std::move(secret))) {}

LinkServer::~LinkServer() { Disable(); }

absl::Status LinkServer::Listen(const Endpoint& endpoint) {
  FS_RETURN_IF_ERROR(OpenAcceptor(m_state->m_acceptor, endpoint));
  asio::co_spawn(m_state->m_context, m_state->Accept(), asio::detached);
  return absl::OkStatus();
}

void LinkServer::SetHandler(Handler handler, std::function<bool()> confirmed) {
  m_state->m_handler = std::move(handler);
  m_state->m_confirmed = std::move(confirmed);
}

void LinkServer::Disable() {
  m_state->m_handler = nullptr;
  m_state->m_confirmed = nullptr;
  const auto links = m_state->m_links;
  for (const auto& link : links) {
    m_state->Close(link);
  }
  m_state->m_peers.clear();
}

bool LinkServer::CanRelay(const VmName& vm) const {
  const auto peer = m_state->m_peers.find(vm);
  if (peer == m_state->m_peers.end() || !peer->second.m_connected ||
      !peer->second.m_willing || !peer->second.m_relays_starts ||
      BootNow() - peer->second.m_last_ping_at > kRelayPingAge) {
    return false;
  }
  const State::LinkPtr link = m_state->LinkTo(vm);
  return link != nullptr && link->m_relays < kMaxRelaysPerVm;
}

VmName LinkServer::LeastBusyRelay() const {
  VmName least_busy;
  std::size_t fewest = kMaxRelaysPerVm;
  for (const State::LinkPtr& link : m_state->m_links) {
    if (link->m_relays < fewest && CanRelay(link->m_peer)) {
      fewest = link->m_relays;
      least_busy = link->m_peer;
    }
  }
  return least_busy;
}

asio::awaitable<std::optional<RelayedStartReply>> LinkServer::Relay(
    VmName vm, RelayedStart start) {
  const std::shared_ptr<State> state = m_state;
  const State::LinkPtr link = state->LinkTo(vm);
  if (link == nullptr) {
    RelayedStartReply not_sent;
    co_return not_sent;
  }
  const std::uint64_t number = ++state->m_last_relay;
  start.m_number = number;
  const Duration wait = start.m_wait;
  auto pending = std::make_shared<State::PendingRelay>(state->m_context);
  pending->m_link = link;
  state->m_pending_relays[number] = pending;
  ++link->m_relays;
  state->Send(link, link->m_session->Wrap(std::move(start)));
  if (!pending->m_is_done) {
    co_await pending->m_done.WaitFor(wait);
  }
  --link->m_relays;
  state->m_pending_relays.erase(number);
  co_return pending->m_reply;
}

const std::map<VmName, LinkPeer>& LinkServer::Peers() const {
  return m_state->m_peers;
}

std::vector<PeerStatement> LinkServer::Statements() const {
  std::vector<PeerStatement> statements;
  for (const auto& [vm, peer] : m_state->m_peers) {
    statements.push_back(
        {peer.m_connected, peer.m_stated_at, peer.m_store_age});
  }
  return statements;
}

void LinkServer::RemovePeer(const VmName& vm) { m_state->m_peers.erase(vm); }

}  // namespace filbertspar
