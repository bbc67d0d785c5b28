#pragma once

/// \file
/// \brief Decides what a VM sends over its own link and what other VMs send
/// for it. Plain state; no clock or socket.

#include "filbertspar/traffic/src/link_budget.h"    // IWYU pragma: export
#include "filbertspar/traffic/src/payload_cache.h"  // IWYU pragma: export
#include "filbertspar/traffic/src/receive_load.h"   // IWYU pragma: export
#include "filbertspar/traffic/src/start_route.h"    // IWYU pragma: export
