#pragma once

/// \file
/// \brief Bounded JSON parsing and strict reading of object fields.

#include "filbertspar/json/src/fields.h"  // IWYU pragma: export
#include "filbertspar/json/src/parse.h"   // IWYU pragma: export
