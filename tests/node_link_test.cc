#include <unistd.h>

#include <catch2/catch.hpp>
#include <string>

#include "boost/asio/ip/tcp.hpp"
#include "boost/asio/read.hpp"
#include "filbertspar/node/src/link_client.h"

namespace filbertspar {
namespace {

using tcp = asio::ip::tcp;

// Guards against a call that reaches the owner after its sender closed the link
// and was refused on another one.
TEST_CASE("a link that is closed delivers nothing more") {
  asio::io_context context;
  tcp::acceptor acceptor(context,
                         tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
  EventLog log(context, EventLogLimits(), STDERR_FILENO);
  MetricsBook metrics;
  TrafficMeter traffic(metrics, 1000);
  LinkClient link(context, log, traffic, Hello(),
                  [](RelayedStart) -> asio::awaitable<RelayedStartReply> {
                    co_return RelayedStartReply();
                  });
  OwnerRecord owner;
  owner.m_vm = VmName("owner");
  owner.m_link = {"127.0.0.1", acceptor.local_endpoint().port()};
  owner.m_link_secret = std::string(32, 's');
  link.SetOwner(owner);
  tcp::socket server(context);
  acceptor.async_accept(server, [&link](boost::system::error_code) {
    link.SetOwner(std::nullopt);
  });
  context.run_for(std::chrono::seconds(5));
  std::string read(4096, ' ');
  boost::system::error_code error;
  asio::read(server, asio::buffer(read), error);
  CHECK(error == asio::error::connection_reset);
}

}  // namespace
}  // namespace filbertspar
