#pragma once

/// \file
/// \brief What every program shares: command line, settings, log, signals.

#include "filbertspar/program/src/log.h"      // IWYU pragma: export
#include "filbertspar/program/src/program.h"  // IWYU pragma: export
