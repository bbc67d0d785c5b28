#pragma once

#include <optional>
#include <vector>

#include "filbertspar/membership/src/state.h"

namespace filbertspar {

/// \brief Nodes that are live, without this one.
std::vector<MemberUpdate> LiveMembers(const Membership& state);

/// \brief Whether a node with exactly this name is live and reachable here.
bool IsUsable(const Membership& state, const NodeName& node);

/// \brief Digest of this node's own zone, itself included.
ZoneDigest OwnZoneDigest(const Membership& state, TimePoint now);

/// \brief Digests of all zones of which anything is known, own zone first.
std::vector<ZoneDigest> ZoneDigests(const Membership& state, TimePoint now);

/// \brief The latest time at which every known entry VM that has not left was
/// reachable and reported that it does not reach the store; nothing when some
/// VM reaches it, is unreachable, or has not reported. Decision Q3.
std::optional<TimePoint> NoStoreAnywhereAt(const Membership& state,
                                           TimePoint now);

}  // namespace filbertspar
