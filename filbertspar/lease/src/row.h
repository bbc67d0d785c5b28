#pragma once

#include "absl/status/statusor.h"
#include "filbertspar/platform/platform.h"

namespace filbertspar {

/// \brief Row `lease`/DUTY. Its row version rises with every write of the
/// holder, which shows the others that the holder is alive.
struct LeaseRow {
  NodeName m_holder;
  /// Rises by one at each take-over.
  FencingNumber m_fencing;

  friend bool operator==(const LeaseRow&, const LeaseRow&) = default;
};

/// \brief Key of a duty's row, such as `lease`/`planner`.
RowKey LeaseRowKey(const std::string& role);
/// \brief {"holder":"vm#1","fencing":N}
Json ToJson(const LeaseRow& row);
absl::StatusOr<LeaseRow> LeaseRowFromJson(const Json& value);

}  // namespace filbertspar
