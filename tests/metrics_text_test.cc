#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <string>
#include <vector>

#include "filbertspar/metrics/metrics.h"

namespace filbertspar {
namespace {

TimePoint At(std::int64_t seconds) { return TimePoint(Seconds(seconds)); }

double Exact(std::vector<double> values, double share) {
  std::sort(values.begin(), values.end());
  const double rank = std::ceil(share * static_cast<double>(values.size()));
  return values[static_cast<std::size_t>(rank) - 1];
}

// Guards against quantiles that drift from those of the sorted samples.
TEST_CASE("quantiles agree with sorted samples") {
  Rng rng(7);
  for (const int count : {1, 10, 64, 65, 20'000}) {
    QuantileWindow window;
    std::vector<double> values;
    for (int i = 0; i < count; ++i) {
      values.push_back(-std::log(1 - rng.Uniform()));
      window.Add(At(1), values.back());
    }
    const std::vector<double> found = window.Values(At(2));
    REQUIRE(found.size() == kQuantiles.size());
    // The estimate settles with the number of samples at the quantile.
    for (std::size_t i = 0; i < kQuantiles.size(); ++i) {
      const double share = kQuantiles[i];
      if (count <= 64 || static_cast<double>(count) * (1 - share) >= 20) {
        INFO(count << " samples, share " << share);
        CHECK(found[i] == Approx(Exact(values, share)).epsilon(0.15));
      }
    }
  }
}

// Guards against an old slow minute that is reported for ever.
TEST_CASE("samples leave the window after two periods") {
  QuantileWindow window;
  window.Add(At(0), 9);
  window.Add(At(61), 1);
  CHECK(window.Values(At(62)).back() == 9);
  window.Add(At(122), 1);
  CHECK(window.Values(At(123)).back() == 1);
  CHECK(window.Values(At(400)).empty());
  CHECK(window.Count() == 3);
  CHECK(window.Sum() == 11);
}

// Guards against label values that break the format.
TEST_CASE("labels are escaped") {
  MetricsText text;
  text.Family("x", "Help.", MetricType::kGauge);
  text.Sample({{"team", "a\"b\\c\nd"}}, 1.5);
  text.Sample({}, 2);
  CHECK(text.Text() ==
        "# HELP x Help.\n# TYPE x gauge\nx{team=\"a\\\"b\\\\c\\nd\"} 1.5\n"
        "x 2\n");
}

// Guards against a number of series that grows with what callers send.
TEST_CASE("label sets are bounded and nothing is lost from the count") {
  RequestMetrics metrics;
  metrics.m_max_pairs = 5;
  for (int i = 0; i < 100; ++i) {
    Record(metrics, At(1),
           {.m_team = "team-" + std::to_string(i), .m_class = "urgent"});
  }
  CHECK(metrics.m_latencies.size() == 5);
  std::uint64_t sum = 0;
  for (const auto& [key, count] : metrics.m_counts) {
    sum += count;
  }
  CHECK(sum == 100);
  MetricsText text;
  Append(metrics, At(1), text);
  CHECK(text.Text().find("filbertspar_requests_total{team=\"other\","
                         "class=\"other\",code=\"ok\"} 96\n") !=
        std::string::npos);
}

}  // namespace
}  // namespace filbertspar
