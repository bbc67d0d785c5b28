#pragma once

/// \file
/// \brief The operators' configuration, the lookup of the queue for a call, the
/// authorization of its key, and refusals that hold for late copies of a call.

#include "filbertspar/routing/src/authorize.h"          // IWYU pragma: export
#include "filbertspar/routing/src/deployment_config.h"  // IWYU pragma: export
#include "filbertspar/routing/src/peer_clock.h"         // IWYU pragma: export
#include "filbertspar/routing/src/refusals.h"           // IWYU pragma: export
