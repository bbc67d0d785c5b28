#include "filbertspar/placement/src/room.h"

#include <algorithm>
#include <bit>

namespace filbertspar::internal {
namespace {

bool Holds(const Room& room, const Resources& need) {
  return room.m_slots >= need.m_slots.Count() &&
         room.m_memory >= need.m_memory.Count() &&
         room.m_accelerators >= need.m_accelerators.Count();
}

std::optional<std::size_t> FindBelow(const RoomTree& tree, std::size_t node,
                                     const Resources& need,
                                     std::uint64_t bits) {
  while (Holds(tree.m_nodes[node], need)) {
    if (node >= tree.m_leaves) {
      return node - tree.m_leaves;
    }
    const std::size_t left = 2 * node;
    const std::int64_t left_slots = tree.m_nodes[left].m_slots;
    const std::int64_t right_slots = tree.m_nodes[left + 1].m_slots;
    const bool right_first = right_slots > left_slots ||
                             (right_slots == left_slots && (bits & 1) != 0);
    bits >>= 1;
    const std::size_t first = right_first ? left + 1 : left;
    if (const auto found = FindBelow(tree, first, need, bits)) {
      return found;
    }
    node = right_first ? left : left + 1;
  }
  return std::nullopt;
}

}  // namespace

void Reset(RoomTree& tree, std::size_t count) {
  tree.m_leaves = std::bit_ceil(std::max<std::size_t>(count, 1));
  tree.m_nodes.assign(2 * tree.m_leaves, Room{});
}

void Update(RoomTree& tree, std::size_t leaf, const Room& room) {
  std::size_t node = tree.m_leaves + leaf;
  tree.m_nodes[node] = room;
  for (node /= 2; node > 0; node /= 2) {
    const Room& left = tree.m_nodes[2 * node];
    const Room& right = tree.m_nodes[2 * node + 1];
    tree.m_nodes[node] = {
        .m_slots = std::max(left.m_slots, right.m_slots),
        .m_memory = std::max(left.m_memory, right.m_memory),
        .m_accelerators = std::max(left.m_accelerators, right.m_accelerators)};
  }
}

std::int64_t MostSlots(const RoomTree& tree) {
  return tree.m_nodes.empty() ? -1 : tree.m_nodes[1].m_slots;
}

std::optional<std::size_t> FindRoom(const RoomTree& tree, const Resources& need,
                                    Rng& rng) {
  if (tree.m_nodes.empty() || !Holds(tree.m_nodes[1], need)) {
    return std::nullopt;
  }
  return FindBelow(tree, 1, need, rng());
}

}  // namespace filbertspar::internal
