#include "filbertspar/grant/src/grants.h"

#include <algorithm>
#include <utility>

#include "filbertspar/grant/src/split.h"

namespace filbertspar {

using internal::TeamGrant;

namespace {

// Spreads the rounds of the nodes so that their writes rarely conflict.
constexpr std::int64_t kRoundJitterMs = 100;

TeamGrant* FindTeamGrant(Grants& grants, const TeamName& team) {
  const auto found = grants.m_teams.find(team);
  return found == grants.m_teams.end() ? nullptr : &found->second;
}

void UpdateRow(Grants& grants, TimePoint now, TeamGrant& team,
               RowVersion version, GrantRow row) {
  if (version <= team.m_version) {
    return;
  }
  team.m_version = version;
  team.m_row = std::move(row);
  team.m_held = UnitsHeldBy(team.m_row, grants.m_self);
  team.m_total_held = TotalHeldUnits(team.m_row);
  // The units of this process are changed only by itself and by a reclaim. Once
  // the row is newer than the version a pending write expects, that write can
  // no longer be committed, and the row shows whether it was.
  if (team.m_pending && version > team.m_pending->m_expect) {
    team.m_pending.reset();
  }
  internal::TrackHolders(grants, now, team.m_row);
}

}  // namespace

Grants MakeGrants(const NodeName& self, std::uint64_t seed, TimePoint now) {
  Grants grants;
  grants.m_self = self;
  grants.m_rng = Rng(seed);
  grants.m_next_round =
      now +
      Milliseconds(static_cast<std::int64_t>(grants.m_rng.Below(
          static_cast<std::uint64_t>(ToMilliseconds(kGrantRoundInterval)))));
  return grants;
}

void UpdateCeilings(Grants& grants, const Catalogue& catalogue) {
  for (auto& [name, team] : grants.m_teams) {
    // A team removed from the catalogue may not hold units.
    if (catalogue.m_version > team.m_config_version) {
      team.m_ceiling = 0;
      team.m_config_version = catalogue.m_version;
    }
  }
  for (const Team& team : catalogue.m_teams) {
    TeamGrant& grant = grants.m_teams[team.m_name];
    if (catalogue.m_version >= grant.m_config_version) {
      grant.m_ceiling = team.m_ceiling;
      grant.m_config_version = catalogue.m_version;
    }
  }
}

std::int64_t UsableUnits(const Grants& grants, const TeamName& name) {
  const auto found = grants.m_teams.find(name);
  if (found == grants.m_teams.end()) {
    return 0;
  }
  const TeamGrant& team = found->second;
  std::int64_t units = team.m_held;
  if (team.m_pending) {
    // Released units are unusable as soon as the write is sent; requested units
    // become usable only when the write is known to be committed.
    units = std::min(units, UnitsHeldBy(team.m_pending->m_row, grants.m_self));
  }
  const std::int64_t ceiling = internal::EffectiveCeiling(team);
  if (team.m_total_held > ceiling) {
    const auto trimmed = TrimToCeiling(ceiling, team.m_row.m_holders);
    const auto own = trimmed.find(grants.m_self);
    units = std::min(units, own == trimmed.end() ? 0 : own->second);
  }
  return team.m_use_limit ? std::min(units, *team.m_use_limit) : units;
}

std::int64_t FreeUnits(const Grants& grants, const TeamName& name) {
  const auto found = grants.m_teams.find(name);
  return found == grants.m_teams.end()
             ? 0
             : std::max<std::int64_t>(
                   0, UsableUnits(grants, name) - found->second.m_in_use);
}

bool AcquireGrantUnit(Grants& grants, const TeamName& name) {
  if (FreeUnits(grants, name) == 0) {
    return false;
  }
  TeamGrant& team = grants.m_teams[name];
  ++team.m_in_use;
  team.m_peak_demand = std::max(team.m_peak_demand, team.m_in_use);
  return true;
}

void ReleaseGrantUnit(Grants& grants, const TeamName& name) {
  TeamGrant* team = FindTeamGrant(grants, name);
  FS_ASSERT(team != nullptr && team->m_in_use > 0,
            "a unit is released once, after it was acquired");
  --team->m_in_use;
}

void SetDemand(Grants& grants, const TeamName& name, std::int64_t units) {
  if (TeamGrant* team = FindTeamGrant(grants, name)) {
    team->m_demand = units;
    team->m_peak_demand = std::max(team->m_peak_demand, units);
  }
}

void UpdatePeerDemand(Grants& grants, TimePoint now, const NodeName& peer,
                      const TeamName& name, std::int64_t running,
                      std::int64_t waiting, std::int64_t free) {
  TeamGrant* team = FindTeamGrant(grants, name);
  if (team == nullptr || peer == grants.m_self) {
    return;
  }
  std::erase_if(team->m_peers, [&](const auto& known) {
    return now - known.second.m_received_at > kPeerDemandTtl;
  });
  team->m_peers[peer] = {running + waiting, waiting > 0 && free == 0, now};
}

void Tick(Grants& grants, TimePoint now, GrantEffects& effects) {
  if (now < grants.m_next_round) {
    return;
  }
  grants.m_next_round =
      now + kGrantRoundInterval -
      Milliseconds(static_cast<std::int64_t>(
          grants.m_rng.Below(static_cast<std::uint64_t>(kRoundJitterMs)))) +
      Milliseconds(kRoundJitterMs / 2);
  effects.push_back(ReadGrantChanges{grants.m_sequence});
}

TimePoint NextTick(const Grants& grants) { return grants.m_next_round; }

void HandleGrantChanges(Grants& grants, TimePoint now, Code code,
                        const ChangeList& changes, GrantEffects& effects) {
  if (code != Code::kOk) {
    return;
  }
  for (const Row& changed : changes.m_rows) {
    absl::StatusOr<GrantRow> row = GrantRow();
    if (changed.m_value) {
      row = GrantRowFromJson(*changed.m_value);
    }
    if (row.ok()) {
      UpdateRow(grants, now, grants.m_teams[TeamName(changed.m_row.m_key)],
                changed.m_version, *std::move(row));
    }
  }
  grants.m_sequence = std::max(grants.m_sequence, changes.m_sequence);
  for (auto& [name, team] : grants.m_teams) {
    std::optional<GrantRow> row = internal::PlanTeam(grants, now, team);
    if (!row) {
      continue;
    }
    const GrantWriteId id(++grants.m_last_write_id);
    effects.push_back(WriteGrant{
        id, name, {GrantRowKey(name), team.m_version, ToJson(*row)}});
    team.m_pending =
        internal::PendingGrantWrite{id, team.m_version, *std::move(row)};
  }
}

void HandleGrantWriteOutcome(Grants& grants, TimePoint now,
                             const TeamName& name, GrantWriteId write,
                             WriteOutcome outcome, RowVersion version) {
  TeamGrant* team = FindTeamGrant(grants, name);
  if (team == nullptr || !team->m_pending || team->m_pending->m_id != write ||
      outcome == WriteOutcome::kUnsettled) {
    return;
  }
  if (outcome == WriteOutcome::kCommitted) {
    UpdateRow(grants, now, *team, version, team->m_pending->m_row);
  }
  team->m_pending.reset();
}

}  // namespace filbertspar
