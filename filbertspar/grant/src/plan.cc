#include <algorithm>
#include <utility>

#include "filbertspar/grant/src/grants.h"
#include "filbertspar/grant/src/split.h"

namespace filbertspar::internal {
namespace {

// Rounds over the part before units move to others; one summary of a peer may
// be a second old, so a single round over it may only be its delay.
constexpr int kRoundsBeforeMove = 2;

// This node's part of the ceiling by demand, and whether others lack units.
struct Part {
  std::int64_t m_units = 0;
  bool m_others_lack = false;
};

Part ComputePart(const Grants& grants, TimePoint now, const TeamGrant& team) {
  std::map<NodeName, std::int64_t> demand;
  demand[grants.m_self] = std::max(team.m_demand, team.m_in_use);
  Part part;
  for (const auto& [peer, known] : team.m_peers) {
    if (now - known.m_at <= kPeerDemandLife) {
      demand[peer] = known.m_units;
      part.m_others_lack |= known.m_unmet;
    }
  }
  const auto split =
      SplitByDemand(EffectiveCeiling(team), demand, team.m_row.m_holders);
  const auto mine = split.find(grants.m_self);
  part.m_units = mine == split.end() ? 0 : mine->second;
  return part;
}

void SetHeld(GrantRow& row, const NodeName& holder, std::int64_t units) {
  if (units > 0) {
    row.m_holders[holder] = units;
  } else {
    row.m_holders.erase(holder);
  }
}

// Units that this node gives back now.
std::int64_t UnitsToReturn(const Grants& grants, TimePoint now, TeamGrant& team,
                           std::int64_t held, const Part& part) {
  const std::int64_t idle_limit = held - team.m_in_use;
  const std::int64_t ceiling = EffectiveCeiling(team);
  std::int64_t units = 0;
  if (team.m_sum > ceiling) {
    const auto trimmed = TrimToCeiling(ceiling, team.m_row.m_holders);
    const auto mine = trimmed.find(grants.m_self);
    units = held - (mine == trimmed.end() ? 0 : mine->second);
  }
  const bool scarce = team.m_sum >= ceiling && part.m_others_lack;
  team.m_rounds_over =
      scarce && held > part.m_units ? team.m_rounds_over + 1 : 0;
  team.m_keep.reset();
  if (team.m_rounds_over >= kRoundsBeforeMove) {
    // Tasks that end leave their units for the others.
    team.m_keep = part.m_units;
    units = std::max(units, held - part.m_units);
  }
  if (now - team.m_window_start >= kIdleReturn) {
    const std::int64_t needed =
        std::min(held, std::max(WantedUnits(team.m_demand), team.m_peak));
    units = std::max(units, (held - needed + 1) / 2);
    team.m_window_start = now;
    team.m_peak = std::max(team.m_in_use, team.m_demand);
  }
  return std::clamp<std::int64_t>(units, 0,
                                  std::max<std::int64_t>(0, idle_limit));
}

// Takes out holders whose tasks have stopped for certain.
bool Reclaim(const Grants& grants, TimePoint now, GrantRow& row) {
  return std::erase_if(row.m_holders, [&](const auto& holder) {
           return holder.first != grants.m_self &&
                  IsLost(grants, now, holder.first);
         }) > 0;
}

}  // namespace

std::int64_t EffectiveCeiling(const TeamGrant& team) {
  return team.m_row.m_config > team.m_config ? team.m_row.m_ceiling
                                             : team.m_ceiling;
}

std::optional<GrantRow> PlanTeam(const Grants& grants, TimePoint now,
                                 TeamGrant& team) {
  if (team.m_pending) {
    return std::nullopt;
  }
  const std::int64_t held = team.m_held;
  const std::int64_t ceiling = EffectiveCeiling(team);
  const Part part = ComputePart(grants, now, team);
  const std::int64_t returned = UnitsToReturn(grants, now, team, held, part);
  GrantRow row = team.m_row;
  bool changed = false;
  if (returned > 0) {
    SetHeld(row, grants.m_self, held - returned);
    changed = true;
  }
  const bool wants_more = returned == 0 && part.m_units > held;
  const bool lacks = ceiling - SumHeld(row) < part.m_units - held;
  if (grants.m_reclaims_always || (wants_more && lacks)) {
    changed |= Reclaim(grants, now, row);
  }
  const std::int64_t growth =
      wants_more ? std::min(part.m_units - held, ceiling - SumHeld(row)) : 0;
  if (growth > 0) {
    SetHeld(row, grants.m_self, held + growth);
    changed = true;
  }
  if (team.m_config > row.m_config) {
    // A lowered ceiling goes into the row at once, so that a node that does
    // not have the configuration yet takes no unit above it.
    changed |= held > 0 && team.m_ceiling < row.m_ceiling;
    row.m_ceiling = team.m_ceiling;
    row.m_config = team.m_config;
  }
  FS_ASSERT(growth <= 0 || SumHeld(row) <= row.m_ceiling,
            "units held never grow beyond the ceiling");
  return changed ? std::optional<GrantRow>(std::move(row)) : std::nullopt;
}

}  // namespace filbertspar::internal
