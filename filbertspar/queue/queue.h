#pragma once

/// \file
/// \brief Bounded queues of waiting requests per pool, team and class:
/// deadline-aware admission, order of service, expiry, cancellation.

#include "filbertspar/queue/src/queue.h"  // IWYU pragma: export
