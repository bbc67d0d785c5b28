#include "filbertspar/http/src/client.h"

#include <algorithm>
#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <utility>

#include "boost/asio/as_tuple.hpp"
#include "boost/asio/ip/tcp.hpp"
#include "boost/asio/use_awaitable.hpp"
#include "boost/beast/core/flat_buffer.hpp"
#include "boost/beast/core/tcp_stream.hpp"
#include "boost/beast/http/parser.hpp"
#include "boost/beast/http/read.hpp"
#include "boost/beast/http/serializer.hpp"
#include "boost/beast/http/write.hpp"

namespace filbertspar {
namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using Stream = beast::basic_stream<tcp, asio::io_context::executor_type>;

constexpr auto kTuple = asio::as_tuple(asio::use_awaitable);

/// Bounds the parts of an answer that are read whole: its head, a chunk header,
/// the trailers.
constexpr std::size_t kMaxBufferBytes = 64U << 10U;

/// A response of a smaller status is interim; another one follows.
constexpr unsigned kFirstFinalStatus = 200;

struct Connection {
  explicit Connection(asio::io_context& context) : m_stream(context) {}
  Stream m_stream;
  beast::flat_buffer m_buffer{kMaxBufferBytes};
  TimePoint m_idle_since;
  /// The peer that has answered on it, if it is known.
  std::optional<PeerId> m_peer;
};
using ConnectionPtr = std::unique_ptr<Connection>;

/// An idle connection that can be read was closed by its server or holds
/// bytes of an answer that nobody waits for.
bool IsUsable(Connection& connection) {
  auto& socket = connection.m_stream.socket();
  char byte = 0;
  boost::system::error_code error;
  socket.non_blocking(true, error);
  socket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek,
                 error);
  return error == asio::error::would_block;
}

CallFailure FailureOf(const boost::system::error_code& error) {
  if (error == asio::error::connection_refused) {
    return CallFailure::kRefused;
  }
  const bool closed = error == http::error::end_of_stream ||
                      error == http::error::partial_message ||
                      error == asio::error::eof ||
                      error == asio::error::connection_reset ||
                      error == asio::error::broken_pipe;
  return closed ? CallFailure::kClosed : CallFailure::kTimedOut;
}

}  // namespace

struct HttpClient::State {
  State(asio::io_context& context, HttpClientLimits limits)
      : m_context(context), m_limits(limits) {}

  /// The usable connection that was used last, of those that lead to `peer` if
  /// it is given; null when there is none.
  ConnectionPtr TakeIdle(const Endpoint& endpoint, std::optional<PeerId> peer);
  void PutIdle(const Endpoint& endpoint, ConnectionPtr connection);
  /// Sets `failure` when it returns null.
  asio::awaitable<ConnectionPtr> Connect(Endpoint endpoint, Duration timeout,
                                         CallFailure& failure);

  asio::io_context& m_context;
  HttpClientLimits m_limits;
  std::map<Endpoint, std::deque<ConnectionPtr>> m_idle;
};

ConnectionPtr HttpClient::State::TakeIdle(const Endpoint& endpoint,
                                          std::optional<PeerId> peer) {
  const auto found = m_idle.find(endpoint);
  if (found == m_idle.end()) {
    return nullptr;
  }
  auto& idle = found->second;
  const TimePoint oldest = SteadyNow() - m_limits.m_idle_time;
  for (std::size_t i = idle.size(); i-- > 0;) {
    if (peer && idle[i]->m_peer != peer) {
      continue;
    }
    ConnectionPtr connection = std::move(idle[i]);
    idle.erase(idle.begin() + static_cast<std::ptrdiff_t>(i));
    if (connection->m_idle_since >= oldest && IsUsable(*connection)) {
      return connection;
    }
  }
  return nullptr;
}

void HttpClient::State::PutIdle(const Endpoint& endpoint,
                                ConnectionPtr connection) {
  auto& idle = m_idle[endpoint];
  const TimePoint now = SteadyNow();
  while (!idle.empty() &&
         (idle.size() >= m_limits.m_idle_per_endpoint ||
          idle.front()->m_idle_since + m_limits.m_idle_time < now)) {
    idle.pop_front();
  }
  connection->m_stream.expires_never();
  connection->m_idle_since = now;
  idle.push_back(std::move(connection));
}

asio::awaitable<ConnectionPtr> HttpClient::State::Connect(
    Endpoint endpoint, Duration timeout, CallFailure& failure) {
  boost::system::error_code error;
  const asio::ip::address address =
      asio::ip::make_address(endpoint.m_address, error);
  if (error) {
    co_return nullptr;
  }
  auto connection = std::make_unique<Connection>(m_context);
  connection->m_stream.expires_after(
      std::min(timeout, m_limits.m_connect_time));
  auto [connect_error] = co_await connection->m_stream.async_connect(
      tcp::endpoint(address, endpoint.m_port), kTuple);
  if (connect_error) {
    failure = FailureOf(connect_error);
    co_return nullptr;
  }
  auto& socket = connection->m_stream.socket();
  socket.set_option(tcp::no_delay(true), error);
  // A call that is given up must not arrive later: a reset also discards bytes
  // that a cut in the network holds up, a close would still deliver them.
  socket.set_option(asio::socket_base::linger(true, 0), error);
  co_return connection;
}

std::string_view CallFailureName(CallFailure failure) {
  switch (failure) {
    case CallFailure::kNone:
      return "";
    case CallFailure::kTimedOut:
      return "timed_out";
    case CallFailure::kRefused:
      return "refused";
    case CallFailure::kClosed:
      return "closed";
    case CallFailure::kNotConnected:
      return "not_connected";
  }
  return "";
}

HttpClient::HttpClient(asio::io_context& context, HttpClientLimits limits)
    : m_state(std::make_shared<State>(context, limits)) {}

HttpClient::~HttpClient() = default;

void HttpClient::DropIdle(const Endpoint& endpoint) {
  m_state->m_idle.erase(endpoint);
}

bool HttpClient::CanReach(const Endpoint& endpoint, PeerId peer) {
  ConnectionPtr connection = m_state->TakeIdle(endpoint, peer);
  if (connection == nullptr) {
    return false;
  }
  m_state->m_idle[endpoint].push_back(std::move(connection));
  return true;
}

std::size_t HttpClient::CountIdle(const Endpoint& endpoint, PeerId peer) const {
  const auto found = m_state->m_idle.find(endpoint);
  if (found == m_state->m_idle.end()) {
    return 0;
  }
  const TimePoint oldest = SteadyNow() - m_state->m_limits.m_idle_time;
  return static_cast<std::size_t>(std::count_if(
      found->second.begin(), found->second.end(),
      [&](const ConnectionPtr& connection) {
        return connection->m_peer == peer && connection->m_idle_since >= oldest;
      }));
}

asio::awaitable<CallResult> HttpClient::Call(Endpoint endpoint,
                                             HttpRequest request,
                                             Duration timeout,
                                             bool fresh_connection) {
  CallOptions options;
  options.m_timeout = timeout;
  options.m_connection =
      fresh_connection ? ConnectionChoice::kNew : ConnectionChoice::kAny;
  return Call(std::move(endpoint), std::move(request), std::move(options));
}

asio::awaitable<CallResult> HttpClient::Call(Endpoint endpoint,
                                             HttpRequest request,
                                             CallOptions options) {
  const std::shared_ptr<State> state = m_state;
  const TimePoint deadline = SteadyNow() + options.m_timeout;
  CallResult result;
  ConnectionPtr connection;
  if (options.m_connection != ConnectionChoice::kNew) {
    std::optional<PeerId> peer;
    if (options.m_connection == ConnectionChoice::kToPeer) {
      peer = options.m_peer;
    }
    connection = state->TakeIdle(endpoint, peer);
  }
  if (connection == nullptr &&
      options.m_connection == ConnectionChoice::kToPeer) {
    result.m_failure = CallFailure::kNotConnected;
    co_return result;
  }
  if (connection == nullptr) {
    connection =
        co_await state->Connect(endpoint, options.m_timeout, result.m_failure);
  }
  const Duration left = deadline - SteadyNow();
  if (connection == nullptr || left <= Duration(0)) {
    co_return result;
  }
  request.set(http::field::host, endpoint.Text());
  request.keep_alive(true);
  request.prepare_payload();
  Stream& stream = connection->m_stream;
  stream.expires_after(left);
  auto [write_error, written] =
      co_await http::async_write(stream, request, kTuple);
  if (write_error) {
    result.m_end = written == 0 ? CallEnd::kNotSent : CallEnd::kLost;
    result.m_failure = FailureOf(write_error);
    co_return result;
  }
  do {
    http::response_parser<http::string_body> parser;
    parser.body_limit(state->m_limits.m_body_bytes);
    auto [read_error, bytes] =
        co_await http::async_read(stream, connection->m_buffer, parser, kTuple);
    static_cast<void>(bytes);
    if (read_error) {
      result.m_end = CallEnd::kLost;
      result.m_failure = FailureOf(read_error);
      co_return result;
    }
    result.m_response = parser.release();
    // The answer follows; left unread it would be that of the next call.
  } while (result.m_response.result_int() < kFirstFinalStatus);
  result.m_end = CallEnd::kAnswered;
  result.m_failure = CallFailure::kNone;
  if (options.m_identify) {
    if (const auto answered_by = options.m_identify(result.m_response)) {
      connection->m_peer = answered_by;
    }
  }
  if (result.m_response.keep_alive() && connection->m_buffer.size() == 0) {
    state->PutIdle(endpoint, std::move(connection));
  }
  co_return result;
}

}  // namespace filbertspar
