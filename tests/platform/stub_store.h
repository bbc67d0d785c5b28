#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <utility>

#include "absl/strings/escaping.h"
#include "absl/strings/match.h"
#include "filbertspar/http/http.h"
#include "filbertspar/json/json.h"
#include "filbertspar/node/src/async.h"
#include "filbertspar/node/src/clock.h"

namespace filbertspar {

/// \brief The store on loopback, without rows but for those that are given. A
/// call can be held until it is let go.
class StubStore {
 public:
  explicit StubStore(asio::io_context& context)
      : m_let_go(context),
        m_server(
            context, HttpServerLimits(),
            [this](const HttpRequest& request) { return Handle(request); }) {
    const absl::Status status = m_server.Listen({"127.0.0.1", 0});
    static_cast<void>(status);
  }

  Endpoint Address() const { return {"127.0.0.1", m_server.Port()}; }

  /// Value of a row that a transaction writes, decoded; empty without one.
  static JsonObject ValueOf(const JsonObject& transaction,
                            std::string_view table) {
    for (const auto& row : transaction.at("set_keys").as_array()) {
      if (row.at("table").as_string() == JsonText(table)) {
        std::string value;
        const auto& text = row.at("value").as_string();
        absl::Base64Unescape({text.data(), text.size()}, &value);
        return ParseJsonObject(value).value_or(JsonObject());
      }
    }
    return {};
  }

  void LetGo() {
    m_holds = nullptr;
    m_let_go.Notify();
  }

  /// Rows of a table, by key.
  std::map<std::string, std::map<std::string, std::string>> m_rows;
  /// Whether a call is held, by its target.
  std::function<bool(const std::string& target)> m_holds;
  /// Called with each transaction.
  std::function<void(const JsonObject&)> m_on_transaction;

 private:
  static constexpr Duration kFeedTime = Milliseconds(50);

  static boost::json::string_view JsonText(std::string_view text) {
    return {text.data(), text.size()};
  }

  asio::awaitable<HttpResponse> Handle(const HttpRequest& request) {
    const std::string target(request.target());
    const std::string& body = request.body();
    while (m_holds && m_holds(target)) {
      co_await m_let_go.WaitFor(Seconds(1));
    }
    JsonObject answer{{"schema_version", ++m_version},
                      {"now_ms", ToMilliseconds(BootNow().time_since_epoch())}};
    if (absl::StartsWith(target, "/rows-tx")) {
      const auto transaction = ParseJsonObject(body);
      if (transaction.ok() && m_on_transaction) {
        m_on_transaction(*transaction);
      }
    } else {
      if (absl::StartsWith(target, "/rows-feed")) {
        co_await SleepFor(kFeedTime);
      }
      answer["rows"] = RowsOf(target);
      answer["has_more"] = false;
    }
    co_return JsonResponse(200, std::move(answer));
  }

  JsonArray RowsOf(const std::string& target) const {
    JsonArray rows;
    for (const auto& [table, values] : m_rows) {
      if (!absl::StrContains(target, "rows-get") ||
          !absl::StrContains(target, "table=" + table + "&")) {
        continue;
      }
      for (const auto& [key, value] : values) {
        rows.push_back(JsonObject{{"table", table},
                                  {"part", ""},
                                  {"key", key},
                                  {"value", absl::Base64Escape(value)},
                                  {"schema_version", 1}});
      }
    }
    return rows;
  }

  Signal m_let_go;
  std::uint64_t m_version = 0;
  HttpServer m_server;
};

}  // namespace filbertspar
