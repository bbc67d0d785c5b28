#include "filbertspar/http/src/server.h"

#include <array>
#include <exception>
#include <optional>
#include <set>
#include <string>
#include <utility>

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
#include "filbertspar/http/src/listen.h"

namespace filbertspar {
namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using Socket = asio::basic_stream_socket<tcp, asio::io_context::executor_type>;

constexpr auto kTuple = asio::as_tuple(asio::use_awaitable);
/// Pause after accept failed, usually for want of file descriptors.
constexpr auto kAcceptPause = std::chrono::milliseconds(50);
/// A client that sends more than this after a refusal is cut off.
constexpr std::size_t kMaxDrainedBytes = 64U << 20U;
/// One sweep over all connections costs less than a timer for every read and
/// write, and cancels without closing, so that a slow client can be answered.
constexpr auto kSweepPeriod = std::chrono::milliseconds(100);

}  // namespace

struct HttpServer::State : std::enable_shared_from_this<HttpServer::State> {
  struct Connection {
    explicit Connection(Socket socket) : m_socket(std::move(socket)) {}
    Socket m_socket;
    TimePoint m_deadline = TimePoint::max();
    bool m_expired = false;
    bool m_busy = false;
  };
  using ConnectionPtr = std::shared_ptr<Connection>;

  State(asio::io_context& context, HttpServerLimits limits, HttpHandler handler)
      : m_context(context),
        m_acceptor(context),
        m_sweep_timer(context),
        m_limits(limits),
        m_handler(std::move(handler)) {}

  asio::awaitable<void> Accept();
  asio::awaitable<void> Sweep();
  asio::awaitable<void> Serve(ConnectionPtr connection);
  asio::awaitable<bool> ServeOne(Connection& connection,
                                 beast::flat_buffer& buffer);
  asio::awaitable<void> Refuse(Connection& connection,
                               boost::system::error_code error);
  asio::awaitable<void> Drain(Connection& connection);
  asio::awaitable<HttpResponse> Handle(const HttpRequest& request);
  asio::awaitable<bool> Write(Connection& connection, HttpResponse response,
                              bool keep_alive);

  asio::io_context& m_context;
  TcpAcceptor m_acceptor;
  asio::steady_timer m_sweep_timer;
  HttpServerLimits m_limits;
  HttpHandler m_handler;
  std::set<ConnectionPtr> m_connections;
  bool m_stopping = false;
};

asio::awaitable<void> HttpServer::State::Accept() {
  auto self = shared_from_this();
  while (m_acceptor.is_open()) {
    auto [error, socket] = co_await m_acceptor.async_accept(kTuple);
    if (error == asio::error::operation_aborted) {
      co_return;
    }
    if (error) {
      asio::steady_timer timer(m_context, kAcceptPause);
      co_await timer.async_wait(kTuple);
      continue;
    }
    if (m_connections.size() >= m_limits.m_connections) {
      continue;
    }
    boost::system::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    auto connection = std::make_shared<Connection>(std::move(socket));
    m_connections.insert(connection);
    asio::co_spawn(m_context, Serve(connection), asio::detached);
  }
}

asio::awaitable<void> HttpServer::State::Sweep() {
  auto self = shared_from_this();
  while (!m_stopping || !m_connections.empty()) {
    m_sweep_timer.expires_after(kSweepPeriod);
    auto [error] = co_await m_sweep_timer.async_wait(kTuple);
    if (error) {
      co_return;
    }
    const TimePoint now = SteadyNow();
    for (const ConnectionPtr& connection : m_connections) {
      if (connection->m_deadline < now) {
        connection->m_expired = true;
        connection->m_deadline = TimePoint::max();
        boost::system::error_code ignored;
        connection->m_socket.cancel(ignored);
      }
    }
  }
}

asio::awaitable<void> HttpServer::State::Serve(ConnectionPtr connection) {
  auto self = shared_from_this();
  beast::flat_buffer buffer;
  try {
    while (!m_stopping && co_await ServeOne(*connection, buffer)) {
    }
  } catch (const std::exception&) {
    // Only this connection is affected; it is closed below.
  }
  boost::system::error_code ignored;
  connection->m_socket.shutdown(tcp::socket::shutdown_both, ignored);
  connection->m_socket.close(ignored);
  m_connections.erase(connection);
}

asio::awaitable<bool> HttpServer::State::ServeOne(Connection& connection,
                                                  beast::flat_buffer& buffer) {
  http::request_parser<http::string_body> parser;
  parser.body_limit(m_limits.m_body_bytes);
  parser.header_limit(static_cast<std::uint32_t>(m_limits.m_header_bytes));

  // The first byte may be long in coming, the rest of the request may not.
  if (buffer.size() == 0) {
    connection.m_deadline = SteadyNow() + m_limits.m_idle_time;
    auto [error, bytes] = co_await connection.m_socket.async_read_some(
        buffer.prepare(m_limits.m_header_bytes), kTuple);
    if (error) {
      co_return false;
    }
    buffer.commit(bytes);
  }
  connection.m_deadline = SteadyNow() + m_limits.m_read_time;
  auto [error, bytes] =
      co_await http::async_read(connection.m_socket, buffer, parser, kTuple);
  static_cast<void>(bytes);
  if (error) {
    co_await Refuse(connection, error);
    co_return false;
  }
  const HttpRequest request = parser.release();
  const bool keep_alive = request.keep_alive();
  connection.m_deadline = TimePoint::max();
  connection.m_busy = true;
  HttpResponse response = co_await Handle(request);
  const bool written = co_await Write(connection, std::move(response),
                                      keep_alive && !m_stopping);
  connection.m_busy = false;
  co_return written&& keep_alive;
}

asio::awaitable<void> HttpServer::State::Refuse(
    Connection& connection, boost::system::error_code error) {
  if (connection.m_expired) {
    connection.m_expired = false;
    co_await Write(connection, CodeResponse(Code::kSlowClient, ""), false);
  } else if (error == http::error::body_limit) {
    co_await Write(
        connection,
        CodeResponse(Code::kBodyTooLarge,
                     absl::StrCat("at most ", m_limits.m_body_bytes, " bytes")),
        false);
    co_await Drain(connection);
  } else if (error.category() ==
                 make_error_code(http::error::bad_version).category() &&
             error != http::error::end_of_stream) {
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
  for (std::size_t total = 0; !error && total < kMaxDrainedBytes;) {
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
                                               bool keep_alive) {
  response.version(11);
  response.keep_alive(keep_alive);
  response.prepare_payload();
  connection.m_deadline = SteadyNow() + m_limits.m_write_time;
  auto [error, bytes] =
      co_await http::async_write(connection.m_socket, response, kTuple);
  static_cast<void>(bytes);
  co_return !error;
}

HttpServer::HttpServer(asio::io_context& context, HttpServerLimits limits,
                       HttpHandler handler)
    : m_state(std::make_shared<State>(context, limits, std::move(handler))) {}

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
    if (!connection->m_busy) {
      connection->m_socket.cancel(ignored);
    }
  }
}

void HttpServer::Close() {
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
