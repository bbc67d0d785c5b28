#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "filbertspar/catalogue/catalogue.h"
#include "filbertspar/fleet/src/drain.h"
#include "filbertspar/fleet/src/effects.h"
#include "filbertspar/fleet/src/events.h"

namespace filbertspar {

/// \brief Bounds of the planner.
struct PlannerSettings {
  /// A worker that does not confirm its cordon is returned to service.
  Duration m_cordon_bound = Seconds(30);
  /// A drain with work left is given up; work is not cut off.
  Duration m_drain_bound = std::chrono::minutes(30);
  /// A VM whose drain was given up is left alone for this long.
  Duration m_drain_pause = std::chrono::minutes(5);
  Duration m_reboot_bound = std::chrono::minutes(10);
  Duration m_verify_bound = std::chrono::minutes(5);
  /// Silence of a worker after which its VM is written as failed.
  Duration m_dead_after = Seconds(10);
  /// The same when most of its zone is silent, which may be a cut between the
  /// planner and the zone; entries of other zones may still reach it.
  Duration m_zone_dead_after = Seconds(60);
  /// A failed VM has to be healthy for this long before it is verified.
  Duration m_recover_after = Seconds(10);
  /// No drain is admitted for this long after a burst of failures, because
  /// more VMs of the same rack or switch may not have been seen as failed yet.
  Duration m_settle_after_burst = Seconds(30);
  std::int64_t m_burst = 3;
  /// Time between recounts of the budgets from the vm rows.
  Duration m_recount_every = Seconds(10);
  /// Every VM is maintained once per cycle; planning starts `lead` before a VM
  /// is due and ignores load when less than `urgent` is left.
  Duration m_cycle = std::chrono::hours(28 * 24);
  Duration m_lead = std::chrono::hours(7 * 24);
  Duration m_urgent = std::chrono::hours(24);
  /// Expected time out of service until maintenances were observed.
  Duration m_expected = std::chrono::minutes(5);
  /// A call to a worker or the platform is repeated after this time.
  Duration m_call_retry = Seconds(5);
  /// A cordon or reboot call takes no effect after this time, and a VM is
  /// verified for at least as long.
  Duration m_call_validity = Seconds(5);
  /// The row of a failed VM that left the platform's list is deleted.
  Duration m_forget_after = std::chrono::hours(1);
  std::size_t m_max_write_rows = 50;
  /// Keeps the planner's own traffic within 3 KB/s at 250 bytes a probe.
  std::size_t m_probes_per_tick = 12;
  bool m_maintain_cycle = true;
};

/// \brief What the planner knows of a worker, lost with the planner.
struct VmWatch {
  WorkerReport m_last;
  std::optional<TimePoint> m_silent_since;
  int m_silent_reports = 0;
  std::optional<TimePoint> m_healthy_since;
  std::optional<TimePoint> m_called;
  std::optional<TimePoint> m_probed;
  /// When the last probe was sent, answered or not.
  TimePoint m_last_probe;
  /// No drain of the planner before this time.
  TimePoint m_not_before;
  /// When the worker's boot was first seen to differ from the one before.
  std::optional<TimePoint> m_boot_changed;
  std::optional<TimePoint> m_unlisted_since;
  /// Epoch of the row and when this planner first saw it. Reports are compared
  /// with this reading of the planner's own clock, because the row's times come
  /// from the clock of whoever wrote it.
  std::int64_t m_epoch = -1;
  TimePoint m_epoch_seen;
};

/// \brief State of the planner. It holds nothing that cannot be read again: a
/// planner that takes over starts with an empty one, reads the tables and goes
/// on from the rows.
struct Planner {
  PlannerSettings m_settings;
  std::shared_ptr<const Catalogue> m_catalogue;
  FleetView m_view;
  /// References to a watch stay valid while others are added.
  std::unordered_map<VmName, VmWatch> m_watches;
  std::map<std::uint64_t, WriteRows> m_in_flight;
  LockedRows m_locked;
  std::uint64_t m_next_write = 1;
  /// True when rows were read since the last recount of budgets.
  bool m_view_is_fresh = false;
  std::map<VmName, FleetListedVm> m_listed;
  std::map<PoolName, std::int64_t> m_loads;
  std::deque<MoveRequest> m_moves;
  std::map<std::string, WaveStatus> m_reported;
  /// Mean time of a maintenance, of the last ones observed.
  std::optional<Duration> m_observed;
  std::map<VmName, std::int64_t> m_admitted_ms;
  /// The same for the time from the reboot's row to the first answer.
  std::optional<Duration> m_observed_reboot;
  std::map<VmName, std::int64_t> m_rebooting_ms;
  TimePoint m_last_recount;
  VmName m_probe_cursor;
};

/// \brief Largest number of moves that wait; more are dropped.
inline constexpr std::size_t kMaxWaitingMoves = 64;

void ReadRows(Planner& planner, const RowsRead& rows);
void WriteSettled(Planner& planner, const FleetWriteReport& report);
void WorkerReported(Planner& planner, TimePoint now,
                    const WorkerReport& report);
void VmsListed(Planner& planner, TimePoint now,
               const std::vector<FleetListedVm>& vms);
void PoolLoadReported(Planner& planner, const PoolLoad& load);
void WantMove(Planner& planner, const MoveRequest& move);

/// \brief One planning round, about once a second while the lease is held.
/// `now` is UTC. The order is: recount, failures, progress of drains, roll-back
/// where budgets are broken, moves, waves, probes.
void Tick(Planner& planner, TimePoint now, FleetEffects& effects);

/// \brief Expected time out of service of one maintenance.
Duration ExpectedMaintenance(const Planner& planner);

}  // namespace filbertspar
