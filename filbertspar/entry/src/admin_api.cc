#include "filbertspar/entry/src/admin_api.h"

#include <chrono>
#include <optional>
#include <utility>
#include <vector>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "filbertspar/entry/src/commit.h"
#include "filbertspar/entry/src/edit.h"
#include "filbertspar/entry/src/explain_api.h"

namespace filbertspar {
namespace {

constexpr std::string_view kOperatorHeader = "x-filbertspar-operator-key";
constexpr std::string_view kPrefix = "/admin/v1/";
constexpr Duration kWriteDeadline = Seconds(3);

/// Path segments after the prefix; empty when the path has another form.
std::vector<std::string> SegmentsOf(std::string_view path) {
  std::vector<std::string> segments;
  if (!path.starts_with(kPrefix)) {
    return segments;
  }
  path.remove_prefix(kPrefix.size());
  while (!path.empty()) {
    const std::size_t slash = path.find('/');
    segments.emplace_back(path.substr(0, slash));
    path = slash == std::string_view::npos ? std::string_view{}
                                           : path.substr(slash + 1);
  }
  return segments;
}

std::int64_t WallMilliseconds() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

/// Hashes are of no use to readers and help whoever tries to guess a key.
void RemoveHashes(JsonObject& document) {
  for (const char* list : {"keys", "operators"}) {
    for (Json& item : document[list].as_array()) {
      item.as_object().erase("hash");
    }
  }
}

}  // namespace

AdminApi::AdminApi(Config& config, Store& store, const FleetView& fleet,
                   Dispatcher& dispatcher, std::string bootstrap_hash)
    : m_config(config),
      m_store(store),
      m_fleet(fleet),
      m_dispatcher(dispatcher),
      m_bootstrap_hash(std::move(bootstrap_hash)) {}

absl::Status AdminApi::Check(const HttpRequest& request, Role needed) const {
  const std::string_view key = HeaderOf(request, kOperatorHeader);
  if (m_config.Current() == nullptr && !key.empty()) {
    const std::optional<KeyDigest> bootstrap = DigestFromHex(m_bootstrap_hash);
    if (bootstrap && EqualDigests(DigestOf(key), *bootstrap)) {
      return absl::OkStatus();
    }
  }
  return CheckOperator(m_config.GetAccess(), key, needed).status();
}

asio::awaitable<HttpResponse> AdminApi::Handle(const HttpRequest& request) {
  const std::vector<std::string> segments = SegmentsOf(PathOf(request));
  if (segments.empty() || segments.size() > 3) {
    co_return CodeResponse(Code::kUnknownPath, "");
  }
  const std::string& kind = segments[0];
  const bool fleet_kind = kind == "vms" || kind == "drains";
  const Role needed = request.method() == HttpVerb::get ? Role::kViewer
                      : fleet_kind                      ? Role::kFleet
                                                        : Role::kAdmin;
  if (absl::Status status = Check(request, needed); !status.ok()) {
    co_return StatusResponse(status);
  }
  if (request.method() == HttpVerb::get) {
    if (kind == "config" && segments.size() == 3 && segments[1] == "versions") {
      co_return co_await GetVersion(segments[2]);
    }
    if (kind == "catalogue") {
      co_return GetDocument();
    }
    if (kind == "vms") {
      co_return GetVms();
    }
    if (kind == "status") {
      co_return GetStatus();
    }
    if (kind == "explain" && segments.size() >= 2) {
      co_return GetExplanation(segments);
    }
    co_return CodeResponse(Code::kUnknownPath, "");
  }
  if (kind == "catalogue" && segments.size() == 1) {
    co_return co_await PutDocument(request);
  }
  if (kind == "keys" && request.method() == HttpVerb::post) {
    co_return co_await GrantKey(request);
  }
  if (kind == "operators" && request.method() == HttpVerb::post) {
    co_return co_await AddOperator(request);
  }
  if (kind == "vms" && segments.size() == 2) {
    co_return co_await PutVm(request, segments[1]);
  }
  if (kind == "drains" && segments.size() == 2) {
    const bool drain = request.method() != HttpVerb::delete_;
    co_return co_await SetVmState(
        request, segments[1], drain ? VmState::kInService : VmState::kCordoned,
        drain ? VmState::kCordoned : VmState::kInService);
  }
  if (segments.size() == 2) {
    co_return co_await EditItem(request, kind, segments[1]);
  }
  co_return CodeResponse(Code::kUnknownPath, "");
}

asio::awaitable<HttpResponse> AdminApi::PutDocument(
    const HttpRequest& request) {
  absl::StatusOr<JsonObject> body = ParseJsonObject(request.body());
  if (!body.ok()) {
    co_return StatusResponse(body.status());
  }
  co_return co_await CommitChange(
      m_config, request, [&](Catalogue& catalogue) -> absl::Status {
        FS_RETURN_IF_ERROR(FillHashes(catalogue, *body));
        catalogue = Catalogue();
        return FromJson(*body, catalogue);
      });
}

asio::awaitable<HttpResponse> AdminApi::GetVersion(std::string_view version) {
  std::uint64_t number = 0;
  if (!absl::SimpleAtoi(std::string(version), &number)) {
    co_return CodeResponse(Code::kBadField, "expected a version number");
  }
  absl::StatusOr<Catalogue> catalogue =
      co_await m_config.ReadVersion(ConfigVersion(number));
  if (!catalogue.ok()) {
    co_return StatusResponse(catalogue.status());
  }
  JsonObject document = ToJson(*catalogue);
  RemoveHashes(document);
  co_return JsonResponse(200, std::move(document));
}

asio::awaitable<HttpResponse> AdminApi::EditItem(const HttpRequest& request,
                                                 std::string kind,
                                                 std::string name) {
  if (request.method() == HttpVerb::delete_) {
    co_return co_await CommitChange(m_config, request,
                                    [&](Catalogue& catalogue) {
                                      return RemoveItem(catalogue, kind, name);
                                    });
  }
  absl::StatusOr<JsonObject> item = ParseJsonObject(request.body());
  if (!item.ok()) {
    co_return StatusResponse(item.status());
  }
  co_return co_await CommitChange(m_config, request, [&](Catalogue& catalogue) {
    return PutItem(catalogue, kind, name, *item);
  });
}

asio::awaitable<HttpResponse> AdminApi::GrantKey(const HttpRequest& request) {
  absl::StatusOr<JsonObject> body = ParseJsonObject(request.body());
  absl::StatusOr<std::string> secret = NewKey();
  if (!body.ok() || !secret.ok()) {
    co_return StatusResponse(body.ok() ? secret.status() : body.status());
  }
  Key key;
  FieldReader reader(*body, "key");
  reader.Read("name", key.m_name);
  reader.Read("team", key.m_team);
  if (absl::Status status = reader.Finish(); !status.ok()) {
    co_return StatusResponse(status);
  }
  key.m_hash = HashOf(*secret);
  JsonObject extra;
  extra["key"] = *secret;
  co_return co_await CommitChange(
      m_config, request,
      [&](Catalogue& catalogue) {
        catalogue.m_keys.push_back(key);
        return absl::OkStatus();
      },
      std::move(extra));
}

asio::awaitable<HttpResponse> AdminApi::AddOperator(
    const HttpRequest& request) {
  absl::StatusOr<JsonObject> body = ParseJsonObject(request.body());
  absl::StatusOr<std::string> secret = NewKey();
  if (!body.ok() || !secret.ok()) {
    co_return StatusResponse(body.ok() ? secret.status() : body.status());
  }
  Operator op;
  (*body)["hash"] = HashOf(*secret);
  if (absl::Status status = FromJson(*body, op); !status.ok()) {
    co_return StatusResponse(status);
  }
  JsonObject extra;
  extra["key"] = *secret;
  co_return co_await CommitChange(
      m_config, request,
      [&](Catalogue& catalogue) {
        catalogue.m_operators.push_back(op);
        return absl::OkStatus();
      },
      std::move(extra));
}

asio::awaitable<HttpResponse> AdminApi::PutVm(const HttpRequest& request,
                                              std::string name) {
  absl::StatusOr<JsonObject> body = ParseJsonObject(request.body());
  if (!body.ok()) {
    co_return StatusResponse(body.status());
  }
  (*body)["name"] = name;
  VmRow vm;
  if (absl::Status status = FromJson(*body, vm); !status.ok()) {
    co_return StatusResponse(status);
  }
  vm.m_since_ms = WallMilliseconds();
  std::vector<RowWrite> rows;
  rows.push_back({{std::string(kVmTable), name}, RowVersion(0), ToJson(vm)});
  const WriteReport report =
      co_await m_store.Write(std::move(rows), kWriteDeadline);
  if (report.m_outcome == WriteOutcome::kCommitted) {
    co_return JsonResponse(200, JsonObject{{"vm", name}});
  }
  co_return CodeResponse(report.m_outcome == WriteOutcome::kConflict
                             ? Code::kVmWrongState
                             : Code::kChangeUnconfirmed,
                         "");
}

asio::awaitable<HttpResponse> AdminApi::SetVmState(const HttpRequest& request,
                                                   std::string name,
                                                   VmState from, VmState to) {
  static_cast<void>(request);
  const RowKey key{std::string(kVmTable), name};
  absl::StatusOr<Row> row = co_await m_store.Read(key, kWriteDeadline);
  if (!row.ok()) {
    co_return StatusResponse(row.status());
  }
  VmRow vm;
  if (!row->m_value || !row->m_value->is_object() ||
      !FromJson(row->m_value->as_object(), vm).ok()) {
    co_return CodeResponse(Code::kVmUnknown, "");
  }
  if (vm.m_state != from) {
    co_return CodeResponse(Code::kVmWrongState, "");
  }
  vm.m_state = to;
  vm.m_since_ms = WallMilliseconds();
  ++vm.m_epoch;
  std::vector<RowWrite> rows;
  rows.push_back({key, row->m_version, ToJson(vm)});
  const WriteReport report =
      co_await m_store.Write(std::move(rows), kWriteDeadline);
  if (report.m_outcome == WriteOutcome::kCommitted) {
    co_return JsonResponse(200, ToJson(vm));
  }
  co_return CodeResponse(report.m_outcome == WriteOutcome::kConflict
                             ? Code::kVmWrongState
                             : Code::kChangeUnconfirmed,
                         "");
}

HttpResponse AdminApi::GetDocument() const {
  const std::shared_ptr<const Catalogue> catalogue = m_config.Current();
  if (catalogue == nullptr) {
    return CodeResponse(Code::kNoConfig, "");
  }
  JsonObject document = ToJson(*catalogue);
  RemoveHashes(document);
  return JsonResponse(200, std::move(document));
}

HttpResponse AdminApi::GetVms() const {
  JsonArray vms;
  for (const auto& [name, row] : m_fleet.m_vms) {
    vms.push_back(ToJson(row));
  }
  return JsonResponse(200, JsonObject{{"vms", std::move(vms)}});
}

HttpResponse AdminApi::GetExplanation(
    const std::vector<std::string>& segments) const {
  const Engine& engine = m_dispatcher.GetEngine();
  const TimePoint now = SteadyNow();
  if (segments[1] == "shares" && segments.size() == 2) {
    return ExplainShares(engine, now);
  }
  if (segments[1] == "vm" && segments.size() == 3) {
    const auto found = m_fleet.m_vms.find(VmName(segments[2]));
    return ExplainVm(engine, now,
                     found == m_fleet.m_vms.end() ? nullptr : &found->second,
                     WallMilliseconds());
  }
  std::uint64_t number = 0;
  if (segments[1] == "job" && segments.size() == 3 &&
      absl::SimpleAtoi(segments[2], &number)) {
    return ExplainJob(engine, now, RequestId(number));
  }
  return CodeResponse(Code::kUnknownPath, "");
}

HttpResponse AdminApi::GetStatus() const {
  const Engine& engine = m_dispatcher.GetEngine();
  const EngineCounters& counters = engine.m_counters;
  JsonObject replies;
  for (const auto& [code, count] : counters.m_replies) {
    const std::string_view name = Describe(code).m_name;
    replies[boost::json::string_view(name.data(), name.size())] = count;
  }
  JsonArray uses;
  for (const TeamPoolUse& use : UseOf(engine)) {
    uses.push_back(JsonObject{{"team", use.m_team.Value()},
                              {"pool", use.m_pool.Value()},
                              {"running", use.m_running},
                              {"waiting", use.m_waiting},
                              {"free_grant", use.m_free_grant}});
  }
  return JsonResponse(
      200, JsonObject{{"config_version", m_config.Version().Value()},
                      {"store_reachable", m_store.Reachable()},
                      {"submitted", counters.m_submitted},
                      {"attempts", counters.m_attempts},
                      {"retries", counters.m_retries},
                      {"refused_by_worker", counters.m_refused_by_worker},
                      {"lost", counters.m_lost},
                      {"forwarded", counters.m_forwarded},
                      {"replies", std::move(replies)},
                      {"uses", std::move(uses)}});
}

}  // namespace filbertspar
