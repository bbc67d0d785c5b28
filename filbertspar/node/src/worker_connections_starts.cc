#include <algorithm>
#include <map>
#include <utility>

#include "absl/strings/str_cat.h"
#include "boost/asio/co_spawn.hpp"
#include "boost/asio/detached.hpp"
#include "filbertspar/node/src/clock.h"
#include "filbertspar/node/src/metric_names.h"
#include "filbertspar/node/src/start_relay.h"
#include "filbertspar/node/src/worker_connections.h"
#include "platform/platform.h"

namespace filbertspar {
namespace {

using scheduler::WorkerIndex;

/// Longest time to wait for another VM that sends a start; it may have to wait
/// for its own link.
constexpr Duration kRelayTimeout = Milliseconds(800);
constexpr Duration kRetryDelay = Milliseconds(80);
/// Connections that a start opens before it pauses: other orders may take them,
/// and a worker may close each one after its answer.
constexpr int kMaxConnectsAtOnce = 3;

/// Log fields of a start: the run, and the incarnation of the worker, its clock
/// and its lease as the owner knows them when the order is sent.
std::string StartFields(const scheduler::Worker& worker,
                        const StartOrder& order, TimePoint now) {
  return absl::StrCat(
      "job=", order.m_task.m_job.Value(),
      " occurrence=", order.m_task.m_occurrence, " step=", order.m_task.m_step,
      " task=", order.m_task.m_index, " run=", order.m_run.Value(),
      " worker=", worker.m_record.m_name.Value(),
      " incarnation=", worker.m_incarnation,
      " fencing=", order.m_fencing.Value(),
      " deadline_ms=", order.m_deadline_ms,
      " clock_ms=", scheduler::MinWorkerClock(worker, now),
      " lease_left_ms=", ToMilliseconds(worker.m_lease_until - now));
}

}  // namespace

VmName WorkerConnections::ChooseRelay(const VmName& payload_holder) const {
  return m_links.CanRelay(payload_holder) ? payload_holder
                                          : m_links.LeastBusyRelay();
}

asio::awaitable<Introduction> WorkerConnections::Connect(WorkerIndex index,
                                                         Duration timeout) {
  const WorkerTarget target = TargetOf(index);
  ++ChannelOf(index).m_connecting;
  m_traffic.CountSent(kPollTraffic, TrafficMeter::kHttpHeaderBytes);
  Introduction introduction = co_await Introduce(m_client, target, timeout);
  --ChannelOf(index).m_connecting;
  if (!m_running) {
    co_return introduction;
  }
  const CallResult& result = introduction.m_result;
  if (result.m_end == CallEnd::kAnswered) {
    m_traffic.CountReceived(kPollTraffic, result.m_response.body().size() +
                                              TrafficMeter::kHttpHeaderBytes);
  } else if (result.m_failure != CallFailure::kTimedOut) {
    // Nothing listens there any more. A connection that is not opened in time
    // says nothing about those that are open.
    m_client.DropIdle(target.m_endpoint);
  }
  Count(m_metrics, metric::kOrders,
        absl::StrCat("connect_",
                     std::string(OrderResultName(
                         adapter::DecodeOrderResponse(result).m_result))));
  const std::int64_t known = m_scheduler.m_workers[index].m_incarnation;
  if (introduction.m_status &&
      (introduction.m_status->m_incarnation != known ||
       !scheduler::IsFenced(m_scheduler.m_workers[index]))) {
    scheduler::HandlePollResponse(m_scheduler, introduction.m_sent_at,
                                  BootNow(), index, *introduction.m_status,
                                  target.m_fencing);
    if (m_scheduler.m_workers[index].m_incarnation != known) {
      RestartPolling(index);
    }
    m_hooks.m_changed();
  }
  co_return introduction;
}

void WorkerConnections::CheckIncarnation(WorkerIndex index) {
  if (m_running && m_hooks.m_can_send_orders()) {
    asio::co_spawn(m_context, ConnectInBackground(index), asio::detached);
  }
}

void WorkerConnections::ConnectAhead(const std::vector<WorkerIndex>& planned) {
  if (planned.empty() || m_traffic.IsLoaded()) {
    // A loaded VM lets others send its starts.
    return;
  }
  std::map<WorkerIndex, int> starts;
  for (const WorkerIndex index : planned) {
    ++starts[index];
  }
  for (const auto& [index, count] : starts) {
    const scheduler::Worker& worker = m_scheduler.m_workers[index];
    const Channel& channel = ChannelOf(index);
    const int polls = channel.m_has_open_poll ? 0 : 1;
    const int present =
        static_cast<int>(m_client.CountIdle(worker.m_record.m_endpoint,
                                            PeerOf(worker.m_incarnation))) +
        channel.m_connecting;
    const int needed = std::min(count, kOrderConnections) + polls;
    for (int i = present; i < needed; ++i) {
      asio::co_spawn(m_context, ConnectInBackground(index), asio::detached);
    }
  }
}

asio::awaitable<void> WorkerConnections::ConnectInBackground(
    WorkerIndex index) {
  auto self = shared_from_this();
  if (m_running) {
    co_await Connect(index, Patience(kOrderTimeout));
  }
}

WorkerConnections::StartAttempt WorkerConnections::AttemptWithoutConnection(
    const Introduction& introduction) {
  StartAttempt attempt;
  attempt.m_path = "connect";
  const OrderResponse refusal =
      adapter::DecodeOrderResponse(introduction.m_result);
  if (refusal.m_result != OrderResult::kUnknown &&
      refusal.m_result != OrderResult::kAccepted) {
    attempt.m_outcome = RelayOutcome::kAnswered;
    attempt.m_response = refusal;
  }
  return attempt;
}

asio::awaitable<WorkerConnections::StartAttempt>
WorkerConnections::SendStartDirectly(WorkerIndex index, StartOrder order,
                                     Duration timeout) {
  const WorkerName name = m_scheduler.m_workers[index].m_record.m_name;
  CallOptions options;
  options.m_timeout = std::min(Patience(kOrderTimeout), timeout);
  options.m_connection = ConnectionChoice::kToPeer;
  options.m_peer = PeerOf(order.m_incarnation);
  HttpRequest request = adapter::MakeStartRequest(name, order);
  const CallResult result = co_await Send(
      index, kStartTraffic, std::move(request), std::move(options));
  StartAttempt attempt;
  attempt.m_response = adapter::DecodeOrderResponse(result);
  if (attempt.m_response.m_result != OrderResult::kUnknown) {
    attempt.m_outcome = RelayOutcome::kAnswered;
  } else if (result.m_end != CallEnd::kNotSent) {
    attempt.m_outcome = RelayOutcome::kUnanswered;
  }
  co_return attempt;
}

asio::awaitable<WorkerConnections::StartAttempt> WorkerConnections::RelayStart(
    WorkerIndex index, StartOrder order, VmName relay, Duration timeout) {
  const WorkerRecord& record = m_scheduler.m_workers[index].m_record;
  const JobId job = order.m_task.m_job;
  RelayedStart start =
      MakeRelayedStart(order, record.m_name, record.m_endpoint);
  const scheduler::TaskRef ref = scheduler::FindTask(m_scheduler, order.m_task);
  if (!ref || ref.m_job->m_payload_holder != relay) {
    // Later starts of the job that go the same way need not carry it.
    start.m_payload = order.m_payload;
    scheduler::SetPayloadHolder(m_scheduler, job, relay);
  }
  start.m_wait = std::min(kRelayTimeout, timeout);
  const std::optional<RelayedStartReply> reply =
      co_await m_links.Relay(relay, std::move(start));
  StartAttempt attempt;
  attempt.m_path = "relay";
  if (!reply) {
    attempt.m_outcome = RelayOutcome::kUnanswered;
    co_return attempt;
  }
  attempt.m_outcome = reply->m_outcome;
  if (reply->m_outcome == RelayOutcome::kNoPayload && m_running) {
    scheduler::SetPayloadHolder(m_scheduler, job, VmName());
  }
  if (reply->m_outcome == RelayOutcome::kAnswered) {
    attempt.m_response.m_result = OrderResultFromNumber(reply->m_result);
    if (reply->m_clock_ms >= 0) {
      attempt.m_response.m_clock_ms = reply->m_clock_ms;
    }
  }
  co_return attempt;
}

asio::awaitable<void> WorkerConnections::SendStart(WorkerIndex index,
                                                   StartOrder order) {
  const TimePoint deadline = BootNow() + m_scheduler.m_options.m_start_window;
  bool was_tried = false;
  int connects = 0;
  OrderResponse answer;
  while (m_running && m_hooks.m_can_send_orders() && BootNow() < deadline) {
    const auto ref = scheduler::FindTask(m_scheduler, order.m_task);
    if (!ref || ref.GetTask().m_phase != scheduler::TaskPhase::kStarting ||
        ref.GetTask().m_run != order.m_run.Value()) {
      co_return;
    }
    if (m_scheduler.m_workers[index].m_incarnation != order.m_incarnation) {
      answer.m_result = OrderResult::kNotDelivered;
      was_tried = true;
      break;
    }
    if (!scheduler::IsFenced(m_scheduler.m_workers[index])) {
      // Another call got no response; no more starts become doubtful. While
      // this VM's link is loaded, that says little about the worker.
      if (!m_traffic.IsLoaded()) {
        break;
      }
      co_await SleepFor(kRetryDelay);
      continue;
    }
    // Orders that wait for their turn do not hold a copy each.
    order.m_payload = ref.m_job->m_spec->m_payload;
    const TimePoint now = BootNow();
    const VmName relay = ChooseRelay(ref.m_job->m_payload_holder);
    const StartRoute route =
        ChooseStartRoute(m_traffic.Budget(), now, !relay.Empty());
    if (route.m_path == StartPath::kWait) {
      co_await SleepFor(std::min(route.m_wait, deadline - now));
      continue;
    }
    const bool is_relayed = route.m_path == StartPath::kRelay;
    const bool is_sent = is_relayed || CanReach(index);
    if (is_sent) {
      order.m_fencing = scheduler::HandleStartSent(m_scheduler, now, order);
    }
    const std::string sent_fields =
        StartFields(m_scheduler.m_workers[index], order, now);
    StartAttempt attempt;
    if (is_relayed) {
      attempt = co_await RelayStart(index, order, relay, deadline - now);
    } else if (is_sent) {
      attempt = co_await SendStartDirectly(index, order, deadline - now);
    } else {
      const FencingNumber fencing = m_scheduler.m_workers[index].m_fencing;
      const Introduction introduction = co_await Connect(
          index, std::min(Patience(kOrderTimeout), deadline - now));
      // Another start may have overtaken the poll that opens the connection.
      const bool was_overtaken =
          adapter::DecodeOrderResponse(introduction.m_result).m_result ==
              OrderResult::kFenced &&
          m_running && fencing < m_scheduler.m_workers[index].m_fencing;
      if ((introduction.m_status || was_overtaken) && m_running) {
        // Whether the order may still be sent is decided anew.
        if (++connects % kMaxConnectsAtOnce == 0) {
          co_await SleepFor(kRetryDelay);
        }
        continue;
      }
      attempt = AttemptWithoutConnection(introduction);
    }
    if (!m_running) {
      // The scheduler may be gone with its term.
      co_return;
    }
    answer = attempt.m_response;
    if (attempt.m_outcome == RelayOutcome::kNotSent) {
      answer.m_result = OrderResult::kNotDelivered;
    }
    if (is_sent && attempt.m_outcome != RelayOutcome::kAnswered &&
        attempt.m_outcome != RelayOutcome::kUnanswered) {
      scheduler::HandleStartNotSent(m_scheduler, index, order);
    }
    Count(m_metrics, metric::kOrders,
          absl::StrCat(is_relayed ? "relayed_start_" : "start_",
                       std::string(OrderResultName(answer.m_result))));
    m_log.Detail(
        "worker", "start_sent",
        absl::StrCat(sent_fields, " path=", std::string(attempt.m_path),
                     " result=", std::string(OrderResultName(answer.m_result)),
                     " answer_clock_ms=", answer.m_clock_ms.value_or(-1)));
    if (attempt.m_outcome == RelayOutcome::kNoPayload) {
      continue;
    }
    was_tried = true;
    if (is_relayed && answer.m_result == OrderResult::kOtherInstance) {
      // The relay says that another incarnation has answered, not which.
      CheckIncarnation(index);
    }
    if (attempt.m_outcome != RelayOutcome::kNotSent ||
        !scheduler::IsResponsive(m_scheduler.m_workers[index], BootNow())) {
      break;
    }
    co_await SleepFor(kRetryDelay);
  }
  if (!m_running) {
    co_return;
  }
  if (!was_tried) {
    // The link had no room for it; nothing is known against the worker.
    answer.m_result = OrderResult::kDeadlinePassed;
  }
  if (answer.m_result != OrderResult::kAccepted) {
    m_log.Detail(
        "worker", "start_not_accepted",
        absl::StrCat(
            "job=", order.m_task.m_job.Value(), " step=", order.m_task.m_step,
            " task=", order.m_task.m_index,
            " worker=", m_scheduler.m_workers[index].m_record.m_name.Value(),
            " result=", std::string(OrderResultName(answer.m_result))));
  }
  scheduler::HandleStartResponse(m_scheduler, BootNow(), index, order, answer);
  if (was_tried && !scheduler::IsFenced(m_scheduler.m_workers[index]) &&
      ChannelOf(index).m_connecting == 0) {
    // The answer to a poll with a higher fencing number tells whether the start
    // was executed.
    CheckIncarnation(index);
  }
  m_hooks.m_changed();
}

}  // namespace filbertspar
