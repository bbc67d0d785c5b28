#include "filbertspar/metrics/src/quantiles.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "boost/accumulators/accumulators.hpp"
#include "boost/accumulators/statistics/extended_p_square.hpp"
#include "boost/accumulators/statistics/stats.hpp"

namespace filbertspar {
namespace internal {

namespace acc = boost::accumulators;

/// Samples up to which quantiles are exact. The estimate needs 2 n + 3 samples
/// for n quantiles before it has a value.
constexpr std::size_t kExact = 64;

struct QuantileAccumulator {
  using Estimate =
      acc::accumulator_set<double, acc::stats<acc::tag::extended_p_square>>;

  void Add(double value) {
    ++m_count;
    if (m_first.size() < kExact) {
      m_first.push_back(value);
    }
    m_estimate(value);
  }

  std::vector<double> Values() const {
    std::vector<double> values;
    if (m_count == 0) {
      return values;
    }
    if (m_count <= kExact) {
      std::vector<double> sorted = m_first;
      std::sort(sorted.begin(), sorted.end());
      for (const double share : kQuantiles) {
        const double rank =
            std::ceil(share * static_cast<double>(sorted.size()));
        values.push_back(sorted[static_cast<std::size_t>(rank) - 1]);
      }
      return values;
    }
    const auto range = acc::extended_p_square(m_estimate);
    values.assign(range.begin(), range.end());
    return values;
  }

  Estimate m_estimate{acc::tag::extended_p_square::probabilities = kQuantiles};
  std::vector<double> m_first;
  std::uint64_t m_count = 0;
};

}  // namespace internal

QuantileWindow::QuantileWindow(Duration period)
    : m_period(period),
      m_older(std::make_unique<internal::QuantileAccumulator>()),
      m_newer(std::make_unique<internal::QuantileAccumulator>()) {}

QuantileWindow::~QuantileWindow() = default;
QuantileWindow::QuantileWindow(QuantileWindow&&) noexcept = default;
QuantileWindow& QuantileWindow::operator=(QuantileWindow&&) noexcept = default;

void QuantileWindow::Add(TimePoint now, double value) {
  if (m_newer_since == TimePoint::min()) {
    m_newer_since = now;
  }
  if (now - m_newer_since >= m_period) {
    const bool both_old = now - m_newer_since >= 2 * m_period;
    m_older = both_old ? std::make_unique<internal::QuantileAccumulator>()
                       : std::move(m_newer);
    m_newer = std::make_unique<internal::QuantileAccumulator>();
    m_newer_since = now;
  }
  m_older->Add(value);
  m_newer->Add(value);
  ++m_count;
  m_sum += value;
}

std::vector<double> QuantileWindow::Values(TimePoint now) const {
  if (m_count == 0 || now - m_newer_since >= 2 * m_period) {
    return {};
  }
  return now - m_newer_since >= m_period ? m_newer->Values()
                                         : m_older->Values();
}

}  // namespace filbertspar
