#pragma once

/// \file
/// \brief Ids, units, result codes, virtual time, random numbers, assertions.

#include "filbertspar/base/src/assert.h"  // IWYU pragma: export
#include "filbertspar/base/src/bucket.h"  // IWYU pragma: export
#include "filbertspar/base/src/codes.h"   // IWYU pragma: export
#include "filbertspar/base/src/ids.h"     // IWYU pragma: export
#include "filbertspar/base/src/rng.h"     // IWYU pragma: export
#include "filbertspar/base/src/status.h"  // IWYU pragma: export
#include "filbertspar/base/src/time.h"    // IWYU pragma: export
#include "filbertspar/base/src/units.h"   // IWYU pragma: export
