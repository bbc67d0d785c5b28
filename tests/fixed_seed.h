#pragma once

#include <cstdlib>

namespace filbertspar::internal {

// Makes property tests repeatable: rapidcheck draws a new seed per run unless
// RC_PARAMS names one. A value given by the caller is kept.
inline const int kFixedSeed = setenv("RC_PARAMS", "seed=20260", 0);

}  // namespace filbertspar::internal
