#include <algorithm>
#include <utility>

#include "filbertspar/grant/src/grants.h"
#include "filbertspar/grant/src/split.h"

namespace filbertspar::internal {
namespace {

// Consecutive rounds over the share before units move to peers. A peer's
// summary may be a second old, so a single round over the share may be due to
// its delay.
constexpr int kRoundsBeforeRebalance = 2;

// This node's share of the ceiling by demand, and whether peers lack units.
struct DemandShare {
  std::int64_t m_units = 0;
  bool m_peers_lack_units = false;
};

DemandShare ComputeDemandShare(const Grants& grants, TimePoint now,
                               const TeamGrant& team) {
  if (team.m_held == 0 && team.m_demand == 0 && team.m_in_use == 0) {
    return {};
  }
  std::map<NodeName, std::int64_t> demand;
  demand[grants.m_self] = std::max(team.m_demand, team.m_in_use);
  DemandShare demand_share;
  for (const auto& [peer, known] : team.m_peers) {
    if (now - known.m_received_at <= kPeerDemandTtl) {
      demand[peer] = known.m_units;
      demand_share.m_peers_lack_units |= known.m_lacks_units;
    }
  }
  const auto split =
      SplitByDemand(EffectiveCeiling(team), demand, team.m_row.m_holders);
  const auto own = split.find(grants.m_self);
  demand_share.m_units = own == split.end() ? 0 : own->second;
  return demand_share;
}

void SetHeldUnits(GrantRow& row, const NodeName& holder, std::int64_t units) {
  if (units > 0) {
    row.m_holders[holder] = units;
  } else {
    row.m_holders.erase(holder);
  }
}

// Number of units that this node releases in this round.
std::int64_t UnitsToRelease(const Grants& grants, TimePoint now,
                            TeamGrant& team, std::int64_t held,
                            const DemandShare& demand_share) {
  const std::int64_t idle_units = held - team.m_in_use;
  const std::int64_t ceiling = EffectiveCeiling(team);
  std::int64_t units = 0;
  if (team.m_total_held > ceiling) {
    const auto trimmed = TrimToCeiling(ceiling, team.m_row.m_holders);
    const auto own = trimmed.find(grants.m_self);
    units = held - (own == trimmed.end() ? 0 : own->second);
  }
  const bool is_contended =
      team.m_total_held >= ceiling && demand_share.m_peers_lack_units;
  team.m_rounds_over_share = is_contended && held > demand_share.m_units
                                 ? team.m_rounds_over_share + 1
                                 : 0;
  team.m_use_limit.reset();
  if (team.m_rounds_over_share >= kRoundsBeforeRebalance) {
    // Units of tasks that end are released to the peers, not used again.
    team.m_use_limit = demand_share.m_units;
    units = std::max(units, held - demand_share.m_units);
  }
  if (now - team.m_idle_window_start >= kIdleReleaseTime) {
    const std::int64_t needed = std::min(
        held, std::max(UnitsWithHeadroom(team.m_demand), team.m_peak_demand));
    units = std::max(units, (held - needed + 1) / 2);
    team.m_idle_window_start = now;
    team.m_peak_demand = std::max(team.m_in_use, team.m_demand);
  }
  return std::clamp<std::int64_t>(units, 0,
                                  std::max<std::int64_t>(0, idle_units));
}

// Removes lost holders from the row; true if there were any.
bool RemoveLostHolders(const Grants& grants, TimePoint now, GrantRow& row) {
  return std::erase_if(row.m_holders, [&](const auto& holder) {
           return holder.first != grants.m_self &&
                  IsReclaimable(grants, now, holder.first);
         }) > 0;
}

}  // namespace

std::int64_t EffectiveCeiling(const TeamGrant& team) {
  return team.m_row.m_config_version > team.m_config_version
             ? team.m_row.m_ceiling
             : team.m_ceiling;
}

std::optional<GrantRow> PlanTeam(const Grants& grants, TimePoint now,
                                 TeamGrant& team) {
  if (team.m_pending) {
    return std::nullopt;
  }
  const std::int64_t held = team.m_held;
  const std::int64_t ceiling = EffectiveCeiling(team);
  const DemandShare demand_share = ComputeDemandShare(grants, now, team);
  const std::int64_t released =
      UnitsToRelease(grants, now, team, held, demand_share);
  const bool needs_more = released == 0 && demand_share.m_units > held;
  const bool is_short =
      ceiling - team.m_total_held < demand_share.m_units - held;
  const bool should_reclaim =
      grants.m_reclaims_always || (needs_more && is_short);
  // A lowered ceiling is written at once, so that a node without the new
  // configuration acquires no unit above it.
  const bool lowers_ceiling =
      team.m_config_version > team.m_row.m_config_version && held > 0 &&
      team.m_ceiling < team.m_row.m_ceiling;
  if (released == 0 && !needs_more && !should_reclaim && !lowers_ceiling) {
    return std::nullopt;
  }
  GrantRow row = team.m_row;
  bool changed = lowers_ceiling;
  if (released > 0) {
    SetHeldUnits(row, grants.m_self, held - released);
    changed = true;
  }
  if (should_reclaim) {
    changed |= RemoveLostHolders(grants, now, row);
  }
  const std::int64_t growth =
      needs_more
          ? std::min(demand_share.m_units - held, ceiling - TotalHeldUnits(row))
          : 0;
  if (growth > 0) {
    SetHeldUnits(row, grants.m_self, held + growth);
    changed = true;
  }
  if (team.m_config_version > row.m_config_version) {
    row.m_ceiling = team.m_ceiling;
    row.m_config_version = team.m_config_version;
  }
  FS_ASSERT(growth <= 0 || TotalHeldUnits(row) <= row.m_ceiling,
            "units held never grow beyond the ceiling");
  return changed ? std::optional<GrantRow>(std::move(row)) : std::nullopt;
}

}  // namespace filbertspar::internal
