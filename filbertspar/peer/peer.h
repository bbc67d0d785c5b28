#pragma once

/// \file
/// \brief TCP links between entry VMs, run by the membership core.

#include "filbertspar/peer/src/connection.h"  // IWYU pragma: export
#include "filbertspar/peer/src/links.h"       // IWYU pragma: export
