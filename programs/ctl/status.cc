#include <chrono>
#include <cstdio>
#include <ctime>
#include <thread>
#include <utility>

#include "programs/ctl/commands.h"
#include "programs/ctl/table.h"

namespace filbertspar::ctl {
namespace {

std::int64_t Sum(const JsonObject& status, const char* field) {
  std::int64_t sum = 0;
  if (const Json* uses = status.if_contains("uses")) {
    for (const Json& use : uses->as_array()) {
      sum += NumberField(use.as_object(), field);
    }
  }
  return sum;
}

/// One line per team and pool over all entry processes that answered.
Table UsesOf(const std::vector<JsonObject>& answers) {
  std::map<std::pair<std::string, std::string>,
           std::pair<std::int64_t, std::int64_t>>
      sums;
  for (const JsonObject& status : answers) {
    const Json* uses = status.if_contains("uses");
    if (uses == nullptr) {
      continue;
    }
    for (const Json& item : uses->as_array()) {
      const JsonObject& use = item.as_object();
      const std::int64_t running = NumberField(use, "running");
      const std::int64_t waiting = NumberField(use, "waiting");
      if (running + waiting > 0) {
        auto& sum = sums[{TextField(use, "team"), TextField(use, "pool")}];
        sum.first += running;
        sum.second += waiting;
      }
    }
  }
  Table table{{"team", "pool", "running", "waiting"}, {}};
  for (const auto& [key, sum] : sums) {
    table.m_rows.push_back({key.first, key.second, std::to_string(sum.first),
                            std::to_string(sum.second)});
  }
  return table;
}

}  // namespace

absl::Status RunStatus(Session& session) {
  Table table{{"entry", "version", "store", "submitted", "attempts", "retries",
               "running", "waiting"},
              {}};
  std::vector<JsonObject> answers;
  JsonArray lines;
  absl::Status failure = absl::OkStatus();
  for (const Endpoint& address : session.m_options.m_addresses) {
    absl::StatusOr<JsonObject> status =
        session.m_client.GetFrom(address, "status");
    if (!status.ok()) {
      failure = status.status();
      lines.push_back(JsonObject{{"address", address.Text()},
                                 {"code", static_cast<int>(CodeOf(failure))}});
      table.m_rows.push_back(
          {address.Text(), std::string(Describe(CodeOf(failure)).m_name)});
      continue;
    }
    const Json* store = status->if_contains("store_reachable");
    const bool reachable =
        store != nullptr && store->is_bool() && store->as_bool();
    const auto number = [&](const char* field) {
      return std::to_string(NumberField(*status, field));
    };
    table.m_rows.push_back({address.Text(), number("config_version"),
                            reachable ? "reachable" : "unreachable",
                            number("submitted"), number("attempts"),
                            number("retries"),
                            std::to_string(Sum(*status, "running")),
                            std::to_string(Sum(*status, "waiting"))});
    answers.push_back(*status);
    (*status)["address"] = address.Text();
    lines.push_back(*std::move(status));
  }
  if (session.m_options.m_json) {
    std::printf("%s\n", ToText(JsonObject{{"entries", lines}}).c_str());
  } else {
    Print(table);
    const Table uses = UsesOf(answers);
    if (!uses.m_rows.empty()) {
      std::printf("\n");
      Print(uses);
    }
  }
  std::fflush(stdout);
  return answers.empty() ? failure : absl::OkStatus();
}

absl::Status RunWatch(Session& session) {
  for (std::int64_t round = 1;; ++round) {
    if (!session.m_options.m_json) {
      const std::time_t now = std::time(nullptr);
      std::tm parts{};
      gmtime_r(&now, &parts);
      char text[32];
      std::strftime(text, sizeof text, "%Y-%m-%dT%H:%M:%SZ", &parts);
      std::printf("%s%s\n", round == 1 ? "" : "\n", text);
    }
    // A round in which nobody answers is shown; the watch goes on.
    absl::Status status = RunStatus(session);
    if (session.m_options.m_count > 0 && round >= session.m_options.m_count) {
      return status;
    }
    std::this_thread::sleep_for(session.m_options.m_period);
  }
}

}  // namespace filbertspar::ctl
