#include "filbertspar/node/src/store_client.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "filbertspar/node/src/async.h"
#include "filbertspar/node/src/clock.h"
#include "filbertspar/node/src/metric_names.h"
#include "platform/platform.h"

namespace filbertspar {
namespace {

/// Added to the wait of a feed for its response to arrive.
constexpr Duration kFeedTimeoutMargin = Milliseconds(1200);
constexpr Duration kReadTimeout = Milliseconds(1500);
/// A configuration with many routes is one row of this size. A time-out that
/// its transfer exceeds would repeat it for ever.
constexpr std::size_t kLargeAnswerBytes = 400 << 10;
/// A page of rows takes about this long on the VM's link, so that answers to
/// other calls are not held up behind a large read.
constexpr Duration kPageTime = Milliseconds(100);
constexpr double kTypicalRowBytes = 1500;
constexpr double kMinRowsPerPage = 10;
/// The store returns at most this many.
constexpr double kMaxRowsPerPage = 500;
/// Fractions of the shared rates that one VM may use. Only the owner writes
/// much; around a take-over, two VMs may.
constexpr double kReadRateShare = 0.2;
constexpr double kWriteRateShare = 0.5;

/// Allows a burst of one second's tokens.
TokenBucket MakeRateBucket(double per_second) {
  const double rate = std::max(1.0, per_second);
  return MakeBucket(rate, rate, BootNow());
}

}  // namespace

StoreClient::StoreClient(HttpClient& client, MetricsBook& metrics,
                         TrafficMeter& traffic, EventLog& log,
                         Endpoint endpoint, const StoreRates& rates)
    : m_client(client),
      m_metrics(metrics),
      m_traffic(traffic),
      m_log(log),
      m_endpoint(std::move(endpoint)),
      m_read_rate(MakeRateBucket(rates.m_reads_per_s * kReadRateShare)),
      m_write_rate(MakeRateBucket(rates.m_writes_per_s * kWriteRateShare)) {}

Duration StoreClient::TransferAllowance() const {
  return TimeOnLink(m_traffic.Budget(), kLargeAnswerBytes, 1);
}

asio::awaitable<void> StoreClient::WaitForToken(TokenBucket& bucket) {
  while (!TakeToken(bucket, BootNow())) {
    const TimePoint now = BootNow();
    co_await SleepFor(NextToken(bucket, now) - now);
  }
}

void StoreClient::UpdateReachability(StoreResult result, TimePoint sent) {
  const bool answered = result == StoreResult::kDone ||
                        result == StoreResult::kConflict ||
                        result == StoreResult::kHistoryGone;
  if (!answered) {
    if (++m_failures == kMaxFailures) {
      m_log.Warn("store", "store_lost",
                 absl::StrCat("result=", std::string(StoreResultName(result))));
    }
    return;
  }
  if (IsUnreachable()) {
    m_reconnected_at = BootNow();
    m_log.Info(
        "store", "store_regained",
        absl::StrCat("away_ms=",
                     m_contact.m_reached_at == TimePoint::min()
                         ? -1
                         : ToMilliseconds(sent - m_contact.m_reached_at)));
  }
  m_failures = 0;
  HandleStoreAnswer(m_contact, BootNow());
}

asio::awaitable<StoreResponse> StoreClient::Call(std::string_view kind,
                                                 HttpRequest request,
                                                 Duration timeout) {
  const TimePoint sent = BootNow();
  const std::string traffic_kind = absl::StrCat("store_", std::string(kind));
  m_traffic.CountSent(traffic_kind,
                      request.body().size() + TrafficMeter::kHttpHeaderBytes);
  const CallResult result =
      co_await m_client.Call(m_endpoint, std::move(request), timeout);
  if (result.m_end == CallEnd::kAnswered) {
    m_traffic.CountReceived(traffic_kind, result.m_response.body().size() +
                                              TrafficMeter::kHttpHeaderBytes);
  } else {
    m_client.DropIdle(m_endpoint);
  }
  StoreResponse answer = adapter::DecodeStoreResponse(result);
  Count(m_metrics, metric::kStoreCalls,
        absl::StrCat(std::string(kind), "_",
                     std::string(StoreResultName(answer.m_result))));
  RecordLatency(m_metrics, metric::kStoreSeconds, kind, BootNow() - sent);
  UpdateReachability(answer.m_result, sent);
  if (answer.m_now_ms > ClockMs()) {
    m_clock_ms = answer.m_now_ms;
    m_clock_at = BootNow();
  }
  co_return answer;
}

std::int64_t StoreClient::ClockMs() const {
  return m_clock_ms == 0 ? 0
                         : m_clock_ms + ToMilliseconds(BootNow() - m_clock_at);
}

asio::awaitable<StoreResponse> StoreClient::Change(
    const StoreTransaction& change, Duration timeout) {
  co_await WaitForToken(m_write_rate);
  co_return co_await Call("change", adapter::MakeTransactionRequest(change),
                          timeout);
}

asio::awaitable<StoreResponse> StoreClient::Read(std::string_view table,
                                                 std::string_view partition,
                                                 std::string_view from_key,
                                                 Duration timeout) {
  co_await WaitForToken(m_read_rate);
  const double rows_per_page = m_traffic.Budget().m_bytes_per_s *
                               ToSeconds(kPageTime) / kTypicalRowBytes;
  co_return co_await Call(
      "read",
      adapter::MakeReadRequest(
          table, partition, from_key,
          static_cast<std::size_t>(
              std::clamp(rows_per_page, kMinRowsPerPage, kMaxRowsPerPage))),
      timeout);
}

asio::awaitable<StoreResponse> StoreClient::Feed(std::string_view table,
                                                 RowVersion after,
                                                 Duration wait) {
  co_await WaitForToken(m_read_rate);
  co_return co_await Call("feed",
                          adapter::MakeChangeFeedRequest(table, after, wait),
                          wait + kFeedTimeoutMargin + TransferAllowance());
}

asio::awaitable<StoreResponse> StoreClient::ReadAll(std::string table,
                                                    std::string partition) {
  StoreResponse all;
  std::string from;
  while (true) {
    StoreResponse page = co_await Read(table, partition, from,
                                       kReadTimeout + TransferAllowance());
    if (page.m_result != StoreResult::kDone) {
      co_return page;
    }
    if (from.empty()) {
      all.m_version = page.m_version;
    }
    const bool more = page.m_more;
    if (more && page.m_rows.empty()) {
      // The rest of the table is unknown; rows that are not read would count as
      // absent.
      page.m_result = StoreResult::kUnknown;
      co_return page;
    }
    if (more) {
      // The range begins after the last key that was read.
      from = page.m_rows.back().m_key.m_key + '\x01';
    }
    for (StoreRow& row : page.m_rows) {
      all.m_rows.push_back(std::move(row));
    }
    if (!more) {
      break;
    }
  }
  all.m_result = StoreResult::kDone;
  co_return all;
}

}  // namespace filbertspar
