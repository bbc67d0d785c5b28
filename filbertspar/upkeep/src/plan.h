#pragma once

#include <functional>
#include <vector>

#include "filbertspar/upkeep/src/state.h"

namespace filbertspar::upkeep {

/// \brief Takes in the operators' waves; known ones are kept.
void UpdateWaves(State& state, TimePoint now,
                 const std::map<std::uint64_t, UpkeepWave>& waves);

/// \brief VMs that a stored row shows as done.
void MarkDone(State& state, std::uint64_t wave, const std::vector<VmName>& vms);

/// \brief Takes in a list of VMs that was asked for at `asked`.
void UpdateVms(State& state, TimePoint asked, TimePoint now,
               const std::vector<VmRecord>& vms);

/// \brief Answer to an upkeep order.
void HandleOrderResult(State& state, TimePoint now, std::uint64_t wave,
                       const VmName& vm, VmOrderResult result);

/// \brief What to do now.
struct Plan {
  struct Order {
    std::uint64_t m_wave = 0;
    VmName m_vm;
  };
  std::vector<Order> m_orders;
  /// VMs whose workers get no new tasks.
  std::vector<VmName> m_draining;
  /// VMs whose upkeep is still to come.
  std::vector<VmName> m_pending;
};

/// \brief Chooses VMs to empty and orders upkeep for those that are empty, at
/// most the wave's ceiling down at a time, and at most a part of a pool.
///
/// Answers waves that meet surges: idle VMs come first, busy pools keep most
/// of their workers, and the pace rises only when the wave's time runs out.
Plan MakePlan(State& state, TimePoint now,
              const std::function<VmLoad(const VmRecord&)>& facts);

/// \brief Whether every VM of the wave that still exists has begun.
bool IsComplete(const State& state, const Wave& wave, TimePoint now);

}  // namespace filbertspar::upkeep
