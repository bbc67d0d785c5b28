#include "filbertspar/http/src/listen.h"

#include "absl/strings/str_cat.h"

namespace filbertspar {

absl::Status OpenAcceptor(TcpAcceptor& acceptor, const Endpoint& endpoint) {
  namespace asio = boost::asio;
  boost::system::error_code error;
  const asio::ip::address address =
      asio::ip::make_address(endpoint.m_address, error);
  const asio::ip::tcp::endpoint local(address, endpoint.m_port);
  if (!error) {
    acceptor.open(local.protocol(), error);
  }
  if (!error) {
    acceptor.set_option(asio::socket_base::reuse_address(true), error);
  }
  if (!error) {
    acceptor.bind(local, error);
  }
  if (!error) {
    acceptor.listen(asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    return Error(Code::kListenFailed,
                 absl::StrCat("cannot listen on ", endpoint.Text(), ": ",
                              error.message()));
  }
  return absl::OkStatus();
}

}  // namespace filbertspar
