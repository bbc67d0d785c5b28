#pragma once

#include <array>
#include <limits>
#include <span>
#include <vector>

#include "filbertspar/base/base.h"

namespace filbertspar {

/// \brief Resource kinds that count: slots, memory, accelerators.
inline constexpr int kResourceKinds = 3;

/// \brief Amounts per resource kind, each as a fraction of the pool's capacity.
using Fractions = std::array<double, kResourceKinds>;

/// \brief Amounts as fractions of a capacity. A kind that the pool does not
/// have counts as 0.
Fractions FractionsOf(const Resources& amount, const Resources& capacity);

/// \brief The largest fraction: the dominant share.
double DominantShare(const Fractions& fractions);

/// \brief What one team asks of one pool, running and waiting together.
struct TeamDemand {
  double m_weight = 1.0;
  Fractions m_demand{};
};

/// \brief Working memory of WaterFill, reused between calls.
struct WaterFillScratch {
  std::vector<std::uint32_t> m_order;
  std::vector<bool> m_frozen;
};

/// \brief Result of WaterFill.
struct WaterLevel {
  /// Dominant share over weight at which the last team was stopped by a full
  /// resource; infinity when every demand is met.
  double m_level = std::numeric_limits<double>::infinity();
  /// Fraction of each resource left over.
  Fractions m_free{};
};

/// \brief Exact weighted max-min due shares (progressive filling of dominant
/// resource fairness, Ghodsi et al., NSDI 2011, with weights and bounded
/// demands). Every team's dominant share rises in proportion to its weight; a
/// team stops when its demand is met or a resource that it uses is full.
/// due[i] receives the dominant share of demands[i]. O(T log T) for T teams.
WaterLevel WaterFill(std::span<const TeamDemand> demands, std::span<double> due,
                     WaterFillScratch& scratch);

}  // namespace filbertspar
