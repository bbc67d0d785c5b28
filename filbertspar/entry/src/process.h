#pragma once

#include "absl/status/status.h"
#include "filbertspar/entry/src/options.h"

namespace filbertspar {

/// \brief Runs an entry process until SIGTERM. kListenFailed when an address
/// is taken, kStopBoundReached when work was still running at the stop bound.
absl::Status RunEntry(const EntryOptions& options);

}  // namespace filbertspar
