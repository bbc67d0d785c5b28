#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>

#include "boost/asio/awaitable.hpp"
#include "boost/asio/io_context.hpp"
#include "filbertspar/http/src/message.h"
#include "filbertspar/settings/settings.h"

namespace filbertspar {

/// \brief How far a call came.
enum class CallEnd : std::uint8_t {
  /// A whole response was read.
  kAnswered,
  /// No byte of the request was sent.
  kNotSent,
  /// Some byte was sent and no whole response came.
  kLost,
};

/// \brief Why a call was not answered.
enum class CallFailure : std::uint8_t {
  kNone,
  /// No answer within the timeout; also any failure not listed here.
  kTimedOut,
  /// The connection was refused: nothing listens at the address.
  kRefused,
  /// The peer closed or reset the established connection.
  kClosed,
  /// No idle connection leads to the peer that the call requires.
  kNotConnected,
};

/// \brief Text of a failure in logs; empty for kNone.
std::string_view CallFailureName(CallFailure failure);

struct CallResult {
  CallEnd m_end = CallEnd::kNotSent;
  CallFailure m_failure = CallFailure::kTimedOut;
  HttpResponse m_response;
};

/// \brief Identifies one process of a server, which may be replaced by another
/// one at the same endpoint.
using PeerId = Id<struct PeerTag>;

/// \brief Which connection a call goes over.
enum class ConnectionChoice : std::uint8_t {
  /// An idle connection, or a new one if there is none.
  kAny,
  /// A new connection.
  kNew,
  /// An idle connection that leads to a given peer. Without one the call ends
  /// as not sent, with kNotConnected.
  kToPeer,
};

struct CallOptions {
  Duration m_timeout{0};
  ConnectionChoice m_connection = ConnectionChoice::kAny;
  /// With kToPeer.
  PeerId m_peer;
  /// Tells from a response which peer sent it; nullopt when it does not say. A
  /// connection leads to the peer that has answered on it until it is closed.
  std::function<std::optional<PeerId>(const HttpResponse&)> m_identify;
};

/// \brief Bounds of a client.
struct HttpClientLimits {
  std::size_t m_body_bytes = 4 << 20;
  std::size_t m_idle_per_endpoint = 64;
  /// Must be shorter than the servers' idle time, so that an idle connection
  /// is not closed by its server just when it is used again.
  Duration m_idle_time = Seconds(10);
  Duration m_connect_time = Seconds(1);
};

/// \brief HTTP/1.1 client that keeps idle connections per endpoint.
///
/// A connection whose call timed out or failed is closed and never used again.
class HttpClient {
 public:
  HttpClient(asio::io_context& context, HttpClientLimits limits);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// \brief Sends a request and reads the response within the timeout, over
  /// an idle connection if there is one, or always over a new one.
  asio::awaitable<CallResult> Call(Endpoint endpoint, HttpRequest request,
                                   Duration timeout,
                                   bool fresh_connection = false);

  /// \brief Sends a request and reads the response as the options say.
  asio::awaitable<CallResult> Call(Endpoint endpoint, HttpRequest request,
                                   CallOptions options);

  /// \brief Whether a call to the peer would find a connection now.
  bool CanReach(const Endpoint& endpoint, PeerId peer);

  /// \brief Number of idle connections to an endpoint that lead to the peer;
  /// some may have been closed by it since.
  std::size_t CountIdle(const Endpoint& endpoint, PeerId peer) const;

  /// \brief Closes the idle connections to an endpoint, which may have gone
  /// silent together with one that timed out.
  void DropIdle(const Endpoint& endpoint);

 private:
  struct State;
  std::shared_ptr<State> m_state;
};

}  // namespace filbertspar
