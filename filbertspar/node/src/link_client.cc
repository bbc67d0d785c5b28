#include "filbertspar/node/src/link_client.h"

#include <deque>
#include <map>
#include <utility>

#include "absl/strings/str_cat.h"
#include "boost/asio/co_spawn.hpp"
#include "boost/asio/detached.hpp"
#include "boost/asio/ip/tcp.hpp"
#include "filbertspar/node/src/clock.h"
#include "filbertspar/node/src/frame_queue.h"
#include "filbertspar/node/src/random.h"

namespace filbertspar {
namespace {

using tcp = asio::ip::tcp;

constexpr std::size_t kReadBytes = 16 << 10;
constexpr Duration kPingPeriod = Milliseconds(250);
/// Time without a received message after which the link is closed and
/// reopened.
constexpr Duration kSilenceTimeout = Milliseconds(750);
/// Time without a received message after which the owner counts as late.
constexpr Duration kLateTimeout = Milliseconds(400);
constexpr Duration kConnectTimeout = Milliseconds(500);
constexpr Duration kRetryDelay = Milliseconds(100);

}  // namespace

struct LinkClient::State : std::enable_shared_from_this<LinkClient::State> {
  struct Link {
    Link(asio::io_context& context, std::shared_ptr<const Secrets> secrets)
        : m_socket(context), m_secrets(std::move(secrets)) {}
    LinkSocket m_socket;
    std::shared_ptr<const Secrets> m_secrets;
    std::unique_ptr<Session> m_session;
    FrameQueue m_queue;
    TimePoint m_last_received_at{};
    /// Numbers and times of the pings that have no answer yet.
    std::deque<std::pair<std::uint64_t, TimePoint>> m_unanswered_pings;
    std::uint64_t m_last_ping = 0;
    /// Whether the owner has answered a ping.
    bool m_is_answered = false;
    /// Empty when the owner does not tell its clock.
    std::optional<PeerClock> m_owner_clock;
    bool m_closed = false;
    bool m_was_refused = false;
  };
  using LinkPtr = std::shared_ptr<Link>;

  struct PendingCall {
    explicit PendingCall(asio::io_context& context) : m_done(context) {}
    Signal m_done;
    std::optional<JobReply> m_reply;
    bool m_is_done = false;
  };

  State(asio::io_context& context, EventLog& log, TrafficMeter& traffic,
        Hello self, StartHandler starts)
      : m_context(context),
        m_log(log),
        m_traffic(traffic),
        m_self(std::move(self)),
        m_starts(std::move(starts)) {}

  asio::awaitable<void> MaintainLink(std::uint64_t generation);
  asio::awaitable<void> Run(LinkPtr link);
  asio::awaitable<void> Ping(LinkPtr link);
  asio::awaitable<void> SendStart(LinkPtr link, RelayedStart start);
  asio::awaitable<void> WriteQueue(LinkPtr link);
  void HandleMessage(const LinkPtr& link, const Envelope& envelope);
  void HandlePong(Link& link, const LinkPong& pong);
  void SendPing(const LinkPtr& link);
  bool Send(const LinkPtr& link, Envelope envelope);
  void Close(const LinkPtr& link);
  void SetHealth(LinkHealth health);

  asio::io_context& m_context;
  EventLog& m_log;
  TrafficMeter& m_traffic;
  Hello m_self;
  StartHandler m_starts;
  std::function<void(LinkHealth)> m_changed;
  std::function<void(std::uint64_t, TimePoint)> m_answered;
  std::function<LinkPing()> m_describe;
  std::optional<OwnerRecord> m_owner;
  std::uint64_t m_generation = 0;
  LinkPtr m_link;
  LinkHealth m_health = LinkHealth::kSilent;
  bool m_should_offer = false;
  std::map<std::uint64_t, std::shared_ptr<PendingCall>> m_pending_calls;
  std::uint64_t m_next_call = 0;
};

void LinkClient::State::SetHealth(LinkHealth health) {
  if (m_health != health) {
    m_health = health;
    if (m_changed) {
      m_changed(health);
    }
  }
}

asio::awaitable<void> LinkClient::State::MaintainLink(
    std::uint64_t generation) {
  auto self = shared_from_this();
  while (generation == m_generation && m_owner) {
    auto secrets = std::make_shared<const Secrets>(
        Secrets{m_owner->m_link_secret, std::nullopt});
    auto link = std::make_shared<Link>(m_context, secrets);
    m_link = link;
    co_await Run(link);
    Close(link);
    if (generation != m_generation) {
      co_return;
    }
    SetHealth(link->m_was_refused ? LinkHealth::kRefused : LinkHealth::kSilent);
    co_await SleepFor(kRetryDelay);
  }
}

asio::awaitable<void> LinkClient::State::Run(LinkPtr link) {
  boost::system::error_code address_error;
  const tcp::endpoint remote(
      asio::ip::make_address(m_owner->m_link.m_address, address_error),
      m_owner->m_link.m_port);
  if (address_error) {
    co_return;
  }
  asio::steady_timer limit(m_context, kConnectTimeout);
  limit.async_wait([link](boost::system::error_code error) {
    boost::system::error_code ignored;
    if (!error && link->m_session == nullptr) {
      link->m_socket.close(ignored);
    }
  });
  auto [error] = co_await link->m_socket.async_connect(remote, kAsTuple);
  limit.cancel();
  if (error || link->m_closed) {
    link->m_was_refused = error == asio::error::connection_refused;
    co_return;
  }
  link->m_socket.set_option(tcp::no_delay(true), address_error);
  // A reset also discards calls that a cut in the network holds up; after a
  // close they would still arrive.
  link->m_socket.set_option(asio::socket_base::linger(true, 0), address_error);
  Hello hello = m_self;
  hello.m_nonce = RandomNonce();
  hello.m_to = m_owner->m_vm;
  link->m_session = std::make_unique<Session>(hello, /*initiator=*/true);
  link->m_last_received_at = BootNow();
  Send(link, link->m_session->WrapHello());
  asio::co_spawn(m_context, Ping(link), asio::detached);
  FrameDecoder decoder(link->m_secrets);
  std::vector<char> buffer(kReadBytes);
  while (!link->m_closed) {
    auto [read_error, bytes] =
        co_await link->m_socket.async_read_some(asio::buffer(buffer), kAsTuple);
    if (read_error) {
      break;
    }
    m_traffic.CountReceived("link", bytes);
    std::vector<Envelope> envelopes;
    const absl::Status status =
        decoder.Feed(std::string_view(buffer.data(), bytes), envelopes);
    for (const Envelope& envelope : envelopes) {
      if (!link->m_session->Accept(envelope).ok()) {
        Close(link);
        break;
      }
      HandleMessage(link, envelope);
    }
    if (!status.ok()) {
      break;
    }
  }
}

void LinkClient::State::HandleMessage(const LinkPtr& link,
                                      const Envelope& envelope) {
  link->m_last_received_at = BootNow();
  if (const auto* pong = std::get_if<LinkPong>(&envelope.m_message)) {
    HandlePong(*link, *pong);
  } else if (const auto* reply = std::get_if<JobReply>(&envelope.m_message)) {
    const auto found = m_pending_calls.find(reply->m_number);
    if (found != m_pending_calls.end()) {
      found->second->m_reply = *reply;
      found->second->m_is_done = true;
      found->second->m_done.Notify();
    }
  } else if (const auto* start =
                 std::get_if<RelayedStart>(&envelope.m_message)) {
    asio::co_spawn(m_context, SendStart(link, *start), asio::detached);
  } else if (std::holds_alternative<Hello>(envelope.m_message)) {
    m_log.Info("link", "owner_linked",
               absl::StrCat("vm=", m_owner ? m_owner->m_vm.Value() : "-"));
    SetHealth(LinkHealth::kGood);
    SendPing(link);
  }
}

void LinkClient::State::HandlePong(Link& link, const LinkPong& pong) {
  auto& pings = link.m_unanswered_pings;
  while (!pings.empty() && pings.front().first < pong.m_number) {
    pings.pop_front();
  }
  if (!pings.empty() && pings.front().first == pong.m_number) {
    link.m_is_answered = true;
    if (m_answered && m_owner) {
      m_answered(m_owner->m_incarnation, pings.front().second);
    }
    if (pong.m_clock_ms >= 0) {
      link.m_owner_clock = {pings.front().second, BootNow(),
                            TimeFromMs(pong.m_clock_ms)};
    }
    pings.pop_front();
  }
  m_should_offer = pong.m_ask_first;
  SetHealth(pong.m_confirmed ? LinkHealth::kGood
                             : LinkHealth::kStoreUnreachable);
}

asio::awaitable<void> LinkClient::State::SendStart(LinkPtr link,
                                                   RelayedStart start) {
  auto self = shared_from_this();
  const RelayedStartReply reply = co_await m_starts(std::move(start));
  if (!link->m_closed && link->m_session->CanSend()) {
    Send(link, link->m_session->Wrap(reply));
  }
}

void LinkClient::State::SendPing(const LinkPtr& link) {
  LinkPing ping = m_describe ? m_describe() : LinkPing();
  ping.m_number = ++link->m_last_ping;
  if (link->m_owner_clock) {
    ping.m_stated_ms =
        MsFromTime(EarliestReading(*link->m_owner_clock, BootNow()));
  }
  link->m_unanswered_pings.emplace_back(ping.m_number, BootNow());
  Send(link, link->m_session->Wrap(ping));
}

asio::awaitable<void> LinkClient::State::Ping(LinkPtr link) {
  auto self = shared_from_this();
  while (!link->m_closed) {
    if (BootNow() - link->m_last_received_at > kSilenceTimeout) {
      m_log.Warn(
          "link", "owner_silent",
          absl::StrCat("silent_ms=",
                       ToMilliseconds(BootNow() - link->m_last_received_at)));
      Close(link);
      co_return;
    }
    if (BootNow() - link->m_last_received_at > kLateTimeout &&
        m_health == LinkHealth::kGood) {
      SetHealth(LinkHealth::kLate);
    }
    if (link->m_session->CanSend()) {
      SendPing(link);
    }
    co_await SleepFor(kPingPeriod);
  }
}

bool LinkClient::State::Send(const LinkPtr& link, Envelope envelope) {
  absl::StatusOr<std::string> frame = EncodeFrame(envelope, *link->m_secrets);
  if (!frame.ok()) {
    m_log.Warn("link", "frame_not_sent",
               absl::StrCat("reason=\"", frame.status().message(), "\""));
    return false;
  }
  m_traffic.CountSent("link", frame->size());
  if (PushFrame(link->m_queue, *std::move(frame))) {
    asio::co_spawn(m_context, WriteQueue(link), asio::detached);
  }
  return true;
}

asio::awaitable<void> LinkClient::State::WriteQueue(LinkPtr link) {
  auto self = shared_from_this();
  if (!co_await WriteFrames(link->m_socket, link->m_queue, link->m_closed)) {
    Close(link);
  }
}

void LinkClient::State::Close(const LinkPtr& link) {
  if (link->m_closed) {
    return;
  }
  link->m_closed = true;
  boost::system::error_code ignored;
  link->m_socket.close(ignored);
  if (m_link == link) {
    m_link = nullptr;
    for (const auto& [number, pending] : m_pending_calls) {
      pending->m_is_done = true;
      pending->m_done.Notify();
    }
  }
}

LinkClient::LinkClient(asio::io_context& context, EventLog& log,
                       TrafficMeter& traffic, Hello self, StartHandler starts)
    : m_state(std::make_shared<State>(context, log, traffic, std::move(self),
                                      std::move(starts))) {}

LinkClient::~LinkClient() { SetOwner(std::nullopt); }

void LinkClient::SetHealthCallback(std::function<void(LinkHealth)> changed) {
  m_state->m_changed = std::move(changed);
}

void LinkClient::SetAnswerCallback(
    std::function<void(std::uint64_t, TimePoint)> answered) {
  m_state->m_answered = std::move(answered);
}

void LinkClient::SetPingSource(std::function<LinkPing()> describe) {
  m_state->m_describe = std::move(describe);
}

void LinkClient::SetOwner(const std::optional<OwnerRecord>& owner) {
  const auto& current = m_state->m_owner;
  if (owner && current && owner->m_vm == current->m_vm &&
      owner->m_incarnation == current->m_incarnation) {
    return;
  }
  ++m_state->m_generation;
  m_state->m_owner = owner;
  m_state->m_health = LinkHealth::kSilent;
  m_state->m_should_offer = false;
  if (const auto link = m_state->m_link) {
    m_state->Close(link);
  }
  if (owner) {
    asio::co_spawn(m_state->m_context,
                   m_state->MaintainLink(m_state->m_generation),
                   asio::detached);
  }
}

bool LinkClient::IsReady() const {
  return m_state->m_link != nullptr && m_state->m_link->m_session != nullptr &&
         m_state->m_link->m_session->CanSend() &&
         m_state->m_link->m_is_answered;
}

bool LinkClient::ShouldOfferJobs() const { return m_state->m_should_offer; }

asio::awaitable<LinkClient::Result> LinkClient::Call(JobCall call,
                                                     TimePoint received_at,
                                                     Duration timeout) {
  const std::shared_ptr<State> state = m_state;
  Result result;
  if (!IsReady()) {
    co_return result;
  }
  const std::uint64_t number = ++state->m_next_call;
  call.m_number = number;
  call.m_wait = timeout;
  if (const auto& clock = state->m_link->m_owner_clock) {
    call.m_received_ms = MsFromTime(EarliestReading(*clock, received_at));
    call.m_expires_ms = MsFromTime(LatestReading(*clock, BootNow() + timeout));
  }
  auto pending = std::make_shared<State::PendingCall>(state->m_context);
  state->m_pending_calls[number] = pending;
  const State::LinkPtr link = state->m_link;
  result.m_sent = state->Send(link, link->m_session->Wrap(std::move(call)));
  if (result.m_sent && !pending->m_is_done) {
    co_await pending->m_done.WaitFor(timeout);
  }
  state->m_pending_calls.erase(number);
  result.m_reply = pending->m_reply;
  co_return result;
}

}  // namespace filbertspar
