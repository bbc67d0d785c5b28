#pragma once

/// \file
/// \brief Counters, latency quantiles and the Prometheus text format.

#include "filbertspar/metrics/src/book.h"       // IWYU pragma: export
#include "filbertspar/metrics/src/quantiles.h"  // IWYU pragma: export
#include "filbertspar/metrics/src/requests.h"   // IWYU pragma: export
#include "filbertspar/metrics/src/text.h"       // IWYU pragma: export
