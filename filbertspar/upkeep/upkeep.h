#pragma once

/// \file
/// \brief Plans the upkeep (maintenance) of VMs within the waves that operators
/// define.

#include "filbertspar/upkeep/src/plan.h"   // IWYU pragma: export
#include "filbertspar/upkeep/src/state.h"  // IWYU pragma: export
