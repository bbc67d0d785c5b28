/// \file
/// \brief Stand-in for the platform: transactional table, object store and
/// lagging VM list over HTTP, with fault switches under /fault.

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/numbers.h"
#include "boost/asio/as_tuple.hpp"
#include "boost/asio/steady_timer.hpp"
#include "boost/asio/use_awaitable.hpp"
#include "filbertspar/http/http.h"
#include "filbertspar/platform/platform.h"
#include "filbertspar/program/program.h"
#include "standins/platform/store.h"

namespace filbertspar::standin {
namespace {

constexpr std::size_t kMaxRowsPerWrite = 100;
constexpr auto kSilence = std::chrono::hours(1);

/// \brief What goes wrong now; all off at the start.
struct Faults {
  /// Every call is answered 503.
  bool m_down = false;
  /// Every call is received and never answered.
  bool m_silent = false;
  Duration m_slow{0};
  /// Share of writes whose answer is lost after they took effect.
  double m_lose_answers = 0;
  Duration m_list_lag{0};
};

class Platform {
 public:
  Platform(asio::io_context& context, std::uint64_t seed, Duration list_lag)
      : m_context(context), m_client(context, {}), m_rng(seed) {
    m_faults.m_list_lag = list_lag;
  }

  asio::awaitable<HttpResponse> Handle(const HttpRequest& request);

 private:
  asio::awaitable<void> Pause(Duration duration);
  HttpResponse SetFaults(const HttpRequest& request);
  HttpResponse Stats() const;
  HttpResponse Write(const HttpRequest& request, bool& lost);
  HttpResponse Read(std::string_view path, const HttpRequest& request);
  HttpResponse Object(std::string_view name, const HttpRequest& request);
  HttpResponse Vms(const HttpRequest& request);
  asio::awaitable<HttpResponse> Reboot(const HttpRequest& request);
  const std::map<std::string, JsonObject>& LaggingVms();

  asio::io_context& m_context;
  HttpClient m_client;
  Rng m_rng;
  Faults m_faults;
  Store m_store;
  std::deque<std::pair<TimePoint, std::map<std::string, JsonObject>>> m_lists;
  const std::map<std::string, JsonObject> m_no_vms;
  /// Last token "NAME:EPOCH" carried out per VM; each is carried out once.
  std::map<std::string, std::int64_t> m_reboots;
  std::uint64_t m_reads = 0;
  std::uint64_t m_writes = 0;
  std::uint64_t m_rows_written = 0;
};

asio::awaitable<void> Platform::Pause(Duration duration) {
  asio::steady_timer timer(m_context, duration);
  co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

asio::awaitable<HttpResponse> Platform::Handle(const HttpRequest& request) {
  const std::string_view path = PathOf(request);
  if (path == "/fault") {
    co_return SetFaults(request);
  }
  if (path == "/stats") {
    co_return Stats();
  }
  if (m_faults.m_silent) {
    co_await Pause(kSilence);
  }
  if (m_faults.m_slow > Duration(0)) {
    co_await Pause(m_faults.m_slow);
  }
  if (m_faults.m_down) {
    co_return CodeResponse(Code::kPlatformDown, "");
  }
  if (path == "/write" && request.method() == HttpVerb::post) {
    bool lost = false;
    HttpResponse response = Write(request, lost);
    if (lost) {
      co_await Pause(kSilence);
    }
    co_return response;
  }
  if (path.starts_with("/table/")) {
    co_return Read(path.substr(7), request);
  }
  if (path.starts_with("/object/")) {
    co_return Object(path.substr(8), request);
  }
  if (path == "/vms") {
    co_return Vms(request);
  }
  if (path == "/reboot" && request.method() == HttpVerb::post) {
    co_return co_await Reboot(request);
  }
  co_return CodeResponse(Code::kUnknownPath, "");
}

HttpResponse Platform::SetFaults(const HttpRequest& request) {
  absl::StatusOr<JsonObject> body = ParseJsonObject(request.body());
  if (!body.ok()) {
    return StatusResponse(body.status());
  }
  Faults faults = m_faults;
  FieldReader reader(*body, "fault");
  reader.ReadOptional("down", faults.m_down);
  reader.ReadOptional("silent", faults.m_silent);
  reader.ReadOptional("slow_ms", faults.m_slow, Duration(0), Seconds(3600));
  reader.ReadOptional("lose_answers", faults.m_lose_answers, 0.0, 1.0);
  reader.ReadOptional("list_lag_ms", faults.m_list_lag, Duration(0),
                      Seconds(3600));
  if (absl::Status status = reader.Finish(); !status.ok()) {
    return StatusResponse(status);
  }
  m_faults = faults;
  return JsonResponse(200, JsonObject{});
}

HttpResponse Platform::Stats() const {
  return JsonResponse(200, JsonObject{{"reads", m_reads},
                                      {"writes", m_writes},
                                      {"rows_written", m_rows_written}});
}

HttpResponse Platform::Write(const HttpRequest& request, bool& lost) {
  ++m_writes;
  absl::StatusOr<JsonObject> body = ParseJsonObject(request.body());
  if (!body.ok()) {
    return StatusResponse(body.status());
  }
  FieldReader reader(*body, "write");
  std::string attempt;
  reader.Read("attempt", attempt);
  const Json* rows = reader.Find("rows");
  if (rows == nullptr || !rows->is_array() || attempt.empty() ||
      rows->as_array().size() > kMaxRowsPerWrite) {
    reader.Fail("rows", "1 to 100 rows and an attempt id");
    return StatusResponse(reader.Finish());
  }
  std::vector<RowChange> changes;
  for (const Json& json : rows->as_array()) {
    if (!json.is_object()) {
      return CodeResponse(Code::kBadField, "expected rows that are objects");
    }
    RowChange change;
    FieldReader row(json.as_object(), "row");
    row.Read("table", change.m_table);
    row.Read("key", change.m_key);
    std::int64_t expect = 0;
    row.Read("expect", expect, {});
    change.m_expect = static_cast<std::uint64_t>(expect);
    if (const Json* value = row.Find("value")) {
      change.m_value = *value;
    }
    if (absl::Status status = row.Finish(); !status.ok()) {
      return StatusResponse(status);
    }
    changes.push_back(std::move(change));
  }
  m_rows_written += changes.size();
  WriteAnswer answer = m_store.Write(attempt, changes);
  lost = m_rng.Chance(m_faults.m_lose_answers);
  return JsonResponse(answer.m_status, std::move(answer.m_body));
}

HttpResponse Platform::Read(std::string_view path, const HttpRequest& request) {
  ++m_reads;
  const std::size_t slash = path.find('/');
  if (slash == std::string_view::npos) {
    std::uint64_t since = 0;
    std::uint64_t limit = 1000;
    const std::string since_text(QueryOf(request, "since"));
    const std::string limit_text(QueryOf(request, "limit"));
    if ((!since_text.empty() && !absl::SimpleAtoi(since_text, &since)) ||
        (!limit_text.empty() && !absl::SimpleAtoi(limit_text, &limit))) {
      return CodeResponse(Code::kBadField, "expected numbers");
    }
    return JsonResponse(200, m_store.Changes(std::string(path), since, limit));
  }
  absl::StatusOr<std::string> key = DecodeKey(path.substr(slash + 1));
  if (!key.ok()) {
    return StatusResponse(key.status());
  }
  const Row* row = m_store.Find(std::string(path.substr(0, slash)), *key);
  if (row == nullptr) {
    return CodeResponse(Code::kNotFound, "no such row");
  }
  return JsonResponse(200, JsonObject{{"version", row->m_version},
                                      {"attempt", row->m_attempt},
                                      {"value", row->m_value}});
}

HttpResponse Platform::Object(std::string_view name,
                              const HttpRequest& request) {
  const std::string key(name);
  if (request.method() == HttpVerb::put) {
    m_store.m_objects[key] = request.body();
    return JsonResponse(200, JsonObject{});
  }
  const auto found = m_store.m_objects.find(key);
  if (found == m_store.m_objects.end()) {
    return CodeResponse(Code::kNotFound, "no such object");
  }
  return TextResponse(200, found->second);
}

/// The list as it was one lag ago.
const std::map<std::string, JsonObject>& Platform::LaggingVms() {
  const TimePoint shown = SteadyNow() - m_faults.m_list_lag;
  while (m_lists.size() > 1 && m_lists[1].first <= shown) {
    m_lists.pop_front();
  }
  return m_lists.empty() || m_lists.front().first > shown
             ? m_no_vms
             : m_lists.front().second;
}

HttpResponse Platform::Vms(const HttpRequest& request) {
  if (request.method() == HttpVerb::get) {
    JsonArray vms;
    for (const auto& [id, vm] : LaggingVms()) {
      vms.push_back(vm);
    }
    return JsonResponse(200, JsonObject{{"vms", std::move(vms)}});
  }
  // POST changes the true list: one VM, or its removal with state "gone".
  absl::StatusOr<JsonObject> body = ParseJsonObject(request.body());
  if (!body.ok()) {
    return StatusResponse(body.status());
  }
  std::string id;
  std::string address;
  std::string zone;
  std::string state;
  FieldReader reader(*body, "vm");
  reader.Read("id", id);
  reader.ReadOptional("address", address);
  reader.ReadOptional("zone", zone);
  reader.Read("state", state);
  if (absl::Status status = reader.Finish(); !status.ok()) {
    return StatusResponse(status);
  }
  if (state == "gone") {
    m_store.m_vms.erase(id);
  } else {
    m_store.m_vms[id] = *body;
  }
  m_lists.emplace_back(SteadyNow(), m_store.m_vms);
  return JsonResponse(200, JsonObject{});
}

asio::awaitable<HttpResponse> Platform::Reboot(const HttpRequest& request) {
  absl::StatusOr<JsonObject> body = ParseJsonObject(request.body());
  if (!body.ok()) {
    co_return StatusResponse(body.status());
  }
  std::string vm;
  std::string address;
  std::string token;
  FieldReader reader(*body, "reboot");
  reader.Read("vm", vm);
  reader.Read("address", address);
  reader.Read("token", token);
  const std::optional<Endpoint> endpoint = ParseEndpoint(address);
  std::int64_t epoch = 0;
  const std::size_t colon = token.rfind(':');
  if (!endpoint || colon == std::string::npos ||
      !absl::SimpleAtoi(token.substr(colon + 1), &epoch)) {
    reader.Fail("token", "NAME:EPOCH and an address");
  }
  if (absl::Status status = reader.Finish(); !status.ok()) {
    co_return StatusResponse(status);
  }
  if (epoch <= m_reboots[vm]) {
    co_return JsonResponse(200, JsonObject{{"done", false}});
  }
  m_reboots[vm] = epoch;
  HttpRequest reboot = MakeRequest(HttpVerb::post, "/reboot", "{}");
  co_await m_client.Call(*endpoint, std::move(reboot), Seconds(1));
  co_return JsonResponse(200, JsonObject{{"done", true}});
}

absl::Status Run(Settings& settings, bool check_only) {
  const Endpoint listen = settings.GetEndpoint("platform.listen");
  const auto seed = static_cast<std::uint64_t>(
      settings.GetInt("platform.seed", 1, 0, 1'000'000'000));
  const Duration lag = settings.GetMilliseconds(
      "platform.list_lag_ms", Milliseconds(0), Duration(0), Seconds(3600));
  FS_RETURN_IF_ERROR(settings.Finish());
  if (check_only) {
    return absl::OkStatus();
  }
  asio::io_context context(1);
  Platform platform(context, seed, lag);
  HttpServerLimits limits;
  limits.m_body_bytes = 8 << 20;
  HttpServer server(context, limits, [&](const HttpRequest& request) {
    return platform.Handle(request);
  });
  FS_RETURN_IF_ERROR(server.Listen(listen));
  LoggerFor("platform")->info("listening on {}", listen.Text());
  OnStopSignal(context, [&] { context.stop(); });
  context.run();
  return absl::OkStatus();
}

}  // namespace
}  // namespace filbertspar::standin

int main(int argc, char** argv) {
  return filbertspar::RunProgram(
      argc, argv,
      {"platform-standin", "Stand-in for the platform's table, objects, list."},
      filbertspar::standin::Run);
}
