#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "absl/status/statusor.h"
#include "filbertspar/platform/platform.h"

namespace filbertspar {

/// \brief Row `grant`/TEAM: the units of the team's ceiling that each process
/// holds.
struct GrantRow {
  /// In units.
  std::int64_t m_ceiling = 0;
  /// Configuration version that m_ceiling comes from.
  ConfigVersion m_config_version;
  /// Units per holder; only holders with at least one.
  std::map<NodeName, std::int64_t> m_holders;

  friend bool operator==(const GrantRow&, const GrantRow&) = default;
};

RowKey GrantRowKey(const TeamName& team);
/// \brief {"ceiling":C,"config":V,"holders":{"vm#1":N}}
Json ToJson(const GrantRow& row);
/// \brief Parses ToJson's format. Fails with kPlatformBadAnswer when the value
/// is not an object, and with the field's error when a field is missing or out
/// of range, such as a holder with 0 units.
absl::StatusOr<GrantRow> GrantRowFromJson(const Json& value);

/// \brief Sum over all holders.
std::int64_t TotalHeldUnits(const GrantRow& row);
/// \brief 0 when the process holds nothing.
std::int64_t UnitsHeldBy(const GrantRow& row, const NodeName& holder);

/// \brief VM and incarnation of "vm#incarnation"; incarnation 0 when the name
/// has none.
std::pair<VmName, std::uint64_t> SplitNodeName(const NodeName& node);

}  // namespace filbertspar
