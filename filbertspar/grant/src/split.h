#pragma once

#include <cstdint>
#include <map>

#include "filbertspar/base/base.h"

namespace filbertspar {

/// \brief Units to hold for a demand: ceil(1.25 x demand), 0 for none.
std::int64_t UnitsWithHeadroom(std::int64_t demand);

/// \brief Splits a ceiling over nodes by their demand, all in units. Each node
/// gets its UnitsWithHeadroom when the ceiling suffices. Otherwise whole units
/// are apportioned by demand (largest remainder method). Ties go to the node
/// that holds more, so that scarce units do not move back and forth, and then
/// to the smaller name.
std::map<NodeName, std::int64_t> SplitByDemand(
    std::int64_t ceiling, const std::map<NodeName, std::int64_t>& demand,
    const std::map<NodeName, std::int64_t>& held);

/// \brief Reduces amounts proportionally so that their sum is at most the
/// ceiling. The result depends only on the arguments, so all nodes that have
/// read the same row agree on it.
std::map<NodeName, std::int64_t> TrimToCeiling(
    std::int64_t ceiling, const std::map<NodeName, std::int64_t>& held);

}  // namespace filbertspar
