#pragma once

/// \file
/// \brief Ownership of the jobs by one VM: its stored record, and the rules by
/// which another VM takes over.

#include "filbertspar/ownership/src/claim.h"         // IWYU pragma: export
#include "filbertspar/ownership/src/confirmation.h"  // IWYU pragma: export
#include "filbertspar/ownership/src/contact.h"       // IWYU pragma: export
#include "filbertspar/ownership/src/permission.h"    // IWYU pragma: export
#include "filbertspar/ownership/src/record.h"        // IWYU pragma: export
