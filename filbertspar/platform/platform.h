#pragma once

/// \file
/// \brief Client of the platform's table, object store and VM list: rows and
/// their JSON forms, attempt ids, settlement of lost answers, circuit breaker,
/// rate budget and batching of writes.

#include "filbertspar/platform/src/batch.h"    // IWYU pragma: export
#include "filbertspar/platform/src/breaker.h"  // IWYU pragma: export
#include "filbertspar/platform/src/client.h"   // IWYU pragma: export
#include "filbertspar/platform/src/codec.h"    // IWYU pragma: export
#include "filbertspar/platform/src/rows.h"     // IWYU pragma: export
