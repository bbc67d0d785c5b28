#pragma once

/// \file
/// \brief VM rows and life cycle, availability budgets, drains, moves, waves.

#include "filbertspar/fleet/src/batch.h"          // IWYU pragma: export
#include "filbertspar/fleet/src/blackout.h"       // IWYU pragma: export
#include "filbertspar/fleet/src/drain.h"          // IWYU pragma: export
#include "filbertspar/fleet/src/drain_policy.h"   // IWYU pragma: export
#include "filbertspar/fleet/src/effects.h"        // IWYU pragma: export
#include "filbertspar/fleet/src/events.h"         // IWYU pragma: export
#include "filbertspar/fleet/src/lifecycle.h"      // IWYU pragma: export
#include "filbertspar/fleet/src/planner.h"        // IWYU pragma: export
#include "filbertspar/fleet/src/rollout_order.h"  // IWYU pragma: export
#include "filbertspar/fleet/src/rows.h"           // IWYU pragma: export
#include "filbertspar/fleet/src/view.h"           // IWYU pragma: export
#include "filbertspar/fleet/src/wave.h"           // IWYU pragma: export
