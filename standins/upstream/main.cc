/// \file
/// \brief Stand-in for a worker's agent: runs tasks in slots under leases over
/// HTTP, with fault switches under /fault.

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "boost/asio/as_tuple.hpp"
#include "boost/asio/co_spawn.hpp"
#include "boost/asio/detached.hpp"
#include "boost/asio/steady_timer.hpp"
#include "boost/asio/use_awaitable.hpp"
#include "filbertspar/http/http.h"
#include "filbertspar/program/program.h"
#include "standins/upstream/worker.h"

namespace filbertspar::standin {
namespace {

constexpr auto kSilence = std::chrono::hours(1);
constexpr Duration kTick = Milliseconds(1);

struct AgentOptions {
  Endpoint m_listen;
  Resources m_capacity;
  Duration m_run_time;
  Duration m_usage_lag;
  Duration m_boot_time;
  std::uint64_t m_seed = 1;
};

class Agent {
 public:
  Agent(asio::io_context& context, const AgentOptions& options)
      : m_context(context),
        m_options(options),
        m_rng(options.m_seed),
        m_worker(options.m_capacity, options.m_run_time) {}

  asio::awaitable<HttpResponse> Handle(const HttpRequest& request);
  asio::awaitable<void> RunTicks();

 private:
  asio::awaitable<void> Pause(Duration duration);
  asio::awaitable<HttpResponse> RunTask(const HttpRequest& request);
  asio::awaitable<HttpResponse> Answer(std::shared_ptr<Task> task);
  HttpResponse SetFaults(const HttpRequest& request);
  HttpResponse Renew(const HttpRequest& request);
  HttpResponse Control(std::string_view path, const HttpRequest& request);
  HttpResponse Cordon(const HttpRequest& request);
  HttpResponse Reboot();
  HttpResponse State(std::string_view attempt) const;
  HttpResponse Health() const;
  HttpResponse Usage() const;
  HttpResponse History(const HttpRequest& request) const;

  asio::io_context& m_context;
  AgentOptions m_options;
  Rng m_rng;
  Worker m_worker;
  WorkerFaults m_faults;
  TimePoint m_booted;
  std::uint64_t m_incarnation = 1;
  std::uint64_t m_cut_off = 0;
  std::string m_last_result;
  std::string m_last_request;
};

asio::awaitable<void> Agent::Pause(Duration duration) {
  asio::steady_timer timer(m_context, duration);
  co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

asio::awaitable<void> Agent::RunTicks() {
  while (true) {
    co_await Pause(kTick);
    if (!m_faults.m_paused) {
      m_worker.Tick(SteadyNow());
    }
  }
}

asio::awaitable<HttpResponse> Agent::Handle(const HttpRequest& request) {
  const std::string_view path = PathOf(request);
  if (path == "/fault") {
    co_return SetFaults(request);
  }
  if (path == "/history") {
    co_return History(request);
  }
  while (m_faults.m_paused) {
    co_await Pause(Milliseconds(20));
  }
  if (m_faults.m_silent) {
    co_await Pause(kSilence);
  }
  if (m_faults.m_slow > Duration(0)) {
    co_await Pause(m_faults.m_slow);
  }
  if (m_faults.m_down || SteadyNow() < m_booted) {
    co_return JsonResponse(
        503, JsonObject{{"refused", true}, {"reason", "not in service"}});
  }
  if (path == "/task") {
    co_return co_await RunTask(request);
  }
  if (path.starts_with("/task/")) {
    co_return State(path.substr(6));
  }
  if (path == "/health") {
    co_return Health();
  }
  if (path == "/usage") {
    co_return Usage();
  }
  if (path == "/lease") {
    co_return Renew(request);
  }
  if (path == "/cordon") {
    co_return Cordon(request);
  }
  if (path == "/reboot") {
    co_return Reboot();
  }
  if (path == "/stop" || path == "/checkpoint" || path == "/throttle") {
    co_return Control(path, request);
  }
  co_return CodeResponse(Code::kUnknownPath, "");
}

HttpResponse Agent::SetFaults(const HttpRequest& request) {
  absl::StatusOr<JsonObject> body = ParseJsonObject(request.body());
  if (!body.ok()) {
    return StatusResponse(body.status());
  }
  WorkerFaults faults = m_faults;
  FieldReader reader(*body, "fault");
  reader.ReadOptional("down", faults.m_down);
  reader.ReadOptional("silent", faults.m_silent);
  reader.ReadOptional("fail_all", faults.m_fail_all);
  reader.ReadOptional("paused", faults.m_paused);
  reader.ReadOptional("lapse_leases", faults.m_lapse_leases);
  reader.ReadOptional("slow_ms", faults.m_slow, Duration(0), Seconds(3600));
  reader.ReadOptional("lose_answers", faults.m_lose_answers, 0.0, 1.0);
  reader.ReadOptional("cross_answers", faults.m_cross_answers, 0.0, 1.0);
  reader.ReadOptional("truncate_answers", faults.m_truncate_answers, 0.0, 1.0);
  if (absl::Status status = reader.Finish(); !status.ok()) {
    return StatusResponse(status);
  }
  m_faults = faults;
  return JsonResponse(200, JsonObject{});
}

asio::awaitable<HttpResponse> Agent::RunTask(const HttpRequest& request) {
  absl::StatusOr<JsonObject> body = ParseJsonObject(request.body());
  if (!body.ok()) {
    co_return StatusResponse(body.status());
  }
  auto task = std::make_shared<Task>();
  Duration lease{0};
  FieldReader reader(*body, "task");
  reader.Read("request", task->m_request);
  reader.Read("attempt", task->m_attempt);
  reader.Read("job", task->m_job);
  reader.Read("team", task->m_team);
  reader.Read("body", task->m_body);
  reader.Read("lease_ms", lease, Milliseconds(1), Seconds(3600));
  reader.ReadOptional("slots", task->m_resources.m_slots, IntRange{1, 1024});
  reader.ReadOptional("memory_mb", task->m_resources.m_memory, IntRange{});
  reader.ReadOptional("accelerators", task->m_resources.m_accelerators,
                      IntRange{});
  if (absl::Status status = reader.Finish(); !status.ok()) {
    co_return StatusResponse(status);
  }
  if (std::shared_ptr<Task> known = m_worker.Find(task->m_attempt)) {
    task = known;
  } else {
    const std::string reason =
        m_worker.Start(SteadyNow(), task, lease, m_faults.m_fail_all);
    if (!reason.empty()) {
      co_return JsonResponse(503,
                             JsonObject{{"refused", true}, {"reason", reason}});
    }
  }
  co_return co_await Answer(task);
}

asio::awaitable<HttpResponse> Agent::Answer(std::shared_ptr<Task> task) {
  while (task->m_state == TaskState::kRunning) {
    const Duration left =
        std::max(kTick, std::min(task->m_ends - SteadyNow(), Milliseconds(20)));
    co_await Pause(left);
    if (!m_faults.m_paused) {
      m_worker.Tick(SteadyNow());
    }
  }
  if (m_rng.Chance(m_faults.m_lose_answers)) {
    co_await Pause(kSilence);
  }
  std::string request = task->m_request;
  std::string result = task->m_result;
  const std::size_t length = result.size();
  if (m_rng.Chance(m_faults.m_cross_answers) && !m_last_request.empty()) {
    request = m_last_request;
    result = m_last_result;
  } else if (m_rng.Chance(m_faults.m_truncate_answers)) {
    result.resize(result.size() / 2);
  }
  m_last_request = task->m_request;
  m_last_result = task->m_result;
  JsonObject answer{{"request", request},
                    {"attempt", task->m_attempt},
                    {"length", length},
                    {"result", result}};
  if (task->m_state != TaskState::kDone) {
    answer["error"] = std::string(ToString(task->m_state));
    co_return JsonResponse(500, answer);
  }
  co_return JsonResponse(200, answer);
}

HttpResponse Agent::Renew(const HttpRequest& request) {
  absl::StatusOr<JsonObject> body = ParseJsonObject(request.body());
  if (!body.ok()) {
    return StatusResponse(body.status());
  }
  std::vector<std::string> attempts;
  Duration lease{0};
  FieldReader reader(*body, "lease");
  reader.Read("attempts", attempts);
  reader.Read("lease_ms", lease, Milliseconds(1), Seconds(3600));
  if (absl::Status status = reader.Finish(); !status.ok()) {
    return StatusResponse(status);
  }
  for (const std::string& attempt : attempts) {
    if (!m_faults.m_lapse_leases) {
      m_worker.Renew(SteadyNow(), attempt, lease);
    }
  }
  return JsonResponse(200, JsonObject{});
}

HttpResponse Agent::Control(std::string_view path, const HttpRequest& request) {
  absl::StatusOr<JsonObject> body = ParseJsonObject(request.body());
  if (!body.ok()) {
    return StatusResponse(body.status());
  }
  std::string attempt;
  FieldReader reader(*body, "control");
  reader.Read("attempt", attempt);
  if (absl::Status status = reader.Finish(); !status.ok()) {
    return StatusResponse(status);
  }
  // A checkpointed task gives up its slot; a throttled one runs twice as long.
  std::shared_ptr<Task> task = m_worker.Find(attempt);
  if (task == nullptr) {
    return CodeResponse(Code::kNotFound, "no such attempt");
  }
  if (path == "/throttle") {
    task->m_ends += task->m_ends - SteadyNow();
  } else {
    m_worker.Stop(SteadyNow(), attempt);
  }
  return JsonResponse(200, JsonObject{});
}

HttpResponse Agent::Cordon(const HttpRequest& request) {
  absl::StatusOr<JsonObject> body = ParseJsonObject(request.body());
  if (!body.ok()) {
    return StatusResponse(body.status());
  }
  FieldReader reader(*body, "cordon");
  reader.Read("cordon", m_worker.m_cordoned);
  if (absl::Status status = reader.Finish(); !status.ok()) {
    return StatusResponse(status);
  }
  return Health();
}

HttpResponse Agent::Reboot() {
  m_cut_off += m_worker.StopAll(SteadyNow());
  m_worker.m_cordoned = false;
  ++m_incarnation;
  m_booted = SteadyNow() + m_options.m_boot_time;
  return JsonResponse(200, JsonObject{{"incarnation", m_incarnation}});
}

HttpResponse Agent::State(std::string_view attempt) const {
  const std::shared_ptr<Task> task = m_worker.Find(std::string(attempt));
  if (task == nullptr) {
    return JsonResponse(200, JsonObject{{"state", "unknown"}});
  }
  return JsonResponse(
      200, JsonObject{{"state", std::string(ToString(task->m_state))},
                      {"request", task->m_request},
                      {"attempt", task->m_attempt},
                      {"length", task->m_result.size()},
                      {"result", task->m_result}});
}

HttpResponse Agent::Health() const {
  JsonArray tasks;
  for (const auto& [attempt, task] : m_worker.Tasks()) {
    tasks.push_back(JsonObject{
        {"attempt", attempt},
        {"job", task->m_job},
        {"running_ms", ToMilliseconds(SteadyNow() - task->m_started)}});
  }
  return JsonResponse(200,
                      JsonObject{{"healthy", true},
                                 {"cordoned", m_worker.m_cordoned},
                                 {"incarnation", m_incarnation},
                                 {"running", m_worker.Running()},
                                 {"free_slots", m_worker.FreeSlots().Count()},
                                 {"tasks", std::move(tasks)}});
}

/// Run times of tasks that ended at least one lag ago.
HttpResponse Agent::Usage() const {
  JsonArray ended;
  const TimePoint shown = SteadyNow() - m_options.m_usage_lag;
  const std::size_t first =
      m_worker.m_history.size() > 200 ? m_worker.m_history.size() - 200 : 0;
  for (std::size_t i = first; i < m_worker.m_history.size(); ++i) {
    const TaskEvent& event = m_worker.m_history[i];
    const std::shared_ptr<Task> task = m_worker.Find(event.m_attempt);
    if (event.m_start || task == nullptr || task->m_ends > shown) {
      continue;
    }
    ended.push_back(
        JsonObject{{"attempt", event.m_attempt},
                   {"job", event.m_job},
                   {"run_ms", ToMilliseconds(task->m_ends - task->m_started)},
                   {"memory_mb", task->m_resources.m_memory.Count()}});
  }
  return JsonResponse(200, JsonObject{{"ended", std::move(ended)}});
}

HttpResponse Agent::History(const HttpRequest& request) const {
  static_cast<void>(request);
  JsonArray events;
  for (const TaskEvent& event : m_worker.m_history) {
    events.push_back(JsonObject{{"event", event.m_start ? "start" : "end"},
                                {"request", event.m_request},
                                {"attempt", event.m_attempt},
                                {"job", event.m_job},
                                {"team", event.m_team},
                                {"state", event.m_state},
                                {"time_us", event.m_time_us}});
  }
  return JsonResponse(
      200, JsonObject{{"cut_off", m_cut_off}, {"events", std::move(events)}});
}

absl::Status Run(Settings& settings, bool check_only) {
  AgentOptions options;
  options.m_listen = settings.GetEndpoint("upstream.listen");
  options.m_capacity.m_slots =
      Slots(settings.GetInt("upstream.slots", 8, 1, 4096));
  options.m_capacity.m_memory =
      Megabytes(settings.GetInt("upstream.memory_mb", 32'768, 0, 16'000'000));
  options.m_capacity.m_accelerators =
      Accelerators(settings.GetInt("upstream.accelerators", 0, 0, 1024));
  options.m_run_time = settings.GetMilliseconds(
      "upstream.run_time_ms", Milliseconds(20), Duration(0), Seconds(3600));
  options.m_usage_lag = settings.GetMilliseconds(
      "upstream.usage_lag_ms", Seconds(2), Duration(0), Seconds(3600));
  options.m_boot_time = settings.GetMilliseconds(
      "upstream.boot_time_ms", Milliseconds(500), Duration(0), Seconds(3600));
  options.m_seed = static_cast<std::uint64_t>(
      settings.GetInt("upstream.seed", 1, 0, 1'000'000'000));
  FS_RETURN_IF_ERROR(settings.Finish());
  if (check_only) {
    return absl::OkStatus();
  }
  asio::io_context context(1);
  Agent agent(context, options);
  HttpServer server(context, {}, [&](const HttpRequest& request) {
    return agent.Handle(request);
  });
  FS_RETURN_IF_ERROR(server.Listen(options.m_listen));
  asio::co_spawn(context, agent.RunTicks(), asio::detached);
  LoggerFor("upstream")->info("listening on {}", options.m_listen.Text());
  OnStopSignal(context, [&] { context.stop(); });
  context.run();
  return absl::OkStatus();
}

}  // namespace
}  // namespace filbertspar::standin

int main(int argc, char** argv) {
  return filbertspar::RunProgram(
      argc, argv, {"upstream-standin", "Stand-in for a worker's agent."},
      filbertspar::standin::Run);
}
