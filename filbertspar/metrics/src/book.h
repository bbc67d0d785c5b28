#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>

#include "filbertspar/base/base.h"
#include "filbertspar/metrics/src/text.h"

namespace filbertspar {

/// \brief Upper bounds of the latency buckets, in seconds.
inline constexpr std::array<double, 12> kLatencyBounds = {
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5};

/// \brief Counts of latencies in fixed buckets.
struct LatencyHistogram {
  std::array<std::uint64_t, kLatencyBounds.size() + 1> m_buckets{};
  std::uint64_t m_count = 0;
  double m_sum = 0;
};

void Record(LatencyHistogram& histogram, Duration latency);

/// \brief A family with one label.
struct MetricFamily {
  std::string_view m_name;
  std::string_view m_help;
  /// Name of the label; empty for a family of one series.
  std::string_view m_label;
};

/// \brief Counters, gauges and latency histograms of one process; plain state.
///
/// The number of label values of a family is bounded; further ones count as
/// "other".
struct MetricsBook {
  std::map<std::string, std::map<std::string, double>, std::less<>> m_counters;
  std::map<std::string, std::map<std::string, double>, std::less<>> m_gauges;
  std::map<std::string, std::map<std::string, LatencyHistogram>, std::less<>>
      m_latencies;
};

void Count(MetricsBook& book, const MetricFamily& family,
           std::string_view label = "", double amount = 1);
void SetGauge(MetricsBook& book, const MetricFamily& family,
              std::string_view label, double value);
void RecordLatency(MetricsBook& book, const MetricFamily& family,
                   std::string_view label, Duration latency);

/// \brief The page in the Prometheus text format, families in the order given;
/// a family of which nothing was recorded has no samples.
std::string RenderMetrics(const MetricsBook& book,
                          std::span<const MetricFamily> families);

}  // namespace filbertspar
