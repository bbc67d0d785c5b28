#pragma once

/// \file
/// \brief Which VM owns the jobs: the row that says so, and when another VM
/// takes over.

#include "filbertspar/ownership/src/claim.h"   // IWYU pragma: export
#include "filbertspar/ownership/src/record.h"  // IWYU pragma: export
