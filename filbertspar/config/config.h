#pragma once

/// \file
/// \brief Asio shell of the configuration roll-out, for every process that
/// needs the document in force.

#include "filbertspar/config/src/config.h"  // IWYU pragma: export
