#pragma once

/// \file
/// \brief Frames between entry VMs: typed messages, FlatBuffers payloads,
/// truncated HMAC-SHA-256, incremental decoding, sessions against replay.

#include "filbertspar/wire/src/codec.h"     // IWYU pragma: export
#include "filbertspar/wire/src/frame.h"     // IWYU pragma: export
#include "filbertspar/wire/src/messages.h"  // IWYU pragma: export
#include "filbertspar/wire/src/secrets.h"   // IWYU pragma: export
#include "filbertspar/wire/src/session.h"   // IWYU pragma: export
