#pragma once

/// \file
/// \brief Which entry VMs live, which configuration version and whether the
/// store is reached where; silent connections. A pure core in virtual time.

#include "filbertspar/membership/src/core.h"     // IWYU pragma: export
#include "filbertspar/membership/src/effects.h"  // IWYU pragma: export
#include "filbertspar/membership/src/plan.h"     // IWYU pragma: export
#include "filbertspar/membership/src/state.h"    // IWYU pragma: export
#include "filbertspar/membership/src/view.h"     // IWYU pragma: export
