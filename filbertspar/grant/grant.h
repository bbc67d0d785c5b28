#pragma once

/// \file
/// \brief Splitting each team's ceiling over the entry VMs without a
/// coordinator.

#include "filbertspar/grant/src/grants.h"  // IWYU pragma: export
#include "filbertspar/grant/src/row.h"     // IWYU pragma: export
#include "filbertspar/grant/src/split.h"   // IWYU pragma: export
