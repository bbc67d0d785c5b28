#pragma once

/// \file
/// \brief Single-actor duties through a fenced lease row.

#include "filbertspar/lease/src/lease.h"  // IWYU pragma: export
#include "filbertspar/lease/src/row.h"    // IWYU pragma: export
