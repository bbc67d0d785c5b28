#include "filbertspar/node/src/start_relay.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "filbertspar/node/src/clock.h"
#include "filbertspar/node/src/incarnation.h"
#include "platform/platform.h"

namespace filbertspar {
namespace {

/// Holds the payloads of some minutes of jobs; small beside the memory of the
/// smallest VMs.
constexpr std::size_t kMaxPayloadCacheBytes = 4 << 20;
constexpr Duration kCallTimeout = Milliseconds(350);
/// Connections that a start opens before it is given up: other starts may take
/// them.
constexpr int kMaxConnects = 3;
/// Kind of traffic of relayed starts.
constexpr std::string_view kRelayTraffic = "relayed_start";

StartOrder OrderOf(const RelayedStart& start, const std::string& payload) {
  StartOrder order;
  order.m_task = {JobId(start.m_job), start.m_occurrence, start.m_step,
                  start.m_task};
  order.m_run = RunNumber(start.m_run);
  order.m_payload = payload;
  order.m_deadline_ms = start.m_deadline_ms;
  order.m_fencing = start.m_fencing;
  order.m_checkpoint = start.m_checkpoint;
  order.m_ticket = start.m_ticket;
  return order;
}

RelayedStartReply ReplyTo(const RelayedStart& start, RelayOutcome outcome,
                          OrderResult result) {
  RelayedStartReply reply;
  reply.m_number = start.m_number;
  reply.m_outcome = outcome;
  reply.m_result = static_cast<std::uint8_t>(result);
  return reply;
}

}  // namespace

RelayedStart MakeRelayedStart(const StartOrder& order, const WorkerName& worker,
                              const Endpoint& endpoint) {
  RelayedStart start;
  start.m_worker = worker.Value();
  start.m_endpoint = endpoint;
  start.m_job = order.m_task.m_job.Value();
  start.m_occurrence = order.m_task.m_occurrence;
  start.m_step = order.m_task.m_step;
  start.m_task = order.m_task.m_index;
  start.m_run = order.m_run.Value();
  start.m_incarnation = order.m_incarnation;
  start.m_deadline_ms = order.m_deadline_ms;
  start.m_fencing = order.m_fencing;
  start.m_checkpoint = order.m_checkpoint;
  start.m_ticket = order.m_ticket;
  start.m_digest = PayloadDigest(order.m_payload);
  return start;
}

StartRelay::StartRelay(HttpClient& client, TrafficMeter& traffic, EventLog& log)
    : m_client(client), m_traffic(traffic), m_log(log) {
  m_payloads.m_max_bytes = kMaxPayloadCacheBytes;
}

asio::awaitable<std::optional<RelayedStartReply>> StartRelay::Connect(
    const RelayedStart& start, TimePoint deadline) {
  const PeerId peer = PeerOf(start.m_incarnation);
  for (int i = 0;
       i < kMaxConnects && !m_client.CanReach(start.m_endpoint, peer); ++i) {
    const Duration left = deadline - BootNow();
    if (left <= Duration(0)) {
      break;
    }
    const WorkerTarget target{WorkerName(start.m_worker), start.m_endpoint,
                              start.m_fencing};
    m_traffic.CountSent(kRelayTraffic, TrafficMeter::kHttpHeaderBytes);
    const Introduction introduction =
        co_await Introduce(m_client, target, std::min(kCallTimeout, left));
    const CallResult& result = introduction.m_result;
    if (introduction.m_status &&
        introduction.m_status->m_incarnation != start.m_incarnation) {
      co_return ReplyTo(start, RelayOutcome::kAnswered,
                        OrderResult::kOtherInstance);
    }
    if (introduction.m_status) {
      continue;
    }
    const OrderResult refusal = adapter::DecodeOrderResponse(result).m_result;
    if (refusal != OrderResult::kUnknown && refusal != OrderResult::kAccepted) {
      co_return ReplyTo(start, RelayOutcome::kAnswered, refusal);
    }
    break;
  }
  if (m_client.CanReach(start.m_endpoint, peer)) {
    co_return std::nullopt;
  }
  co_return ReplyTo(start, RelayOutcome::kNotSent, OrderResult::kNotDelivered);
}

asio::awaitable<RelayedStartReply> StartRelay::Send(RelayedStart start) {
  const TimePoint deadline = BootNow() + start.m_wait;
  RelayedStartReply reply;
  reply.m_number = start.m_number;
  const std::string* payload = ResolvePayload(m_payloads, JobId(start.m_job),
                                              start.m_digest, start.m_payload);
  if (payload == nullptr) {
    reply.m_outcome = RelayOutcome::kNoPayload;
    co_return reply;
  }
  HttpRequest request = adapter::MakeStartRequest(WorkerName(start.m_worker),
                                                  OrderOf(start, *payload));
  while (TimeUntilStart(m_traffic.Budget(), BootNow()) > Duration(0)) {
    const Duration wait = TimeUntilStart(m_traffic.Budget(), BootNow());
    if (BootNow() + wait >= deadline) {
      co_return reply;
    }
    co_await SleepFor(wait);
  }
  CallOptions options;
  if (start.m_incarnation != 0) {
    options.m_connection = ConnectionChoice::kToPeer;
    options.m_peer = PeerOf(start.m_incarnation);
    const std::optional<RelayedStartReply> refusal =
        co_await Connect(start, deadline);
    if (refusal) {
      co_return *refusal;
    }
  }
  // This VM may have been suspended while it waited.
  const Duration left = deadline - BootNow();
  if (left <= Duration(0)) {
    co_return reply;
  }
  options.m_timeout = std::min(kCallTimeout, left);
  m_traffic.CountStart(kRelayTraffic,
                       request.body().size() + TrafficMeter::kHttpHeaderBytes);
  const CallResult result = co_await m_client.Call(
      start.m_endpoint, std::move(request), std::move(options));
  if (result.m_end != CallEnd::kAnswered) {
    m_client.DropIdle(start.m_endpoint);
    m_log.Info("link", "relayed_start_unanswered",
               absl::StrCat("job=", start.m_job, " step=", start.m_step,
                            " task=", start.m_task, " worker=", start.m_worker,
                            " sent=", result.m_end == CallEnd::kLost));
    reply.m_outcome = result.m_end == CallEnd::kLost ? RelayOutcome::kUnanswered
                                                     : RelayOutcome::kNotSent;
    co_return reply;
  }
  const OrderResponse answer = adapter::DecodeOrderResponse(result);
  reply.m_outcome = answer.m_result == OrderResult::kUnknown
                        ? RelayOutcome::kUnanswered
                        : RelayOutcome::kAnswered;
  reply.m_result = static_cast<std::uint8_t>(answer.m_result);
  reply.m_clock_ms = answer.m_clock_ms.value_or(-1);
  co_return reply;
}

}  // namespace filbertspar
