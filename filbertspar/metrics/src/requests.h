#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <utility>

#include "filbertspar/base/base.h"
#include "filbertspar/metrics/src/quantiles.h"
#include "filbertspar/metrics/src/text.h"

namespace filbertspar {

/// \brief Team and class that stand for more than the bound of label sets.
inline constexpr const char* kOtherLabel = "other";

/// \brief Answered request.
struct RequestSample {
  /// "none" before the key is known to be a team's.
  std::string m_team = "none";
  std::string m_class = "none";
  Code m_code = Code::kOk;
  Duration m_latency{0};
};

/// \brief Counts and latencies of answered requests; plain state.
struct RequestMetrics {
  /// Largest number of team and class pairs; further ones count as "other".
  std::size_t m_max_pairs = 1024;
  std::map<std::tuple<std::string, std::string, Code>, std::uint64_t> m_counts;
  std::map<std::pair<std::string, std::string>, QuantileWindow> m_latencies;
};

void Record(RequestMetrics& metrics, TimePoint now, RequestSample sample);

/// \brief Appends the families filbertspar_requests_total and
/// filbertspar_request_seconds.
void Append(const RequestMetrics& metrics, TimePoint now, MetricsText& text);

}  // namespace filbertspar
