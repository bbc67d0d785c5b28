#pragma once

/// \file
/// \brief The configuration document: workspaces, teams, keys, catalogue
/// entries, pools, operators, objectives; validation and JSON codec.

#include "filbertspar/catalogue/src/codec.h"     // IWYU pragma: export
#include "filbertspar/catalogue/src/document.h"  // IWYU pragma: export
#include "filbertspar/catalogue/src/validate.h"  // IWYU pragma: export
