#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string_view>
#include <vector>

#include "filbertspar/http/http.h"
#include "filbertspar/metrics/metrics.h"
#include "filbertspar/node/src/async.h"
#include "filbertspar/node/src/event_log.h"
#include "filbertspar/node/src/incarnation.h"
#include "filbertspar/node/src/link_server.h"
#include "filbertspar/node/src/traffic_meter.h"
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
                    LinkServer& links, TrafficMeter& traffic,
                    MetricsBook& metrics, EventLog& log,
                    scheduler::Scheduler& scheduler, Hooks hooks);

  /// \brief Polls a worker periodically until it is retired.
  void StartPolling(scheduler::WorkerIndex index);
  /// \brief Asks the worker which incarnation it is, while a poll of the known
  /// one may still wait for its answer.
  void CheckIncarnation(scheduler::WorkerIndex index);
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
    /// Number of the poll loop in force; an earlier one ends after its poll.
    std::uint64_t m_poll_loop = 0;
    /// A poll holds one of the connections.
    bool m_has_open_poll = false;
    /// Connections that are being opened.
    int m_connecting = 0;
  };

  /// How far one attempt to send a start came.
  struct StartAttempt {
    RelayOutcome m_outcome = RelayOutcome::kNotSent;
    OrderResponse m_response;
    /// In logs: what carried the order.
    std::string_view m_path = "connection";
  };

  /// Kind of traffic of starts that this VM sends itself.
  static constexpr std::string_view kStartTraffic = "start";
  /// Kind of traffic of polls, and label of their results.
  static constexpr std::string_view kPollTraffic = "look";
  /// Longest time to wait for the answer to an order.
  static constexpr Duration kOrderTimeout = Milliseconds(350);
  /// Connections that send orders to one worker.
  static constexpr int kOrderConnections = 2;

  /// Polls at once, whatever answer the previous loop waits for.
  void RestartPolling(scheduler::WorkerIndex index);
  asio::awaitable<void> PollLoop(scheduler::WorkerIndex index,
                                 std::uint64_t loop);
  /// Returns how the poll failed; empty when it was answered.
  asio::awaitable<std::string_view> PollOnce(scheduler::WorkerIndex index,
                                             std::uint64_t loop,
                                             bool fresh_connection);
  WorkerTarget TargetOf(scheduler::WorkerIndex index) const;
  /// Whether an order to the known incarnation finds a connection now.
  bool CanReach(scheduler::WorkerIndex index);
  /// Opens a connection for orders. Learns of another incarnation when that
  /// answers on it.
  asio::awaitable<Introduction> Connect(scheduler::WorkerIndex index,
                                        Duration timeout);
  /// A start that was not sent because no incarnation has answered.
  static StartAttempt AttemptWithoutConnection(
      const Introduction& introduction);
  /// Opens connections for starts that are planned, so that these need not wait
  /// for them.
  void ConnectAhead(const std::vector<scheduler::WorkerIndex>& planned);
  asio::awaitable<void> ConnectInBackground(scheduler::WorkerIndex index);
  asio::awaitable<void> SendStart(scheduler::WorkerIndex index,
                                  StartOrder order);
  asio::awaitable<StartAttempt> SendStartDirectly(scheduler::WorkerIndex index,
                                                  StartOrder order,
                                                  Duration timeout);
  asio::awaitable<StartAttempt> RelayStart(scheduler::WorkerIndex index,
                                           StartOrder order, VmName relay,
                                           Duration timeout);
  /// VM to send a start of a job whose payload `payload_holder` keeps; empty
  /// when no VM can.
  VmName ChooseRelay(const VmName& payload_holder) const;
  asio::awaitable<void> SendStop(scheduler::WorkerIndex index, StopOrder order);
  asio::awaitable<void> SendPace(scheduler::WorkerIndex index,
                                 ThrottleOrder order);
  /// A time-out for a call to a worker, longer while this VM's link is loaded.
  Duration Patience(Duration timeout) const;
  void Enqueue(scheduler::WorkerIndex index,
               std::function<asio::awaitable<void>()> order);
  asio::awaitable<void> SendQueued(scheduler::WorkerIndex index);
  Channel& ChannelOf(scheduler::WorkerIndex index);
  asio::awaitable<CallResult> Send(scheduler::WorkerIndex index,
                                   std::string_view kind, HttpRequest request,
                                   CallOptions options);

  asio::io_context& m_context;
  HttpClient& m_client;
  LinkServer& m_links;
  TrafficMeter& m_traffic;
  MetricsBook& m_metrics;
  EventLog& m_log;
  scheduler::Scheduler& m_scheduler;
  Hooks m_hooks;
  Signal m_finished_runs_stored;
  std::vector<std::unique_ptr<Channel>> m_channels;
  bool m_running = true;
};

}  // namespace filbertspar
