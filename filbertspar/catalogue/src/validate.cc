#include "filbertspar/catalogue/src/validate.h"

#include <algorithm>
#include <set>
#include <string>
#include <utility>

#include "absl/strings/str_cat.h"

namespace filbertspar {
namespace {

absl::Status Invalid(std::string_view message) {
  return Error(Code::kConfigInvalid, message);
}

bool IsNameChar(char c) {
  return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' ||
         c == '_' || c == '.';
}

bool IsWellFormed(const std::string& name) {
  return !name.empty() && name.size() <= kMaxNameLength &&
         std::all_of(name.begin(), name.end(), IsNameChar);
}

template <typename Item>
absl::Status CheckNames(const std::vector<Item>& items, std::string_view kind,
                        std::size_t max) {
  if (items.size() > max) {
    return Invalid(absl::StrCat(std::string(kind), ": at most ", max));
  }
  std::set<std::string> seen;
  for (const Item& item : items) {
    const std::string& name = item.m_name.Value();
    if (!IsWellFormed(name)) {
      return Invalid(absl::StrCat(
          std::string(kind), " \"", name,
          "\": expected 1 to 64 of a-z, 0-9, '-', '_', '.' as name"));
    }
    if (!seen.insert(name).second) {
      return Invalid(
          absl::StrCat(std::string(kind), " \"", name, "\" is there twice"));
    }
  }
  return absl::OkStatus();
}

bool IsSha256Hex(const std::string& hash) {
  return hash.size() == 64 && std::all_of(hash.begin(), hash.end(), [](char c) {
           return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
         });
}

absl::Status CheckTeams(const Catalogue& catalogue) {
  for (const Team& team : catalogue.m_teams) {
    const std::string where =
        absl::StrCat("team \"", team.m_name.Value(), "\"");
    if (FindWorkspace(catalogue, team.m_workspace) == nullptr) {
      return Invalid(absl::StrCat(where, ": no workspace \"",
                                  team.m_workspace.Value(), "\""));
    }
    if (!(team.m_weight > 0 && team.m_weight <= 1e6)) {
      return Invalid(where + ": expected a weight above 0, at most 1000000");
    }
    if (team.m_ceiling < 0 || team.m_ceiling > 1'000'000) {
      return Invalid(where + ": expected a ceiling from 0 to 1000000");
    }
  }
  return absl::OkStatus();
}

absl::Status CheckKeys(const Catalogue& catalogue) {
  std::set<std::string> hashes;
  for (const Key& key : catalogue.m_keys) {
    const std::string where = absl::StrCat("key \"", key.m_name.Value(), "\"");
    if (FindTeam(catalogue, key.m_team) == nullptr) {
      return Invalid(
          absl::StrCat(where, ": no team \"", key.m_team.Value(), "\""));
    }
    if (!IsSha256Hex(key.m_hash) || !hashes.insert(key.m_hash).second) {
      return Invalid(where + ": expected a hash of its own, 64 hex digits");
    }
  }
  for (const Operator& op : catalogue.m_operators) {
    // A hash that a team and an operator share would let a team administer.
    if (!IsSha256Hex(op.m_hash) || !hashes.insert(op.m_hash).second) {
      return Invalid(absl::StrCat("operator \"", op.m_name.Value(),
                                  "\": expected a hash of its own, 64 hex "
                                  "digits"));
    }
  }
  return absl::OkStatus();
}

absl::Status CheckBlackout(const Blackout& blackout, const std::string& where) {
  const bool minutes_ok =
      blackout.m_start_minute >= 0 && blackout.m_start_minute < 1440 &&
      blackout.m_end_minute >= 0 && blackout.m_end_minute <= 1440;
  const bool days_ok = blackout.m_first_day >= 1 && blackout.m_last_day <= 31 &&
                       blackout.m_first_day <= blackout.m_last_day;
  if (!minutes_ok || !days_ok) {
    return Invalid(where +
                   ": expected a blackout of minutes 0 to 1440 and "
                   "days 1 to 31");
  }
  return absl::OkStatus();
}

absl::Status CheckEntries(const Catalogue& catalogue) {
  for (const CatalogueEntry& entry : catalogue.m_entries) {
    const std::string where =
        absl::StrCat("entry \"", entry.m_name.Value(), "\"");
    if (FindTeam(catalogue, entry.m_owner) == nullptr) {
      return Invalid(
          absl::StrCat(where, ": no team \"", entry.m_owner.Value(), "\""));
    }
    if (FindPool(catalogue, entry.m_pool) == nullptr) {
      return Invalid(
          absl::StrCat(where, ": no pool \"", entry.m_pool.Value(), "\""));
    }
    for (const std::string& team : entry.m_allowed_teams) {
      if (FindTeam(catalogue, TeamName(team)) == nullptr) {
        return Invalid(absl::StrCat(where, ": no team \"", team, "\""));
      }
    }
    if (entry.m_resources.m_slots.Count() < 1 ||
        entry.m_resources.m_memory.Count() < 0 ||
        entry.m_resources.m_accelerators.Count() < 0) {
      return Invalid(where +
                     ": expected at least one slot and no negative "
                     "resource");
    }
    if (entry.m_run_time <= Duration(0) ||
        entry.m_max_deadline <= Duration(0) || entry.m_max_queue < 1) {
      return Invalid(where + ": expected run time, deadline and queue above 0");
    }
    for (const Blackout& blackout : entry.m_blackouts) {
      FS_RETURN_IF_ERROR(CheckBlackout(blackout, where));
    }
  }
  return absl::OkStatus();
}

absl::Status CheckObjectives(const Catalogue& catalogue) {
  for (const Objective& objective : catalogue.m_objectives) {
    if (FindWorkspace(catalogue, objective.m_workspace) == nullptr) {
      return Invalid(absl::StrCat("objective: no workspace \"",
                                  objective.m_workspace.Value(), "\""));
    }
    if (!(objective.m_target > 0 && objective.m_target < 1) ||
        objective.m_latency <= Duration(0)) {
      return Invalid(
          "objective: expected a target between 0 and 1 and a "
          "latency above 0");
    }
  }
  return absl::OkStatus();
}

}  // namespace

absl::Status Validate(const Catalogue& catalogue) {
  FS_RETURN_IF_ERROR(
      CheckNames(catalogue.m_workspaces, "workspace", kMaxTeams));
  FS_RETURN_IF_ERROR(CheckNames(catalogue.m_teams, "team", kMaxTeams));
  FS_RETURN_IF_ERROR(CheckNames(catalogue.m_keys, "key", kMaxKeys));
  FS_RETURN_IF_ERROR(CheckNames(catalogue.m_operators, "operator", kMaxTeams));
  FS_RETURN_IF_ERROR(CheckNames(catalogue.m_entries, "entry", kMaxEntries));
  FS_RETURN_IF_ERROR(CheckNames(catalogue.m_pools, "pool", kMaxPools));
  FS_RETURN_IF_ERROR(CheckTeams(catalogue));
  FS_RETURN_IF_ERROR(CheckKeys(catalogue));
  FS_RETURN_IF_ERROR(CheckEntries(catalogue));
  return CheckObjectives(catalogue);
}

}  // namespace filbertspar
