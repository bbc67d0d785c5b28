#pragma once

/// \file
/// \brief The process that runs on every entry VM: it answers callers, and on
/// one VM at a time it owns the jobs and orders the workers.

#include "filbertspar/node/src/node.h"     // IWYU pragma: export
#include "filbertspar/node/src/options.h"  // IWYU pragma: export
