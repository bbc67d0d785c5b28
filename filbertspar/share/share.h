#pragma once

/// \file
/// \brief Weighted max-min fairness over the dominant resource: due shares,
/// decayed use per team and pool, choice of the next team to serve.

#include "filbertspar/share/src/estimate.h"    // IWYU pragma: export
#include "filbertspar/share/src/index.h"       // IWYU pragma: export
#include "filbertspar/share/src/share.h"       // IWYU pragma: export
#include "filbertspar/share/src/water_fill.h"  // IWYU pragma: export
