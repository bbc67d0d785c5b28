#pragma once

/// \file
/// \brief Buffers from surge history, moves between pools, fairness account.

#include "filbertspar/sizing/src/account.h"  // IWYU pragma: export
#include "filbertspar/sizing/src/moves.h"    // IWYU pragma: export
#include "filbertspar/sizing/src/surge.h"    // IWYU pragma: export
