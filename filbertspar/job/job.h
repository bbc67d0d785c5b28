#pragma once

/// \file
/// \brief Jobs of steps and tasks: what a caller handed in, how far it came,
/// and the rows that hold both.

#include "filbertspar/job/src/progress.h"         // IWYU pragma: export
#include "filbertspar/job/src/resource_vector.h"  // IWYU pragma: export
#include "filbertspar/job/src/rows.h"             // IWYU pragma: export
#include "filbertspar/job/src/spec.h"             // IWYU pragma: export
