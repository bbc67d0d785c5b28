#pragma once

/// \file
/// \brief HTTP server and client shells over Beast, with bounds on size, time
/// and number of connections.

#include "filbertspar/http/src/client.h"          // IWYU pragma: export
#include "filbertspar/http/src/connection_use.h"  // IWYU pragma: export
#include "filbertspar/http/src/listen.h"          // IWYU pragma: export
#include "filbertspar/http/src/message.h"         // IWYU pragma: export
#include "filbertspar/http/src/server.h"          // IWYU pragma: export
