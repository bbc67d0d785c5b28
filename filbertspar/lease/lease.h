#pragma once

/// \file
/// \brief Leader election for a singleton role (such as the planner) through a
/// lease row in the store, with fencing of the leader's writes.

#include "filbertspar/lease/src/lease.h"  // IWYU pragma: export
#include "filbertspar/lease/src/row.h"    // IWYU pragma: export
