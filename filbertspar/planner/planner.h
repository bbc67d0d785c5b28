#pragma once

/// \file
/// \brief Asio shells around the fleet library: its tables and the planner
/// process.

#include "filbertspar/planner/src/fleet_tables.h"  // IWYU pragma: export
#include "filbertspar/planner/src/options.h"       // IWYU pragma: export
#include "filbertspar/planner/src/process.h"       // IWYU pragma: export
