#pragma once

#include <cstdint>
#include <map>

#include "filbertspar/base/base.h"

namespace filbertspar {

/// \brief Units that a demand asks for: ceil(1.25 x demand).
std::int64_t UnitsWithHeadroom(std::int64_t demand);

/// \brief Splits a ceiling over nodes by their demand. Each node gets what it
/// wants when the ceiling suffices. Otherwise whole units are dealt in
/// proportion to demand (largest remainder); at equal remainders the nodes that
/// hold more come first, so that few units do not wander, and then names.
std::map<NodeName, std::int64_t> SplitByDemand(
    std::int64_t ceiling, const std::map<NodeName, std::int64_t>& demand,
    const std::map<NodeName, std::int64_t>& held);

/// \brief Cuts amounts down in proportion so that their sum is at most the
/// ceiling. Every node that knows the same amounts computes the same cut.
std::map<NodeName, std::int64_t> TrimToCeiling(
    std::int64_t ceiling, const std::map<NodeName, std::int64_t>& held);

}  // namespace filbertspar
