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

/// \brief Interval of rounds. A round reads the changed rows and writes each
/// team's row at most once.
inline constexpr Duration kGrantRoundInterval = Seconds(1);
/// \brief Half of the units that stayed idle for this long are released.
inline constexpr Duration kIdleReleaseTime = Seconds(5);
/// \brief Time after which the units of a lost holder are reclaimed. Its tasks
/// have stopped by then: longest task lease (10 s) plus a margin (5 s).
inline constexpr Duration kReclaimDelay = Seconds(15);
/// \brief As kReclaimDelay, for a holder that this node has never seen alive:
/// it may be too new to appear in the VM list, which lags.
inline constexpr Duration kUnseenReclaimDelay = Seconds(120);
/// \brief Time after a peer's last summary for which its demand is counted.
inline constexpr Duration kPeerDemandTtl = Seconds(5);
/// \brief Maximum number of rows of one ReadGrantChanges.
inline constexpr std::int64_t kMaxGrantChanges = 1000;
/// \brief Maximum number of tracked holders. Units of further holders are not
/// reclaimed until others are no longer tracked.
inline constexpr std::size_t kMaxTrackedHolders = 4096;

using GrantWriteId = Id<struct GrantWriteTag>;

/// \brief Effect: read the changes of table `grant` after a sequence number, at
/// most kMaxGrantChanges rows, and pass them to HandleGrantChanges.
struct ReadGrantChanges {
  std::uint64_t m_since = 0;
};

/// \brief Effect: write this row, batched with the others of the round, and
/// pass every report to HandleGrantWriteOutcome.
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
  /// The peer has waiting work and no free unit.
  bool m_lacks_units = false;
  TimePoint m_received_at{};
};

struct TeamGrant {
  /// From the configuration in force on this node.
  std::int64_t m_ceiling = 0;
  ConfigVersion m_config_version;
  RowVersion m_version;
  GrantRow m_row;
  /// Units of this process and of all holders, by the row.
  std::int64_t m_held = 0;
  std::int64_t m_total_held = 0;
  std::optional<PendingGrantWrite> m_pending;
  std::int64_t m_in_use = 0;
  std::int64_t m_demand = 0;
  /// Largest demand or use since m_idle_window_start.
  std::int64_t m_peak_demand = 0;
  TimePoint m_idle_window_start{};
  /// Set while peers lack units: no unit above this number is newly used.
  std::optional<std::int64_t> m_use_limit;
  /// Consecutive rounds in which this node held more than its share while
  /// peers lacked units.
  int m_rounds_over_share = 0;
  std::map<NodeName, PeerDemand> m_peers;
};

struct HolderStatus {
  bool m_seen = false;
  /// When it was first missing from the VM list, or replaced.
  std::optional<TimePoint> m_gone_since;
  /// A newer incarnation is known. Late heartbeats do not reset this.
  bool m_replaced = false;
};

}  // namespace internal

/// \brief State of one process's grants.
struct Grants {
  NodeName m_self;
  /// Reclaims units of lost holders even without own demand (planner).
  bool m_reclaims_always = false;
  Rng m_rng{0};
  TimePoint m_next_round{};
  std::uint64_t m_sequence = 0;
  std::uint64_t m_last_write_id = 0;
  std::map<TeamName, internal::TeamGrant> m_teams;
  std::map<NodeName, internal::HolderStatus> m_holder_status;
  /// Newest known incarnation of each VM.
  std::map<VmName, std::uint64_t> m_incarnations;
};

/// \brief State of a new process. It holds nothing, whatever a previous
/// incarnation on the same VM held. `seed` drives the jitter of the rounds.
Grants MakeGrants(const NodeName& self, std::uint64_t seed, TimePoint now);

/// \brief Sets the ceilings from a configuration. Older versions are ignored; a
/// team missing from a newer version gets ceiling 0.
void UpdateCeilings(Grants& grants, const Catalogue& catalogue);

/// \brief Units of the team that this process may have in use.
std::int64_t UsableUnits(const Grants& grants, const TeamName& team);
/// \brief Usable units that are not in use, at least 0.
std::int64_t FreeUnits(const Grants& grants, const TeamName& team);
/// \brief Marks a free unit as used by a task about to start; false when there
/// is none. The task keeps it until its end is known or its lease has expired.
bool AcquireGrantUnit(Grants& grants, const TeamName& team);
/// \brief Undoes one AcquireGrantUnit; asserts that a unit is in use.
void ReleaseGrantUnit(Grants& grants, const TeamName& team);

/// \brief Sets the units that the team could use on this node: running and
/// waiting tasks. An unknown team is ignored.
void SetDemand(Grants& grants, const TeamName& team, std::int64_t units);
/// \brief Records a peer's usage summary: running, waiting and free units.
void UpdatePeerDemand(Grants& grants, TimePoint now, const NodeName& peer,
                      const TeamName& team, std::int64_t running,
                      std::int64_t waiting, std::int64_t free);

/// \brief Records a heartbeat of exactly this incarnation, direct or relayed.
void RecordHolderHeartbeat(Grants& grants, TimePoint now,
                           const NodeName& holder);
/// \brief Updates the state of all holders from the platform's VM list as just
/// read.
void HandleVmList(Grants& grants, TimePoint now, const VmList& list);

/// \brief Starts a round when it is due.
void Tick(Grants& grants, TimePoint now, GrantEffects& effects);
TimePoint NextTick(const Grants& grants);

/// \brief Result of ReadGrantChanges; plans and emits the round's writes. The
/// round is skipped unless `code` is kOk.
void HandleGrantChanges(Grants& grants, TimePoint now, Code code,
                        const ChangeList& changes, GrantEffects& effects);
/// \brief Report of WriteGrant. `version` is the new row version when
/// committed.
void HandleGrantWriteOutcome(Grants& grants, TimePoint now,
                             const TeamName& team, GrantWriteId write,
                             WriteOutcome outcome, RowVersion version);

namespace internal {

/// Ceiling of the newer of the row's and this node's configuration.
std::int64_t EffectiveCeiling(const TeamGrant& team);
/// Whether a holder is lost and all its tasks have certainly stopped.
bool IsReclaimable(const Grants& grants, TimePoint now, const NodeName& holder);
/// The row that this node has to write for the team, if any.
std::optional<GrantRow> PlanTeam(const Grants& grants, TimePoint now,
                                 TeamGrant& team);
/// Starts tracking the row's holders other than this process.
void TrackHolders(Grants& grants, TimePoint now, const GrantRow& row);

}  // namespace internal

}  // namespace filbertspar
