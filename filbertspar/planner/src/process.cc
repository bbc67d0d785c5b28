#include "filbertspar/planner/src/process.h"

#include <chrono>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "absl/strings/str_cat.h"
#include "boost/asio/as_tuple.hpp"
#include "boost/asio/co_spawn.hpp"
#include "boost/asio/detached.hpp"
#include "boost/asio/steady_timer.hpp"
#include "boost/asio/use_awaitable.hpp"
#include "filbertspar/config/config.h"
#include "filbertspar/http/http.h"
#include "filbertspar/planner/src/actor.h"
#include "filbertspar/planner/src/fleet_tables.h"
#include "filbertspar/program/program.h"
#include "filbertspar/store/store.h"

namespace filbertspar {
namespace {

constexpr Duration kListPeriod = Seconds(5);
constexpr Duration kCallTimeout = Seconds(2);
constexpr Duration kReadDeadline = Seconds(1);

/// The planner's clock: rows carry times of UTC.
TimePoint UtcNow() {
  return TimePoint(std::chrono::duration_cast<Duration>(
      std::chrono::system_clock::now().time_since_epoch()));
}

std::uint64_t RandomNumber() {
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32) | device();
}

/// Field of a worker's answer; the fallback when it is missing.
template <typename T>
T NumberOr(const JsonObject& object, const char* field, T fallback) {
  const Json* value = object.if_contains(field);
  boost::json::error_code error;
  const T number = value == nullptr ? fallback : value->to_number<T>(error);
  return error ? fallback : number;
}

bool BoolOr(const JsonObject& object, const char* field, bool fallback) {
  const Json* value = object.if_contains(field);
  return value != nullptr && value->is_bool() ? value->as_bool() : fallback;
}

std::string TextOr(const JsonObject& object, const char* field) {
  const Json* value = object.if_contains(field);
  if (value == nullptr || !value->is_string()) {
    return "";
  }
  return {value->as_string().data(), value->as_string().size()};
}

void ReadHealth(const HttpResponse& response, WorkerReport& report) {
  absl::StatusOr<JsonObject> body = ParseJsonObject(response.body());
  if (response.result_int() != 200 || !body.ok()) {
    return;
  }
  report.m_reachable = true;
  report.m_healthy = BoolOr(*body, "healthy", false);
  report.m_cordoned = BoolOr(*body, "cordoned", false);
  report.m_running = NumberOr<std::int64_t>(*body, "running", 0);
  report.m_boot =
      absl::StrCat(NumberOr<std::uint64_t>(*body, "incarnation", 0));
  const Json* tasks = body->if_contains("tasks");
  if (tasks == nullptr || !tasks->is_array()) {
    return;
  }
  for (const Json& task : tasks->as_array()) {
    if (task.is_object()) {
      report.m_tasks.push_back({TextOr(task.as_object(), "attempt"),
                                EntryName(TextOr(task.as_object(), "job")),
                                Milliseconds(NumberOr<std::int64_t>(
                                    task.as_object(), "running_ms", 0))});
    }
  }
}

class PlannerProcess {
 public:
  PlannerProcess(asio::io_context& context, const PlannerOptions& options,
                 std::uint64_t incarnation)
      : m_context(context),
        m_options(options),
        m_node(absl::StrCat(options.m_name.Value(), "#", incarnation)),
        m_client(context, {}),
        m_store(context, m_client, options.m_platform, m_node, incarnation),
        m_config(context, m_store, m_node),
        m_actor(context, m_store, "planner", m_node, incarnation) {}

  void Start();

 private:
  asio::awaitable<void> RunRounds();
  asio::awaitable<void> RunRound();
  asio::awaitable<void> Probe(ProbeWorker probe);
  asio::awaitable<void> Post(std::string address, std::string path,
                             std::string body, TimePoint not_after);
  asio::awaitable<void> Reboot(RebootVm reboot);
  void Reset();
  void Carry(const WriteRows& write);
  void Carry(const CordonWorker& cordon);
  void Carry(const CheckpointTask& task);
  void Carry(const StopTask& task);
  void Carry(const RebootVm& reboot);
  void Carry(const ProbeWorker& probe);
  void Carry(const ReportWave& report);
  void Carry(const Notice& notice);

  asio::io_context& m_context;
  const PlannerOptions& m_options;
  NodeName m_node;
  HttpClient m_client;
  Store m_store;
  Config m_config;
  Actor m_actor;
  std::unique_ptr<FleetTables> m_tables;
  std::unique_ptr<Planner> m_planner;
  TimePoint m_next_list;
  /// Rises with each take-over, so that late answers of an earlier term are
  /// not given to the planner of a later one.
  std::uint64_t m_term = 0;
};

void PlannerProcess::Start() {
  m_config.OnVersion([this](std::shared_ptr<const Catalogue> catalogue) {
    if (m_planner != nullptr) {
      m_planner->m_catalogue = std::move(catalogue);
    }
  });
  m_config.Start();
  m_actor.OnTaken([this] { Reset(); });
  m_actor.OnLost([this] {
    ++m_term;
    m_planner.reset();
  });
  m_actor.Start();
  asio::co_spawn(m_context, RunRounds(), asio::detached);
  LoggerFor("planner")->info("{} runs", m_node.Value());
}

void PlannerProcess::Reset() {
  ++m_term;
  m_tables = std::make_unique<FleetTables>(m_store);
  m_planner = std::make_unique<Planner>();
  m_planner->m_settings = m_options.m_planner;
  m_planner->m_catalogue = m_config.Current();
  m_next_list = TimePoint();
}

asio::awaitable<void> PlannerProcess::RunRounds() {
  asio::steady_timer timer(m_context);
  while (true) {
    if (m_planner != nullptr && m_planner->m_catalogue != nullptr) {
      co_await RunRound();
    }
    timer.expires_after(m_options.m_round);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
}

asio::awaitable<void> PlannerProcess::RunRound() {
  const std::uint64_t term = m_term;
  const auto rows = co_await m_tables->ReadChanges(true);
  if (!rows.ok() || term != m_term) {
    co_return;
  }
  ReadRows(*m_planner, *rows);
  if (SteadyNow() >= m_next_list) {
    const auto list = co_await m_store.ReadVms(kReadDeadline);
    if (term != m_term) {
      co_return;
    }
    if (list.ok()) {
      std::vector<FleetListedVm> listed;
      for (const PlatformVm& vm : list->m_vms) {
        listed.push_back({vm.m_id, vm.m_address, vm.m_leaving});
      }
      VmsListed(*m_planner, UtcNow(), listed);
      m_next_list = SteadyNow() + kListPeriod;
    }
  }
  FleetEffects effects;
  Tick(*m_planner, UtcNow(), effects);
  for (const FleetEffect& effect : effects) {
    std::visit([this](const auto& each) { Carry(each); }, effect);
  }
}

void PlannerProcess::Carry(const WriteRows& write) {
  const std::uint64_t term = m_term;
  m_actor.Write(ToRowWrites(write),
                [this, term, id = write.m_id](const FencedWriteReport& report) {
                  if (term != m_term || m_planner == nullptr) {
                    return;
                  }
                  FleetWriteReport settled;
                  settled.m_id = id;
                  if (report.m_outcome == WriteOutcome::kCommitted) {
                    settled.m_result = WriteResult::kCommitted;
                    settled.m_versions = report.m_versions;
                  }
                  WriteSettled(*m_planner, settled);
                });
}

void PlannerProcess::Carry(const CordonWorker& cordon) {
  const std::string body = ToText(JsonObject{{"cordon", cordon.m_cordon}});
  asio::co_spawn(m_context,
                 Post(cordon.m_address, "/cordon", body, cordon.m_not_after),
                 asio::detached);
}

void PlannerProcess::Carry(const CheckpointTask& task) {
  const std::string body = ToText(JsonObject{{"attempt", task.m_attempt}});
  asio::co_spawn(m_context,
                 Post(task.m_address, "/checkpoint", body, TimePoint::max()),
                 asio::detached);
}

void PlannerProcess::Carry(const StopTask& task) {
  const std::string body = ToText(JsonObject{{"attempt", task.m_attempt}});
  asio::co_spawn(m_context,
                 Post(task.m_address, "/stop", body, TimePoint::max()),
                 asio::detached);
}

void PlannerProcess::Carry(const RebootVm& reboot) {
  asio::co_spawn(m_context, Reboot(reboot), asio::detached);
}

void PlannerProcess::Carry(const ProbeWorker& probe) {
  asio::co_spawn(m_context, Probe(probe), asio::detached);
}

void PlannerProcess::Carry(const ReportWave& report) {
  const WaveStatus& status = report.m_status;
  std::string stops;
  for (const Blocker& blocker : status.m_blockers) {
    absl::StrAppend(&stops, " ", blocker.m_text, ".");
  }
  LoggerFor("planner")->info("wave \"{}\": {} of {} done, {} under way.{}",
                             status.m_wave, status.m_done, status.m_total,
                             status.m_under_way, stops);
}

void PlannerProcess::Carry(const Notice& notice) {
  LoggerFor("planner")->warn("{}: code {}: {}", notice.m_vm.Value(),
                             static_cast<int>(notice.m_code), notice.m_text);
}

asio::awaitable<void> PlannerProcess::Probe(ProbeWorker probe) {
  const std::uint64_t term = m_term;
  WorkerReport report;
  report.m_vm = probe.m_vm;
  report.m_asked = UtcNow();
  if (const auto endpoint = ParseEndpoint(probe.m_address)) {
    HttpRequest request = MakeRequest(HttpVerb::get, "/health");
    const CallResult result = co_await m_client.Call(
        *endpoint, std::move(request), m_options.m_probe_timeout);
    if (result.m_end == CallEnd::kAnswered) {
      ReadHealth(result.m_response, report);
    }
  }
  if (term == m_term && m_planner != nullptr) {
    WorkerReported(*m_planner, UtcNow(), report);
  }
}

/// A planner that was paused finds its time over and leaves the call unsent.
asio::awaitable<void> PlannerProcess::Post(std::string address,
                                           std::string path, std::string body,
                                           TimePoint not_after) {
  const auto endpoint = ParseEndpoint(address);
  if (!endpoint || !m_actor.MayActNow() || UtcNow() > not_after) {
    co_return;
  }
  HttpRequest request = MakeRequest(HttpVerb::post, path, body);
  co_await m_client.Call(*endpoint, std::move(request), kCallTimeout);
}

asio::awaitable<void> PlannerProcess::Reboot(RebootVm reboot) {
  const std::string body = ToText(JsonObject{{"vm", reboot.m_vm.Value()},
                                             {"address", reboot.m_address},
                                             {"token", reboot.m_token}});
  if (!m_actor.MayActNow() || UtcNow() > reboot.m_not_after) {
    co_return;
  }
  HttpRequest request = MakeRequest(HttpVerb::post, "/reboot", body);
  co_await m_client.Call(m_options.m_platform, std::move(request),
                         kCallTimeout);
}

}  // namespace

absl::Status RunPlanner(const PlannerOptions& options) {
  asio::io_context context(1);
  PlannerProcess process(context, options, RandomNumber());
  process.Start();
  OnStopSignal(context, [&] { context.stop(); });
  context.run();
  return absl::OkStatus();
}

}  // namespace filbertspar
