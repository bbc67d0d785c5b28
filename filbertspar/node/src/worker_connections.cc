#include "filbertspar/node/src/worker_connections.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "boost/asio/co_spawn.hpp"
#include "boost/asio/detached.hpp"
#include "filbertspar/node/src/clock.h"
#include "filbertspar/node/src/metric_names.h"
#include "platform/platform.h"

namespace filbertspar {
namespace {

using scheduler::WorkerIndex;

/// Longest time a worker that runs tasks may hold a poll open until a run
/// finishes. The lease must be longer than this plus one lost poll.
constexpr Duration kBusyPollWait = Milliseconds(900);
constexpr Duration kIdlePollWait = Milliseconds(1500);
/// The same while the worker may have ends that it has not listed. Not 0, so
/// that a list which stays cut does not keep the owner busy.
constexpr Duration kCutListPollWait = Milliseconds(100);
constexpr Duration kPollResponseMargin = Milliseconds(700);
constexpr Duration kFirstPollTimeout = Milliseconds(500);
/// Between two polls of one worker; runs that finish close together are read
/// by the same poll.
constexpr Duration kPollInterval = Milliseconds(30);
/// The same for each run that the worker listed: a poll transfers all of them.
constexpr Duration kPollIntervalPerRun = Duration(100);
constexpr Duration kMaxPollInterval = Milliseconds(400);
/// The same while this VM's link is loaded: fewer polls read the same ends.
constexpr Duration kLoadedPollInterval = Milliseconds(150);
/// Unanswered polls that renew the lease while this VM's link is loaded; with
/// the time-outs below a worker that is gone is given up some 3 s later.
constexpr std::uint32_t kLoadedRenewals = 2;
/// Factor on time-outs while this VM's link is loaded.
constexpr int kLoadedPatience = 2;
/// Longest time to wait for finished runs to be stored before the next poll.
constexpr Duration kStoreWait = Milliseconds(250);
/// The same, and how often, for the answer to a start while ends are to be
/// acknowledged; most starts are answered within some milliseconds.
constexpr Duration kStartWait = Milliseconds(10);
constexpr int kMaxStartWaits = 5;
constexpr Duration kFirstRetryDelay = Milliseconds(80);
constexpr Duration kMaxRetryDelay = Milliseconds(500);
constexpr int kMaxStopAttempts = 6;
constexpr int kMaxPaceAttempts = 3;
constexpr Duration kNotOwnerDelay = Milliseconds(100);

scheduler::PollFailure PollFailureOf(const CallResult& result) {
  switch (result.m_failure) {
    case CallFailure::kNone:
    case CallFailure::kNotConnected:
      return scheduler::PollFailure::kUnusable;
    case CallFailure::kTimedOut:
      return scheduler::PollFailure::kSilent;
    case CallFailure::kRefused:
      return scheduler::PollFailure::kRefused;
    case CallFailure::kClosed:
      return scheduler::PollFailure::kClosed;
  }
  return scheduler::PollFailure::kSilent;
}

}  // namespace

WorkerConnections::WorkerConnections(asio::io_context& context,
                                     HttpClient& client, LinkServer& links,
                                     TrafficMeter& traffic,
                                     MetricsBook& metrics, EventLog& log,
                                     scheduler::Scheduler& scheduler,
                                     Hooks hooks)
    : m_context(context),
      m_client(client),
      m_links(links),
      m_traffic(traffic),
      m_metrics(metrics),
      m_log(log),
      m_scheduler(scheduler),
      m_hooks(std::move(hooks)),
      m_finished_runs_stored(context) {}

void WorkerConnections::Stop() {
  m_running = false;
  m_finished_runs_stored.Notify();
}

Duration WorkerConnections::Patience(Duration timeout) const {
  return m_traffic.IsLoaded() ? timeout * kLoadedPatience : timeout;
}

WorkerConnections::Channel& WorkerConnections::ChannelOf(WorkerIndex index) {
  while (m_channels.size() <= index) {
    m_channels.push_back(std::make_unique<Channel>());
  }
  return *m_channels[index];
}

void WorkerConnections::StartPolling(WorkerIndex index) {
  if (!ChannelOf(index).m_is_polled) {
    RestartPolling(index);
  }
}

void WorkerConnections::RestartPolling(WorkerIndex index) {
  if (!m_running) {
    return;
  }
  Channel& channel = ChannelOf(index);
  channel.m_is_polled = true;
  ++channel.m_poll_loop;
  asio::co_spawn(m_context, PollLoop(index, channel.m_poll_loop),
                 asio::detached);
}

WorkerTarget WorkerConnections::TargetOf(WorkerIndex index) const {
  const scheduler::Worker& worker = m_scheduler.m_workers[index];
  return {worker.m_record.m_name, worker.m_record.m_endpoint, worker.m_fencing};
}

bool WorkerConnections::CanReach(WorkerIndex index) {
  const scheduler::Worker& worker = m_scheduler.m_workers[index];
  return worker.m_has_responded &&
         m_client.CanReach(worker.m_record.m_endpoint,
                           PeerOf(worker.m_incarnation));
}

asio::awaitable<CallResult> WorkerConnections::Send(WorkerIndex index,
                                                    std::string_view kind,
                                                    HttpRequest request,
                                                    CallOptions options) {
  const Endpoint endpoint = m_scheduler.m_workers[index].m_record.m_endpoint;
  const TimePoint sent = BootNow();
  const std::size_t bytes =
      request.body().size() + TrafficMeter::kHttpHeaderBytes;
  if (kind == kStartTraffic) {
    m_traffic.CountStart(kind, bytes);
  } else {
    m_traffic.CountSent(kind, bytes);
  }
  CallResult result =
      co_await m_client.Call(endpoint, std::move(request), std::move(options));
  if (result.m_end == CallEnd::kAnswered) {
    m_traffic.CountReceived(
        kind, result.m_response.body().size() + TrafficMeter::kHttpHeaderBytes);
  }
  if (result.m_failure == CallFailure::kNotConnected) {
    co_return result;
  }
  if (result.m_end != CallEnd::kAnswered) {
    // While this VM's own link is loaded, a late answer says little about the
    // other connections, and a new one takes longer to be of use.
    if (!m_traffic.IsLoaded() || result.m_failure != CallFailure::kTimedOut) {
      m_client.DropIdle(endpoint);
    }
  } else if (kind != kPollTraffic) {
    RecordLatency(m_metrics, metric::kOrderSeconds, kind, BootNow() - sent);
  }
  co_return result;
}

asio::awaitable<void> WorkerConnections::PollLoop(WorkerIndex index,
                                                  std::uint64_t loop) {
  auto self = shared_from_this();
  Duration pause = kFirstRetryDelay;
  bool fresh = false;
  std::string_view failure;
  while (m_running && loop == ChannelOf(index).m_poll_loop) {
    if (scheduler::IsRetired(m_scheduler.m_workers[index], BootNow())) {
      break;
    }
    if (!m_hooks.m_can_send_orders()) {
      co_await SleepFor(kNotOwnerDelay);
      continue;
    }
    const std::string_view last_failure = failure;
    failure = co_await PollOnce(index, loop, fresh);
    if (!m_running || loop != ChannelOf(index).m_poll_loop) {
      co_return;
    }
    const bool answered = failure.empty();
    if (failure != last_failure) {
      const std::string fields = absl::StrCat(
          "worker=", m_scheduler.m_workers[index].m_record.m_name.Value());
      answered
          ? m_log.Info("worker", "worker_regained", fields)
          : m_log.Warn("worker", "worker_lost",
                       absl::StrCat(fields, " how=", std::string(failure)));
    }
    fresh = !answered && !m_traffic.IsLoaded();
    if (!answered) {
      co_await SleepFor(pause);
      pause = std::min(pause * 2, kMaxRetryDelay);
      continue;
    }
    pause = kFirstRetryDelay;
    const auto& worker = m_scheduler.m_workers[index];
    if (worker.m_finished_read > worker.m_finished_stored) {
      const TimePoint until = BootNow() + kStoreWait;
      while (m_running && BootNow() < until &&
             m_scheduler.m_workers[index].m_finished_read >
                 m_scheduler.m_workers[index].m_finished_stored) {
        co_await m_finished_runs_stored.WaitFor(until - BootNow());
      }
    }
    const auto runs =
        static_cast<std::int64_t>(m_scheduler.m_workers[index].m_tasks.size());
    co_await SleepFor(
        (m_traffic.IsLoaded() ? kLoadedPollInterval : kPollInterval) +
        std::min(runs * kPollIntervalPerRun, kMaxPollInterval));
    for (int i = 0; i < kMaxStartWaits && m_running &&
                    scheduler::HoldsBackEnds(m_scheduler.m_workers[index]);
         ++i) {
      co_await SleepFor(kStartWait);
    }
  }
  if (loop == ChannelOf(index).m_poll_loop) {
    ChannelOf(index).m_is_polled = false;
  }
}

asio::awaitable<std::string_view> WorkerConnections::PollOnce(
    WorkerIndex index, std::uint64_t loop, bool fresh_connection) {
  const TimePoint sent = BootNow();
  PollOrder order;
  m_scheduler.m_options.m_unanswered_renewals =
      m_traffic.IsLoaded() ? kLoadedRenewals : 0;
  scheduler::Worker& worker = m_scheduler.m_workers[index];
  const WorkerName name = worker.m_record.m_name;
  const Endpoint endpoint = worker.m_record.m_endpoint;
  order.m_fencing = worker.m_fencing;
  CallOptions options;
  if (!fresh_connection && CanReach(index)) {
    options.m_connection = ConnectionChoice::kToPeer;
    options.m_peer = PeerOf(worker.m_incarnation);
    order.m_deadline_ms = scheduler::GrantLease(m_scheduler, sent, index);
    order.m_acknowledged = scheduler::EndsToAcknowledge(worker);
    order.m_fencing =
        scheduler::HandlePollSent(sent, worker, order.m_acknowledged);
    // Until the worker is fenced it gets no start; that must not take long.
    if (worker.m_failed_polls == 0 && scheduler::IsFenced(worker)) {
      order.m_wait = worker.m_tasks.empty() ? kIdlePollWait : kBusyPollWait;
      if (worker.m_last_list_is_cut) {
        // The rest of the list may be empty, and its end is waited for.
        order.m_wait = kCutListPollWait;
      }
    }
  } else {
    // Whatever incarnation answers, this poll must grant it no lease and have
    // it discard nothing.
    options.m_connection = ConnectionChoice::kNew;
    options.m_identify = IdentifyWorker;
  }
  options.m_timeout = order.m_wait > Duration(0)
                          ? order.m_wait + Patience(kPollResponseMargin)
                          : Patience(kFirstPollTimeout);
  HttpRequest request = adapter::MakePollRequest(name, order);
  Channel& channel = ChannelOf(index);
  channel.m_has_open_poll = true;
  const CallResult result = co_await Send(
      index, kPollTraffic, std::move(request), std::move(options));
  if (!m_running || loop != channel.m_poll_loop) {
    // Another incarnation has answered meanwhile, or the term has ended.
    co_return "stopped";
  }
  channel.m_has_open_poll = false;
  std::size_t damaged = 0;
  const std::optional<WorkerStatus> look =
      adapter::DecodeWorkerStatus(result, damaged);
  if (damaged > 0) {
    m_log.Warn("worker", "look_damaged",
               absl::StrCat("worker=", name.Value(), " rows=", damaged));
  }
  if (look) {
    Count(m_metrics, metric::kOrders, "look_accepted");
    scheduler::HandlePollResponse(m_scheduler, sent, BootNow(), index, *look,
                                  order.m_fencing);
    m_hooks.m_changed();
    co_return "";
  }
  const OrderResult refusal = adapter::DecodeOrderResponse(result).m_result;
  if (refusal == OrderResult::kFenced &&
      order.m_fencing < m_scheduler.m_workers[index].m_fencing) {
    // A start with a higher number has overtaken the poll.
    Count(m_metrics, metric::kOrders, "look_overtaken");
    co_return "";
  }
  scheduler::HandlePollFailure(m_scheduler, BootNow(), index,
                               PollFailureOf(result));
  Count(m_metrics, metric::kOrders,
        absl::StrCat("look_", std::string(OrderResultName(refusal))));
  // What answers at an earlier address of the worker says nothing about its
  // next incarnation.
  const bool has_moved =
      m_scheduler.m_workers[index].m_record.m_endpoint != endpoint;
  if (refusal == OrderResult::kOtherInstance && !has_moved) {
    scheduler::HandleInstanceReplaced(m_scheduler, BootNow(), index);
    m_hooks.m_changed();
  }
  co_return result.m_end == CallEnd::kAnswered
      ? OrderResultName(refusal)
      : CallFailureName(result.m_failure);
}

void WorkerConnections::SendOrders(scheduler::Effects& effects) {
  ConnectAhead(effects.m_planned_workers);
  for (auto& start : effects.m_starts) {
    Enqueue(start.m_worker,
            [this, index = start.m_worker, order = std::move(start.m_order)] {
              return SendStart(index, order);
            });
  }
  for (auto& stop : effects.m_stops) {
    Enqueue(stop.m_worker, [this, index = stop.m_worker, order = stop.m_order] {
      return SendStop(index, order);
    });
  }
  for (auto& pace : effects.m_throttles) {
    Enqueue(pace.m_worker, [this, index = pace.m_worker, order = pace.m_order] {
      return SendPace(index, order);
    });
  }
}

void WorkerConnections::Enqueue(WorkerIndex index,
                                std::function<asio::awaitable<void>()> order) {
  if (index == scheduler::kNoWorker) {
    return;
  }
  Channel& channel = ChannelOf(index);
  channel.m_orders.push_back(std::move(order));
  if (channel.m_active < kOrderConnections) {
    ++channel.m_active;
    asio::co_spawn(m_context, SendQueued(index), asio::detached);
  }
}

asio::awaitable<void> WorkerConnections::SendQueued(WorkerIndex index) {
  auto self = shared_from_this();
  Channel& channel = ChannelOf(index);
  while (m_running && !channel.m_orders.empty()) {
    // Keeps the function object alive until its coroutine ends.
    const std::function<asio::awaitable<void>()> order =
        std::move(channel.m_orders.front());
    channel.m_orders.pop_front();
    co_await order();
  }
  --channel.m_active;
}

asio::awaitable<void> WorkerConnections::SendStop(WorkerIndex index,
                                                  StopOrder order) {
  const WorkerName name = m_scheduler.m_workers[index].m_record.m_name;
  for (int attempt = 0; attempt < kMaxStopAttempts && m_running; ++attempt) {
    if (!m_hooks.m_can_send_orders() ||
        scheduler::IsStopAnswered(m_scheduler, index, order)) {
      co_return;
    }
    order.m_fencing = m_scheduler.m_workers[index].m_fencing;
    CallOptions options;
    options.m_timeout = Patience(kOrderTimeout);
    options.m_connection =
        attempt > 0 ? ConnectionChoice::kNew : ConnectionChoice::kAny;
    const OrderResponse answer = adapter::DecodeOrderResponse(
        co_await Send(index, "stop", adapter::MakeStopRequest(name, order),
                      std::move(options)));
    Count(m_metrics, metric::kOrders,
          absl::StrCat("stop_", std::string(OrderResultName(answer.m_result))));
    if (!m_running) {
      co_return;
    }
    // A poll with a higher fencing number may have overtaken the stop.
    if (answer.m_result != OrderResult::kUnknown &&
        answer.m_result != OrderResult::kFenced &&
        answer.m_result != OrderResult::kUnhealthy) {
      scheduler::HandleStopResponse(m_scheduler, BootNow(), index, order,
                                    answer);
      m_hooks.m_changed();
      co_return;
    }
    co_await SleepFor(kFirstRetryDelay);
  }
}

asio::awaitable<void> WorkerConnections::SendPace(WorkerIndex index,
                                                  ThrottleOrder order) {
  const WorkerName name = m_scheduler.m_workers[index].m_record.m_name;
  for (int attempt = 0; attempt < kMaxPaceAttempts && m_running; ++attempt) {
    order.m_fencing = m_scheduler.m_workers[index].m_fencing;
    CallOptions options;
    options.m_timeout = kOrderTimeout;
    const OrderResponse answer = adapter::DecodeOrderResponse(
        co_await Send(index, "pace", adapter::MakeThrottleRequest(name, order),
                      std::move(options)));
    Count(m_metrics, metric::kOrders,
          absl::StrCat("pace_", std::string(OrderResultName(answer.m_result))));
    // A start with a higher fencing number may have overtaken the order.
    if (answer.m_result != OrderResult::kFenced) {
      co_return;
    }
  }
}

}  // namespace filbertspar
