#pragma once

/// \file
/// \brief Decisions of the writer of jobs: values larger than a row, and the
/// search for a row that the store rejects.

#include "filbertspar/journal/src/rejection_search.h"  // IWYU pragma: export
#include "filbertspar/journal/src/row_parts.h"         // IWYU pragma: export
