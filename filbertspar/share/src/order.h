#pragma once

#include "filbertspar/share/src/share.h"

/// \file
/// \brief Keys by which the next team is chosen, for the sources of this
/// library.

namespace filbertspar::internal {

/// \brief Computes the key of one team, or of all teams, of a pool anew.
void Rekey(Share& share, std::size_t pool_index, std::size_t team_index);
void RekeyPool(Share& share, std::size_t pool_index);

}  // namespace filbertspar::internal
