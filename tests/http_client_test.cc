#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "boost/asio/co_spawn.hpp"
#include "boost/asio/detached.hpp"
#include "boost/asio/io_context.hpp"
#include "boost/asio/ip/tcp.hpp"
#include "boost/asio/read.hpp"
#include "boost/asio/read_until.hpp"
#include "boost/asio/steady_timer.hpp"
#include "boost/asio/use_awaitable.hpp"
#include "boost/asio/write.hpp"
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

// Guards against a late answer to a call that was given up, read as that of the
// next call.
TEST_CASE("after calls that time out each answer is that of its call") {
  constexpr int kCallers = 8;
  constexpr int kCalls = 60;
  asio::io_context context;
  std::mt19937 random(1);
  const auto draw_ms = [&random] {
    return Milliseconds(std::uniform_int_distribution<int>(1, 8)(random));
  };
  HttpServer server(
      context, HttpServerLimits(),
      [&](const HttpRequest& request) -> asio::awaitable<HttpResponse> {
        asio::steady_timer timer(context, draw_ms());
        co_await timer.async_wait(asio::use_awaitable);
        co_return TextResponse(200, std::string(request.target()));
      });
  REQUIRE(server.Listen({"127.0.0.1", 0}).ok());
  const Endpoint endpoint{"127.0.0.1", server.Port()};
  HttpClientLimits limits;
  limits.m_idle_per_endpoint = kCallers / 2;
  HttpClient client(context, limits);
  int answered = 0;
  int given_up = 0;
  int wrong = 0;
  int done = 0;
  const auto call = [&](int caller) -> asio::awaitable<void> {
    for (int i = 0; i < kCalls; ++i) {
      const std::string target =
          "/" + std::to_string(caller) + "/" + std::to_string(i);
      HttpRequest request = MakeRequest(HttpVerb::get, target);
      const CallResult result =
          co_await client.Call(endpoint, std::move(request), draw_ms());
      if (result.m_end == CallEnd::kAnswered) {
        ++answered;
        wrong += result.m_response.body() == target ? 0 : 1;
      } else {
        ++given_up;
      }
    }
    if (++done == kCallers) {
      server.Close();
    }
  };
  for (int caller = 0; caller < kCallers; ++caller) {
    asio::co_spawn(context, call(caller), asio::detached);
  }
  context.run_for(std::chrono::seconds(20));
  REQUIRE(done == kCallers);
  CHECK(wrong == 0);
  CHECK(answered > 0);
  CHECK(given_up > 0);
}

// Guards against an interim answer that is taken for the answer, so that each
// later call of the connection gets the answer of the one before it.
TEST_CASE("an interim answer does not shift the answers of later calls") {
  asio::io_context context;
  tcp::acceptor acceptor(context,
                         tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
  const Endpoint endpoint{"127.0.0.1", acceptor.local_endpoint().port()};
  const auto serve = [&]() -> asio::awaitable<void> {
    tcp::socket socket = co_await acceptor.async_accept(asio::use_awaitable);
    std::string received;
    while (true) {
      const std::size_t length = co_await asio::async_read_until(
          socket, asio::dynamic_buffer(received), "\r\n\r\n",
          asio::use_awaitable);
      const std::string target =
          received.substr(4, received.find(" HTTP/1.1") - 4);
      received.erase(0, length);
      const std::string interim = "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n";
      co_await asio::async_write(socket, asio::buffer(interim),
                                 asio::use_awaitable);
      asio::steady_timer timer(context, Milliseconds(20));
      co_await timer.async_wait(asio::use_awaitable);
      const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: " +
                                 std::to_string(target.size()) + "\r\n\r\n" +
                                 target;
      co_await asio::async_write(socket, asio::buffer(answer),
                                 asio::use_awaitable);
    }
  };
  HttpClient client(context, HttpClientLimits());
  std::vector<std::string> bodies;
  const auto call = [&]() -> asio::awaitable<void> {
    for (const char* target : {"/first", "/second", "/third"}) {
      HttpRequest request = MakeRequest(HttpVerb::get, target);
      const CallResult result =
          co_await client.Call(endpoint, std::move(request), Seconds(2));
      bodies.push_back(result.m_response.body());
    }
    context.stop();
  };
  asio::co_spawn(context, serve(), asio::detached);
  asio::co_spawn(context, call(), asio::detached);
  context.run_for(std::chrono::seconds(10));
  CHECK(bodies == std::vector<std::string>{"/first", "/second", "/third"});
}

// Guards against a call that reaches another process than the one it is for: a
// client that opens a connection by itself reaches whatever listens there now.
TEST_CASE("a call to a peer goes only over connections that lead to it") {
  asio::io_context context;
  HttpServerLimits limits;
  std::string name = "1";
  std::vector<std::string> received;
  std::unique_ptr<HttpServer> server;
  Endpoint endpoint{"127.0.0.1", 0};
  const auto serve = [&] {
    server = std::make_unique<HttpServer>(
        context, limits,
        [&, name](const HttpRequest& request) -> asio::awaitable<HttpResponse> {
          received.push_back(name + std::string(request.target()));
          co_return TextResponse(200, name);
        });
    REQUIRE(server->Listen(endpoint).ok());
    endpoint.m_port = server->Port();
  };
  serve();
  HttpClient client(context, HttpClientLimits());
  const auto identify = [](const HttpResponse& response) {
    return std::optional(PeerId(std::stoul(response.body())));
  };
  const auto call = [&](std::string target, ConnectionChoice connection,
                        PeerId peer) -> asio::awaitable<CallResult> {
    CallOptions options;
    options.m_timeout = Seconds(2);
    options.m_connection = connection;
    options.m_peer = peer;
    options.m_identify = identify;
    HttpRequest request = MakeRequest(HttpVerb::get, target);
    co_return co_await client.Call(endpoint, std::move(request),
                                   std::move(options));
  };
  bool is_done = false;
  const auto play = [&]() -> asio::awaitable<void> {
    const PeerId first(1);
    CallResult result = co_await call("/a", ConnectionChoice::kToPeer, first);
    CHECK(result.m_end == CallEnd::kNotSent);
    CHECK(result.m_failure == CallFailure::kNotConnected);
    co_await call("/b", ConnectionChoice::kNew, PeerId());
    CHECK(client.CanReach(endpoint, first));
    CHECK(client.CountIdle(endpoint, first) == 1);
    CHECK_FALSE(client.CanReach(endpoint, PeerId(2)));
    result = co_await call("/c", ConnectionChoice::kToPeer, first);
    CHECK(result.m_end == CallEnd::kAnswered);
    server->Close();
    server.reset();
    name = "2";
    serve();
    result = co_await call("/d", ConnectionChoice::kToPeer, first);
    CHECK(result.m_end != CallEnd::kAnswered);
    // Without a peer the client opens a connection by itself.
    result = co_await call("/e", ConnectionChoice::kAny, PeerId());
    CHECK(result.m_end == CallEnd::kAnswered);
    CHECK_FALSE(client.CanReach(endpoint, first));
    CHECK(client.CanReach(endpoint, PeerId(2)));
    is_done = true;
    server->Close();
    context.stop();
  };
  asio::co_spawn(context, play(), asio::detached);
  context.run_for(std::chrono::seconds(10));
  REQUIRE(is_done);
  CHECK(received == std::vector<std::string>{"1/b", "1/c", "2/e"});
}

}  // namespace
}  // namespace filbertspar
