#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "filbertspar/base/base.h"

namespace filbertspar::internal {

/// \brief Free resources of one worker; negative slots mean "takes nothing".
struct Room {
  std::int64_t m_slots = -1;
  std::int64_t m_memory = -1;
  std::int64_t m_accelerators = -1;
};

/// \brief Segment tree over workers; each node holds, per resource, the
/// largest free amount below it.
struct RoomTree {
  std::vector<Room> m_nodes;
  std::size_t m_leaves = 0;
};

/// \brief Empties the tree and gives it `count` leaves that take nothing.
void Reset(RoomTree& tree, std::size_t count);

/// \brief Sets one leaf; O(log n).
void Update(RoomTree& tree, std::size_t leaf, const Room& room);

/// \brief Largest number of free slots of any leaf; O(1).
std::int64_t MostSlots(const RoomTree& tree);

/// \brief A leaf that holds `need`, following the child with more free slots
/// and choosing at random between equal ones, so that several entries do not
/// all pick the same worker. O(log n) when the workers of a pool have similar
/// memory per slot; a branch whose maxima come from different workers costs a
/// step back.
std::optional<std::size_t> FindRoom(const RoomTree& tree, const Resources& need,
                                    Rng& rng);

}  // namespace filbertspar::internal
