#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "absl/status/statusor.h"
#include "filbertspar/platform/platform.h"

namespace filbertspar {

/// \brief Row `grant`/TEAM: who holds how many units of the team's ceiling.
struct GrantRow {
  std::int64_t m_ceiling = 0;
  /// Configuration version that the ceiling is of.
  ConfigVersion m_config_version;
  /// Holders with at least one unit.
  std::map<NodeName, std::int64_t> m_holders;

  friend bool operator==(const GrantRow&, const GrantRow&) = default;
};

RowKey GrantRowKey(const TeamName& team);
/// \brief {"ceiling":C,"config":V,"holders":{"vm#1":N}}
Json ToJson(const GrantRow& row);
absl::StatusOr<GrantRow> GrantRowFromJson(const Json& value);

/// \brief Units held by all holders together.
std::int64_t TotalHeldUnits(const GrantRow& row);
std::int64_t UnitsHeldBy(const GrantRow& row, const NodeName& holder);

/// \brief VM and incarnation of "vm#incarnation".
std::pair<VmName, std::uint64_t> SplitNodeName(const NodeName& node);

}  // namespace filbertspar
