#pragma once

/// \file
/// \brief The operators' configuration in force, the queue that a call goes
/// to, and whether its key permits it.

#include "filbertspar/routing/src/authorize.h"          // IWYU pragma: export
#include "filbertspar/routing/src/deployment_config.h"  // IWYU pragma: export
