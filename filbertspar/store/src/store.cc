#include "filbertspar/store/src/store.h"

#include <algorithm>
#include <optional>
#include <utility>
#include <variant>

#include "boost/asio/co_spawn.hpp"
#include "boost/asio/detached.hpp"
#include "filbertspar/store/src/one_shot.h"

namespace filbertspar {
namespace {

HttpVerb VerbOf(const std::string& method) {
  if (method == "POST") {
    return HttpVerb::post;
  }
  return method == "PUT" ? HttpVerb::put : HttpVerb::get;
}

TransmissionReport::End EndOf(CallEnd end) {
  switch (end) {
    case CallEnd::kAnswered:
      return TransmissionReport::End::kAnswered;
    case CallEnd::kNotSent:
      return TransmissionReport::End::kNotSent;
    case CallEnd::kLost:
      return TransmissionReport::End::kLost;
  }
  return TransmissionReport::End::kLost;
}

template <typename Answer>
absl::StatusOr<Answer> AnswerOf(CallReport report) {
  if (report.m_code != Code::kOk) {
    return Error(report.m_code, Describe(report.m_code).m_text);
  }
  Answer* answer = std::get_if<Answer>(&report.m_answer);
  if (answer == nullptr) {
    return Error(Code::kPlatformBadAnswer, "an answer of another kind");
  }
  return std::move(*answer);
}

}  // namespace

Store::Store(asio::io_context& context, HttpClient& client, Endpoint platform,
             const NodeName& node, std::uint64_t seed)
    : m_context(context),
      m_http(client),
      m_platform(std::move(platform)),
      m_client(MakePlatformClient(node, seed, SteadyNow())),
      m_timer(context) {}

// The call is started outside of any coroutine: g++ 12 miscompiles variants
// that are passed by value into a coroutine and destroys them twice.
std::shared_ptr<OneShot<CallReport>> Store::StartCall(PlatformCall call,
                                                      Duration deadline) {
  auto done = std::make_shared<OneShot<CallReport>>(m_context);
  PlatformEffects effects;
  const OperationId id =
      SubmitCall(m_client, SteadyNow(), std::move(call), deadline, effects);
  m_calls[id] = [done](const CallReport& report) { done->Set(report); };
  Apply(std::move(effects));
  return done;
}

asio::awaitable<absl::StatusOr<Row>> Store::Read(RowKey key,
                                                 Duration deadline) {
  const auto done = StartCall(RowQuery{std::move(key)}, deadline);
  CallReport report = co_await done->Wait();
  co_return AnswerOf<Row>(std::move(report));
}

asio::awaitable<absl::StatusOr<ChangeList>> Store::ReadChanges(
    std::string table, std::uint64_t since, Duration deadline) {
  const auto done = StartCall(ChangesQuery{std::move(table), since}, deadline);
  CallReport report = co_await done->Wait();
  co_return AnswerOf<ChangeList>(std::move(report));
}

asio::awaitable<absl::StatusOr<VmList>> Store::ReadVms(Duration deadline) {
  const auto done = StartCall(VmsQuery{}, deadline);
  CallReport report = co_await done->Wait();
  co_return AnswerOf<VmList>(std::move(report));
}

asio::awaitable<absl::StatusOr<std::string>> Store::ReadObject(
    std::string name, Duration deadline) {
  const auto done = StartCall(ObjectQuery{std::move(name)}, deadline);
  CallReport report = co_await done->Wait();
  absl::StatusOr<ObjectContent> content =
      AnswerOf<ObjectContent>(std::move(report));
  if (!content.ok()) {
    co_return content.status();
  }
  co_return std::move(content->m_bytes);
}

asio::awaitable<absl::Status> Store::PutObject(std::string name,
                                               std::string bytes,
                                               Duration deadline) {
  const auto done =
      StartCall(ObjectPut{std::move(name), std::move(bytes)}, deadline);
  const CallReport report = co_await done->Wait();
  if (report.m_code != Code::kOk) {
    co_return Error(report.m_code, Describe(report.m_code).m_text);
  }
  co_return absl::OkStatus();
}

asio::awaitable<WriteReport> Store::Write(std::vector<RowWrite> rows,
                                          Duration deadline) {
  auto done = std::make_shared<OneShot<WriteReport>>(m_context);
  StartWrite(std::move(rows), deadline, [done](const WriteReport& report) {
    if (!done->IsSet()) {
      done->Set(report);
    }
  });
  co_return co_await done->Wait();
}

void Store::StartWrite(std::vector<RowWrite> rows, Duration deadline,
                       WriteHandler handler) {
  PlatformEffects effects;
  const OperationId id =
      SubmitWrite(m_client, SteadyNow(), std::move(rows), deadline, effects);
  m_writes[id] = std::move(handler);
  Apply(std::move(effects));
}

void Store::AddRow(RowWrite row, Duration deadline, ItemHandler handler) {
  ItemReports reports;
  const BatchItemId id =
      AddItem(m_batcher, SteadyNow(), std::move(row), deadline, reports);
  m_items[id] = std::move(handler);
  HandOut(reports);
  Schedule();
}

void Store::Apply(PlatformEffects effects) {
  for (PlatformEffect& effect : effects) {
    if (auto* transmit = std::get_if<Transmit>(&effect)) {
      asio::co_spawn(m_context, Send(std::move(*transmit)), asio::detached);
    } else if (auto* write = std::get_if<WriteReport>(&effect)) {
      ItemReports items;
      if (BatchEnded(m_batcher, SteadyNow(), *write, items)) {
        HandOut(items);
        continue;
      }
      const auto found = m_writes.find(write->m_operation);
      if (found == m_writes.end()) {
        continue;
      }
      const WriteHandler handler = found->second;
      if (write->IsFinal()) {
        m_writes.erase(found);
      }
      handler(*write);
    } else if (auto* call = std::get_if<CallReport>(&effect)) {
      if (auto node = m_calls.extract(call->m_operation)) {
        node.mapped()(*call);
      }
    }
  }
  Schedule();
}

void Store::HandOut(const ItemReports& reports) {
  for (const ItemReport& report : reports) {
    const auto found = m_items.find(report.m_item);
    if (found == m_items.end()) {
      continue;
    }
    const ItemHandler handler = found->second;
    if (report.m_outcome != WriteOutcome::kUnsettled) {
      m_items.erase(found);
    }
    handler(report);
  }
}

asio::awaitable<void> Store::Send(Transmit transmit) {
  HttpRequest request =
      MakeRequest(VerbOf(transmit.m_request.m_method),
                  transmit.m_request.m_target, transmit.m_request.m_body);
  CallResult result =
      co_await m_http.Call(m_platform, std::move(request), transmit.m_timeout,
                           transmit.m_fresh_connection);
  TransmissionReport report;
  report.m_transmission = transmit.m_transmission;
  report.m_end = EndOf(result.m_end);
  if (result.m_end == CallEnd::kAnswered) {
    report.m_status = static_cast<int>(result.m_response.result_int());
    report.m_body = std::move(result.m_response.body());
  }
  PlatformEffects effects;
  TransmissionEnded(m_client, SteadyNow(), report, effects);
  Apply(std::move(effects));
}

void Store::Schedule() {
  const TimePoint now = SteadyNow();
  const TimePoint next =
      std::min(NextTick(m_client, now), NextFlush(m_batcher));
  if (next >= m_timer_at || next == TimePoint::max()) {
    return;
  }
  m_timer_at = next;
  m_timer.expires_after(std::max(next - now, Duration(0)));
  m_timer.async_wait([this](boost::system::error_code error) {
    if (!error) {
      OnTimer();
    }
  });
}

void Store::OnTimer() {
  m_timer_at = TimePoint::max();
  PlatformEffects effects;
  ItemReports reports;
  const TimePoint now = SteadyNow();
  FlushBatches(m_batcher, m_client, now, effects, reports);
  Tick(m_client, now, effects);
  HandOut(reports);
  Apply(std::move(effects));
}

}  // namespace filbertspar
