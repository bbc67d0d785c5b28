#include "filbertspar/grant/src/split.h"

#include <algorithm>
#include <tuple>
#include <vector>

namespace filbertspar {
namespace {

std::int64_t UnitsOf(const std::map<NodeName, std::int64_t>& amounts,
                     const NodeName& node) {
  const auto found = amounts.find(node);
  return found == amounts.end() ? 0 : found->second;
}

// Apportions `units` by weight with the largest remainder method.
std::map<NodeName, std::int64_t> Apportion(
    std::int64_t units, const std::map<NodeName, std::int64_t>& weights,
    const std::map<NodeName, std::int64_t>& held) {
  std::int64_t total = 0;
  for (const auto& [node, weight] : weights) {
    total += weight;
  }
  std::map<NodeName, std::int64_t> shares;
  if (total == 0) {
    return shares;
  }
  struct Remainder {
    std::int64_t m_remainder;
    std::int64_t m_held;
    NodeName m_node;
  };
  std::vector<Remainder> remainders;
  std::int64_t unassigned = units;
  for (const auto& [node, weight] : weights) {
    const std::int64_t share = units * weight / total;
    shares[node] = share;
    unassigned -= share;
    remainders.push_back({units * weight % total, UnitsOf(held, node), node});
  }
  std::sort(remainders.begin(), remainders.end(),
            [](const Remainder& a, const Remainder& b) {
              return std::tie(b.m_remainder, b.m_held, a.m_node) <
                     std::tie(a.m_remainder, a.m_held, b.m_node);
            });
  for (std::size_t i = 0; unassigned > 0; ++i, --unassigned) {
    ++shares[remainders[i].m_node];
  }
  return shares;
}

}  // namespace

std::int64_t UnitsWithHeadroom(std::int64_t demand) {
  return demand <= 0 ? 0 : (demand * 5 + 3) / 4;
}

std::map<NodeName, std::int64_t> SplitByDemand(
    std::int64_t ceiling, const std::map<NodeName, std::int64_t>& demand,
    const std::map<NodeName, std::int64_t>& held) {
  std::map<NodeName, std::int64_t> wanted;
  std::map<NodeName, std::int64_t> weights;
  std::int64_t sum = 0;
  for (const auto& [node, units] : demand) {
    if (units > 0) {
      wanted[node] = UnitsWithHeadroom(units);
      sum += wanted[node];
      weights[node] = std::min(units, ceiling);
    }
  }
  return sum <= ceiling ? wanted : Apportion(ceiling, weights, held);
}

std::map<NodeName, std::int64_t> TrimToCeiling(
    std::int64_t ceiling, const std::map<NodeName, std::int64_t>& held) {
  std::int64_t sum = 0;
  for (const auto& [node, units] : held) {
    sum += units;
  }
  return sum <= ceiling ? held : Apportion(ceiling, held, held);
}

}  // namespace filbertspar
