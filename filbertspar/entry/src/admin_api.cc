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

absl::StatusOr<ConfigVersion> VersionOf(std::string_view text) {
  std::uint64_t number = 0;
  if (!absl::SimpleAtoi(std::string(text), &number)) {
    return Error(Code::kBadField, "expected a version number");
  }
  return ConfigVersion(number);
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

AdminApi::AdminApi(Config& config, Store& store, const WorkerDirectory& fleet,
                   Dispatcher& dispatcher, std::string bootstrap_hash)
    : m_config(config),
      m_store(store),
      m_fleet(fleet),
      m_dispatcher(dispatcher),
      m_fleet_api(config, store),
      m_bootstrap_hash(std::move(bootstrap_hash)) {}

absl::StatusOr<std::string> AdminApi::Check(const HttpRequest& request,
                                            Role needed) const {
  const std::string_view key = HeaderOf(request, kOperatorHeader);
  if (m_config.Current() == nullptr && !key.empty()) {
    const std::optional<KeyDigest> bootstrap = DigestFromHex(m_bootstrap_hash);
    if (bootstrap && EqualDigests(DigestOf(key), *bootstrap)) {
      return std::string("bootstrap");
    }
  }
  absl::StatusOr<OperatorName> name =
      CheckOperator(m_config.GetAccess(), key, needed);
  if (!name.ok()) {
    return name.status();
  }
  return name->Value();
}

asio::awaitable<HttpResponse> AdminApi::Handle(const HttpRequest& request) {
  const std::vector<std::string> segments = SegmentsOf(PathOf(request));
  if (segments.empty() || segments.size() > 3) {
    co_return CodeResponse(Code::kUnknownPath, "");
  }
  const std::string& kind = segments[0];
  const bool fleet_kind = FleetApi::Serves(kind);
  const Role needed = request.method() == HttpVerb::get ? Role::kViewer
                      : fleet_kind                      ? Role::kFleet
                                                        : Role::kAdmin;
  const absl::StatusOr<std::string> author = Check(request, needed);
  if (!author.ok()) {
    co_return StatusResponse(author.status());
  }
  if (fleet_kind) {
    co_return co_await m_fleet_api.Handle(request, segments, *author);
  }
  if (request.method() == HttpVerb::get) {
    co_return co_await Read(request, segments);
  }
  co_return co_await ChangeConfig(request, segments, *author);
}

asio::awaitable<HttpResponse> AdminApi::Read(
    const HttpRequest& request, const std::vector<std::string>& segments) {
  const std::string& kind = segments[0];
  if (kind == "config" && segments.size() == 3 && segments[1] == "versions") {
    co_return co_await GetVersion(segments[2]);
  }
  if (kind == "config" && segments.size() == 2 && segments[1] == "versions") {
    co_return GetVersions();
  }
  if (kind == "config" && segments.size() == 2 && segments[1] == "compare") {
    co_return co_await GetComparison(request);
  }
  if (kind == "catalogue" && segments.size() == 1) {
    co_return GetDocument();
  }
  if (kind == "status" && segments.size() == 1) {
    co_return GetStatus();
  }
  if (kind == "explain" && segments.size() >= 2) {
    co_return GetExplanation(segments);
  }
  co_return CodeResponse(Code::kUnknownPath, "");
}

asio::awaitable<HttpResponse> AdminApi::ChangeConfig(
    const HttpRequest& request, const std::vector<std::string>& segments,
    std::string author) {
  const std::string& kind = segments[0];
  if (kind == "catalogue" && segments.size() == 1 &&
      request.method() == HttpVerb::put) {
    co_return co_await PutDocument(request, author);
  }
  if (kind == "config" && segments.size() == 2 && segments[1] == "restore") {
    co_return co_await RestoreVersion(request, author);
  }
  if (kind == "keys" && segments.size() == 1 &&
      request.method() == HttpVerb::post) {
    co_return co_await GrantKey(request, author);
  }
  if (kind == "operators" && segments.size() == 1 &&
      request.method() == HttpVerb::post) {
    co_return co_await AddOperator(request, author);
  }
  if (segments.size() == 2) {
    co_return co_await EditItem(request, kind, segments[1], author);
  }
  co_return CodeResponse(Code::kUnknownPath, "");
}

asio::awaitable<HttpResponse> AdminApi::PutDocument(const HttpRequest& request,
                                                    std::string author) {
  absl::StatusOr<JsonObject> body = ParseJsonObject(request.body());
  if (!body.ok()) {
    co_return StatusResponse(body.status());
  }
  const Config::Change change = [&](Catalogue& catalogue) -> absl::Status {
    FS_RETURN_IF_ERROR(FillHashes(catalogue, *body));
    catalogue = Catalogue();
    return FromJson(*body, catalogue);
  };
  co_return co_await CommitChange(m_config, request, author, change);
}

asio::awaitable<HttpResponse> AdminApi::RestoreVersion(
    const HttpRequest& request, std::string author) {
  const absl::StatusOr<ConfigVersion> version =
      VersionOf(QueryOf(request, "version"));
  if (!version.ok()) {
    co_return StatusResponse(version.status());
  }
  const ExportReply reply = co_await m_config.ExportVersion(*version);
  if (reply.m_code != Code::kOk || reply.m_record == nullptr) {
    co_return CodeResponse(
        reply.m_code == Code::kOk ? Code::kNotFound : reply.m_code, "");
  }
  const Config::Change change = [&](Catalogue& catalogue) {
    RestoreDocument(catalogue, reply.m_record->m_catalogue);
    return absl::OkStatus();
  };
  co_return co_await CommitChange(m_config, request, author, change);
}

asio::awaitable<HttpResponse> AdminApi::GetVersion(std::string text) {
  const absl::StatusOr<ConfigVersion> version = VersionOf(text);
  if (!version.ok()) {
    co_return StatusResponse(version.status());
  }
  const ExportReply reply = co_await m_config.ExportVersion(*version);
  if (reply.m_code != Code::kOk || reply.m_record == nullptr) {
    co_return CodeResponse(
        reply.m_code == Code::kOk ? Code::kNotFound : reply.m_code, "");
  }
  JsonObject document = ToJson(reply.m_record->m_catalogue);
  RemoveHashes(document);
  co_return JsonResponse(200, std::move(document));
}

HttpResponse AdminApi::GetVersions() const {
  JsonObject nodes;
  for (const auto& [node, version] : VersionsInForce(m_config.GetRollout())) {
    nodes[node.Value()] = version.Value();
  }
  return JsonResponse(200, JsonObject{{"in_force", m_config.Version().Value()},
                                      {"nodes", std::move(nodes)}});
}

asio::awaitable<HttpResponse> AdminApi::GetComparison(
    const HttpRequest& request) {
  const absl::StatusOr<ConfigVersion> from =
      VersionOf(QueryOf(request, "from"));
  const absl::StatusOr<ConfigVersion> to = VersionOf(QueryOf(request, "to"));
  if (!from.ok() || !to.ok()) {
    co_return StatusResponse(from.ok() ? to.status() : from.status());
  }
  const CompareReply reply = co_await m_config.CompareVersions(*from, *to);
  if (reply.m_code != Code::kOk) {
    co_return CodeResponse(reply.m_code, "");
  }
  JsonArray lines;
  for (const std::string& line : reply.m_lines) {
    lines.push_back(Json(line));
  }
  co_return JsonResponse(200, JsonObject{{"differences", std::move(lines)}});
}

asio::awaitable<HttpResponse> AdminApi::EditItem(const HttpRequest& request,
                                                 std::string kind,
                                                 std::string name,
                                                 std::string author) {
  Config::Change change = [&](Catalogue& catalogue) {
    return RemoveItem(catalogue, kind, name);
  };
  absl::StatusOr<JsonObject> item = JsonObject();
  if (request.method() != HttpVerb::delete_) {
    item = ParseJsonObject(request.body());
    if (!item.ok()) {
      co_return StatusResponse(item.status());
    }
    change = [&](Catalogue& catalogue) {
      return PutItem(catalogue, kind, name, *item);
    };
  }
  co_return co_await CommitChange(m_config, request, author, change);
}

asio::awaitable<HttpResponse> AdminApi::GrantKey(const HttpRequest& request,
                                                 std::string author) {
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
  const Config::Change change = [&](Catalogue& catalogue) {
    catalogue.m_keys.push_back(key);
    return absl::OkStatus();
  };
  JsonObject extra;
  extra["key"] = *secret;
  co_return co_await CommitChange(m_config, request, author, change,
                                  std::move(extra));
}

asio::awaitable<HttpResponse> AdminApi::AddOperator(const HttpRequest& request,
                                                    std::string author) {
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
  const Config::Change change = [&](Catalogue& catalogue) {
    catalogue.m_operators.push_back(op);
    return absl::OkStatus();
  };
  JsonObject extra;
  extra["key"] = *secret;
  co_return co_await CommitChange(m_config, request, author, change,
                                  std::move(extra));
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
                      {"given_up", counters.m_given_up},
                      {"lost", counters.m_lost},
                      {"forwarded", counters.m_forwarded},
                      {"replies", std::move(replies)},
                      {"uses", std::move(uses)}});
}

}  // namespace filbertspar
