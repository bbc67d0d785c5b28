#pragma once

/// \file
/// \brief Objectives, error budgets and the service-level burn report.

#include "filbertspar/burn/src/account.h"  // IWYU pragma: export
#include "filbertspar/burn/src/budget.h"   // IWYU pragma: export
#include "filbertspar/burn/src/html.h"     // IWYU pragma: export
#include "filbertspar/burn/src/record.h"   // IWYU pragma: export
#include "filbertspar/burn/src/text.h"     // IWYU pragma: export
