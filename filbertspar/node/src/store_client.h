#pragma once

#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "filbertspar/fleetview/fleetview.h"
#include "filbertspar/http/http.h"
#include "filbertspar/metrics/metrics.h"
#include "filbertspar/node/src/event_log.h"

namespace filbertspar {

/// \brief Rates that all VMs together may use.
struct StoreRates {
  double m_reads_per_s = 0;
  double m_writes_per_s = 0;
};

/// \brief The process' only way to the metadata store. Calls beyond the VM's
/// part of the shared rates wait.
class StoreClient {
 public:
  StoreClient(HttpClient& client, MetricsBook& metrics, EventLog& log,
              Endpoint endpoint, const StoreRates& rates);

  asio::awaitable<StoreResponse> Change(const StoreTransaction& change,
                                        Duration timeout);
  asio::awaitable<StoreResponse> Read(std::string_view table,
                                      std::string_view part,
                                      std::string_view from_key,
                                      Duration timeout);
  asio::awaitable<StoreResponse> Feed(std::string_view table, RowVersion after,
                                      Duration wait);

  /// \brief All rows of a part. The version is that of the first page, after
  /// which a feed misses nothing.
  asio::awaitable<StoreResponse> ReadAll(std::string table, std::string part);

  /// \brief When the last answer came; min() before the first.
  TimePoint ReachedAt() const { return m_reached_at; }
  /// \brief Since when the store was reached without a gap; max() if never.
  TimePoint ReachedSince() const { return m_reached_since; }
  /// \brief When the store came back after it was away; min() if it never was.
  TimePoint RegainedAt() const { return m_regained_at; }
  /// \brief Least reading of the store's steady clock now, in milliseconds; 0
  /// before the first answer.
  std::int64_t ClockMs() const;
  bool IsLost() const { return m_failures >= kLostAfter; }

  void SetEndpoint(const Endpoint& endpoint) { m_endpoint = endpoint; }

 private:
  /// Calls in a row without an answer after which the store counts as lost.
  static constexpr int kLostAfter = 3;

  asio::awaitable<StoreResponse> Call(std::string_view kind,
                                      HttpRequest request, Duration timeout);
  asio::awaitable<void> TakeRate(TokenBucket& bucket);
  void NoteResult(StoreResult result, TimePoint sent);

  HttpClient& m_client;
  MetricsBook& m_metrics;
  EventLog& m_log;
  Endpoint m_endpoint;
  TokenBucket m_reads;
  TokenBucket m_writes;
  TimePoint m_reached_at = TimePoint::min();
  TimePoint m_reached_since = TimePoint::max();
  TimePoint m_regained_at = TimePoint::min();
  int m_failures = 0;
  std::int64_t m_clock_ms = 0;
  TimePoint m_clock_at{};
};

}  // namespace filbertspar
