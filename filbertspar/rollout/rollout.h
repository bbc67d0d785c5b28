#pragma once

/// \file
/// \brief Configuration versions: accept, spread, apply, freshness, history.

#include "filbertspar/rollout/src/diff.h"      // IWYU pragma: export
#include "filbertspar/rollout/src/effects.h"   // IWYU pragma: export
#include "filbertspar/rollout/src/rollout.h"   // IWYU pragma: export
#include "filbertspar/rollout/src/versions.h"  // IWYU pragma: export
