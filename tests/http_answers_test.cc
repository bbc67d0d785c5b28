#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "boost/asio/as_tuple.hpp"
#include "boost/asio/co_spawn.hpp"
#include "boost/asio/detached.hpp"
#include "boost/asio/io_context.hpp"
#include "boost/asio/ip/tcp.hpp"
#include "boost/asio/steady_timer.hpp"
#include "boost/asio/use_awaitable.hpp"
#include "boost/asio/write.hpp"
#include "boost/beast/http/parser.hpp"
#include "filbertspar/http/http.h"

namespace filbertspar {
namespace {

namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using Random = std::mt19937;

constexpr auto kTuple = asio::as_tuple(asio::use_awaitable);

int Draw(Random& random, int min, int max) {
  return std::uniform_int_distribution<int>(min, max)(random);
}

bool Chance(Random& random, int percent) {
  return Draw(random, 1, 100) <= percent;
}

asio::awaitable<void> Pause(asio::io_context& context, int microseconds) {
  asio::steady_timer timer(context, std::chrono::microseconds(microseconds));
  co_await timer.async_wait(kTuple);
}

/// Names its request at both ends.
std::string AnswerTo(const std::string& id, std::size_t size,
                     const std::string& body) {
  std::string answer = absl::StrCat(id, " ", body, " ");
  for (std::size_t i = 0; i < size; ++i) {
    answer += static_cast<char>('a' + (i + id.size() + id.back()) % 26);
  }
  return answer + id;
}

/// Answers "/ID/SIZE/MICROSECONDS".
asio::awaitable<HttpResponse> AnswerLate(asio::io_context& context,
                                         const HttpRequest& request) {
  const std::string target(request.target());
  const std::vector<std::string> parts = absl::StrSplit(target, '/');
  std::size_t size = 0;
  int delay = 0;
  if (parts.size() != 4 || !absl::SimpleAtoi(parts[2], &size) ||
      !absl::SimpleAtoi(parts[3], &delay)) {
    co_return TextResponse(500, target);
  }
  if (delay > 0) {
    co_await Pause(context, delay);
  }
  co_return TextResponse(200, AnswerTo(parts[1], size, request.body()));
}

struct Client {
  std::vector<std::string> m_expected;
  /// What is sent, in pieces, with a pause after each.
  std::vector<std::string> m_pieces;
  std::vector<int> m_pauses;
  bool m_half_closes = false;
  int m_receive_buffer = 0;
  std::size_t m_read_bytes = 0;
  int m_read_pause = 0;
  std::string m_received;
  std::unique_ptr<tcp::socket> m_socket;
};
using ClientPtr = std::shared_ptr<Client>;

void AddRequest(Random& random, const std::string& id, bool is_last,
                Client& client, std::string& text) {
  const bool is_large = Chance(random, 20);
  const int size = is_large ? Draw(random, 1, 200'000) : Draw(random, 0, 300);
  const int delay = Chance(random, 50) ? Draw(random, 1, 3000) : 0;
  const std::string body(Chance(random, 50) ? Draw(random, 1, 4000) : 0, 'x');
  absl::StrAppend(&text, body.empty() ? "GET" : "POST", " /", id, "/", size,
                  "/", delay, " HTTP/1.1\r\nHost: x\r\n");
  if (is_last && !client.m_half_closes) {
    text += "Connection: close\r\n";
  }
  if (body.empty()) {
    text += "\r\n";
  } else if (Chance(random, 50)) {
    absl::StrAppend(&text, "Content-Length: ", body.size(), "\r\n\r\n", body);
  } else {
    absl::StrAppend(&text, "Transfer-Encoding: chunked\r\n\r\n",
                    absl::Hex(body.size()), "\r\n", body, "\r\n0\r\n\r\n");
  }
  client.m_expected.push_back(AnswerTo(id, size, body));
}

ClientPtr DrawClient(Random& random, int number) {
  auto client = std::make_shared<Client>();
  client->m_half_closes = Chance(random, 50);
  const bool is_slow = Chance(random, 50);
  client->m_receive_buffer = is_slow ? 4096 : 0;
  client->m_read_bytes = is_slow ? Draw(random, 500, 8000) : 65536;
  client->m_read_pause = is_slow ? Draw(random, 0, 300) : 0;
  std::string text;
  const int requests = Draw(random, 1, 12);
  for (int i = 0; i < requests; ++i) {
    AddRequest(random, absl::StrCat("c", number, "r", i), i + 1 == requests,
               *client, text);
  }
  const int longest = Chance(random, 50) ? 200 : 5000;
  while (!text.empty()) {
    const std::size_t length = std::min<std::size_t>(
        text.size(), static_cast<std::size_t>(Draw(random, 1, longest)));
    client->m_pieces.push_back(text.substr(0, length));
    client->m_pauses.push_back(Chance(random, 10) ? Draw(random, 1, 2000) : 0);
    text.erase(0, length);
  }
  return client;
}

asio::awaitable<void> SendPieces(asio::io_context& context, ClientPtr client) {
  for (std::size_t i = 0; i < client->m_pieces.size(); ++i) {
    auto [error, bytes] = co_await asio::async_write(
        *client->m_socket, asio::buffer(client->m_pieces[i]), kTuple);
    static_cast<void>(bytes);
    if (error) {
      co_return;
    }
    if (client->m_pauses[i] > 0) {
      co_await Pause(context, client->m_pauses[i]);
    }
  }
  if (client->m_half_closes) {
    boost::system::error_code ignored;
    client->m_socket->shutdown(tcp::socket::shutdown_send, ignored);
  }
}

/// Runs the client until the server closes its connection.
asio::awaitable<void> RunClient(asio::io_context& context, ClientPtr client,
                                tcp::endpoint remote) {
  client->m_socket = std::make_unique<tcp::socket>(context, tcp::v4());
  if (client->m_receive_buffer > 0) {
    client->m_socket->set_option(
        asio::socket_base::receive_buffer_size(client->m_receive_buffer));
  }
  auto [connect_error] =
      co_await client->m_socket->async_connect(remote, kTuple);
  if (connect_error) {
    co_return;
  }
  asio::co_spawn(context, SendPieces(context, client), asio::detached);
  std::string buffer(client->m_read_bytes, ' ');
  while (true) {
    auto [error, bytes] = co_await client->m_socket->async_read_some(
        asio::buffer(buffer), kTuple);
    client->m_received.append(buffer, 0, bytes);
    if (error) {
      break;
    }
    if (client->m_read_pause > 0) {
      co_await Pause(context, client->m_read_pause);
    }
  }
  boost::system::error_code ignored;
  client->m_socket->cancel(ignored);
}

struct Answers {
  std::vector<std::string> m_whole;
  bool m_is_cut = false;
};

Answers SplitAnswers(const std::string& received) {
  Answers answers;
  std::size_t at = 0;
  while (at < received.size()) {
    http::response_parser<http::string_body> parser;
    parser.eager(true);
    boost::system::error_code error;
    while (!parser.is_done() && !error && at < received.size()) {
      at += parser.put(asio::buffer(received.data() + at, received.size() - at),
                       error);
    }
    if (!parser.is_done()) {
      answers.m_is_cut = true;
      break;
    }
    answers.m_whole.push_back(parser.get().body());
  }
  return answers;
}

/// Whether the answers are the first of those that are expected.
bool IsPrefix(const std::vector<std::string>& answers,
              const std::vector<std::string>& expected) {
  return answers.size() <= expected.size() &&
         std::equal(answers.begin(), answers.end(), expected.begin());
}

struct Play {
  HttpServerLimits m_limits;
  int m_clients = 16;
  /// 0: the server goes on.
  int m_stop_after_us = 0;
  std::size_t m_max_held_bytes = 64U << 20U;
};

struct Played {
  std::vector<ClientPtr> m_clients;
  std::size_t m_done = 0;
};

Played PlayClients(Random& random, const Play& play) {
  asio::io_context context;
  HttpServer server(
      context, play.m_limits,
      [&context](const HttpRequest& request) {
        return AnswerLate(context, request);
      },
      {std::make_shared<ConnectionUses>(play.m_max_held_bytes), {}});
  REQUIRE(server.Listen({"127.0.0.1", 0}).ok());
  const tcp::endpoint remote(asio::ip::make_address("127.0.0.1"),
                             server.Port());
  Played played;
  for (int i = 0; i < play.m_clients; ++i) {
    played.m_clients.push_back(DrawClient(random, i));
  }
  for (const ClientPtr& client : played.m_clients) {
    asio::co_spawn(context, RunClient(context, client, remote),
                   [&](const std::exception_ptr&) {
                     if (++played.m_done == played.m_clients.size()) {
                       server.Close();
                     }
                   });
  }
  asio::steady_timer stop(context);
  if (play.m_stop_after_us > 0) {
    stop.expires_after(std::chrono::microseconds(play.m_stop_after_us));
    stop.async_wait(
        [&server](boost::system::error_code) { server.StopAccepting(); });
  }
  context.run_for(std::chrono::seconds(20));
  for (const ClientPtr& client : played.m_clients) {
    client->m_socket.reset();
  }
  return played;
}

// Guards against an answer that is cut, doubled, out of order or that of
// another request of the connection.
TEST_CASE("each request of a connection gets its own answer, whole and once") {
  for (unsigned seed = 1; seed <= 4; ++seed) {
    INFO("seed " << seed);
    Random random(seed);
    const Played played = PlayClients(random, Play());
    REQUIRE(played.m_done == played.m_clients.size());
    for (const ClientPtr& client : played.m_clients) {
      const Answers answers = SplitAnswers(client->m_received);
      CHECK_FALSE(answers.m_is_cut);
      CHECK((answers.m_whole == client->m_expected));
    }
  }
}

// Guards against the sweep over all connections that cancels a handler at work,
// or an answer that takes several sweeps to write.
TEST_CASE("a sweep cuts no answer that is slow to make or to read") {
  asio::io_context context;
  HttpServer server(context, HttpServerLimits(),
                    [&context](const HttpRequest& request) {
                      return AnswerLate(context, request);
                    });
  REQUIRE(server.Listen({"127.0.0.1", 0}).ok());
  auto client = std::make_shared<Client>();
  client->m_pieces = {
      "GET /a/8000000/120000 HTTP/1.1\r\nHost: x\r\n\r\n"
      "GET /b/100/120000 HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"};
  client->m_pauses = {0};
  client->m_receive_buffer = 64 << 10;
  client->m_read_bytes = 64 << 10;
  client->m_read_pause = 3000;
  const tcp::endpoint remote(asio::ip::make_address("127.0.0.1"),
                             server.Port());
  asio::co_spawn(context, RunClient(context, client, remote),
                 [&server](const std::exception_ptr&) { server.Close(); });
  context.run_for(std::chrono::seconds(20));
  client->m_socket.reset();
  const Answers answers = SplitAnswers(client->m_received);
  CHECK_FALSE(answers.m_is_cut);
  CHECK((answers.m_whole ==
         std::vector{AnswerTo("a", 8'000'000, ""), AnswerTo("b", 100, "")}));
}

// Guards against a server that stops while clients still send and are slow to
// read, and cuts the last answer.
TEST_CASE("a server that stops cuts no answer") {
  for (unsigned seed = 1; seed <= 12; ++seed) {
    INFO("seed " << seed);
    Random random(seed);
    Play play;
    play.m_stop_after_us = Draw(random, 500, 20'000);
    const Played played = PlayClients(random, play);
    REQUIRE(played.m_done == played.m_clients.size());
    for (const ClientPtr& client : played.m_clients) {
      const Answers answers = SplitAnswers(client->m_received);
      CHECK_FALSE(answers.m_is_cut);
      CHECK(IsPrefix(answers.m_whole, client->m_expected));
    }
  }
}

// Guards against an idle client that keeps a stopping server waiting.
TEST_CASE("a server that stops does not wait for idle clients") {
  asio::io_context context;
  HttpServer server(context, HttpServerLimits(),
                    [&context](const HttpRequest& request) {
                      return AnswerLate(context, request);
                    });
  REQUIRE(server.Listen({"127.0.0.1", 0}).ok());
  tcp::socket socket(context);
  socket.connect({asio::ip::make_address("127.0.0.1"), server.Port()});
  const std::string request = "GET /a/1/0 HTTP/1.1\r\nHost: x\r\n\r\n";
  asio::write(socket, asio::buffer(request));
  context.run_for(std::chrono::milliseconds(50));
  REQUIRE(server.Connections() == 1);
  server.StopAccepting();
  context.run_for(std::chrono::seconds(5));
  CHECK(server.Connections() == 0);
}

// Guards against the body of an answer to HEAD, which its client reads as the
// beginning of the next answer.
TEST_CASE("an answer to HEAD has no body, and the next answer is its own") {
  asio::io_context context;
  HttpServer server(context, HttpServerLimits(),
                    [&context](const HttpRequest& request) {
                      return AnswerLate(context, request);
                    });
  REQUIRE(server.Listen({"127.0.0.1", 0}).ok());
  auto client = std::make_shared<Client>();
  client->m_pieces = {
      "HEAD /a/100/0 HTTP/1.1\r\nHost: x\r\n\r\n"
      "GET /b/100/0 HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"};
  client->m_pauses = {0};
  client->m_read_bytes = 4096;
  const tcp::endpoint remote(asio::ip::make_address("127.0.0.1"),
                             server.Port());
  asio::co_spawn(context, RunClient(context, client, remote),
                 [&server](const std::exception_ptr&) { server.Close(); });
  context.run_for(std::chrono::seconds(5));
  client->m_socket.reset();
  const std::string& received = client->m_received;
  const std::string length =
      absl::StrCat("Content-Length: ", AnswerTo("a", 100, "").size(), "\r\n");
  CHECK(received.find(length) < received.find("\r\n\r\n"));
  const std::size_t end_of_head = received.find("\r\n\r\n");
  REQUIRE(end_of_head != std::string::npos);
  const Answers next = SplitAnswers(received.substr(end_of_head + 4));
  CHECK_FALSE(next.m_is_cut);
  CHECK(next.m_whole == std::vector{AnswerTo("b", 100, "")});
}

// Guards against a client whose answer is on the way, taken for idle and closed
// for a new client although another one is idle.
TEST_CASE("a client that still receives its answer is not closed as idle") {
  asio::io_context context;
  HttpServerLimits limits;
  limits.m_connections = 2;
  HttpServer server(context, limits, [&context](const HttpRequest& request) {
    return AnswerLate(context, request);
  });
  REQUIRE(server.Listen({"127.0.0.1", 0}).ok());
  const tcp::endpoint remote(asio::ip::make_address("127.0.0.1"),
                             server.Port());
  auto client = std::make_shared<Client>();
  client->m_pieces = {
      "GET /a/200000/0 HTTP/1.1\r\nHost: x\r\n\r\n",
      "GET /b/100/0 HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"};
  client->m_pauses = {60'000, 0};
  client->m_receive_buffer = 4096;
  client->m_read_bytes = 500;
  client->m_read_pause = 500;
  tcp::socket idle(context);
  tcp::socket fresh(context);
  const auto connect_others = [&]() -> asio::awaitable<void> {
    co_await Pause(context, 15'000);
    co_await idle.async_connect(remote, kTuple);
    co_await Pause(context, 15'000);
    co_await fresh.async_connect(remote, kTuple);
  };
  asio::co_spawn(context, connect_others(), asio::detached);
  asio::co_spawn(context, RunClient(context, client, remote),
                 [&server](const std::exception_ptr&) { server.Close(); });
  context.run_for(std::chrono::seconds(20));
  client->m_socket.reset();
  const Answers answers = SplitAnswers(client->m_received);
  CHECK_FALSE(answers.m_is_cut);
  CHECK((answers.m_whole ==
         std::vector{AnswerTo("a", 200'000, ""), AnswerTo("b", 100, "")}));
}

// Guards against a connection that is given up for a new client while its last
// answer is on the way.
TEST_CASE("a connection closed for a new client has its answers whole") {
  for (unsigned seed = 1; seed <= 3; ++seed) {
    INFO("seed " << seed);
    Random random(seed);
    Play play;
    play.m_limits.m_connections = 6;
    const Played played = PlayClients(random, play);
    REQUIRE(played.m_done == played.m_clients.size());
    for (const ClientPtr& client : played.m_clients) {
      const Answers answers = SplitAnswers(client->m_received);
      CHECK_FALSE(answers.m_is_cut);
      CHECK(IsPrefix(answers.m_whole, client->m_expected));
    }
  }
}

// Guards against a client that is cut off for the memory of its request and
// gets the answer of another.
TEST_CASE("under memory pressure answers stay those of their requests") {
  for (unsigned seed = 1; seed <= 3; ++seed) {
    INFO("seed " << seed);
    Random random(seed);
    Play play;
    play.m_max_held_bytes = 30'000;
    const Played played = PlayClients(random, play);
    REQUIRE(played.m_done == played.m_clients.size());
    for (const ClientPtr& client : played.m_clients) {
      CHECK(IsPrefix(SplitAnswers(client->m_received).m_whole,
                     client->m_expected));
    }
  }
}

}  // namespace
}  // namespace filbertspar
