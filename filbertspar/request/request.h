#pragma once

/// \file
/// \brief Life of a request: admission, claim, attempts, retries, outcome and
/// later queries.

#include "filbertspar/request/src/effects.h"  // IWYU pragma: export
#include "filbertspar/request/src/engine.h"   // IWYU pragma: export
#include "filbertspar/request/src/events.h"   // IWYU pragma: export
