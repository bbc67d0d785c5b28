#pragma once

/// \file
/// \brief Distributes each team's ceiling (a limit on running tasks) over the
/// entry VMs without a coordinator. Each VM holds a number of units, one per
/// running task; a row per team in the store records them.

#include "filbertspar/grant/src/grants.h"  // IWYU pragma: export
#include "filbertspar/grant/src/row.h"     // IWYU pragma: export
#include "filbertspar/grant/src/split.h"   // IWYU pragma: export
