#pragma once

#include <cstddef>
#include <string_view>
#include <utility>
#include <vector>

#include "filbertspar/base/base.h"

namespace filbertspar {

/// \brief Node as link planning sees it.
struct PlanNode {
  VmName m_vm;
  ZoneName m_zone;

  friend bool operator==(const PlanNode&, const PlanNode&) = default;
};

/// \brief What a link serves; of several duties the first one listed counts.
enum class LinkDuty : std::uint8_t {
  /// Neighbour in the ring of all nodes: watched closely.
  kWatch,
  /// Node of the same zone.
  kZone,
  /// One of the links that connect two zones.
  kCross,
};

struct PlannedLink {
  VmName m_vm;
  LinkDuty m_duty = LinkDuty::kWatch;

  friend bool operator==(const PlannedLink&, const PlannedLink&) = default;
};

/// \brief Links between each pair of zones.
inline constexpr std::size_t kLinksPerZonePair = 2;

/// \brief All nodes in ring order. Ranks within the zones alternate, so that
/// neighbours are of different zones and outlive the loss of a zone.
std::vector<PlanNode> RingOrder(std::vector<PlanNode> nodes);

/// \brief The nodes up to `reach` places before and after `vm` in the ring,
/// nearest first.
std::vector<VmName> RingNeighbours(const std::vector<PlanNode>& ring,
                                   const VmName& vm, std::size_t reach);

/// \brief Links of `self`, one for each peer: ring neighbours, every node of
/// its zone, and its part of kLinksPerZonePair links to every other zone, whose
/// ends rendezvous hashing chooses. Nodes with equal views plan the same links.
std::vector<PlannedLink> PlanLinks(const std::vector<PlanNode>& ring,
                                   const PlanNode& self, std::size_t reach);

}  // namespace filbertspar
