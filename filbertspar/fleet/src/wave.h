#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "filbertspar/fleet/src/drain.h"
#include "filbertspar/fleet/src/effects.h"
#include "filbertspar/fleet/src/rollout_order.h"

namespace filbertspar {

/// \brief True when the wave has to maintain the VM.
bool IsPending(const WaveRow& wave, const VmRow& vm);

/// \brief VMs and budgets of the view as a problem over `pending`. Capacities
/// leave out what has failed and what is held.
RolloutProblem ProblemOf(const FleetView& view,
                         const std::vector<const VmRow*>& pending);

/// \brief When the last of the pending VMs is expected back in service;
/// nothing when a budget or a blackout never lets one of them out.
///
/// Per budget the work left is divided by its capacity; the work of a pool is
/// laid between the blackouts of the pool. The latest of these ends counts.
std::optional<std::int64_t> EstimateEnd(
    const FleetView& view, const Catalogue& catalogue,
    const std::vector<const VmRow*>& pending, TimePoint now, Duration expected);

/// \brief One line of a dry run.
struct PlannedDrain {
  VmName m_vm = {};
  /// Expected start, milliseconds of UTC; nothing when it can never start.
  std::optional<std::int64_t> m_start_ms = {};
};

/// \brief What a wave would do.
struct PlannedWave {
  std::vector<PlannedDrain> m_drains = {};
  /// What stops VMs of the wave at this moment.
  std::vector<Blocker> m_blockers = {};
  std::optional<std::int64_t> m_end_ms = {};
};

/// \brief Dry run of a wave: order, start times, end and what stops it now.
/// `expected` is the time out of service of one VM.
PlannedWave ExplainWave(const FleetView& view, const Catalogue& catalogue,
                        TimePoint now, const WaveRow& wave, Duration expected);

/// \brief Budgets before and after a drain or a move.
struct BudgetChange {
  std::string m_budget = {};
  BudgetRow m_before;
  BudgetRow m_after;
};

/// \brief What a drain or a move would change, or what stops it.
struct Explanation {
  std::vector<Blocker> m_blockers = {};
  /// Budgets as they would be while the VM is out.
  std::vector<BudgetChange> m_while_out = {};
  /// For a move: budgets as they would be after it, against now.
  std::vector<BudgetChange> m_after = {};

  bool Allowed() const { return m_blockers.empty(); }
};

/// \brief Dry run of one drain or move; writes nothing.
Explanation ExplainDrain(const FleetView& view, const Catalogue& catalogue,
                         TimePoint now, const DrainRequest& request);

/// \brief Adds a blocker unless it is there or the list is full.
void AddBlocker(std::vector<Blocker>& blockers, Blocker blocker);

}  // namespace filbertspar
