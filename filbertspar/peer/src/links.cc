#include "filbertspar/peer/src/links.h"

#include <algorithm>
#include <random>
#include <utility>
#include <variant>

#include "boost/asio/ip/address.hpp"
#include "boost/asio/post.hpp"

namespace filbertspar {

using boost::system::error_code;

namespace {

constexpr Duration kFirstBackoff = Milliseconds(100);
constexpr Duration kMaxBackoff = Seconds(3);
/// The side with the larger name waits this long for the other to connect, so
/// that two connections at one time are rare.
constexpr Duration kGrace = Milliseconds(300);
/// Connections that are not in use close after this time without a frame.
constexpr Duration kIdle = Seconds(10);

/// Unpredictable, because it protects sessions against replay.
std::uint64_t Nonce() {
  std::random_device device;
  const std::uint64_t nonce =
      static_cast<std::uint64_t>(device()) << 32 | device();
  return nonce == 0 ? 1 : nonce;
}

}  // namespace

PeerLinks::PeerLinks(asio::io_context& context, MemberUpdate self,
                     MembershipOptions options,
                     std::shared_ptr<const Secrets> secrets, std::uint64_t seed,
                     MessageHandler on_message, ChangeHandler on_change)
    : m_context(context),
      m_acceptor(context),
      m_timer(context),
      m_state(std::move(self), options, seed),
      m_secrets(std::move(secrets)),
      m_on_message(std::move(on_message)),
      m_on_change(std::move(on_change)),
      m_rng(seed + 1) {}

// Closing sockets reports errors as codes.
// NOLINTNEXTLINE(bugprone-exception-escape)
PeerLinks::~PeerLinks() { Stop(); }

absl::Status PeerLinks::Start() {
  Endpoint& endpoint = m_state.m_self.m_endpoint;
  error_code error;
  const auto address = asio::ip::make_address(endpoint.m_address, error);
  const asio::ip::tcp::endpoint at(address, endpoint.m_port);
  if (!error) {
    m_acceptor.open(at.protocol(), error);
  }
  if (!error) {
    m_acceptor.set_option(asio::socket_base::reuse_address(true), error);
  }
  if (!error) {
    m_acceptor.bind(at, error);
  }
  if (!error) {
    m_acceptor.listen(asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    return Error(
        Code::kListenFailed,
        "peer: cannot listen on " + endpoint.Text() + ": " + error.message());
  }
  endpoint.m_port = m_acceptor.local_endpoint().port();
  AcceptNext();
  Do([](Membership& state, TimePoint now, MembershipEffects& effects) {
    Tick(state, now, effects);
  });
  return absl::OkStatus();
}

void PeerLinks::Stop() {
  m_alive.reset();
  error_code ignored;
  m_acceptor.close(ignored);
  m_timer.cancel();
  for (const auto& [id, connection] : m_connections) {
    connection->Close();
  }
  m_connections.clear();
  m_peers.clear();
}

template <typename Call>
void PeerLinks::Do(Call call) {
  if (!m_alive) {
    return;
  }
  MembershipEffects effects;
  call(m_state, SteadyNow(), effects);
  for (const MembershipEffect& effect : effects) {
    std::visit([this](const auto& each) { this->Carry(each); }, effect);
  }
  ArmTimer();
}

void PeerLinks::ArmTimer() {
  const TimePoint now = SteadyNow();
  const TimePoint next = std::max(NextTick(m_state), now);
  m_timer.expires_after(std::min(next - now, Duration(Seconds(1))));
  m_timer.async_wait([this, alive = std::weak_ptr(m_alive)](error_code error) {
    if (error || alive.expired()) {
      return;
    }
    CloseIdle();
    Do([](Membership& state, TimePoint at, MembershipEffects& effects) {
      Tick(state, at, effects);
    });
  });
}

void PeerLinks::AcceptNext() {
  m_acceptor.async_accept([this, alive = std::weak_ptr(m_alive)](
                              error_code error, asio::ip::tcp::socket socket) {
    if (alive.expired() || error == asio::error::operation_aborted) {
      return;
    }
    if (!error && m_connections.size() >= kMaxPeerConnections) {
      ++m_counters.m_too_many_connections;
    } else if (!error) {
      ++m_counters.m_accepted;
      Make(std::move(socket), VmName(), false)->Accept();
    }
    AcceptNext();
  });
}

std::shared_ptr<PeerConnection> PeerLinks::Make(asio::ip::tcp::socket socket,
                                                const VmName& to,
                                                bool initiator) {
  const MemberUpdate& self = m_state.m_self;
  Hello hello{self.m_node, to, self.m_zone, self.m_endpoint, Nonce()};
  PeerConnection::Handlers handlers{
      [this](PeerConnection& c) { Ready(c); },
      [this](PeerConnection& c, const Message& message) {
        Received(c, message);
      },
      [this](PeerConnection& c) { Closed(c); }};
  const std::uint64_t id = m_next_id++;
  auto connection = std::make_shared<PeerConnection>(
      id, std::move(socket), std::move(hello), initiator, m_secrets, m_counters,
      std::move(handlers));
  m_connections[id] = connection;
  return connection;
}

MessageSource PeerLinks::SourceOf(const PeerConnection& connection) const {
  const Hello& peer = *connection.Peer();
  return {connection.Id(), peer.m_node, peer.m_zone, peer.m_endpoint};
}

void PeerLinks::Use(const VmName& vm, PeerConnection& connection) {
  Peer& peer = m_peers[vm];
  peer.m_current = connection.shared_from_this();
  peer.m_failures = 0;
}

void PeerLinks::Ready(PeerConnection& connection) {
  const auto probe = m_unsent_probes.find(connection.Id());
  if (probe != m_unsent_probes.end()) {
    connection.Send(probe->second);
    m_unsent_probes.erase(probe);
    return;
  }
  const auto outgoing = m_outgoing.find(connection.Id());
  if (outgoing == m_outgoing.end()) {
    return;
  }
  const VmName vm = outgoing->second;
  m_outgoing.erase(outgoing);
  Peer& peer = m_peers[vm];
  peer.m_connecting = false;
  if (!peer.m_current || !peer.m_current->IsReady()) {
    Use(vm, connection);
    // A first heartbeat at once tells the other side that the link is used.
    Do([&vm](Membership& state, TimePoint now, MembershipEffects& effects) {
      const auto member = state.m_members.find(vm);
      if (member != state.m_members.end() && member->second.m_link) {
        member->second.m_link->m_next_send = now;
      }
      Tick(state, now, effects);
    });
  }
}

void PeerLinks::Received(PeerConnection& connection, const Message& message) {
  const MessageSource source = SourceOf(connection);
  const VmName vm = VmOf(source.m_node);
  if (const auto* reply = std::get_if<ProbeReply>(&message)) {
    Do([&](Membership& state, TimePoint now, MembershipEffects& effects) {
      ProbeAnswered(state, now, source, *reply, effects);
    });
    return;
  }
  if (std::holds_alternative<Heartbeat>(message)) {
    Use(vm, connection);
  } else if (!std::holds_alternative<Probe>(message)) {
    m_on_message(source.m_node, message);
    return;
  }
  Do([&](Membership& state, TimePoint now, MembershipEffects& effects) {
    Heard(state, now, source, message, effects);
  });
}

void PeerLinks::Closed(PeerConnection& connection) {
  if (!m_alive) {
    return;
  }
  const std::uint64_t id = connection.Id();
  m_connections.erase(id);
  m_unsent_probes.erase(id);
  const auto outgoing = m_outgoing.find(id);
  if (outgoing != m_outgoing.end()) {
    const VmName vm = outgoing->second;
    m_outgoing.erase(outgoing);
    Peer& peer = m_peers[vm];
    peer.m_connecting = false;
    const int shift = std::min(peer.m_failures++, 5);
    const Duration bound = std::min(kFirstBackoff * (1 << shift), kMaxBackoff);
    ConnectLater(vm, bound / 2 + Duration(static_cast<std::int64_t>(
                                     m_rng.Uniform() *
                                     static_cast<double>(bound.count()) / 2)));
    return;
  }
  if (!connection.Peer().has_value()) {
    return;
  }
  const VmName vm = VmOf(connection.Peer()->m_node);
  const auto peer = m_peers.find(vm);
  if (peer == m_peers.end() || peer->second.m_current.get() != &connection) {
    return;
  }
  peer->second.m_current.reset();
  Do([&vm](Membership& state, TimePoint now, MembershipEffects& effects) {
    LinkBroken(state, now, vm, effects);
  });
  ConnectLater(vm, kFirstBackoff);
}

void PeerLinks::ConnectLater(const VmName& vm, Duration wait) {
  auto timer = std::make_shared<asio::steady_timer>(m_context, wait);
  timer->async_wait(
      [this, vm, timer, alive = std::weak_ptr(m_alive)](error_code error) {
        if (!error && !alive.expired()) {
          ConnectNow(vm);
        }
      });
}

void PeerLinks::ConnectNow(const VmName& vm) {
  const auto found = m_peers.find(vm);
  if (found == m_peers.end()) {
    return;
  }
  Peer& peer = found->second;
  if (!peer.m_wanted || peer.m_connecting ||
      (peer.m_current && peer.m_current->IsReady()) ||
      m_connections.size() >= kMaxPeerConnections) {
    return;
  }
  peer.m_connecting = true;
  const auto connection = Make(asio::ip::tcp::socket(m_context), vm, true);
  m_outgoing[connection->Id()] = vm;
  connection->Connect(peer.m_endpoint);
}

void PeerLinks::Carry(const OpenLink& effect) {
  Peer& peer = m_peers[effect.m_vm];
  peer.m_wanted = true;
  peer.m_endpoint = effect.m_endpoint;
  ConnectLater(effect.m_vm, VmOf(m_state.m_self.m_node) < effect.m_vm
                                ? Duration(0)
                                : kGrace);
}

void PeerLinks::Carry(const CloseLink& effect) {
  const auto peer = m_peers.find(effect.m_vm);
  if (peer == m_peers.end()) {
    return;
  }
  if (peer->second.m_current) {
    Drop(peer->second.m_current->Id());
  }
  m_peers.erase(effect.m_vm);
}

void PeerLinks::Carry(const SendTo& effect) {
  const auto peer = m_peers.find(effect.m_vm);
  if (peer != m_peers.end() && peer->second.m_current) {
    peer->second.m_current->Send(effect.m_message);
  }
}

void PeerLinks::Carry(const OpenProbe& effect) {
  if (m_connections.size() >= kMaxPeerConnections) {
    ++m_counters.m_too_many_connections;
    return;
  }
  const auto connection =
      Make(asio::ip::tcp::socket(m_context), effect.m_vm, true);
  m_probes[effect.m_probe.m_number] = connection->Id();
  m_unsent_probes[connection->Id()] = effect.m_probe;
  connection->Connect(effect.m_endpoint);
}

void PeerLinks::Carry(const AdoptProbe& effect) {
  const auto probe = m_probes.find(effect.m_number);
  if (probe == m_probes.end() || !m_connections.contains(probe->second)) {
    return;
  }
  const auto adopted = m_connections.at(probe->second);
  m_probes.erase(probe);
  Peer& peer = m_peers[effect.m_vm];
  const auto old = std::exchange(peer.m_current, adopted);
  if (old && old != adopted) {
    Drop(old->Id());
  }
}

void PeerLinks::Carry(const DropProbe& effect) {
  const auto probe = m_probes.find(effect.m_number);
  if (probe != m_probes.end()) {
    const std::uint64_t id = probe->second;
    m_probes.erase(probe);
    Drop(id);
  }
}

void PeerLinks::Carry(const ReplyProbe& effect) {
  const auto connection = m_connections.find(effect.m_connection);
  if (connection != m_connections.end()) {
    connection->second->Send(effect.m_reply);
  }
}

void PeerLinks::Carry(const MemberChanged& effect) {
  m_on_change(effect.m_update);
}

void PeerLinks::Drop(std::uint64_t id) {
  const auto found = m_connections.find(id);
  if (found == m_connections.end()) {
    return;
  }
  found->second->Close();
  m_connections.erase(found);
  m_unsent_probes.erase(id);
}

void PeerLinks::CloseIdle() {
  const TimePoint now = SteadyNow();
  if (now < m_next_idle_check) {
    return;
  }
  m_next_idle_check = now + Seconds(1);
  std::vector<std::uint64_t> idle;
  for (const auto& each_connection : m_connections) {
    const std::uint64_t id = each_connection.first;
    const auto& connection = each_connection.second;
    const bool in_use =
        m_outgoing.contains(id) ||
        std::any_of(m_peers.begin(), m_peers.end(), [&](const auto& each) {
          return each.second.m_current == connection;
        });
    if (!in_use && now - connection->LastReceived() > kIdle) {
      idle.push_back(id);
    }
  }
  for (const std::uint64_t id : idle) {
    Drop(id);
  }
}

bool PeerLinks::Send(const NodeName& node, const Message& message) {
  const auto peer = m_peers.find(VmOf(node));
  return peer != m_peers.end() && peer->second.m_current &&
         peer->second.m_current->Peer().has_value() &&
         peer->second.m_current->Peer()->m_node == node &&
         peer->second.m_current->Send(message);
}

void PeerLinks::SetStatus(ConfigVersion version, bool reaches_store) {
  Do([=](Membership& state, TimePoint now, MembershipEffects& effects) {
    filbertspar::SetStatus(state, now, version, reaches_store, effects);
  });
}

void PeerLinks::SetListed(const std::vector<ListedVm>& listed) {
  Do([&](Membership& state, TimePoint now, MembershipEffects& /*effects*/) {
    filbertspar::SetListed(state, now, listed);
  });
}

void PeerLinks::Leave() {
  Do([](Membership& state, TimePoint now, MembershipEffects& effects) {
    filbertspar::Leave(state, now, effects);
  });
}

void PeerLinks::SetSecrets(std::shared_ptr<const Secrets> secrets) {
  m_secrets = std::move(secrets);
}

std::vector<NodeName> PeerLinks::Connected() const {
  std::vector<NodeName> nodes;
  for (const auto& [vm, peer] : m_peers) {
    if (peer.m_current && peer.m_current->IsReady()) {
      nodes.push_back(peer.m_current->Peer()->m_node);
    }
  }
  return nodes;
}

bool PeerLinks::MuteForTest(const VmName& vm) {
  bool found = false;
  for (const auto& each : m_connections) {
    const std::optional<Hello>& peer = each.second->Peer();
    if (peer.has_value() && VmOf(peer->m_node) == vm) {
      each.second->Mute();
      found = true;
    }
  }
  return found;
}

}  // namespace filbertspar
