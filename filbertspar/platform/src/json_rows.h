#pragma once

#include "absl/status/status.h"
#include "filbertspar/platform/src/rows.h"

namespace filbertspar::internal {

JsonObject WriteToJson(const WriteBody& write);

/// Readers of the platform's answers pass over fields they do not know, since
/// the platform may add some.
absl::Status RowFromJson(const JsonObject& object, Row& out);
absl::Status ChangesFromJson(const JsonObject& object, ChangeList& out);
absl::Status VmsFromJson(const JsonObject& object, VmList& out);

}  // namespace filbertspar::internal
