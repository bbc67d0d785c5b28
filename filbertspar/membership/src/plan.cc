#include "filbertspar/membership/src/plan.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <tuple>

#include "filbertspar/base/base.h"
#include "xxhash.h"

namespace filbertspar {
namespace {

std::uint64_t Hash(std::string_view text) {
  return XXH3_64bits(text.data(), text.size());
}

using Zones = std::map<ZoneName, std::vector<VmName>>;

/// The nodes of one zone with the highest scores for a zone pair.
std::vector<VmName> PairEnds(const ZoneName& low, const ZoneName& high,
                             const std::vector<VmName>& nodes) {
  std::vector<std::pair<std::uint64_t, const VmName*>> scores;
  scores.reserve(nodes.size());
  const std::string prefix = low.Value() + '\0' + high.Value() + '\0';
  for (const VmName& vm : nodes) {
    scores.emplace_back(Hash(prefix + vm.Value()), &vm);
  }
  const std::size_t count = std::min(kLinksPerZonePair, scores.size());
  std::partial_sort(
      scores.begin(), scores.begin() + static_cast<std::ptrdiff_t>(count),
      scores.end(), [](const auto& a, const auto& b) {
        return std::tie(b.first, *b.second) < std::tie(a.first, *a.second);
      });
  std::vector<VmName> ends;
  for (std::size_t i = 0; i < count; ++i) {
    ends.push_back(*scores[i].second);
  }
  return ends;
}

}  // namespace

std::vector<PlanNode> RingOrder(std::vector<PlanNode> nodes) {
  std::map<ZoneName, std::vector<std::pair<std::uint64_t, PlanNode>>> zones;
  for (PlanNode& node : nodes) {
    const std::uint64_t hash = Hash(node.m_vm.Value());
    const ZoneName zone = node.m_zone;
    zones[zone].emplace_back(hash, std::move(node));
  }
  std::vector<std::tuple<std::size_t, std::uint64_t, PlanNode>> places;
  for (auto& [zone, members] : zones) {
    std::sort(members.begin(), members.end(), [](const auto& a, const auto& b) {
      return std::tie(a.first, a.second.m_vm) <
             std::tie(b.first, b.second.m_vm);
    });
    for (std::size_t rank = 0; rank < members.size(); ++rank) {
      places.emplace_back(rank, Hash(zone.Value()), members[rank].second);
    }
  }
  std::sort(places.begin(), places.end(), [](const auto& a, const auto& b) {
    return std::tie(std::get<0>(a), std::get<1>(a), std::get<2>(a).m_vm) <
           std::tie(std::get<0>(b), std::get<1>(b), std::get<2>(b).m_vm);
  });
  std::vector<PlanNode> ring;
  ring.reserve(places.size());
  for (auto& place : places) {
    ring.push_back(std::move(std::get<2>(place)));
  }
  return ring;
}

std::vector<VmName> RingNeighbours(const std::vector<PlanNode>& ring,
                                   const VmName& vm, std::size_t reach) {
  std::vector<VmName> neighbours;
  const auto found =
      std::find_if(ring.begin(), ring.end(),
                   [&vm](const PlanNode& node) { return node.m_vm == vm; });
  if (found == ring.end()) {
    return neighbours;
  }
  const std::size_t size = ring.size();
  const auto at = static_cast<std::size_t>(found - ring.begin());
  const auto add = [&](std::size_t place) {
    const VmName& name = ring[place % size].m_vm;
    if (name != vm && std::find(neighbours.begin(), neighbours.end(), name) ==
                          neighbours.end()) {
      neighbours.push_back(name);
    }
  };
  for (std::size_t step = 1; step <= std::min(reach, size - 1); ++step) {
    add(at + step);
    add(at + size - step);
  }
  return neighbours;
}

std::vector<PlannedLink> PlanLinks(const std::vector<PlanNode>& ring,
                                   const PlanNode& self, std::size_t reach) {
  std::vector<PlannedLink> links;
  std::set<VmName> planned = {self.m_vm};
  const auto add = [&](const VmName& vm, LinkDuty duty) {
    if (planned.insert(vm).second) {
      links.push_back({vm, duty});
    }
  };
  for (const VmName& vm : RingNeighbours(ring, self.m_vm, reach)) {
    add(vm, LinkDuty::kWatch);
  }
  Zones zones;
  for (const PlanNode& node : ring) {
    zones[node.m_zone].push_back(node.m_vm);
  }
  for (const VmName& vm : zones[self.m_zone]) {
    add(vm, LinkDuty::kZone);
  }
  for (const auto& [zone, nodes] : zones) {
    if (zone == self.m_zone) {
      continue;
    }
    const ZoneName& low = std::min(zone, self.m_zone);
    const ZoneName& high = std::max(zone, self.m_zone);
    const std::vector<VmName> here = PairEnds(low, high, zones[self.m_zone]);
    const std::vector<VmName> there = PairEnds(low, high, nodes);
    // A zone with a single node ends both links.
    for (std::size_t i = 0; i < std::max(here.size(), there.size()); ++i) {
      if (here[i % here.size()] == self.m_vm) {
        add(there[i % there.size()], LinkDuty::kCross);
      }
    }
  }
  return links;
}

}  // namespace filbertspar
