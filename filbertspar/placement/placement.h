#pragma once

/// \file
/// \brief Worker table, choice of worker, ejection and probing.

#include "filbertspar/placement/src/placement.h"  // IWYU pragma: export
#include "filbertspar/placement/src/worker.h"     // IWYU pragma: export
