#include "filbertspar/http/src/delivery.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <chrono>

#include "boost/asio/as_tuple.hpp"
#include "boost/asio/steady_timer.hpp"
#include "boost/asio/use_awaitable.hpp"

namespace filbertspar {
namespace {

namespace asio = boost::asio;

/// A round trip between clients and VMs takes a few of these; nothing tells
/// when the last byte is acknowledged.
constexpr auto kCheckPeriod = std::chrono::milliseconds(10);

/// Once the sending side is closed: whether bytes, or the end of the stream
/// behind them, are not acknowledged.
bool IsSending(int socket) {
  tcp_info info{};
  socklen_t size = sizeof(info);
  if (getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) {
    return false;
  }
  return info.tcpi_state == TCP_FIN_WAIT1 || info.tcpi_state == TCP_CLOSING ||
         info.tcpi_state == TCP_LAST_ACK;
}

}  // namespace

asio::awaitable<void> FinishSending(
    asio::basic_stream_socket<asio::ip::tcp, asio::io_context::executor_type>&
        socket,
    Duration longest, const bool& is_given_up) {
  boost::system::error_code error;
  socket.shutdown(asio::socket_base::shutdown_send, error);
  if (error) {
    co_return;
  }
  const TimePoint latest = SteadyNow() + longest;
  asio::steady_timer timer(socket.get_executor());
  while (!is_given_up && SteadyNow() < latest &&
         IsSending(socket.native_handle())) {
    timer.expires_after(kCheckPeriod);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
}

}  // namespace filbertspar
