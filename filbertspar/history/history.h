#pragma once

/// \file
/// \brief Record of requests, answers, starts and ends, and its checker.

#include "filbertspar/history/src/checker.h"  // IWYU pragma: export
#include "filbertspar/history/src/record.h"   // IWYU pragma: export
