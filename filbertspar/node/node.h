#pragma once

/// \file
/// \brief The process that runs on every entry VM and answers callers. On one
/// VM at a time it owns the jobs and sends orders to the workers.

#include "filbertspar/node/src/node.h"     // IWYU pragma: export
#include "filbertspar/node/src/options.h"  // IWYU pragma: export
