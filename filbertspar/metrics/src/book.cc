#include "filbertspar/metrics/src/book.h"

#include <algorithm>
#include <span>

namespace filbertspar {
namespace {

constexpr std::size_t kMaxLabelValues = 200;

template <typename Map>
auto& SeriesOf(Map& map, const MetricFamily& family, std::string_view label) {
  auto& series = map[std::string(family.m_name)];
  const bool is_full =
      series.size() >= kMaxLabelValues && !series.contains(std::string(label));
  return series[is_full ? std::string("other") : std::string(label)];
}

MetricLabels LabelsFor(const MetricFamily& family, const std::string& value) {
  if (family.m_label.empty()) {
    return {};
  }
  return {{family.m_label, value}};
}

void AppendHistogram(MetricsText& text, const MetricFamily& family,
                     const std::string& label,
                     const LatencyHistogram& histogram) {
  std::uint64_t below = 0;
  for (std::size_t i = 0; i <= kLatencyBounds.size(); ++i) {
    below += histogram.m_buckets[i];
    MetricLabels labels = LabelsFor(family, label);
    std::string bound = "+Inf";
    if (i < kLatencyBounds.size()) {
      bound = std::to_string(kLatencyBounds[i]);
      bound.erase(bound.find_last_not_of('0') + 1);
      if (bound.back() == '.') {
        bound.pop_back();
      }
    }
    labels.emplace_back("le", bound);
    text.Sample(labels, static_cast<double>(below), "_bucket");
  }
  const MetricLabels labels = LabelsFor(family, label);
  text.Sample(labels, histogram.m_sum, "_sum");
  text.Sample(labels, static_cast<double>(histogram.m_count), "_count");
}

}  // namespace

void Record(LatencyHistogram& histogram, Duration latency) {
  const double seconds = ToSeconds(latency);
  const auto* const bound =
      std::lower_bound(kLatencyBounds.begin(), kLatencyBounds.end(), seconds);
  ++histogram
        .m_buckets[static_cast<std::size_t>(bound - kLatencyBounds.begin())];
  ++histogram.m_count;
  histogram.m_sum += seconds;
}

void Count(MetricsBook& book, const MetricFamily& family,
           std::string_view label, double amount) {
  SeriesOf(book.m_counters, family, label) += amount;
}

void SetGauge(MetricsBook& book, const MetricFamily& family,
              std::string_view label, double value) {
  SeriesOf(book.m_gauges, family, label) = value;
}

void RecordLatency(MetricsBook& book, const MetricFamily& family,
                   std::string_view label, Duration latency) {
  Record(SeriesOf(book.m_latencies, family, label), latency);
}

std::string RenderMetrics(const MetricsBook& book,
                          std::span<const MetricFamily> families) {
  MetricsText text;
  for (const MetricFamily& family : families) {
    const auto counter = book.m_counters.find(family.m_name);
    const auto gauge = book.m_gauges.find(family.m_name);
    const auto latency = book.m_latencies.find(family.m_name);
    const MetricType type =
        latency != book.m_latencies.end()
            ? MetricType::kHistogram
            : (gauge != book.m_gauges.end() ? MetricType::kGauge
                                            : MetricType::kCounter);
    text.Family(family.m_name, family.m_help, type);
    if (counter != book.m_counters.end()) {
      for (const auto& [label, value] : counter->second) {
        text.Sample(LabelsFor(family, label), value);
      }
    }
    if (gauge != book.m_gauges.end()) {
      for (const auto& [label, value] : gauge->second) {
        text.Sample(LabelsFor(family, label), value);
      }
    }
    if (latency != book.m_latencies.end()) {
      for (const auto& [label, histogram] : latency->second) {
        AppendHistogram(text, family, label, histogram);
      }
    }
  }
  return text.Text();
}

}  // namespace filbertspar
