#include "filbertspar/metrics/src/requests.h"

#include <array>
#include <cstdio>

namespace filbertspar {

void Record(RequestMetrics& metrics, TimePoint now, RequestSample sample) {
  std::pair<std::string, std::string> pair(std::move(sample.m_team),
                                           std::move(sample.m_class));
  // One place is kept for "other".
  if (!metrics.m_latencies.contains(pair) &&
      metrics.m_latencies.size() + 1 >= metrics.m_max_pairs) {
    pair = {kOtherLabel, kOtherLabel};
  }
  ++metrics.m_counts[{pair.first, pair.second, sample.m_code}];
  metrics.m_latencies[std::move(pair)].Add(now, ToSeconds(sample.m_latency));
}

void Append(const RequestMetrics& metrics, TimePoint now, MetricsText& text) {
  text.Family("filbertspar_requests_total",
              "Answered requests by team, class and result code.",
              MetricType::kCounter);
  for (const auto& [key, count] : metrics.m_counts) {
    const auto& [team, work_class, code] = key;
    text.Sample({{"team", team},
                 {"class", work_class},
                 {"code", std::string(Describe(code).m_name)}},
                static_cast<double>(count));
  }
  text.Family("filbertspar_request_seconds",
              "Time from a request to its answer; quantiles of the last one to "
              "two minutes.",
              MetricType::kSummary);
  for (const auto& [pair, window] : metrics.m_latencies) {
    const MetricLabels labels = {{"team", pair.first}, {"class", pair.second}};
    const std::vector<double> values = window.Values(now);
    for (std::size_t i = 0; i < values.size(); ++i) {
      std::array<char, 16> share;
      std::snprintf(share.data(), share.size(), "%g", kQuantiles[i]);
      MetricLabels with_share = labels;
      with_share.emplace_back("quantile", share.data());
      text.Sample(with_share, values[i]);
    }
    text.Sample(labels, window.Sum(), "_sum");
    text.Sample(labels, static_cast<double>(window.Count()), "_count");
  }
}

}  // namespace filbertspar
