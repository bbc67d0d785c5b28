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

/// \brief Carries orders to workers and looks at them, for one owner.
class WorkerConnections
    : public std::enable_shared_from_this<WorkerConnections> {
 public:
  struct Hooks {
    /// Whether this VM may still order workers.
    std::function<bool()> m_can_send_orders;
    /// The scheduler's state changed.
    std::function<void()> m_changed;
  };

  WorkerConnections(asio::io_context& context, HttpClient& client,
                    MetricsBook& metrics, EventLog& log,
                    scheduler::Scheduler& scheduler, Hooks hooks);

  /// \brief Looks at a worker from now on.
  void StartPolling(scheduler::WorkerIndex index);
  /// \brief Sends the orders of the effects.
  void SendOrders(scheduler::Effects& effects);
  /// \brief Ends of tasks were stored; they can be acknowledged.
  void NotifyFinishedRunsStored() { m_ends_stored.Notify(); }
  void Stop();

 private:
  /// Orders to one worker go over few connections, one after the other.
  struct Channel {
    std::deque<std::function<asio::awaitable<void>()>> m_orders;
    int m_active = 0;
    bool m_is_watched = false;
  };

  asio::awaitable<void> LookLoop(scheduler::WorkerIndex index);
  asio::awaitable<bool> LookOnce(scheduler::WorkerIndex index,
                                 bool fresh_connection);
  asio::awaitable<void> SendStart(scheduler::WorkerIndex index,
                                  StartOrder order);
  asio::awaitable<void> SendStop(scheduler::WorkerIndex index, StopOrder order);
  asio::awaitable<void> SendPace(scheduler::WorkerIndex index,
                                 ThrottleOrder order);
  void Enqueue(scheduler::WorkerIndex index,
               std::function<asio::awaitable<void>()> order);
  asio::awaitable<void> Drain(scheduler::WorkerIndex index);
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
  Signal m_ends_stored;
  std::vector<std::unique_ptr<Channel>> m_channels;
  bool m_running = true;
};

}  // namespace filbertspar
