#include <catch2/catch.hpp>
#include <optional>
#include <string>

#include "boost/asio/co_spawn.hpp"
#include "boost/asio/detached.hpp"
#include "boost/asio/io_context.hpp"
#include "boost/asio/ip/tcp.hpp"
#include "boost/asio/read.hpp"
#include "filbertspar/http/http.h"

namespace filbertspar {
namespace {

using tcp = asio::ip::tcp;

// Guards against an order that is carried out after its sender gave it up, and
// after a later order of another sender (flowline-batch, trouble-3 with seed
// 629826847784: a lower fencing number after a higher one).
TEST_CASE("a call that is given up does not arrive later") {
  asio::io_context context;
  tcp::acceptor acceptor(context,
                         tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
  HttpClient client(context, HttpClientLimits());
  const Endpoint endpoint{"127.0.0.1", acceptor.local_endpoint().port()};
  std::optional<CallEnd> end;
  asio::co_spawn(
      context,
      [&]() -> asio::awaitable<void> {
        HttpRequest request{HttpVerb::post, "/order", 11, std::string("body")};
        const CallResult result = co_await client.Call(
            endpoint, std::move(request), Milliseconds(100));
        end = result.m_end;
      },
      asio::detached);
  tcp::socket server(context);
  acceptor.async_accept(server, [](boost::system::error_code) {});
  context.run();
  REQUIRE(end == CallEnd::kLost);
  // What arrived before the reset can be read; nothing may follow it.
  std::string read(4096, ' ');
  boost::system::error_code error;
  asio::read(server, asio::buffer(read), error);
  CHECK(error == asio::error::connection_reset);
}

}  // namespace
}  // namespace filbertspar
