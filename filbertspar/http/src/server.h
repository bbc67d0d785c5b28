#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string_view>

#include "boost/asio/awaitable.hpp"
#include "boost/asio/io_context.hpp"
#include "filbertspar/http/src/connection_use.h"
#include "filbertspar/http/src/message.h"
#include "filbertspar/settings/settings.h"

namespace filbertspar {

/// \brief Answers one request; exceptions become kInternal.
using HttpHandler =
    std::function<asio::awaitable<HttpResponse>(const HttpRequest&)>;

/// \brief Bounds of a server.
struct HttpServerLimits {
  std::size_t m_body_bytes = 1 << 20;
  std::size_t m_header_bytes = 8 << 10;
  std::size_t m_connections = 4096;
  /// From the first byte of a request to its last.
  Duration m_read_time = Seconds(10);
  /// Between requests of a connection.
  Duration m_idle_time = Seconds(60);
  Duration m_write_time = Seconds(10);
  /// Least mean rate of a request that takes longer than m_rate_grace. The
  /// largest body at this rate would take longer than m_read_time, so that only
  /// small requests come near it.
  double m_min_bytes_per_s = 256;
  Duration m_rate_grace = Seconds(3);
};

/// \brief What a server shares with the others of its process.
struct ClientGuard {
  /// Null: the server has a budget of its own.
  std::shared_ptr<ConnectionUses> m_uses;
  /// Told of each connection that is closed, and each request that is refused,
  /// because of its client; may be empty.
  std::function<void(ClientFault, std::string_view address)> m_on_fault;
};

/// \brief HTTP/1.1 server on one address.
///
/// A body above the bound is answered kBodyTooLarge, a request that does not
/// arrive in time kSlowClient, an unreadable one or one whose head, chunk
/// headers or trailers exceed their bound kBadField; each closes its connection
/// only. A client that closed its sending side still gets its answer. When all
/// requests together hold too much memory, the largest is cut off; when no
/// connection is free, an idle one is closed.
class HttpServer {
 public:
  HttpServer(asio::io_context& context, HttpServerLimits limits,
             HttpHandler handler, ClientGuard guard = {});
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// \brief Binds and accepts; kListenFailed with the address on failure.
  absl::Status Listen(const Endpoint& endpoint);

  /// \brief Port bound by Listen.
  std::uint16_t Port() const;

  /// \brief Accepts no more; idle connections close, busy ones after their
  /// answer, each once its client has received what was sent.
  void StopAccepting();

  /// \brief Closes every connection.
  void Close();

  std::size_t Connections() const;

 private:
  struct State;
  std::shared_ptr<State> m_state;
};

}  // namespace filbertspar
