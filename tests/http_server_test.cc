#include <catch2/catch.hpp>
#include <optional>
#include <string>
#include <vector>

#include "boost/asio/co_spawn.hpp"
#include "boost/asio/detached.hpp"
#include "boost/asio/io_context.hpp"
#include "boost/asio/ip/tcp.hpp"
#include "boost/asio/read.hpp"
#include "boost/asio/redirect_error.hpp"
#include "boost/asio/use_awaitable.hpp"
#include "boost/asio/write.hpp"
#include "filbertspar/http/http.h"

namespace filbertspar {
namespace {

using tcp = asio::ip::tcp;

/// What a client got for what it sent.
struct Exchange {
  std::string m_answer;
  std::vector<ClientFault> m_faults;
  int m_handled = 0;
};

/// Sends the text, closes the sending side and reads until the server closes.
Exchange Send(const std::string& text, HttpServerLimits limits = {}) {
  asio::io_context context;
  Exchange exchange;
  HttpServer server(
      context, limits,
      [&exchange](const HttpRequest&) -> asio::awaitable<HttpResponse> {
        ++exchange.m_handled;
        co_return TextResponse(200, "ok");
      },
      {nullptr, [&exchange](ClientFault fault, std::string_view) {
         exchange.m_faults.push_back(fault);
       }});
  REQUIRE(server.Listen({"127.0.0.1", 0}).ok());
  asio::co_spawn(
      context,
      [&]() -> asio::awaitable<void> {
        tcp::socket socket(context);
        const tcp::endpoint remote(asio::ip::make_address("127.0.0.1"),
                                   server.Port());
        co_await socket.async_connect(remote, asio::use_awaitable);
        boost::system::error_code error;
        co_await asio::async_write(
            socket, asio::buffer(text),
            asio::redirect_error(asio::use_awaitable, error));
        socket.shutdown(tcp::socket::shutdown_send, error);
        co_await asio::async_read(
            socket, asio::dynamic_buffer(exchange.m_answer),
            asio::redirect_error(asio::use_awaitable, error));
        server.Close();
      },
      asio::detached);
  context.run();
  return exchange;
}

std::string StatusOf(const Exchange& exchange) {
  return exchange.m_answer.substr(0, exchange.m_answer.find("\r\n"))
      .substr(0, 12);
}

std::string Repeat(const std::string& text, int times) {
  std::string repeated;
  for (int i = 0; i < times; ++i) {
    repeated += text;
  }
  return repeated;
}

const std::string kHead = "POST /a HTTP/1.1\r\nHost: x\r\n";

// Guards against requests that a proxy in front and this server would read
// differently.
TEST_CASE("ambiguous requests are refused and never handled") {
  const std::string requests[] = {
      kHead + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n{}",
      kHead + "Content-Length: 2\r\nContent-Length: 3\r\n\r\n{}x",
      kHead + "Content-Length: +2\r\n\r\n{}",
      kHead + "Content-Length: -2\r\n\r\n{}",
      kHead + "Host: y\r\nContent-Length: 0\r\n\r\n",
      "POST /a HTTP/1.1\nHost: x\n\n",
      kHead + "A: b\rC: d\r\n\r\n",
      "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
      std::string("\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03", 11),
  };
  for (const std::string& request : requests) {
    INFO(request);
    const Exchange exchange = Send(request);
    CHECK(exchange.m_handled == 0);
    CHECK(StatusOf(exchange) == "HTTP/1.1 400");
    CHECK(exchange.m_faults == std::vector{ClientFault::kUnreadable});
  }
}

// Guards against a bound that refuses requests inside the limits.
TEST_CASE("unusual requests inside the limits are handled once") {
  const std::string requests[] = {
      kHead + "Content-Length: 2\r\n\r\n{}",
      kHead +
          "Transfer-Encoding: chunked\r\n\r\n1;a=b\r\n{\r\n1\r\n}\r\n0\r\n"
          "T: u\r\n\r\n",
      kHead + "Content-Length: 0\r\nAuthorization: " + std::string(8000, 'a') +
          "\r\n\r\n",
      "POST /a HTTP/1.0\r\nContent-Length: 2\r\n\r\n{}",
      kHead + "Content-Length: 200000\r\n\r\n" + std::string(200000, 'x'),
  };
  HttpServerLimits limits;
  limits.m_header_bytes = 16 << 10;
  for (const std::string& request : requests) {
    INFO(request.substr(0, 200));
    const Exchange exchange = Send(request, limits);
    CHECK(exchange.m_handled == 1);
    CHECK(StatusOf(exchange) == "HTTP/1.1 200");
    CHECK(exchange.m_faults.empty());
  }
}

// Guards against bytes that are neither head nor body and were kept without a
// bound.
TEST_CASE("heads, chunk headers and trailers have a bound") {
  const std::string chunked = kHead + "Transfer-Encoding: chunked\r\n\r\n";
  const std::string requests[] = {
      kHead + "A: " + std::string(100'000, 'b') + "\r\n\r\n",
      kHead + Repeat("a:\r\n", 20'000) + "\r\n",
      chunked + "1;a=" + std::string(100'000, 'b') + "\r\nx\r\n0\r\n\r\n",
      chunked + "1\r\nx\r\n0\r\nT: " + std::string(100'000, 'u') + "\r\n\r\n",
  };
  for (const std::string& request : requests) {
    const Exchange exchange = Send(request);
    CHECK(exchange.m_handled == 0);
    CHECK(exchange.m_faults == std::vector{ClientFault::kHeadTooLarge});
  }
}

// Guards against a body beyond the bound that is read, announced or not.
TEST_CASE("a body beyond the bound is refused") {
  HttpServerLimits limits;
  limits.m_body_bytes = 1000;
  const std::string body(2000, 'x');
  const Exchange announced =
      Send(kHead + "Content-Length: 2000\r\n\r\n" + body, limits);
  CHECK(StatusOf(announced) == "HTTP/1.1 413");
  CHECK(announced.m_handled == 0);
  const Exchange chunked =
      Send(kHead + "Transfer-Encoding: chunked\r\n\r\n7d0\r\n" + body +
               "\r\n0\r\n\r\n",
           limits);
  CHECK(StatusOf(chunked) == "HTTP/1.1 413");
  CHECK(chunked.m_handled == 0);
}

}  // namespace
}  // namespace filbertspar
