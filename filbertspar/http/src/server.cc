#include "filbertspar/http/src/server.h"

#include <algorithm>
#include <array>
#include <exception>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "boost/asio/as_tuple.hpp"
#include "boost/asio/co_spawn.hpp"
#include "boost/asio/detached.hpp"
#include "boost/asio/ip/tcp.hpp"
#include "boost/asio/steady_timer.hpp"
#include "boost/asio/use_awaitable.hpp"
#include "boost/beast/core/flat_buffer.hpp"
#include "boost/beast/http/parser.hpp"
#include "boost/beast/http/read.hpp"
#include "boost/beast/http/write.hpp"
#include "filbertspar/http/src/delivery.h"
#include "filbertspar/http/src/listen.h"
#include "filbertspar/http/src/server_state.h"

namespace filbertspar {
namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

/// Pause after accept failed, usually for want of file descriptors, or while
/// all connections are in use.
constexpr auto kAcceptPause = std::chrono::milliseconds(50);
/// Connections given up when descriptors run out, so that the process can open
/// connections of its own.
constexpr std::size_t kDescriptorReserve = 32;
/// A client that sends more than this after a refusal is cut off.
constexpr std::size_t kMaxDrainedBytes = 4U << 20U;
/// Room in a connection's buffer beside the head. Chunk headers and trailers
/// must fit into the buffer whole.
constexpr std::size_t kBufferSlack = 16U << 10U;
/// With this much time without a new shortage of descriptors, a server takes as
/// many connections as before.
constexpr Duration kDescriptorRecoveryTime = Seconds(10);
/// A request that has been arriving for this long may be cut off for a new
/// client when no connection is idle.
constexpr Duration kMinReadingAge = Seconds(1);
/// One sweep over all connections costs less than a timer for every read and
/// write, and cancels without closing, so that a slow client can be answered.
constexpr auto kSweepPeriod = std::chrono::milliseconds(100);

}  // namespace

asio::awaitable<void> HttpServer::State::Accept() {
  auto self = shared_from_this();
  while (m_acceptor.is_open()) {
    auto [error, socket] = co_await m_acceptor.async_accept(kTuple);
    if (error == asio::error::operation_aborted) {
      co_return;
    }
    bool is_refused = error.failed();
    if (!error) {
      is_refused = !Admit(std::move(socket));
    } else if (error == asio::error::no_descriptors) {
      // Fewer connections leave the process descriptors of its own.
      m_connection_limit =
          std::min(m_limits.m_connections,
                   std::max(m_connections.size(), 2 * kDescriptorReserve) -
                       kDescriptorReserve);
      m_limited_until = SteadyNow() + kDescriptorRecoveryTime;
      for (std::size_t i = 0; i < kDescriptorReserve && CloseForNewClient();
           ++i) {
      }
    }
    if (is_refused) {
      asio::steady_timer timer(m_context, kAcceptPause);
      co_await timer.async_wait(kTuple);
    }
  }
}

bool HttpServer::State::Admit(Socket socket) {
  if (m_connections.size() >= m_connection_limit && !CloseForNewClient()) {
    // All others are in use; closing the socket refuses the client.
    if (m_guard.m_on_fault) {
      m_guard.m_on_fault(ClientFault::kTooManyConnections, "");
    }
    return false;
  }
  boost::system::error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  auto connection = std::make_shared<Connection>(std::move(socket));
  ConnectionUse& use = connection->m_use;
  use.m_address =
      connection->m_socket.remote_endpoint(ignored).address().to_string();
  use.m_last_progress_at = SteadyNow();
  use.m_cancel = [raw = connection.get()](ClientFault fault) {
    raw->m_fault = fault;
    raw->m_deadline = TimePoint::max();
    boost::system::error_code error;
    raw->m_socket.cancel(error);
  };
  m_guard.m_uses->Add(use);
  m_connections.insert(connection);
  asio::co_spawn(m_context, Serve(connection), asio::detached);
  return true;
}

bool HttpServer::State::CloseForNewClient() {
  std::vector<ConnectionUse*> uses;
  for (const ConnectionPtr& connection : m_connections) {
    if (!connection->m_fault) {
      uses.push_back(&connection->m_use);
    }
  }
  ConnectionUse* use = ChooseIdle(uses);
  if (use == nullptr) {
    use = ChooseReading(uses, SteadyNow() - kMinReadingAge);
  }
  if (use != nullptr) {
    use->m_cancel(ClientFault::kTooManyConnections);
  }
  return use != nullptr;
}

void HttpServer::State::ReportFault(const Connection& connection,
                                    ClientFault fault) const {
  if (m_guard.m_on_fault) {
    m_guard.m_on_fault(fault, connection.m_use.m_address);
  }
}

asio::awaitable<void> HttpServer::State::Sweep() {
  auto self = shared_from_this();
  const RequestPace pace{m_limits.m_read_time, m_limits.m_min_bytes_per_s,
                         m_limits.m_rate_grace};
  while (!m_stopping || !m_connections.empty()) {
    m_sweep_timer.expires_after(kSweepPeriod);
    auto [error] = co_await m_sweep_timer.async_wait(kTuple);
    if (error) {
      co_return;
    }
    const TimePoint now = SteadyNow();
    if (now > m_limited_until) {
      m_connection_limit = m_limits.m_connections;
    }
    for (const ConnectionPtr& connection : m_connections) {
      if (connection->m_fault) {
        // A cancellation that came between two operations had no effect.
        connection->m_use.m_cancel(*connection->m_fault);
      } else if (connection->m_deadline < now ||
                 IsTooSlow(pace, connection->m_use, now)) {
        connection->m_use.m_cancel(ClientFault::kTooSlow);
      }
    }
  }
}

asio::awaitable<void> HttpServer::State::Serve(ConnectionPtr connection) {
  auto self = shared_from_this();
  beast::flat_buffer buffer(m_limits.m_header_bytes + kBufferSlack);
  try {
    while (!m_stopping && co_await ServeOne(*connection, buffer)) {
    }
    if (m_stopping && !connection->m_fault) {
      // Closing while requests of the client are unread resets the connection
      // and discards what it has not received of its answers.
      connection->m_use.m_is_busy = true;
      co_await FinishSending(connection->m_socket, m_limits.m_write_time,
                             m_closed);
    }
  } catch (const std::exception&) {
    // Only this connection is affected; it is closed below.
  }
  boost::system::error_code ignored;
  connection->m_socket.shutdown(tcp::socket::shutdown_both, ignored);
  connection->m_socket.close(ignored);
  m_guard.m_uses->Remove(connection->m_use);
  m_connections.erase(connection);
}

asio::awaitable<bool> HttpServer::State::ServeOne(Connection& connection,
                                                  beast::flat_buffer& buffer) {
  Parser parser;
  parser.eager(true);
  parser.body_limit(m_limits.m_body_bytes);
  parser.header_limit(static_cast<std::uint32_t>(m_limits.m_header_bytes));

  // The first byte may be long in coming, the rest of the request may not.
  if (buffer.size() == 0) {
    if (buffer.capacity() > kFirstReadBytes) {
      buffer.shrink_to_fit();
    }
    connection.m_deadline = SteadyNow() + m_limits.m_idle_time;
    auto [error, bytes] = co_await connection.m_socket.async_read_some(
        buffer.prepare(kFirstReadBytes), kTuple);
    if (connection.m_fault == ClientFault::kTooManyConnections) {
      ReportFault(connection, *connection.m_fault);
    }
    if (error || connection.m_fault) {
      co_return false;
    }
    buffer.commit(bytes);
  }
  connection.m_deadline = TimePoint::max();
  const boost::system::error_code error =
      co_await Read(connection, buffer, parser);
  if (error) {
    co_await Refuse(connection, error);
    co_return false;
  }
  const HttpRequest request = parser.release();
  const bool keep_alive = request.keep_alive();
  const bool is_head_only = request.method() == HttpVerb::head;
  connection.m_use.m_is_busy = true;
  HttpResponse response = co_await Handle(request);
  const bool written = co_await Write(connection, std::move(response),
                                      keep_alive && !m_stopping, is_head_only);
  connection.m_use.m_is_busy = false;
  connection.m_use.m_last_progress_at = SteadyNow();
  co_return written&& keep_alive;
}

asio::awaitable<void> HttpServer::State::Refuse(
    Connection& connection, boost::system::error_code error) {
  const bool is_unreadable =
      error.category() ==
          make_error_code(http::error::bad_version).category() &&
      error != http::error::end_of_stream;
  if (connection.m_fault) {
    const ClientFault fault = *connection.m_fault;
    connection.m_fault.reset();
    ReportFault(connection, fault);
    if (fault == ClientFault::kTooSlow) {
      co_await Write(connection, CodeResponse(Code::kSlowClient, ""), false);
    }
  } else if (error == http::error::body_limit) {
    ReportFault(connection, ClientFault::kBodyTooLarge);
    co_await Write(
        connection,
        CodeResponse(Code::kBodyTooLarge,
                     absl::StrCat("at most ", m_limits.m_body_bytes, " bytes")),
        false);
    co_await Drain(connection);
  } else if (error == http::error::buffer_overflow ||
             error == http::error::header_limit) {
    ReportFault(connection, ClientFault::kHeadTooLarge);
    co_await Write(connection,
                   CodeResponse(Code::kBadField,
                                "head, chunk header or trailers too large"),
                   false);
  } else if (is_unreadable) {
    ReportFault(connection, ClientFault::kUnreadable);
    co_await Write(connection, CodeResponse(Code::kBadField, error.message()),
                   false);
  }
}

/// Reads on after a refusal: closing with unread bytes resets the connection,
/// and a client that still sends would lose the answer.
asio::awaitable<void> HttpServer::State::Drain(Connection& connection) {
  boost::system::error_code error;
  connection.m_socket.shutdown(tcp::socket::shutdown_send, error);
  connection.m_deadline = SteadyNow() + m_limits.m_read_time;
  std::array<char, 16384> discarded;
  for (std::size_t total = 0;
       !error && !connection.m_fault && total < kMaxDrainedBytes;) {
    auto [read_error, bytes] = co_await connection.m_socket.async_read_some(
        asio::buffer(discarded), kTuple);
    error = read_error;
    total += bytes;
  }
}

asio::awaitable<HttpResponse> HttpServer::State::Handle(
    const HttpRequest& request) {
  std::optional<std::string> failure;
  try {
    co_return co_await m_handler(request);
  } catch (const std::exception& exception) {
    failure = exception.what();
  }
  co_return CodeResponse(Code::kInternal, *failure);
}

asio::awaitable<bool> HttpServer::State::Write(Connection& connection,
                                               HttpResponse response,
                                               bool keep_alive,
                                               bool is_head_only) {
  response.version(11);
  response.keep_alive(keep_alive);
  response.prepare_payload();
  connection.m_deadline = SteadyNow() + m_limits.m_write_time;
  if (is_head_only) {
    // After prepare_payload: the length stays that of the body left out.
    response.body().clear();
  }
  auto [error, bytes] =
      co_await http::async_write(connection.m_socket, response, kTuple);
  static_cast<void>(bytes);
  connection.m_deadline = TimePoint::max();
  if (error && connection.m_fault) {
    ReportFault(connection, ClientFault::kAnswerNotRead);
  } else if (!error) {
    connection.m_fault.reset();
  }
  co_return !error;
}

HttpServer::HttpServer(asio::io_context& context, HttpServerLimits limits,
                       HttpHandler handler, ClientGuard guard)
    : m_state(std::make_shared<State>(context, limits, std::move(handler),
                                      std::move(guard))) {}

HttpServer::~HttpServer() { Close(); }

absl::Status HttpServer::Listen(const Endpoint& endpoint) {
  FS_RETURN_IF_ERROR(OpenAcceptor(m_state->m_acceptor, endpoint));
  asio::co_spawn(m_state->m_context, m_state->Accept(), asio::detached);
  asio::co_spawn(m_state->m_context, m_state->Sweep(), asio::detached);
  return absl::OkStatus();
}

std::uint16_t HttpServer::Port() const {
  boost::system::error_code ignored;
  return m_state->m_acceptor.local_endpoint(ignored).port();
}

void HttpServer::StopAccepting() {
  m_state->m_stopping = true;
  boost::system::error_code ignored;
  m_state->m_acceptor.close(ignored);
  for (const auto& connection : m_state->m_connections) {
    if (!connection->m_use.m_is_busy) {
      connection->m_socket.cancel(ignored);
    }
  }
}

void HttpServer::Close() {
  m_state->m_closed = true;
  StopAccepting();
  m_state->m_sweep_timer.cancel();
  boost::system::error_code ignored;
  for (const auto& connection : m_state->m_connections) {
    connection->m_socket.cancel(ignored);
  }
}

std::size_t HttpServer::Connections() const {
  return m_state->m_connections.size();
}

}  // namespace filbertspar
