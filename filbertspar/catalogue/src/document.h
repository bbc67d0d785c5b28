#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "filbertspar/base/base.h"

namespace filbertspar {

/// \brief Class of work; the order is the order of service within a team.
enum class WorkClass : std::uint8_t { kUrgent, kStandard, kOvernight };
inline constexpr int kWorkClasses = 3;

/// \brief What an operator's key may do; each role includes the ones before.
enum class Role : std::uint8_t { kViewer, kFleet, kAdmin };

/// \brief A customer organisation's space.
struct Workspace {
  WorkspaceName m_name;
  /// Age of the configuration above which new keyed work is refused.
  Duration m_freshness_bound = Seconds(4);
};

/// \brief A submitter of work.
struct Team {
  TeamName m_name;
  WorkspaceName m_workspace;
  /// Share of the fleet when it is full, relative to the other teams.
  double m_weight = 1.0;
  /// Largest number of tasks running across the fleet.
  std::int64_t m_ceiling = 0;
};

/// \brief A team's credential; only its hash is kept.
struct Key {
  KeyName m_name;
  TeamName m_team;
  /// Lower-case hexadecimal SHA-256 of the key.
  std::string m_hash;
  /// A revoked key stays in the document, so that its use is told apart from
  /// that of an unknown key.
  bool m_revoked = false;
};

/// \brief An operator's credential; only its hash is kept.
struct Operator {
  OperatorName m_name;
  Role m_role = Role::kViewer;
  std::string m_hash;
};

/// \brief Daily span in which no VM that serves an entry is drained.
struct Blackout {
  std::int64_t m_start_minute = 0;
  std::int64_t m_end_minute = 0;
  /// First and last day of the month; 1 to 31 is every day.
  std::int64_t m_first_day = 1;
  std::int64_t m_last_day = 31;
};

/// \brief A kind of work that callers may submit.
struct CatalogueEntry {
  EntryName m_name;
  TeamName m_owner;
  /// Teams besides the owner that may submit.
  std::vector<std::string> m_allowed_teams;
  WorkClass m_class = WorkClass::kStandard;
  PoolName m_pool;
  Resources m_resources;
  /// Declared run time.
  Duration m_run_time = Milliseconds(100);
  Duration m_max_deadline = Seconds(30);
  /// Largest number waiting per team at one entry VM.
  std::int64_t m_max_queue = 1000;
  bool m_repeatable = true;
  bool m_checkpointable = false;
  /// Open to callers without a key; charged to the owner.
  bool m_open = false;
  bool m_withdrawn = false;
  /// Smallest number of workers of the pool that must stay available.
  std::int64_t m_min_available = 0;
  std::vector<Blackout> m_blackouts;
};

/// \brief A set of VMs that serve the same entries.
struct Pool {
  PoolName m_name;
  /// Largest number of VMs out of service, planned stops and failures together.
  std::int64_t m_max_out = 1;
  std::int64_t m_min_size = 1;
};

/// \brief Service-level objective of a workspace and class.
struct Objective {
  WorkspaceName m_workspace;
  WorkClass m_class = WorkClass::kStandard;
  /// Share of requests that must be good, below 1.
  double m_target = 0.999;
  /// A request is good when it is answered within this time.
  Duration m_latency = Milliseconds(1300);
};

/// \brief What the deployment weighs when capacity decisions conflict.
struct Weights {
  double m_buffer = 1.0;
  double m_moves = 1.0;
  double m_rollout = 1.0;
  double m_nearness = 1.0;
};

/// \brief Limits of VMs out of service per failure domain.
struct DomainBudgets {
  std::int64_t m_rack_max_out = 1;
  std::int64_t m_zone_max_out = 2;
};

/// \brief The configuration document of one version.
struct Catalogue {
  ConfigVersion m_version;
  std::vector<Workspace> m_workspaces;
  std::vector<Team> m_teams;
  std::vector<Key> m_keys;
  std::vector<Operator> m_operators;
  std::vector<CatalogueEntry> m_entries;
  std::vector<Pool> m_pools;
  std::vector<Objective> m_objectives;
  Weights m_weights;
  DomainBudgets m_domains;
};

std::string_view ToString(WorkClass work_class);
std::optional<WorkClass> WorkClassFromString(std::string_view text);
std::string_view ToString(Role role);
std::optional<Role> RoleFromString(std::string_view text);

/// \brief The item of a name, or null.
const Team* FindTeam(const Catalogue& catalogue, const TeamName& name);
const Workspace* FindWorkspace(const Catalogue& catalogue,
                               const WorkspaceName& name);
const CatalogueEntry* FindEntry(const Catalogue& catalogue,
                                const EntryName& name);
const Pool* FindPool(const Catalogue& catalogue, const PoolName& name);

}  // namespace filbertspar
