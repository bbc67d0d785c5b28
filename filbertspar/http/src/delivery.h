#pragma once

#include "boost/asio/awaitable.hpp"
#include "boost/asio/basic_stream_socket.hpp"
#include "boost/asio/io_context.hpp"
#include "boost/asio/ip/tcp.hpp"
#include "filbertspar/base/base.h"

namespace filbertspar {

/// \brief Closes the sending side and waits until the peer has acknowledged
/// all that was sent, the connection has broken, the time is over or
/// `is_given_up` is set.
boost::asio::awaitable<void> FinishSending(
    boost::asio::basic_stream_socket<
        boost::asio::ip::tcp, boost::asio::io_context::executor_type>& socket,
    Duration longest, const bool& is_given_up);

}  // namespace filbertspar
