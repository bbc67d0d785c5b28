#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "filbertspar/metrics/metrics.h"
#include "filbertspar/traffic/traffic.h"

namespace filbertspar {

/// \brief Counts the bytes that this VM sends and receives, by what they are
/// for, and keeps the budget of its link.
class TrafficMeter {
 public:
  /// Bytes of a request or response beside its body: start line and headers.
  static constexpr std::size_t kHttpHeaderBytes = 160;

  TrafficMeter(MetricsBook& metrics, double link_mbps);

  void CountSent(std::string_view kind, std::size_t bytes);
  /// Counts a start, which also uses the starts' part of the budget.
  void CountStart(std::string_view kind, std::size_t bytes);
  void CountReceived(std::string_view kind, std::size_t bytes);
  const LinkBudget& Budget() const { return m_budget; }
  const ReceiveLoad& Received() const { return m_received; }
  /// \brief Whether the link is loaded in either direction: what is late may be
  /// late on this VM's own link.
  bool IsLoaded() const;

  /// \brief Bytes sent and received since the last call, by kind, as fields of
  /// a log line: `KIND=SENT/RECEIVED ...`.
  std::string TakeSummary();

 private:
  void AddSent(std::string_view kind, std::size_t bytes);

  MetricsBook& m_metrics;
  LinkBudget m_budget;
  ReceiveLoad m_received;
  struct Bytes {
    std::size_t m_sent = 0;
    std::size_t m_received = 0;
  };
  std::map<std::string, Bytes, std::less<>> m_since_summary;
};

}  // namespace filbertspar
