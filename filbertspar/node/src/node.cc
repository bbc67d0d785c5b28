#include "filbertspar/node/src/node.h"

#include <unistd.h>

#include <algorithm>
#include <array>
#include <map>
#include <string_view>
#include <utility>

#include "absl/strings/str_cat.h"
#include "boost/asio/co_spawn.hpp"
#include "boost/asio/detached.hpp"
#include "filbertspar/node/src/clock.h"
#include "filbertspar/node/src/job_api.h"
#include "filbertspar/node/src/metric_names.h"
#include "filbertspar/node/src/random.h"
#include "platform/platform.h"

namespace filbertspar {
namespace {

/// Keys are refused once the configuration is older than this share of the time
/// within which a revoked key must stop working; the rest is left for calls
/// already in progress.
constexpr double kFreshnessShare = 0.6;
/// Time for the load balancer to notice that the process is not ready.
constexpr Duration kNotReadyTime = Milliseconds(2500);
/// Share of the grace period after which the process exits at the latest.
constexpr double kGraceShare = 0.8;
constexpr Duration kStopPollInterval = Milliseconds(50);
/// Time for which an unused connection to a worker or the store is kept open.
constexpr Duration kIdleTime = Seconds(60);
constexpr Duration kConnectTime = Milliseconds(400);
constexpr std::size_t kBodyBytes = 1 << 20;
constexpr std::size_t kHeaderBytes = 16 << 10;
constexpr std::size_t kProbeBodyBytes = 4 << 10;
constexpr std::size_t kProbeConnections = 64;
constexpr Duration kProbeReadTime = Seconds(2);
/// Log lines about one reason for which clients are cut off; the counter has
/// them all.
constexpr Duration kClientFaultLogPeriod = Seconds(1);

std::string RandomSecret() {
  std::string secret;
  for (int i = 0; i < 4; ++i) {
    absl::StrAppend(&secret, absl::Hex(RandomNumber(), absl::kZeroPad16));
  }
  return secret;
}

HttpClientLimits ClientLimits() {
  HttpClientLimits limits;
  limits.m_idle_time = kIdleTime;
  limits.m_connect_time = kConnectTime;
  return limits;
}

HttpServerLimits CallerLimits(const NodeOptions& options) {
  HttpServerLimits limits;
  limits.m_body_bytes = kBodyBytes;
  limits.m_header_bytes = kHeaderBytes;
  limits.m_connections = options.m_max_client_connections;
  limits.m_read_time = options.m_client_read_time;
  limits.m_min_bytes_per_s = options.m_client_min_bytes_per_s;
  return limits;
}

/// Limits of the ready and the metrics address, which take requests without a
/// body from few clients.
HttpServerLimits ProbeLimits(const NodeOptions& options) {
  HttpServerLimits limits = CallerLimits(options);
  limits.m_body_bytes = kProbeBodyBytes;
  limits.m_connections = kProbeConnections;
  limits.m_read_time = kProbeReadTime;
  return limits;
}

Hello HelloOf(const NodeOptions& options, std::uint64_t incarnation) {
  Hello hello;
  hello.m_node = MakeNodeName(options.m_vm, incarnation);
  hello.m_zone = options.m_zone;
  hello.m_endpoint = options.m_link_listen;
  return hello;
}

OwnerRecord RecordOf(const NodeOptions& options, std::uint64_t incarnation,
                     const std::string& secret) {
  OwnerRecord record;
  record.m_vm = options.m_vm;
  record.m_incarnation = incarnation;
  record.m_link = options.m_link_listen;
  record.m_link_secret = secret;
  record.m_strongest_cpu = options.m_cpu_capacity;
  return record;
}

}  // namespace

struct Node::Parts {
  Parts(asio::io_context& context, NodeOptions options)
      : m_context(context),
        m_options(std::move(options)),
        m_incarnation(RandomNonce()),
        m_secret(RandomSecret()),
        m_log(context, EventLogLimits(), STDOUT_FILENO),
        m_client(context, ClientLimits()),
        m_traffic(m_metrics, m_options.m_link_mbps),
        m_store(
            m_client, m_metrics, m_traffic, m_log, m_options.m_store,
            {m_options.m_store_reads_per_s, m_options.m_store_writes_per_s}),
        m_relay(m_client, m_traffic, m_log),
        m_configuration(
            context, m_store, m_log,
            Duration(static_cast<std::int64_t>(
                kFreshnessShare *
                static_cast<double>(m_options.m_revocation_time.count())))),
        m_watch(context, m_store, m_log,
                {m_options.m_vm, m_incarnation, m_options.m_cpu_capacity,
                 static_cast<double>(RandomNumber() % 1000) / 1000},
                RecordOf(m_options, m_incarnation, m_secret)),
        m_link_server(context, m_log, m_traffic,
                      HelloOf(m_options, m_incarnation), m_secret),
        m_link_client(context, m_log, m_traffic,
                      HelloOf(m_options, m_incarnation),
                      [this](RelayedStart start) {
                        return m_relay.Send(std::move(start));
                      }),
        m_router(m_watch, m_link_client, [this] { return m_owner_term; }),
        m_job_api(m_configuration, m_router, m_relay, m_metrics, m_log,
                  m_options.m_max_row_bytes),
        m_guard{std::make_shared<ConnectionUses>(m_options.m_max_client_bytes),
                [this](ClientFault fault, std::string_view address) {
                  HandleClientFault(fault, address);
                }},
        m_callers(
            context, CallerLimits(m_options),
            [this](const HttpRequest& request) {
              return m_job_api.Handle(request);
            },
            m_guard),
        m_ready(
            context, ProbeLimits(m_options),
            [this](const HttpRequest& request) { return Ready(request); },
            m_guard),
        m_metrics_server(
            context, ProbeLimits(m_options),
            [this](const HttpRequest& request) { return Metrics(request); },
            m_guard) {}

  asio::awaitable<HttpResponse> Ready(const HttpRequest& request);
  asio::awaitable<HttpResponse> Metrics(const HttpRequest& request);
  void RecordQueues();
  void HandleClientFault(ClientFault fault, std::string_view address);
  void HandleOwnershipGained(WonClaim won);
  void HandleOwnershipLost();
  asio::awaitable<void> HandOver();
  asio::awaitable<void> LinkLoop();
  asio::awaitable<void> StopGracefully();

  asio::io_context& m_context;
  NodeOptions m_options;
  std::uint64_t m_incarnation;
  std::string m_secret;
  MetricsBook m_metrics;
  EventLog m_log;
  HttpClient m_client;
  TrafficMeter m_traffic;
  StoreClient m_store;
  StartRelay m_relay;
  Configuration m_configuration;
  OwnerWatch m_watch;
  LinkServer m_link_server;
  LinkClient m_link_client;
  std::shared_ptr<OwnerTerm> m_owner_term;
  Router m_router;
  JobApi m_job_api;
  ClientGuard m_guard;
  std::map<ClientFault, TimePoint> m_fault_logged_at;
  HttpServer m_callers;
  HttpServer m_ready;
  HttpServer m_metrics_server;
  bool m_stopping = false;
};

asio::awaitable<HttpResponse> Node::Parts::Ready(const HttpRequest& request) {
  static_cast<void>(request);
  const ConfigFreshness freshness = m_configuration.Freshness();
  const bool serves = !m_stopping && m_configuration.Current() != nullptr &&
                      IsFresh(freshness, BootNow()) &&
                      (m_owner_term != nullptr || m_link_client.IsReady());
  co_return TextResponse(serves ? 200 : 503,
                         serves ? "ready\n" : "not ready\n");
}

asio::awaitable<HttpResponse> Node::Parts::Metrics(const HttpRequest& request) {
  static_cast<void>(request);
  SetGauge(m_metrics, metric::kOwner, "", m_owner_term != nullptr ? 1 : 0);
  if (const DeploymentConfigPtr& config = m_configuration.Current()) {
    SetGauge(m_metrics, metric::kConfigVersion, "",
             static_cast<double>(config->m_version.Value()));
    SetGauge(m_metrics, metric::kConfigAge, "",
             ToSeconds(BootNow() - m_configuration.Freshness().m_confirmed_at));
  }
  m_metrics.m_counters[std::string(metric::kLogDropped.m_name)][""] =
      static_cast<double>(m_log.Dropped());
  if (m_owner_term != nullptr) {
    const scheduler::Scheduler& state = m_owner_term->State();
    std::size_t active = 0;
    for (const auto& [name, pool] : state.m_pools) {
      active += pool.m_jobs.size();
      const auto responsive = std::count_if(
          pool.m_workers.begin(), pool.m_workers.end(),
          [&state](scheduler::WorkerIndex index) {
            return scheduler::IsResponsive(state.m_workers[index], BootNow());
          });
      SetGauge(m_metrics, metric::kWorkers, name.Value(),
               static_cast<double>(responsive));
    }
    SetGauge(m_metrics, metric::kActiveJobs, "", static_cast<double>(active));
  }
  RecordQueues();
  co_return TextResponse(200, RenderMetrics(m_metrics, metric::kAll));
}

void Node::Parts::RecordQueues() {
  // Also without a term: a former owner's figures must not stay.
  for (const MetricFamily& family :
       {metric::kQueuedJobs, metric::kOldestQueuedAge}) {
    m_metrics.m_gauges.erase(std::string(family.m_name));
  }
  if (m_owner_term == nullptr) {
    return;
  }
  const TimePoint now = BootNow();
  for (const auto& [queue, length] :
       scheduler::MeasureQueues(m_owner_term->State())) {
    SetGauge(m_metrics, metric::kQueuedJobs, queue.Value(),
             static_cast<double>(length.m_queued));
    SetGauge(m_metrics, metric::kOldestQueuedAge, queue.Value(),
             ToSeconds(now - length.m_oldest_at));
  }
}

void Node::Parts::HandleClientFault(ClientFault fault,
                                    std::string_view address) {
  Count(m_metrics, metric::kClientFaults, ClientFaultName(fault));
  TimePoint& logged_at =
      m_fault_logged_at.try_emplace(fault, TimePoint::min()).first->second;
  if (BootNow() < logged_at + kClientFaultLogPeriod) {
    return;
  }
  logged_at = BootNow();
  m_log.Warn("call", "client_cut_off",
             absl::StrCat("reason=", std::string(ClientFaultName(fault)),
                          " address=", std::string(address),
                          " held_bytes=", m_guard.m_uses->HeldBytes(),
                          " connections=", m_callers.Connections()));
}

void Node::Parts::HandleOwnershipGained(WonClaim won) {
  const OwnerTermParts parts{m_context, m_options,       m_store,
                             m_client,  m_configuration, m_link_server,
                             m_traffic, m_metrics,       m_log};
  m_owner_term = std::make_shared<OwnerTerm>(
      parts, std::move(won),
      OwnerTerm::Hooks{
          [this] { HandleOwnershipLost(); },
          [this] { asio::co_spawn(m_context, HandOver(), asio::detached); }});
  m_link_client.SetOwner(std::nullopt);
  m_link_server.SetHandler(
      [owner_term = m_owner_term](const VmName& from, JobCall call) {
        return owner_term->Execute(from, std::move(call));
      },
      [owner_term = m_owner_term] { return owner_term->IsConfirmed(); });
  m_owner_term->Start();
  if (m_stopping) {
    // The claim was under way when the process began to stop.
    asio::co_spawn(m_context, HandOver(), asio::detached);
  }
}

void Node::Parts::HandleOwnershipLost() {
  if (m_owner_term != nullptr) {
    m_owner_term->Stop();
    m_owner_term.reset();
  }
  m_link_server.Disable();
  m_watch.HandleOwnershipLost();
}

asio::awaitable<void> Node::Parts::HandOver() {
  if (const std::shared_ptr<OwnerTerm> owner_term = m_owner_term) {
    co_await owner_term->Release();
    if (m_owner_term == owner_term) {
      HandleOwnershipLost();
    }
  }
}

asio::awaitable<void> Node::Parts::LinkLoop() {
  /// Longest time between two checks for a new owner.
  constexpr Duration kPeriod = Seconds(1);
  while (true) {
    const OwnerView& view = m_watch.View();
    const bool has_owner = !m_watch.IsOwner() && view.m_record &&
                           !view.m_record->m_released &&
                           view.m_record->m_incarnation != m_incarnation;
    m_link_client.SetOwner(has_owner ? view.m_record : std::nullopt);
    co_await m_watch.Changed().WaitFor(kPeriod);
  }
}

asio::awaitable<void> Node::Parts::StopGracefully() {
  const TimePoint began = BootNow();
  const TimePoint latest =
      began +
      Duration(static_cast<std::int64_t>(
          kGraceShare * static_cast<double>(m_options.m_grace_period.count())));
  m_watch.SetWilling(false);
  co_await HandOver();
  const TimePoint unready = std::min(began + kNotReadyTime, latest);
  while (BootNow() < unready) {
    co_await SleepFor(kStopPollInterval);
  }
  m_callers.StopAccepting();
  while (m_callers.Connections() > 0 && BootNow() < latest) {
    co_await SleepFor(kStopPollInterval);
  }
  m_log.Info("node", "stopped",
             absl::StrCat("took_ms=", ToMilliseconds(BootNow() - began),
                          " connections=", m_callers.Connections()));
  m_log.Flush();
  m_context.stop();
}

Node::Node(asio::io_context& context, NodeOptions options)
    : m_parts(std::make_unique<Parts>(context, std::move(options))) {}

Node::~Node() = default;

absl::Status Node::Start() {
  Parts& parts = *m_parts;
  FS_RETURN_IF_ERROR(parts.m_callers.Listen(parts.m_options.m_caller_listen));
  FS_RETURN_IF_ERROR(parts.m_ready.Listen(parts.m_options.m_ready_listen));
  FS_RETURN_IF_ERROR(parts.m_link_server.Listen(parts.m_options.m_link_listen));
  FS_RETURN_IF_ERROR(
      parts.m_metrics_server.Listen(parts.m_options.m_metrics_listen));
  parts.m_log.Info("node", "started",
                   absl::StrCat("vm=", parts.m_options.m_vm.Value(),
                                " zone=", parts.m_options.m_zone.Value(),
                                " incarnation=", parts.m_incarnation));
  if (!adapter::IsSupportedOrderMode(parts.m_options.m_worker_orders)) {
    parts.m_log.Warn("node", "setting_not_supported",
                     absl::StrCat("key=workers.orders value=",
                                  parts.m_options.m_worker_orders,
                                  " effect=\"no task will be started\""));
  }
  parts.m_configuration.Start([&parts] {
    if (parts.m_owner_term != nullptr) {
      parts.m_owner_term->ConfigChanged();
    }
  });
  parts.m_link_client.SetHealthCallback(
      [&parts](LinkHealth health) { parts.m_watch.UpdateLinkHealth(health); });
  parts.m_link_client.SetAnswerCallback(
      [&parts](std::uint64_t incarnation, TimePoint sent) {
        parts.m_watch.HandlePingAnswered(incarnation, sent);
      });
  parts.m_link_client.SetPingSource([&parts] {
    const TimePoint reached = parts.m_store.Contact().m_reached_at;
    LinkPing ping;
    ping.m_store_age =
        reached == TimePoint::min() ? Seconds(3600) : BootNow() - reached;
    ping.m_cpu_capacity = parts.m_options.m_cpu_capacity;
    ping.m_willing = parts.m_watch.IsWilling();
    ping.m_relays_starts = true;
    ping.m_relays_to_incarnation = true;
    return ping;
  });
  parts.m_watch.Start(
      [&parts](WonClaim won) { parts.HandleOwnershipGained(std::move(won)); });
  asio::co_spawn(parts.m_context, parts.LinkLoop(), asio::detached);
  return absl::OkStatus();
}

void Node::Stop() {
  if (m_parts->m_stopping) {
    return;
  }
  m_parts->m_stopping = true;
  m_parts->m_log.Info("node", "stopping");
  asio::co_spawn(m_parts->m_context, m_parts->StopGracefully(), asio::detached);
}

void Node::Reload(const NodeOptions& options) {
  m_parts->m_store.SetEndpoint(options.m_store);
  m_parts->m_options.m_fleet = options.m_fleet;
  m_parts->m_options.m_recommendation = options.m_recommendation;
  m_parts->m_log.Info("node", "settings_read",
                      absl::StrCat("store=", options.m_store.Text()));
}

}  // namespace filbertspar
