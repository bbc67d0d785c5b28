#pragma once

/// \file
/// \brief The operators' configuration, the lookup of the queue for a call, and
/// the authorization of its key.

#include "filbertspar/routing/src/authorize.h"          // IWYU pragma: export
#include "filbertspar/routing/src/deployment_config.h"  // IWYU pragma: export
