#pragma once

#include <unistd.h>

#include <memory>
#include <string>
#include <utility>

#include "filbertspar/node/src/clock.h"
#include "filbertspar/node/src/worker_connections.h"
#include "tests/platform/restarting_worker.h"
#include "tests/scheduler_simulation.h"

namespace filbertspar {

/// \brief An owner of jobs with the connections to its workers. Its store takes
/// each change at once.
struct WorkerOwner {
  static constexpr Duration kPatience = Seconds(20);

  explicit WorkerOwner(asio::io_context& context)
      : m_context(context),
        m_log(context, EventLogLimits(), STDERR_FILENO),
        m_traffic(m_metrics, 1000),
        m_client(context, HttpClientLimits()),
        m_links(context, m_log, m_traffic, Hello(), std::string(32, 's')) {
    auto deployment = std::make_shared<DeploymentConfig>();
    PoolConfig pool;
    pool.m_name = PoolName("p");
    deployment->m_pools[pool.m_name] = pool;
    m_scheduler.m_deployment = deployment;
    m_scheduler.m_options.m_fencing = FencingNumber(1);
    m_scheduler.m_record_before_start = false;
    m_scheduler.m_expected_workers.emplace();
    m_connections = std::make_shared<WorkerConnections>(
        context, m_client, m_links, m_traffic, m_metrics, m_log, m_scheduler,
        WorkerConnections::Hooks{[] { return true; },
                                 [this] { SendOrders(); }});
  }
  ~WorkerOwner() { m_connections->Stop(); }
  WorkerOwner(const WorkerOwner&) = delete;
  WorkerOwner& operator=(const WorkerOwner&) = delete;

  static WorkerRecord RecordOf(const RestartingWorker& worker) {
    WorkerRecord record;
    record.m_name = WorkerName("w");
    record.m_pool = PoolName("p");
    record.m_endpoint = worker.Address();
    record.m_capacity = {Millicores(64000), Megabytes(32768), Accelerators(0)};
    return record;
  }

  void Follow(const RestartingWorker& worker) {
    m_connections->StartPolling(
        scheduler::RegisterWorker(m_scheduler, BootNow(), RecordOf(worker)));
  }

  void Submit(const std::string& job, std::uint32_t tasks) {
    scheduler::AddJob(
        m_scheduler, BootNow(),
        scheduler::Simulation::MakeJob(job, "p", tasks, Seconds(30)));
    SendOrders();
  }

  void SendOrders() {
    scheduler::Dispatch(m_scheduler, BootNow());
    const auto writes =
        scheduler::TakePendingWrites(m_scheduler, BootNow(), 100);
    scheduler::HandleWriteCompleted(m_scheduler, BootNow(), writes);
    m_connections->NotifyFinishedRunsStored();
    scheduler::Effects effects;
    std::swap(effects, m_scheduler.m_effects);
    m_connections->SendOrders(effects);
  }

  const scheduler::Worker& Known() const { return m_scheduler.m_workers[0]; }

  /// Lets time pass until the condition holds; false when it never does.
  template <typename Condition>
  bool RunUntil(Condition condition) {
    const TimePoint deadline = SteadyNow() + kPatience;
    while (!condition() && SteadyNow() < deadline) {
      m_context.run_one_for(std::chrono::milliseconds(100));
    }
    return condition();
  }

  asio::io_context& m_context;
  EventLog m_log;
  MetricsBook m_metrics;
  TrafficMeter m_traffic;
  HttpClient m_client;
  LinkServer m_links;
  scheduler::Scheduler m_scheduler;
  std::shared_ptr<WorkerConnections> m_connections;
};

}  // namespace filbertspar
