#include "filbertspar/entry/src/caller_api.h"

#include <algorithm>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace filbertspar {
namespace {

constexpr std::string_view kKeyHeader = "x-filbertspar-key";
constexpr std::string_view kJobsPath = "/v1/jobs";
constexpr std::size_t kMaxIdLength = 128;
constexpr std::size_t kMaxRemembered = 40'000;
constexpr Duration kDefaultDeadline = Seconds(10);
constexpr Duration kLongestDeadline = std::chrono::hours(24);

/// Characters that need no escape in a path or a table key.
bool IsToken(const std::string& text) {
  return text.size() <= kMaxIdLength &&
         std::all_of(text.begin(), text.end(), [](char c) {
           return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
                  (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.';
         });
}

struct JobFields {
  EntryName m_entry;
  std::string m_body;
  std::string m_request_key;
  std::string m_id;
  Duration m_deadline = kDefaultDeadline;
};

absl::StatusOr<JobFields> ReadJob(const std::string& text) {
  absl::StatusOr<JsonObject> object = ParseJsonObject(text);
  if (!object.ok()) {
    return object.status();
  }
  JobFields job;
  FieldReader reader(*object, "job");
  reader.Read("entry", job.m_entry);
  reader.Read("body", job.m_body);
  reader.ReadOptional("request_key", job.m_request_key);
  reader.ReadOptional("id", job.m_id);
  reader.ReadOptional("deadline_ms", job.m_deadline, Milliseconds(1),
                      kLongestDeadline);
  if (!IsToken(job.m_request_key)) {
    reader.Fail("request_key", "at most 128 of a-z, A-Z, 0-9, '-', '_', '.'");
  }
  if (!IsToken(job.m_id)) {
    reader.Fail("id", "at most 128 of a-z, A-Z, 0-9, '-', '_', '.'");
  }
  if (absl::Status status = reader.Finish(); !status.ok()) {
    return status;
  }
  return job;
}

}  // namespace

HttpResponse JobResponse(RequestId request, Code code, const Body& body) {
  const CodeInfo& info = Describe(code);
  const std::string_view outcome = OutcomeName(info.m_outcome);
  JsonObject json{
      {"request", std::to_string(request.Value())},
      {"code", static_cast<int>(code)},
      {"name",
       boost::json::string_view(info.m_name.data(), info.m_name.size())},
      {"outcome", boost::json::string_view(outcome.data(), outcome.size())}};
  if (code != Code::kOk) {
    json["message"] =
        boost::json::string_view(info.m_text.data(), info.m_text.size());
  }
  if (body != nullptr && code == Code::kOk) {
    json["result"] = *body;
  }
  return JsonResponse(info.m_http_status, json);
}

asio::awaitable<HttpResponse> CallerApi::Handle(const HttpRequest& request) {
  const std::string_view path = PathOf(request);
  if (path == kJobsPath && request.method() == HttpVerb::post) {
    co_return co_await SubmitJob(request);
  }
  if (path.starts_with(kJobsPath) && path.size() > kJobsPath.size() + 1) {
    const std::string_view id = path.substr(kJobsPath.size() + 1);
    if (request.method() == HttpVerb::get) {
      co_return QueryJob(request, id);
    }
    if (request.method() == HttpVerb::delete_) {
      co_return CancelJob(request, id);
    }
  }
  if (path == "/healthz") {
    co_return TextResponse(200, "ok\n");
  }
  if (path == "/readyz") {
    co_return Ready();
  }
  co_return CodeResponse(Code::kUnknownPath, "");
}

asio::awaitable<HttpResponse> CallerApi::SubmitJob(const HttpRequest& request) {
  RequestSample sample;
  const TimePoint start = SteadyNow();
  HttpResponse response = co_await RunJob(request, sample);
  const TimePoint end = SteadyNow();
  sample.m_latency = end - start;
  Record(m_metrics, end, std::move(sample));
  co_return response;
}

asio::awaitable<HttpResponse> CallerApi::RunJob(const HttpRequest& request,
                                                RequestSample& sample) {
  const std::shared_ptr<const Catalogue> catalogue = m_config.Current();
  if (catalogue == nullptr) {
    sample.m_code = Code::kNoConfig;
    co_return CodeResponse(sample.m_code, "");
  }
  absl::StatusOr<JobFields> job = ReadJob(request.body());
  if (!job.ok()) {
    sample.m_code = CodeOf(job.status());
    co_return StatusResponse(job.status());
  }
  absl::StatusOr<Permit> permit = CheckSubmit(
      m_config.GetAccess(), HeaderOf(request, kKeyHeader), job->m_entry);
  if (!permit.ok()) {
    sample.m_code = CodeOf(permit.status());
    co_return StatusResponse(permit.status());
  }
  sample.m_team = permit->m_team.Value();
  if (const CatalogueEntry* entry = FindEntry(*catalogue, job->m_entry)) {
    sample.m_class = std::string(ToString(entry->m_class));
  }
  const Team* team = FindTeam(*catalogue, permit->m_team);
  // An empty key name means an open entry, which no revocation can close.
  if (!permit->m_key.Empty()) {
    const Code fresh = team == nullptr ? Code::kConfigStale
                                       : m_config.Freshness(team->m_workspace);
    if (fresh != Code::kOk) {
      sample.m_code = fresh;
      co_return CodeResponse(fresh, "");
    }
  }
  Submission submission;
  submission.m_entry = job->m_entry;
  submission.m_team = permit->m_team;
  submission.m_key = permit->m_key;
  submission.m_body =
      std::make_shared<const std::string>(std::move(job->m_body));
  submission.m_request_key = std::move(job->m_request_key);
  submission.m_deadline = job->m_deadline;
  const TeamName owner = permit->m_team;
  const Reply reply = co_await m_dispatcher.Submit(
      std::move(submission),
      [&](RequestId id) { Remember(owner, job->m_id, id); });
  sample.m_code = reply.m_code;
  co_return JobResponse(reply.m_request, reply.m_code, reply.m_body);
}

void CallerApi::Remember(const TeamName& team, const std::string& id,
                         RequestId request) {
  m_team_of[request] = team;
  m_team_order.push_back(request);
  if (m_team_order.size() > kMaxRemembered) {
    m_team_of.erase(m_team_order.front());
    m_team_order.pop_front();
  }
  if (id.empty()) {
    return;
  }
  std::string alias = absl::StrCat(team.Value(), "/", id);
  m_aliases[alias] = request;
  m_alias_order.push_back(std::move(alias));
  if (m_alias_order.size() > kMaxRemembered) {
    m_aliases.erase(m_alias_order.front());
    m_alias_order.pop_front();
  }
}

/// A request of another team is not told apart from one that does not exist.
absl::StatusOr<RequestId> CallerApi::FindOwn(const HttpRequest& request,
                                             std::string_view id) {
  absl::StatusOr<Permit> permit =
      CheckKey(m_config.GetAccess(), HeaderOf(request, kKeyHeader));
  if (!permit.ok()) {
    return permit.status();
  }
  const std::string text(id);
  const auto alias =
      m_aliases.find(absl::StrCat(permit->m_team.Value(), "/", text));
  if (alias != m_aliases.end()) {
    return alias->second;
  }
  std::uint64_t number = 0;
  if (absl::SimpleAtoi(text, &number)) {
    const auto found = m_team_of.find(RequestId(number));
    if (found != m_team_of.end() && found->second == permit->m_team) {
      return RequestId(number);
    }
  }
  return Error(Code::kRequestUnknown, "");
}

HttpResponse CallerApi::QueryJob(const HttpRequest& request,
                                 std::string_view id) {
  absl::StatusOr<RequestId> own = FindOwn(request, id);
  if (!own.ok()) {
    return StatusResponse(own.status());
  }
  const std::optional<RequestStatus> status =
      Query(m_dispatcher.GetEngine(), *own);
  if (!status) {
    return CodeResponse(Code::kRequestUnknown, "");
  }
  return JobResponse(*own, status->m_code, status->m_body);
}

HttpResponse CallerApi::CancelJob(const HttpRequest& request,
                                  std::string_view id) {
  absl::StatusOr<RequestId> own = FindOwn(request, id);
  if (!own.ok()) {
    return StatusResponse(own.status());
  }
  m_dispatcher.CancelRequest(*own);
  const std::optional<RequestStatus> status =
      Query(m_dispatcher.GetEngine(), *own);
  if (!status) {
    return CodeResponse(Code::kRequestUnknown, "");
  }
  return JobResponse(*own, status->m_code, status->m_body);
}

HttpResponse CallerApi::Ready() const {
  if (!m_ready) {
    return CodeResponse(Code::kStopping, "");
  }
  if (m_config.Current() == nullptr) {
    return CodeResponse(Code::kNoConfig, "");
  }
  return TextResponse(200, "ready\n");
}

}  // namespace filbertspar
