#pragma once

/// \file
/// \brief Decides which task runs on which worker and when. Plain state,
/// changed by events; orders to workers are returned as effects. No clock,
/// socket or thread.

#include "filbertspar/scheduler/src/admit.h"       // IWYU pragma: export
#include "filbertspar/scheduler/src/dispatch.h"    // IWYU pragma: export
#include "filbertspar/scheduler/src/fair_share.h"  // IWYU pragma: export
#include "filbertspar/scheduler/src/jobs.h"        // IWYU pragma: export
#include "filbertspar/scheduler/src/load.h"        // IWYU pragma: export
#include "filbertspar/scheduler/src/restore.h"     // IWYU pragma: export
#include "filbertspar/scheduler/src/starts.h"      // IWYU pragma: export
#include "filbertspar/scheduler/src/state.h"       // IWYU pragma: export
#include "filbertspar/scheduler/src/unanswered.h"  // IWYU pragma: export
#include "filbertspar/scheduler/src/workers.h"     // IWYU pragma: export
