#pragma once

#include <memory>

#include "tests/world/world.h"

namespace filbertspar::world {

/// \brief Options with a random subset of the faults at random rates.
WorldOptions RandomFaults(std::uint64_t seed);

/// \brief Two nodes, two pools, three teams with small ceilings, and entries
/// of every kind.
std::unique_ptr<World> MixedWorld(const WorldOptions& options);

/// \brief One node, one pool of `workers` equal workers, one team that may use
/// all of them, one repeatable entry.
std::unique_ptr<World> PoolWorld(const WorldOptions& options, int workers,
                                 std::unique_ptr<EngineApi> engine);

}  // namespace filbertspar::world
