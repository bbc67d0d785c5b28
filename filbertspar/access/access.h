#pragma once

/// \file
/// \brief Keys: creation, hashing, constant-time check; who may submit which
/// entry; operator roles.

#include "filbertspar/access/src/access.h"  // IWYU pragma: export
#include "filbertspar/access/src/key.h"     // IWYU pragma: export
