#include "filbertspar/share/src/water_fill.h"

#include <algorithm>

namespace filbertspar {
namespace {

// Sums of at most 512 fractions differ from 1 by rounding only.
constexpr double kFull = 1.0 - 1e-12;

double Ratio(std::int64_t amount, std::int64_t capacity) {
  return capacity > 0
             ? static_cast<double>(amount) / static_cast<double>(capacity)
             : 0.0;
}

}  // namespace

Fractions FractionsOf(const Resources& amount, const Resources& capacity) {
  return {
      Ratio(amount.m_slots.Count(), capacity.m_slots.Count()),
      Ratio(amount.m_memory.Count(), capacity.m_memory.Count()),
      Ratio(amount.m_accelerators.Count(), capacity.m_accelerators.Count())};
}

double DominantShare(const Fractions& fractions) {
  return std::max({fractions[0], fractions[1], fractions[2]});
}

WaterLevel WaterFill(std::span<const TeamDemand> demands, std::span<double> due,
                     WaterFillScratch& scratch) {
  FS_ASSERT(due.size() == demands.size(), "one due share per demand");
  WaterLevel result;
  Fractions used{};   // by teams that have stopped
  Fractions slope{};  // growth per unit of level of those that have not
  std::vector<std::uint32_t>& order = scratch.m_order;
  std::vector<bool>& frozen = scratch.m_frozen;
  order.clear();
  frozen.assign(demands.size(), false);
  // Use of resource k by team i at level v is v * weight * demand_k / dominant.
  const auto growth = [&](std::uint32_t i, int kind) {
    const TeamDemand& team = demands[i];
    return team.m_weight * team.m_demand[kind] / due[i];
  };
  for (std::uint32_t i = 0; i < demands.size(); ++i) {
    due[i] = DominantShare(demands[i].m_demand);  // until the team is stopped
    if (due[i] > 0 && demands[i].m_weight > 0) {
      order.push_back(i);
      for (int kind = 0; kind < kResourceKinds; ++kind) {
        slope[kind] += growth(i, kind);
      }
    } else {
      due[i] = 0;
      frozen[i] = true;
    }
  }
  const auto met_at = [&](std::uint32_t i) {
    return due[i] / demands[i].m_weight;
  };
  std::sort(order.begin(), order.end(), [&](std::uint32_t a, std::uint32_t b) {
    return met_at(a) < met_at(b);
  });
  const auto stop = [&](std::uint32_t i, double level) {
    for (int kind = 0; kind < kResourceKinds; ++kind) {
      const double rate = growth(i, kind);
      slope[kind] = std::max(0.0, slope[kind] - rate);
      used[kind] += rate * level;
    }
    frozen[i] = true;
  };
  std::size_t next = 0;
  while (next < order.size()) {
    if (frozen[order[next]]) {
      ++next;
      continue;
    }
    const double demand_level = met_at(order[next]);
    double full_level = std::numeric_limits<double>::infinity();
    int full_kind = -1;
    for (int kind = 0; kind < kResourceKinds; ++kind) {
      if (slope[kind] > 1e-15) {
        const double level = std::max(0.0, 1.0 - used[kind]) / slope[kind];
        if (level < full_level) {
          full_level = level;
          full_kind = kind;
        }
      }
    }
    if (demand_level <= full_level) {
      stop(order[next], demand_level);
      ++next;
      continue;
    }
    result.m_level = full_level;
    for (std::size_t j = next; j < order.size(); ++j) {
      const std::uint32_t i = order[j];
      if (!frozen[i] && demands[i].m_demand[full_kind] > 0) {
        stop(i, full_level);
        due[i] = full_level * demands[i].m_weight;
      }
    }
    slope[full_kind] = 0;
  }
  for (int kind = 0; kind < kResourceKinds; ++kind) {
    result.m_free[kind] = used[kind] >= kFull ? 0.0 : 1.0 - used[kind];
  }
  return result;
}

}  // namespace filbertspar
