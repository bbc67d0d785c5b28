#pragma once

#include "filbertspar/share/src/share.h"

/// \file
/// \brief Recount of all shares, for the sources of this library.

namespace filbertspar::internal {

/// \brief Counts the time since the last recount and computes due shares anew.
void SettleNow(Share& share, TimePoint now);

}  // namespace filbertspar::internal
