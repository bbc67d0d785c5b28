#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "filbertspar/catalogue/catalogue.h"
#include "filbertspar/fleet/src/batch.h"
#include "filbertspar/fleet/src/lifecycle.h"
#include "filbertspar/fleet/src/view.h"

namespace filbertspar {

/// \brief A move back to the pool that a VM left is refused for this long, so
/// that VMs do not swing between pools with each surge.
inline constexpr Duration kMoveBackBound = std::chrono::minutes(10);

/// \brief What a drain is for.
struct DrainRequest {
  VmName m_vm = {};
  Purpose m_purpose = Purpose::kMaintain;
  /// Pool that a move leads to.
  PoolName m_target_pool = {};
  std::string m_wave = {};
  /// Time out of service that must fit before the next blackout.
  Duration m_expected = std::chrono::minutes(5);
};

/// \brief A change to write, or what stops it.
struct ChangePlan {
  WriteRows m_write;
  std::vector<Blocker> m_blockers = {};

  bool Allowed() const { return m_blockers.empty(); }
};

/// \brief `Error` with the first blocker's code and all texts; ok when allowed.
absl::Status ToStatus(const ChangePlan& plan);

std::int64_t UtcMilliseconds(TimePoint now);

/// \brief Reasons other than budgets that stop a drain: unknown VM, state,
/// blackout, a recent move, a target pool that does not exist.
std::vector<Blocker> DrainBlockers(const FleetView& view,
                                   const Catalogue& catalogue, TimePoint now,
                                   const DrainRequest& request);

/// \brief The row after an event, or nothing when the event is not allowed.
/// kAdmit takes purpose, target and wave of `request`; the VM name is ignored.
std::optional<VmRow> AfterEvent(const VmRow& row, TimePoint now, VmEvent event,
                                const DrainRequest& request = {});

/// \brief Starts a drain as one write over the VM row and every budget row that
/// it counts in. Lists every budget that stops it, not only the first.
ChangePlan PlanDrain(const FleetView& view, const Catalogue& catalogue,
                     TimePoint now, const DrainRequest& request);

/// \brief Gives up a drain that has not come to the reboot, or ends a hold.
ChangePlan PlanRollBack(const FleetView& view, TimePoint now, const VmName& vm);

/// \brief Adds a VM to its pool; it is verified before it serves.
ChangePlan PlanRegister(const FleetView& view, const Catalogue& catalogue,
                        TimePoint now, VmRow row);

/// \brief Puts a new VM in the place of an old one, which certainly left, with
/// the old one's pool, rack and capacity. Both are in one write, so the pool's
/// budget never counts both.
ChangePlan PlanReplace(const FleetView& view, TimePoint now, const VmName& old,
                       const VmName& name, const std::string& address);

/// \brief Deletes a failed or drained VM; budgets count one VM less.
ChangePlan PlanRemove(const FleetView& view, const VmName& vm);

}  // namespace filbertspar
