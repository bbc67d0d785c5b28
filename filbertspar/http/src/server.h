#pragma once

#include <cstddef>
#include <functional>
#include <memory>

#include "boost/asio/awaitable.hpp"
#include "boost/asio/io_context.hpp"
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
};

/// \brief HTTP/1.1 server on one address.
///
/// A body above the bound is answered kBodyTooLarge, a request that does not
/// arrive in time kSlowClient, an unreadable one kBadField; each
/// closes its connection only. A client that closed its sending side still
/// gets its answer.
class HttpServer {
 public:
  HttpServer(asio::io_context& context, HttpServerLimits limits,
             HttpHandler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// \brief Binds and accepts; kListenFailed with the address on failure.
  absl::Status Listen(const Endpoint& endpoint);

  /// \brief Port bound by Listen.
  std::uint16_t Port() const;

  /// \brief Accepts no more; idle connections close, busy ones after their
  /// answer.
  void StopAccepting();

  /// \brief Closes every connection.
  void Close();

  std::size_t Connections() const;

 private:
  struct State;
  std::shared_ptr<State> m_state;
};

}  // namespace filbertspar
