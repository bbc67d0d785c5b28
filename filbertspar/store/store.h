#pragma once

/// \file
/// \brief Asio shell of the platform client: sends its transmissions over
/// HTTP and hands its reports to the coroutines that wait for them.

#include "filbertspar/store/src/one_shot.h"  // IWYU pragma: export
#include "filbertspar/store/src/store.h"     // IWYU pragma: export
