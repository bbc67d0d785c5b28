#pragma once

/// \file
/// \brief Which VM has its upkeep next, within the operators' waves.

#include "filbertspar/upkeep/src/plan.h"   // IWYU pragma: export
#include "filbertspar/upkeep/src/state.h"  // IWYU pragma: export
