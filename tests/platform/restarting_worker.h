#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "boost/asio/as_tuple.hpp"
#include "boost/asio/co_spawn.hpp"
#include "boost/asio/detached.hpp"
#include "boost/asio/ip/tcp.hpp"
#include "boost/asio/steady_timer.hpp"
#include "boost/asio/use_awaitable.hpp"
#include "boost/beast/core/flat_buffer.hpp"
#include "boost/beast/http/read.hpp"
#include "boost/beast/http/write.hpp"
#include "filbertspar/http/http.h"
#include "filbertspar/json/json.h"

namespace filbertspar {

/// \brief A worker on loopback that may start again under its name.
///
/// A connection leads to the incarnation that accepted it: when the worker has
/// started again, polls that it held stay unanswered and connections are reset
/// by what is sent on them. Requests that arrive while its machine has no power
/// get no response; any later incarnation may execute them.
class RestartingWorker {
 public:
  /// What reached an incarnation.
  struct Request {
    std::int64_t m_incarnation = 0;
    std::string m_path;
    JsonObject m_body;
    /// The incarnation's clock when it arrived.
    std::int64_t m_clock_ms = 0;

    std::int64_t Fencing() const {
      return m_body.at("fencing_token").to_number<std::int64_t>();
    }
  };

  explicit RestartingWorker(asio::io_context& context)
      : m_context(context),
        m_acceptor(context,
                   tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)) {
    asio::co_spawn(context, Accept(), asio::detached);
  }

  Endpoint Address() const {
    return {"127.0.0.1", m_acceptor.local_endpoint().port()};
  }

  /// Begins another incarnation, whose clock shows `clock_ms`.
  void Restart(std::int64_t clock_ms) {
    ++m_incarnation;
    m_first_clock_ms = clock_ms;
    m_began_at = SteadyNow();
    m_running.clear();
    m_finished.clear();
    m_next_finished = 1;
    m_fencing = 0;
    m_lease_ms = 0;
    m_has_power = true;
  }

  /// Executes what arrived without power, as far as the fencing number allows;
  /// returns the requests that were executed.
  std::vector<Request> ExecuteUnanswered() {
    std::vector<Request> executed;
    for (const Request& request : m_unanswered) {
      if (request.Fencing() >= m_fencing) {
        Answer(request.m_path, request.m_body);
        executed.push_back(request);
      }
    }
    m_unanswered.clear();
    return executed;
  }

  /// Resets the connections of the incarnations that have ended, as when their
  /// process ends and not their machine.
  void ResetConnections() {
    for (const auto& [incarnation, socket] : m_sockets) {
      boost::system::error_code error;
      if (incarnation != m_incarnation) {
        socket->set_option(asio::socket_base::linger(true, 0), error);
        socket->close(error);
      }
    }
  }

  /// Ends all runs as done.
  void FinishRuns() {
    for (const auto& [task, run] : m_running) {
      m_finished.push_back(
          JsonArray{m_next_finished++, JsonView(task), run, "done", ""});
    }
    m_running.clear();
  }

  /// Adds ends of a job that the owner does not know.
  void ListEnds(int count) {
    for (int i = 0; i < count; ++i) {
      const std::int64_t number = m_next_finished++;
      m_finished.push_back(
          JsonArray{number, "0011223344556677.0.0.0", number, "done", ""});
    }
  }

  std::int64_t ClockMs() const {
    return m_first_clock_ms + ToMilliseconds(SteadyNow() - m_began_at);
  }

  /// A longer lease is shortened to this.
  static constexpr Duration kLongestLease = Seconds(6);

  std::int64_t m_incarnation = 1;
  bool m_has_power = true;
  /// Requests that arrived without power.
  std::vector<Request> m_unanswered;
  /// Highest fencing number of a request to this incarnation.
  std::int64_t m_fencing = 0;
  /// End of the lease on the clock of this incarnation.
  std::int64_t m_lease_ms = 0;
  /// Another worker has taken the address: orders to this one are rejected.
  bool m_is_other_worker = false;
  /// Polls are held for no longer than this, whatever they allow.
  Duration m_longest_wait = Seconds(2);
  /// Runs by task.
  std::map<std::string, std::int64_t> m_running;
  std::vector<Request> m_requests;

 private:
  using tcp = asio::ip::tcp;

  static boost::json::string_view JsonView(std::string_view text) {
    return {text.data(), text.size()};
  }

  asio::awaitable<void> Accept() {
    while (true) {
      auto socket = std::make_shared<tcp::socket>(
          co_await m_acceptor.async_accept(asio::use_awaitable));
      m_sockets.emplace_back(m_incarnation, socket);
      asio::co_spawn(m_context, Serve(socket, m_incarnation), asio::detached);
    }
  }

  asio::awaitable<void> Serve(std::shared_ptr<tcp::socket> socket,
                              std::int64_t incarnation) {
    namespace http = boost::beast::http;
    boost::beast::flat_buffer buffer;
    constexpr auto kTuple = asio::as_tuple(asio::use_awaitable);
    while (true) {
      HttpRequest request;
      auto [error, size] =
          co_await http::async_read(*socket, buffer, request, kTuple);
      if (error || incarnation != m_incarnation) {
        socket->set_option(asio::socket_base::linger(true, 0), error);
        socket->close(error);
        co_return;
      }
      JsonObject body = *ParseJsonObject(request.body());
      const std::string path(request.target().data(), request.target().size());
      if (!m_has_power) {
        m_unanswered.push_back({incarnation, path, body, ClockMs()});
        continue;
      }
      m_requests.push_back({incarnation, path, body, ClockMs()});
      if (const auto* wait = body.if_contains("wait_ms")) {
        // Held until the end of the wait, or of the incarnation.
        asio::steady_timer timer(
            m_context,
            std::min(m_longest_wait, Milliseconds(wait->to_number<int>())));
        co_await timer.async_wait(kTuple);
        if (incarnation != m_incarnation) {
          continue;
        }
      }
      if (!m_has_power) {
        continue;
      }
      const bool is_fenced = m_requests.back().Fencing() < m_fencing;
      HttpResponse response =
          is_fenced
              ? JsonResponse(409, JsonObject{{"clock_ms", ClockMs()},
                                             {"reason", "fence"}})
              : JsonResponse(m_is_other_worker ? 421 : 200, Answer(path, body));
      response.keep_alive(true);
      response.prepare_payload();
      co_await http::async_write(*socket, response, kTuple);
    }
  }

  Json Answer(const std::string& path, const JsonObject& body) {
    JsonObject answer{{"clock_ms", ClockMs()}};
    m_fencing =
        std::max(m_fencing, body.at("fencing_token").to_number<std::int64_t>());
    if (const auto* deadline = body.if_contains("deadline_ms")) {
      m_lease_ms = std::max(
          m_lease_ms, std::min(deadline->to_number<std::int64_t>(),
                               ClockMs() + ToMilliseconds(kLongestLease)));
    }
    if (path == "/run-start") {
      m_running[std::string(body.at("task").as_string())] =
          body.at("run").to_number<std::int64_t>();
    } else if (path == "/run-stop") {
      m_running.erase(std::string(body.at("task").as_string()));
    } else if (path == "/hold") {
      const auto cursor = body.at("ack_cursor").to_number<std::int64_t>();
      std::erase_if(m_finished, [cursor](const JsonArray& end) {
        return end[0].to_number<std::int64_t>() <= cursor;
      });
      answer["born"] = m_incarnation;
      JsonArray running;
      for (const auto& [task, run] : m_running) {
        running.push_back(JsonArray{JsonView(task), run, "", 100});
      }
      answer["running"] = std::move(running);
      answer["finished"] = JsonArray(m_finished.begin(), m_finished.end());
    }
    return answer;
  }

  asio::io_context& m_context;
  tcp::acceptor m_acceptor;
  std::int64_t m_first_clock_ms = 1;
  TimePoint m_began_at = SteadyNow();
  std::vector<std::pair<std::int64_t, std::shared_ptr<tcp::socket>>> m_sockets;
  std::vector<JsonArray> m_finished;
  std::int64_t m_next_finished = 1;
};

}  // namespace filbertspar
