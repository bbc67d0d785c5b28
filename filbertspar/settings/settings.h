#pragma once

/// \file
/// \brief Settings files in INI, read and checked as a whole.

#include "filbertspar/settings/src/settings.h"  // IWYU pragma: export
