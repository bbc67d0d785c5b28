#include "filbertspar/entry/src/process.h"

#include <chrono>
#include <memory>
#include <random>
#include <utility>

#include "absl/strings/str_cat.h"
#include "boost/asio/as_tuple.hpp"
#include "boost/asio/co_spawn.hpp"
#include "boost/asio/detached.hpp"
#include "boost/asio/use_awaitable.hpp"
#include "filbertspar/config/config.h"
#include "filbertspar/entry/src/admin_api.h"
#include "filbertspar/entry/src/caller_api.h"
#include "filbertspar/entry/src/claims.h"
#include "filbertspar/entry/src/dispatcher.h"
#include "filbertspar/entry/src/grant_keeper.h"
#include "filbertspar/entry/src/metrics_api.h"
#include "filbertspar/entry/src/peers.h"
#include "filbertspar/entry/src/worker_directory.h"
#include "filbertspar/http/http.h"
#include "filbertspar/program/program.h"
#include "filbertspar/store/store.h"

namespace filbertspar {
namespace {

constexpr Duration kReadDeadline = Seconds(1);
constexpr Duration kStopPoll = Milliseconds(20);
/// Time for the balancer to see that the process is not ready.
constexpr Duration kUnreadyTime = Milliseconds(500);

std::uint64_t RandomNumber() {
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32) | device();
}

EngineOptions EngineOptionsOf(const EntryOptions& options,
                              std::uint64_t incarnation) {
  EngineOptions engine;
  engine.m_node =
      static_cast<std::uint32_t>(incarnation % ((1U << kNodeBits) - 1)) + 1;
  engine.m_zone = options.m_zone;
  engine.m_seed = incarnation;
  engine.m_max_requests = static_cast<std::size_t>(options.m_max_requests);
  engine.m_lease = options.m_task_lease;
  return engine;
}

HttpServerLimits LimitsOf(const EntryOptions& options) {
  HttpServerLimits limits;
  limits.m_body_bytes = static_cast<std::size_t>(options.m_max_body_bytes);
  limits.m_read_time = options.m_read_time;
  limits.m_connections = static_cast<std::size_t>(options.m_max_requests) + 64;
  return limits;
}

HttpResponse PeersPage(const Peers& peers) {
  JsonArray live;
  for (const MemberUpdate& member : LiveMembers(peers.Links().State())) {
    live.push_back(JsonObject{{"node", member.m_node.Value()},
                              {"zone", member.m_zone.Value()}});
  }
  JsonArray taken;
  for (const Peers::TakenOver& each : peers.LastTakenOver()) {
    taken.push_back(
        JsonObject{{"origin", std::to_string(each.m_origin.Value())},
                   {"request", std::to_string(each.m_request.Value())}});
  }
  return JsonResponse(200, JsonObject{{"live", std::move(live)},
                                      {"taken_over", std::move(taken)}});
}

/// All parts of one entry process.
class EntryProcess {
 public:
  EntryProcess(asio::io_context& context, const EntryOptions& options,
               std::uint64_t incarnation,
               const std::shared_ptr<const Secrets>& secrets)
      : m_context(context),
        m_options(options),
        m_node(absl::StrCat(options.m_name.Value(), "#", incarnation)),
        m_client(context, {}),
        m_store(context, m_client, options.m_platform, m_node, incarnation),
        m_config(context, m_store, m_node),
        m_claims(context, m_store, m_node),
        m_engine(MakeEngine(EngineOptionsOf(options, incarnation))),
        m_dispatcher(context, m_client, m_claims, m_fleet, m_engine),
        m_grant_keeper(context, m_store, m_dispatcher, m_node, incarnation),
        m_caller_api(m_config, m_dispatcher, m_metrics),
        m_admin_api(m_config, m_store, m_fleet, m_dispatcher,
                    options.m_bootstrap_operator_hash),
        m_caller_server(context, LimitsOf(options),
                        [this](const HttpRequest& request) {
                          return HandleCaller(request);
                        }),
        m_admin_server(context, LimitsOf(options),
                       [this](const HttpRequest& request) {
                         return HandleAdmin(request);
                       }) {
    if (options.m_peer_listen) {
      m_peers = std::make_unique<Peers>(context, options, m_node, secrets,
                                        incarnation, m_store, m_config,
                                        m_dispatcher, m_grant_keeper, m_fleet);
    }
  }

  absl::Status Start();
  void BeginStop();
  const absl::Status& Result() const { return m_result; }

 private:
  asio::awaitable<HttpResponse> HandleCaller(const HttpRequest& request);
  asio::awaitable<HttpResponse> HandleAdmin(const HttpRequest& request);
  asio::awaitable<void> PollFleet();
  asio::awaitable<void> Stop();
  void ApplyCatalogue(std::shared_ptr<const Catalogue> catalogue);
  asio::awaitable<void> Pause(Duration duration);

  asio::io_context& m_context;
  const EntryOptions& m_options;
  NodeName m_node;
  HttpClient m_client;
  Store m_store;
  Config m_config;
  WorkerDirectory m_fleet;
  Claims m_claims;
  Engine m_engine;
  Dispatcher m_dispatcher;
  GrantKeeper m_grant_keeper;
  RequestMetrics m_metrics;
  CallerApi m_caller_api;
  AdminApi m_admin_api;
  HttpServer m_caller_server;
  HttpServer m_admin_server;
  /// Null without a peer address.
  std::unique_ptr<Peers> m_peers;
  absl::Status m_result;
  bool m_stopping = false;
};

absl::Status EntryProcess::Start() {
  m_config.OnVersion([this](std::shared_ptr<const Catalogue> catalogue) {
    ApplyCatalogue(std::move(catalogue));
  });
  FS_RETURN_IF_ERROR(m_caller_server.Listen(m_options.m_caller_listen));
  FS_RETURN_IF_ERROR(m_admin_server.Listen(m_options.m_admin_listen));
  m_config.Start();
  m_dispatcher.Start();
  m_dispatcher.OnWantGrant(
      [this](const WantGrant& want) { m_grant_keeper.Want(want); });
  m_grant_keeper.Start();
  if (m_peers != nullptr) {
    FS_RETURN_IF_ERROR(m_peers->Start());
  }
  asio::co_spawn(m_context, PollFleet(), asio::detached);
  LoggerFor("entry")->info("{} serves callers on {}", m_node.Value(),
                           m_options.m_caller_listen.Text());
  return absl::OkStatus();
}

asio::awaitable<HttpResponse> EntryProcess::HandleCaller(
    const HttpRequest& request) {
  if (PathOf(request) == "/metrics" && request.method() == HttpVerb::get) {
    co_return TextResponse(
        200, MetricsPage(m_metrics, m_config, m_store, m_engine, SteadyNow()));
  }
  co_return co_await m_caller_api.Handle(request);
}

/// What concerns the peers is answered here, the rest by the API.
asio::awaitable<HttpResponse> EntryProcess::HandleAdmin(
    const HttpRequest& request) {
  const bool peers = PathOf(request) == "/admin/v1/peers" &&
                     request.method() == HttpVerb::get && m_peers != nullptr;
  if (!peers) {
    co_return co_await m_admin_api.Handle(request);
  }
  const absl::Status allowed =
      m_admin_api.Check(request, Role::kViewer).status();
  if (!allowed.ok()) {
    co_return StatusResponse(allowed);
  }
  co_return PeersPage(*m_peers);
}

void EntryProcess::ApplyCatalogue(std::shared_ptr<const Catalogue> catalogue) {
  m_dispatcher.Update([&](Engine& engine, TimePoint now, Effects& effects) {
    SetCatalogue(engine, now, catalogue, effects);
  });
  m_grant_keeper.SetCatalogue(*catalogue);
}

asio::awaitable<void> EntryProcess::Pause(Duration duration) {
  asio::steady_timer timer(m_context, duration);
  co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

asio::awaitable<void> EntryProcess::PollFleet() {
  while (true) {
    absl::StatusOr<ChangeList> changes = co_await m_store.ReadChanges(
        std::string(kVmTable), m_fleet.m_sequence, kReadDeadline);
    if (changes.ok() && ApplyChanges(m_fleet, *changes)) {
      m_dispatcher.Update([&](Engine& engine, TimePoint now, Effects& effects) {
        SetWorkers(engine, now, WorkersOf(m_fleet), effects);
      });
      continue;
    }
    co_await Pause(m_options.m_poll_period);
  }
}

void EntryProcess::BeginStop() {
  if (!m_stopping) {
    m_stopping = true;
    asio::co_spawn(m_context, Stop(), asio::detached);
  }
}

asio::awaitable<void> EntryProcess::Stop() {
  LoggerFor("entry")->info("stopping");
  const TimePoint bound = SteadyNow() + m_options.m_stop_bound;
  m_caller_api.SetUnready();
  co_await Pause(kUnreadyTime);
  m_dispatcher.Update([](Engine& engine, TimePoint now, Effects& effects) {
    filbertspar::BeginStop(engine, now, effects);
  });
  m_grant_keeper.BeginStop();
  while ((!IsIdle(m_engine) || m_claims.Open() > 0) && SteadyNow() < bound) {
    co_await Pause(kStopPoll);
  }
  if (m_peers != nullptr) {
    m_peers->Leave();
  }
  m_caller_server.StopAccepting();
  m_admin_server.StopAccepting();
  while (m_caller_server.Connections() > 0 && SteadyNow() < bound) {
    co_await Pause(kStopPoll);
  }
  if (!IsIdle(m_engine) || m_caller_server.Connections() > 0) {
    m_result = Error(Code::kStopBoundReached, "work was still running");
  }
  m_context.stop();
}

}  // namespace

absl::Status RunEntry(const EntryOptions& options) {
  asio::io_context context(1);
  std::shared_ptr<const Secrets> secrets;
  if (options.m_peer_listen) {
    absl::StatusOr<Secrets> loaded = LoadSecrets(options.m_peer_key_file);
    if (!loaded.ok()) {
      return loaded.status();
    }
    secrets = std::make_shared<const Secrets>(std::move(*loaded));
  }
  const auto unix_time = std::chrono::system_clock::now().time_since_epoch();
  const std::int64_t unix_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(unix_time).count();
  EntryProcess process(context, options,
                       MakeIncarnation(unix_ms, RandomNumber()), secrets);
  FS_RETURN_IF_ERROR(process.Start());
  OnStopSignal(context, [&] { process.BeginStop(); });
  context.run();
  return process.Result();
}

}  // namespace filbertspar
