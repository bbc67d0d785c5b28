#pragma once

#include <array>
#include <cstdint>
#include <memory>
#include <vector>

#include "filbertspar/base/base.h"

namespace filbertspar {

/// \brief Shares at which quantiles are reported.
inline constexpr std::array<double, 4> kQuantiles = {0.5, 0.9, 0.99, 0.999};

namespace internal {
struct QuantileAccumulator;
}  // namespace internal

/// \brief Quantiles of the samples of the last one to two periods, by the
/// extended P-square algorithm (Raatikainen 1987) in constant memory; exact
/// while there are few samples.
class QuantileWindow {
 public:
  explicit QuantileWindow(Duration period = Seconds(60));
  ~QuantileWindow();
  QuantileWindow(QuantileWindow&&) noexcept;
  QuantileWindow& operator=(QuantileWindow&&) noexcept;

  void Add(TimePoint now, double value);

  /// \brief One value per kQuantiles; empty when there is no recent sample.
  std::vector<double> Values(TimePoint now) const;

  /// \brief Over all samples since the start.
  std::uint64_t Count() const { return m_count; }
  double Sum() const { return m_sum; }

 private:
  Duration m_period;
  /// Every sample goes into both; the older one is read.
  std::unique_ptr<internal::QuantileAccumulator> m_older;
  std::unique_ptr<internal::QuantileAccumulator> m_newer;
  TimePoint m_newer_since = TimePoint::min();
  std::uint64_t m_count = 0;
  double m_sum = 0;
};

}  // namespace filbertspar
