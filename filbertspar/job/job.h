#pragma once

/// \file
/// \brief Jobs made of steps and tasks: their specification, their progress,
/// and the stored rows of both.

#include "filbertspar/job/src/progress.h"         // IWYU pragma: export
#include "filbertspar/job/src/resource_vector.h"  // IWYU pragma: export
#include "filbertspar/job/src/rows.h"             // IWYU pragma: export
#include "filbertspar/job/src/spec.h"             // IWYU pragma: export
