#pragma once

#include <functional>
#include <memory>

#include "tests/world/world.h"

namespace filbertspar::world {

/// \brief Options with a random subset of the faults at random rates.
WorldOptions RandomFaults(std::uint64_t seed);

/// \brief Two nodes, two pools, three teams with small ceilings, and entries
/// of every kind.
std::unique_ptr<World> MixedWorld(const WorldOptions& options);

using EngineFactory =
    std::function<std::unique_ptr<EngineApi>(std::uint32_t node)>;
std::unique_ptr<World> MixedWorld(const WorldOptions& options,
                                  const EngineFactory& factory);

/// \brief One node, one pool of `workers` equal workers, one team that may use
/// all of them, one repeatable entry.
std::unique_ptr<World> PoolWorld(const WorldOptions& options, int workers,
                                 std::unique_ptr<EngineApi> engine);

}  // namespace filbertspar::world
