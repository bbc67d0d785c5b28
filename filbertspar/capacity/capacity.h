#pragma once

/// \file
/// \brief Which VM serves which pool: moves that follow the load.

#include "filbertspar/capacity/src/moves.h"  // IWYU pragma: export
