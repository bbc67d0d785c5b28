#pragma once

#include "absl/status/statusor.h"
#include "filbertspar/platform/platform.h"

namespace filbertspar {

/// \brief Row `lease`/ROLE. Every write of the holder raises the row version,
/// which the other processes take as the holder's heartbeat.
struct LeaseRow {
  NodeName m_holder;
  /// Incremented at each takeover.
  FencingNumber m_fencing;

  friend bool operator==(const LeaseRow&, const LeaseRow&) = default;
};

/// \brief Key of a role's lease row, such as `lease`/`planner`.
RowKey LeaseRowKey(const std::string& role);
/// \brief {"holder":"vm#1","fencing":N}
Json ToJson(const LeaseRow& row);
/// \brief Parses ToJson's format. Fails with kPlatformBadAnswer when the value
/// is not an object, and with the field's error when `fencing` is below 1 or a
/// field is missing or malformed.
absl::StatusOr<LeaseRow> LeaseRowFromJson(const Json& value);

}  // namespace filbertspar
