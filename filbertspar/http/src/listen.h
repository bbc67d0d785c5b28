#pragma once

#include "absl/status/status.h"
#include "boost/asio/basic_socket_acceptor.hpp"
#include "boost/asio/io_context.hpp"
#include "boost/asio/ip/tcp.hpp"
#include "filbertspar/settings/settings.h"

namespace filbertspar {

using TcpAcceptor =
    boost::asio::basic_socket_acceptor<boost::asio::ip::tcp,
                                       boost::asio::io_context::executor_type>;

/// \brief Binds and listens; kListenFailed with the address on failure.
absl::Status OpenAcceptor(TcpAcceptor& acceptor, const Endpoint& endpoint);

}  // namespace filbertspar
