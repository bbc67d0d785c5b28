#pragma once

/// \file
/// \brief VM rows and life cycle, availability budgets, drains, moves, waves.

#include "filbertspar/fleet/src/rows.h"  // IWYU pragma: export
