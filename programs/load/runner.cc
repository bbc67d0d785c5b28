#include "programs/load/runner.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "absl/strings/str_cat.h"
#include "boost/asio/as_tuple.hpp"
#include "boost/asio/co_spawn.hpp"
#include "boost/asio/detached.hpp"
#include "boost/asio/steady_timer.hpp"
#include "boost/asio/use_awaitable.hpp"

namespace filbertspar::load {
namespace {

/// Added to the caller's deadline, so that the entry's own answer arrives.
constexpr Duration kAnswerMargin = Seconds(5);
constexpr Duration kDirectLease = Seconds(10);
/// Largest step of the arrival clock, so that a change of rate is seen.
constexpr Duration kMaxGap = Milliseconds(200);

HttpClientLimits ClientLimits() {
  HttpClientLimits limits;
  limits.m_idle_per_endpoint = 4096;
  return limits;
}

std::string FieldText(const JsonObject& object, const char* field) {
  const Json* value = object.if_contains(field);
  if (value == nullptr || !value->is_string()) {
    return "";
  }
  return {value->as_string().data(), value->as_string().size()};
}

/// The worker's result echoes the body of the request it ran.
bool IsEchoOf(const std::string& result, const std::string& body) {
  absl::StatusOr<JsonObject> object = ParseJsonObject(result);
  return object.ok() && FieldText(*object, "echo") == body;
}

}  // namespace

Runner::Runner(asio::io_context& context, const Scenario& scenario,
               Recorder& recorder)
    : m_context(context),
      m_scenario(scenario),
      m_recorder(recorder),
      m_client(context, ClientLimits()),
      m_rng(scenario.m_seed),
      m_run(std::to_string(WallMicroseconds())) {}

asio::awaitable<void> Runner::Pause(Duration duration) {
  asio::steady_timer timer(m_context, duration);
  co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

void Runner::Start() {
  m_started = SteadyNow();
  m_last_end = m_started;
  for (std::size_t i = 0; i < m_scenario.m_streams.size(); ++i) {
    if (m_scenario.m_closed_callers > 0) {
      for (std::int64_t n = 0; n < m_scenario.m_closed_callers; ++n) {
        ++m_offering;
        asio::co_spawn(m_context, OfferClosed(i), asio::detached);
      }
      continue;
    }
    ++m_offering;
    asio::co_spawn(m_context, OfferOpen(i), asio::detached);
    if (m_scenario.m_streams[i].m_cancel_share > 0) {
      asio::co_spawn(m_context, CancelWave(i), asio::detached);
    }
  }
  asio::co_spawn(m_context, GuardEnd(), asio::detached);
}

asio::awaitable<void> Runner::GuardEnd() {
  const Duration bound = m_scenario.m_duration + m_scenario.m_drain;
  while ((m_offering > 0 || m_recorder.Open() > 0) && SinceStart() < bound) {
    co_await Pause(Milliseconds(5));
  }
  m_context.stop();
}

asio::awaitable<void> Runner::OfferOpen(std::size_t index) {
  const Stream& stream = m_scenario.m_streams[index];
  // Time-varying Poisson arrivals: unit-rate gaps stretched by the rate.
  double gap = -std::log(1 - m_rng.Uniform());
  TimePoint next = m_started;
  while (true) {
    const double rate = RateAt(stream, next - m_started);
    const Duration step =
        rate > 0
            ? std::min(
                  kMaxGap,
                  Duration(static_cast<std::int64_t>(gap / rate * 1e6) + 1))
            : kMaxGap;
    next += step;
    gap -= rate * ToSeconds(step);
    if (next - m_started >= m_scenario.m_duration) {
      break;
    }
    if (gap > 0) {
      continue;
    }
    gap = -std::log(1 - m_rng.Uniform());
    if (const Duration wait = next - SteadyNow(); wait > Duration(0)) {
      co_await Pause(wait);
    }
    std::string key;
    if (stream.m_request_keys) {
      key = absl::StrCat(m_run, "-", stream.m_name, "-", m_next_call);
    }
    asio::co_spawn(m_context, OneCall(index, key), asio::detached);
    if (m_rng.Chance(stream.m_repeat_share)) {
      asio::co_spawn(m_context, OneCall(index, key), asio::detached);
    }
  }
  --m_offering;
}

asio::awaitable<void> Runner::OfferClosed(std::size_t index) {
  while (SinceStart() < m_scenario.m_duration) {
    co_await OneCall(index, "");
  }
  --m_offering;
}

asio::awaitable<void> Runner::CancelWave(std::size_t index) {
  const Stream& stream = m_scenario.m_streams[index];
  co_await Pause(stream.m_cancel_at - SinceStart());
  std::vector<OpenCall> chosen;
  for (const auto& [call, open] : m_open) {
    if (open.m_stream == index && !open.m_id.empty() &&
        m_rng.Chance(stream.m_cancel_share)) {
      chosen.push_back(open);
    }
  }
  for (const OpenCall& open : chosen) {
    HttpRequest request =
        MakeRequest(HttpVerb::delete_, absl::StrCat("/v1/jobs/", open.m_id));
    request.set("x-filbertspar-key", stream.m_key);
    co_await m_client.Call(open.m_target, std::move(request), Seconds(5));
  }
}

HttpRequest Runner::BuildRequest(const Stream& stream, const CallRecord& call,
                                 const std::string& body) const {
  if (m_scenario.m_direct) {
    const std::string id = absl::StrCat(m_run, "-", call.m_call);
    return MakeRequest(
        HttpVerb::post, "/task",
        ToText(JsonObject{{"request", id},
                          {"attempt", id},
                          {"job", stream.m_entry},
                          {"team", stream.m_team},
                          {"body", body},
                          {"lease_ms", ToMilliseconds(kDirectLease)}}));
  }
  JsonObject job{{"entry", stream.m_entry},
                 {"body", body},
                 {"deadline_ms", ToMilliseconds(stream.m_deadline)},
                 {"id", call.m_id}};
  if (!call.m_request_key.empty()) {
    job["request_key"] = call.m_request_key;
  }
  HttpRequest request = MakeRequest(HttpVerb::post, "/v1/jobs", ToText(job));
  if (!stream.m_key.empty()) {
    request.set("x-filbertspar-key", stream.m_key);
  }
  return request;
}

void Runner::ReadAnswer(const CallResult& result, const std::string& body,
                        CallRecord& call) const {
  call.m_outcome = "unknown";
  if (result.m_end == CallEnd::kNotSent) {
    call.m_outcome = "not run";
  }
  if (result.m_end != CallEnd::kAnswered) {
    return;
  }
  absl::StatusOr<JsonObject> answer = ParseJsonObject(result.m_response.body());
  if (!answer.ok()) {
    return;
  }
  if (m_scenario.m_direct) {
    const bool done = result.m_response.result_int() == 200;
    call.m_code = done ? 0 : static_cast<int>(Code::kUpstreamRefused);
    call.m_outcome = done ? "ran" : "not run";
    call.m_own_answer = IsEchoOf(FieldText(*answer, "result"), body);
    return;
  }
  const Json* code = answer->if_contains("code");
  if (code != nullptr && code->is_int64()) {
    call.m_code = static_cast<int>(code->as_int64());
  }
  call.m_outcome = FieldText(*answer, "outcome");
  call.m_request = FieldText(*answer, "request");
  call.m_own_answer = IsEchoOf(FieldText(*answer, "result"), body);
}

asio::awaitable<void> Runner::OneCall(std::size_t index,
                                      std::string request_key) {
  const Stream& stream = m_scenario.m_streams[index];
  CallRecord call;
  call.m_call = ++m_next_call;
  call.m_stream = stream.m_name;
  call.m_team = stream.m_team;
  call.m_entry = stream.m_entry;
  call.m_request_key = std::move(request_key);
  call.m_id = absl::StrCat(m_run, "-", call.m_call);
  call.m_sent_us = WallMicroseconds();
  const std::string body = ToText(JsonObject{
      {"work_ms", ToMilliseconds(stream.m_work)},
      {"stream", stream.m_name},
      {"key", call.m_request_key.empty() ? std::to_string(call.m_call)
                                         : call.m_request_key}});
  const Endpoint target =
      m_scenario.m_targets[call.m_call % m_scenario.m_targets.size()];
  m_open[call.m_call] = {index, call.m_id, target};
  m_recorder.Submitted(call);
  const CallResult result =
      co_await m_client.Call(target, BuildRequest(stream, call, body),
                             stream.m_deadline + kAnswerMargin);
  call.m_answered_us = WallMicroseconds();
  ReadAnswer(result, body, call);
  m_recorder.Answered(call);
  m_open.erase(call.m_call);
  m_last_end = SteadyNow();
}

}  // namespace filbertspar::load
