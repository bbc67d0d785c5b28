#pragma once

/// \file
/// \brief Plans moves of VMs between pools so that they follow the load.

#include "filbertspar/capacity/src/moves.h"  // IWYU pragma: export
