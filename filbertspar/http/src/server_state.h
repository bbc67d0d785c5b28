#pragma once

#include <cstddef>
#include <memory>
#include <optional>
#include <set>
#include <utility>

#include "boost/asio/as_tuple.hpp"
#include "boost/asio/ip/tcp.hpp"
#include "boost/asio/steady_timer.hpp"
#include "boost/asio/use_awaitable.hpp"
#include "boost/beast/core/flat_buffer.hpp"
#include "boost/beast/http/parser.hpp"
#include "filbertspar/http/src/listen.h"
#include "filbertspar/http/src/server.h"

namespace filbertspar {

/// \brief Connections of a server, and how they are read and answered.
struct HttpServer::State : std::enable_shared_from_this<HttpServer::State> {
  using Socket =
      asio::basic_stream_socket<asio::ip::tcp, asio::io_context::executor_type>;
  using Parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;

  static constexpr auto kTuple = asio::as_tuple(asio::use_awaitable);
  /// Budget of a server without a shared one.
  static constexpr std::size_t kDefaultMaxHeldBytes = 64U << 20U;

  /// First read of a connection; most requests fit. An idle connection keeps no
  /// more than this.
  static constexpr std::size_t kFirstReadBytes = 2U << 10U;

  struct Connection {
    explicit Connection(Socket socket) : m_socket(std::move(socket)) {}
    Socket m_socket;
    ConnectionUse m_use;
    TimePoint m_deadline = TimePoint::max();
    /// Bytes of the head of the request that is being read.
    std::size_t m_head_bytes = 0;
    /// Why the connection was cancelled.
    std::optional<ClientFault> m_fault;
  };
  using ConnectionPtr = std::shared_ptr<Connection>;

  State(asio::io_context& context, HttpServerLimits limits, HttpHandler handler,
        ClientGuard guard)
      : m_context(context),
        m_acceptor(context),
        m_sweep_timer(context),
        m_limits(limits),
        m_handler(std::move(handler)),
        m_guard(std::move(guard)) {
    if (m_guard.m_uses == nullptr) {
      m_guard.m_uses = std::make_shared<ConnectionUses>(kDefaultMaxHeldBytes);
    }
  }

  asio::awaitable<void> Accept();
  /// False: the client was refused, since all connections are in use.
  bool Admit(Socket socket);
  /// Closes a connection for a new client; false when none can be.
  bool CloseForNewClient();
  void ReportFault(const Connection& connection, ClientFault fault) const;
  asio::awaitable<void> Sweep();
  asio::awaitable<void> Serve(ConnectionPtr connection);
  asio::awaitable<bool> ServeOne(Connection& connection,
                                 boost::beast::flat_buffer& buffer);
  /// Parses what is in the buffer; need_more when the request is not complete.
  boost::system::error_code Parse(Connection& connection,
                                  boost::beast::flat_buffer& buffer,
                                  Parser& parser) const;
  /// Counts the memory of the request; over the budget the largest request is
  /// cut off. False when it is this one.
  bool HoldBytes(Connection& connection,
                 const boost::beast::flat_buffer& buffer, const Parser& parser);
  /// Reads a request in full, within its bounds of size and time and the memory
  /// that all connections share.
  asio::awaitable<boost::system::error_code> Read(
      Connection& connection, boost::beast::flat_buffer& buffer,
      Parser& parser);
  void EndRead(Connection& connection) const;
  asio::awaitable<void> Refuse(Connection& connection,
                               boost::system::error_code error);
  asio::awaitable<void> Drain(Connection& connection);
  asio::awaitable<HttpResponse> Handle(const HttpRequest& request);
  /// The answer to HEAD has the head alone.
  asio::awaitable<bool> Write(Connection& connection, HttpResponse response,
                              bool keep_alive, bool is_head_only = false);

  asio::io_context& m_context;
  TcpAcceptor m_acceptor;
  asio::steady_timer m_sweep_timer;
  HttpServerLimits m_limits;
  /// Below m_limits.m_connections after descriptors ran out.
  std::size_t m_connection_limit = m_limits.m_connections;
  TimePoint m_limited_until = TimePoint::min();
  HttpHandler m_handler;
  ClientGuard m_guard;
  std::set<ConnectionPtr> m_connections;
  bool m_stopping = false;
  bool m_closed = false;
};

}  // namespace filbertspar
