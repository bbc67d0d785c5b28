#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <vector>

#include "filbertspar/http/http.h"
#include "filbertspar/metrics/metrics.h"
#include "filbertspar/node/src/async.h"
#include "filbertspar/node/src/event_log.h"
#include "filbertspar/scheduler/scheduler.h"

namespace filbertspar {

/// \brief Sends orders to workers and polls their status on behalf of the owner
/// of the jobs.
class WorkerConnections
    : public std::enable_shared_from_this<WorkerConnections> {
 public:
  struct Hooks {
    /// Whether this VM may still send orders to workers.
    std::function<bool()> m_can_send_orders;
    /// Called after a response has changed the scheduler's state.
    std::function<void()> m_changed;
  };

  WorkerConnections(asio::io_context& context, HttpClient& client,
                    MetricsBook& metrics, EventLog& log,
                    scheduler::Scheduler& scheduler, Hooks hooks);

  /// \brief Polls a worker periodically until it is retired.
  void StartPolling(scheduler::WorkerIndex index);
  /// \brief Queues the start, stop and throttle orders in `effects` for
  /// sending.
  void SendOrders(scheduler::Effects& effects);
  /// \brief Signals that finished runs were written to the store, so that the
  /// next polls can acknowledge them to the workers.
  void NotifyFinishedRunsStored() { m_finished_runs_stored.Notify(); }
  void Stop();

 private:
  /// Orders to one worker, sent over a small number of connections; each
  /// connection sends one order at a time.
  struct Channel {
    std::deque<std::function<asio::awaitable<void>()>> m_orders;
    int m_active = 0;
    bool m_is_polled = false;
  };

  asio::awaitable<void> PollLoop(scheduler::WorkerIndex index);
  asio::awaitable<bool> PollOnce(scheduler::WorkerIndex index,
                                 bool fresh_connection);
  asio::awaitable<void> SendStart(scheduler::WorkerIndex index,
                                  StartOrder order);
  asio::awaitable<void> SendStop(scheduler::WorkerIndex index, StopOrder order);
  asio::awaitable<void> SendPace(scheduler::WorkerIndex index,
                                 ThrottleOrder order);
  void Enqueue(scheduler::WorkerIndex index,
               std::function<asio::awaitable<void>()> order);
  asio::awaitable<void> SendQueued(scheduler::WorkerIndex index);
  Channel& ChannelOf(scheduler::WorkerIndex index);
  asio::awaitable<CallResult> Send(scheduler::WorkerIndex index,
                                   std::string_view kind, HttpRequest request,
                                   Duration timeout, bool fresh_connection);

  asio::io_context& m_context;
  HttpClient& m_client;
  MetricsBook& m_metrics;
  EventLog& m_log;
  scheduler::Scheduler& m_scheduler;
  Hooks m_hooks;
  Signal m_finished_runs_stored;
  std::vector<std::unique_ptr<Channel>> m_channels;
  bool m_running = true;
};

}  // namespace filbertspar
