#include "filbertspar/entry/src/worker_client.h"

#include <memory>
#include <string>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace filbertspar {
namespace {

constexpr Duration kControlTimeout = Seconds(1);

std::string Text(const JsonObject& object, const char* field) {
  const Json* value = object.if_contains(field);
  if (value == nullptr || !value->is_string()) {
    return "";
  }
  return {value->as_string().data(), value->as_string().size()};
}

std::uint64_t NumberIn(const JsonObject& object, const char* field) {
  std::uint64_t number = 0;
  return absl::SimpleAtoi(Text(object, field), &number) ? number : 0;
}

std::uint64_t LengthIn(const JsonObject& object) {
  const Json* value = object.if_contains("length");
  boost::json::error_code error;
  const auto length =
      value == nullptr ? 0 : value->to_number<std::uint64_t>(error);
  return error ? 0 : length;
}

void ReadTaskAnswer(const HttpResponse& response, AttemptReport& report) {
  absl::StatusOr<JsonObject> body = ParseJsonObject(response.body());
  if (!body.ok()) {
    return;
  }
  if (response.result_int() == 503) {
    const Json* refused = body->if_contains("refused");
    if (refused != nullptr && refused->is_bool() && refused->as_bool()) {
      report.m_result = AttemptResult::kRefused;
      report.m_reason = Text(*body, "reason");
    }
    return;
  }
  report.m_echoed_request = RequestId(NumberIn(*body, "request"));
  report.m_echoed_attempt = AttemptId(NumberIn(*body, "attempt"));
  report.m_declared_length = LengthIn(*body);
  report.m_body = std::make_shared<const std::string>(Text(*body, "result"));
  if (response.result_int() == 200) {
    report.m_result = AttemptResult::kDone;
  } else if (response.result_int() == 500) {
    report.m_reason = Text(*body, "error");
    report.m_result = report.m_reason == "stopped" ? AttemptResult::kStopped
                                                   : AttemptResult::kFailed;
  }
}

AttemptState StateFrom(const std::string& text) {
  if (text == "unknown") {
    return AttemptState::kUnknown;
  }
  if (text == "running") {
    return AttemptState::kRunning;
  }
  if (text == "done") {
    return AttemptState::kDone;
  }
  if (text == "failed") {
    return AttemptState::kFailed;
  }
  if (text == "stopped") {
    return AttemptState::kStopped;
  }
  return AttemptState::kUnreachable;
}

}  // namespace

asio::awaitable<AttemptReport> WorkerClient::Run(Endpoint worker,
                                                 StartAttempt attempt) {
  JsonObject task{{"request", std::to_string(attempt.m_request.Value())},
                  {"attempt", std::to_string(attempt.m_attempt.Value())},
                  {"job", attempt.m_entry.Value()},
                  {"team", attempt.m_team.Value()},
                  {"body", *attempt.m_body},
                  {"lease_ms", ToMilliseconds(attempt.m_lease)},
                  {"slots", attempt.m_resources.m_slots.Count()},
                  {"memory_mb", attempt.m_resources.m_memory.Count()},
                  {"accelerators", attempt.m_resources.m_accelerators.Count()}};
  const CallResult result = co_await m_client.Call(
      std::move(worker), MakeRequest(HttpVerb::post, "/task", ToText(task)),
      attempt.m_timeout);
  AttemptReport report;
  report.m_attempt = attempt.m_attempt;
  report.m_worker_closed = result.m_failure == CallFailure::kClosed;
  if (result.m_end == CallEnd::kNotSent) {
    report.m_result = AttemptResult::kNotSent;
  } else if (result.m_end == CallEnd::kAnswered) {
    ReadTaskAnswer(result.m_response, report);
  }
  co_return report;
}

asio::awaitable<QueryReport> WorkerClient::Query(Endpoint worker,
                                                 AttemptId attempt,
                                                 RequestId request) {
  QueryReport report;
  report.m_attempt = attempt;
  const CallResult result = co_await m_client.Call(
      std::move(worker),
      MakeRequest(HttpVerb::get, absl::StrCat("/task/", attempt.Value())),
      kControlTimeout);
  if (result.m_end != CallEnd::kAnswered ||
      result.m_response.result_int() != 200) {
    co_return report;
  }
  absl::StatusOr<JsonObject> body = ParseJsonObject(result.m_response.body());
  if (!body.ok()) {
    co_return report;
  }
  const AttemptState state = StateFrom(Text(*body, "state"));
  const std::string text = Text(*body, "result");
  // An answer of another request or a short one says nothing of this attempt.
  if (state != AttemptState::kUnknown &&
      (NumberIn(*body, "request") != request.Value() ||
       LengthIn(*body) != text.size())) {
    co_return report;
  }
  report.m_state = state;
  report.m_body = std::make_shared<const std::string>(text);
  co_return report;
}

asio::awaitable<void> WorkerClient::Stop(Endpoint worker, AttemptId attempt) {
  const std::string body =
      ToText(JsonObject{{"attempt", std::to_string(attempt.Value())}});
  co_await m_client.Call(std::move(worker),
                         MakeRequest(HttpVerb::post, "/stop", body),
                         kControlTimeout);
}

asio::awaitable<void> WorkerClient::Renew(Endpoint worker,
                                          std::vector<AttemptId> attempts,
                                          Duration lease) {
  JsonArray ids;
  for (AttemptId attempt : attempts) {
    ids.push_back(boost::json::string(std::to_string(attempt.Value())));
  }
  const std::string body = ToText(JsonObject{
      {"attempts", std::move(ids)}, {"lease_ms", ToMilliseconds(lease)}});
  co_await m_client.Call(std::move(worker),
                         MakeRequest(HttpVerb::post, "/lease", body),
                         kControlTimeout);
}

}  // namespace filbertspar
