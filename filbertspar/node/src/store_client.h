#pragma once

#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "filbertspar/fleetview/fleetview.h"
#include "filbertspar/http/http.h"
#include "filbertspar/metrics/metrics.h"
#include "filbertspar/node/src/event_log.h"
#include "filbertspar/node/src/traffic_meter.h"
#include "filbertspar/ownership/ownership.h"

namespace filbertspar {

/// \brief Limits on the request rates of all VMs together, in requests per
/// second.
struct StoreRates {
  double m_reads_per_s = 0;
  double m_writes_per_s = 0;
};

/// \brief Client of the metadata store; all access of the process goes through
/// it. Calls beyond this VM's share of the rate limits are delayed.
class StoreClient {
 public:
  StoreClient(HttpClient& client, MetricsBook& metrics, TrafficMeter& traffic,
              EventLog& log, Endpoint endpoint, const StoreRates& rates);

  asio::awaitable<StoreResponse> Change(const StoreTransaction& change,
                                        Duration timeout);
  asio::awaitable<StoreResponse> Read(std::string_view table,
                                      std::string_view partition,
                                      std::string_view from_key,
                                      Duration timeout);
  asio::awaitable<StoreResponse> Feed(std::string_view table, RowVersion after,
                                      Duration wait);

  /// \brief Reads all rows of a partition. The version is that of the first
  /// page, so that a feed that starts after it misses no change.
  asio::awaitable<StoreResponse> ReadAll(std::string table,
                                         std::string partition);

  const StoreContact& Contact() const { return m_contact; }
  /// \brief When the store became reachable again after it was unreachable;
  /// min() if it never was.
  TimePoint ReconnectedAt() const { return m_reconnected_at; }
  /// \brief Lower bound of the store's steady clock now, in milliseconds; 0
  /// before the first response.
  std::int64_t ClockMs() const;
  bool IsUnreachable() const { return m_failures >= kMaxFailures; }

  void SetEndpoint(const Endpoint& endpoint) { m_endpoint = endpoint; }

 private:
  /// Consecutive calls without a response after which the store counts as
  /// unreachable.
  static constexpr int kMaxFailures = 3;

  asio::awaitable<StoreResponse> Call(std::string_view kind,
                                      HttpRequest request, Duration timeout);
  /// Time that a large answer needs on this VM's link.
  Duration TransferAllowance() const;
  asio::awaitable<void> WaitForToken(TokenBucket& bucket);
  void UpdateReachability(StoreResult result, TimePoint sent);

  HttpClient& m_client;
  MetricsBook& m_metrics;
  TrafficMeter& m_traffic;
  EventLog& m_log;
  Endpoint m_endpoint;
  TokenBucket m_read_rate;
  TokenBucket m_write_rate;
  StoreContact m_contact;
  TimePoint m_reconnected_at = TimePoint::min();
  int m_failures = 0;
  std::int64_t m_clock_ms = 0;
  TimePoint m_clock_at{};
};

}  // namespace filbertspar
