#pragma once

/// \file
/// \brief The entry process: caller and administration API around the request
/// engine, with the platform, the workers and the peers behind it.

#include "filbertspar/entry/src/options.h"  // IWYU pragma: export
#include "filbertspar/entry/src/process.h"  // IWYU pragma: export
