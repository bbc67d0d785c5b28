#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <variant>
#include <vector>

#include "filbertspar/catalogue/catalogue.h"
#include "filbertspar/grant/src/row.h"

namespace filbertspar {

/// \brief A round reads the changed rows and writes at most once.
inline constexpr Duration kGrantRoundInterval = Seconds(1);
/// \brief Units idle for this long are returned, half of them at a time.
inline constexpr Duration kIdleReleaseTime = Seconds(5);
/// \brief Longest task lease (10 s) and a margin (5 s): the tasks of a lost
/// holder have stopped after this time.
inline constexpr Duration kReclaimDelay = Seconds(15);
/// \brief As kReclaimDelay for a holder that this node has never seen alive.
/// It may be so new that the lagging VM list does not show it yet.
inline constexpr Duration kUnseenReclaimDelay = Seconds(120);
/// \brief A peer's demand counts for this long after its last summary.
inline constexpr Duration kPeerDemandTtl = Seconds(5);
inline constexpr std::int64_t kMaxGrantChanges = 1000;
/// \brief Holders watched; more are not reclaimed before there is room.
inline constexpr std::size_t kMaxTrackedHolders = 4096;

using GrantWriteId = Id<struct GrantWriteTag>;

/// \brief Read the changes of table `grant` after a sequence, at most
/// kMaxGrantChanges rows; the answer goes to HandleGrantChanges.
struct ReadGrantChanges {
  std::uint64_t m_since = 0;
};

/// \brief Send this row write, batched with the others of the round; every
/// report goes to HandleGrantWriteOutcome.
struct WriteGrant {
  GrantWriteId m_write;
  TeamName m_team;
  RowWrite m_row;
};

using GrantEffect = std::variant<ReadGrantChanges, WriteGrant>;
using GrantEffects = std::vector<GrantEffect>;

namespace internal {

struct PendingGrantWrite {
  GrantWriteId m_id;
  RowVersion m_expect;
  GrantRow m_row;
};

struct PeerDemand {
  std::int64_t m_units = 0;
  /// Whether the peer has waiting work and no free unit.
  bool m_lacks_units = false;
  TimePoint m_received_at{};
};

struct TeamGrant {
  /// From the configuration in force here.
  std::int64_t m_ceiling = 0;
  ConfigVersion m_config_version;
  RowVersion m_version;
  GrantRow m_row;
  /// Own and all units of the row.
  std::int64_t m_held = 0;
  std::int64_t m_total_held = 0;
  std::optional<PendingGrantWrite> m_pending;
  std::int64_t m_in_use = 0;
  std::int64_t m_demand = 0;
  /// Largest demand or use since the idle window began.
  std::int64_t m_peak_demand = 0;
  TimePoint m_idle_window_start{};
  /// Amount above which no unit is started, since others lack units.
  std::optional<std::int64_t> m_use_limit;
  /// Rounds in a row in which this node held more than its part.
  int m_rounds_over_share = 0;
  std::map<NodeName, PeerDemand> m_peers;
};

struct HolderStatus {
  bool m_seen = false;
  /// Since when the list has lacked it, or a newer incarnation is known.
  std::optional<TimePoint> m_gone_since;
  /// A newer incarnation is known; no sighting undoes that.
  bool m_replaced = false;
};

}  // namespace internal

/// \brief State of one process's grants.
struct Grants {
  NodeName m_self;
  /// Reclaims units of lost holders also when it does not need them (planner).
  bool m_reclaims_always = false;
  Rng m_rng{0};
  TimePoint m_next_round{};
  std::uint64_t m_sequence = 0;
  std::uint64_t m_last_write_id = 0;
  std::map<TeamName, internal::TeamGrant> m_teams;
  std::map<NodeName, internal::HolderStatus> m_holder_status;
  /// Newest incarnation known of each VM.
  std::map<VmName, std::uint64_t> m_incarnations;
};

/// \brief Grants of a new process: it holds nothing, whatever an earlier
/// incarnation on the same VM held.
Grants MakeGrants(const NodeName& self, std::uint64_t seed, TimePoint now);

/// \brief Takes over the ceilings of the configuration in force.
void UpdateCeilings(Grants& grants, const Catalogue& catalogue);

/// \brief Units of the team that this process may have in use.
std::int64_t UsableUnits(const Grants& grants, const TeamName& team);
/// \brief Usable units that are not in use; 0 when more are in use.
std::int64_t FreeUnits(const Grants& grants, const TeamName& team);
/// \brief Takes a free unit for a task about to start; false when there is
/// none. A task keeps its unit until its end is known or its lease has lapsed.
bool AcquireGrantUnit(Grants& grants, const TeamName& team);
void ReleaseGrantUnit(Grants& grants, const TeamName& team);

/// \brief Units that the team could use here: running and waiting.
void SetDemand(Grants& grants, const TeamName& team, std::int64_t units);
/// \brief A peer's summary of use: running, waiting and free units.
void UpdatePeerDemand(Grants& grants, TimePoint now, const NodeName& peer,
                      const TeamName& team, std::int64_t running,
                      std::int64_t waiting, std::int64_t free);

/// \brief A heartbeat of that very process was received or relayed.
void RecordHolderHeartbeat(Grants& grants, TimePoint now,
                           const NodeName& holder);
/// \brief The platform's list, as read just now.
void HandleVmList(Grants& grants, TimePoint now, const VmList& list);

void Tick(Grants& grants, TimePoint now, GrantEffects& effects);
TimePoint NextTick(const Grants& grants);

/// \brief Answer of ReadGrantChanges; without kOk the round is left out.
void HandleGrantChanges(Grants& grants, TimePoint now, Code code,
                        const ChangeList& changes, GrantEffects& effects);
/// \brief Report of WriteGrant. `version` is that of the row when committed.
void HandleGrantWriteOutcome(Grants& grants, TimePoint now,
                             const TeamName& team, GrantWriteId write,
                             WriteOutcome outcome, RowVersion version);

namespace internal {

/// The ceiling that counts: that of the newer configuration.
std::int64_t EffectiveCeiling(const TeamGrant& team);
/// Whether a holder's tasks have stopped for certain.
bool IsReclaimable(const Grants& grants, TimePoint now, const NodeName& holder);
/// The row that this node wants to write for the team, if any.
std::optional<GrantRow> PlanTeam(const Grants& grants, TimePoint now,
                                 TeamGrant& team);
void TrackHolders(Grants& grants, TimePoint now, const GrantRow& row);

}  // namespace internal

}  // namespace filbertspar
