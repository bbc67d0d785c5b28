#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "filbertspar/fleetview/fleetview.h"
#include "filbertspar/upkeep/src/state.h"

namespace filbertspar::upkeep {

/// \brief Adds new waves of the operators and updates the definition of known
/// ones, whose progress is kept.
void UpdateWaves(State& state, TimePoint now,
                 const std::map<std::uint64_t, UpkeepWave>& waves);

/// \brief Marks VMs of a wave as done, as read from the row of the wave.
void MarkDone(State& state, std::uint64_t wave, const std::vector<VmName>& vms);

/// \brief Replaces the VM records by those of a newer list.
void UpdateVms(State& state, const VmList& list);

/// \brief Records the result of an upkeep order.
void HandleOrderResult(State& state, TimePoint now, std::uint64_t wave,
                       const VmName& vm, VmOrderResult result);

/// \brief Actions to take now.
struct Plan {
  struct Order {
    std::uint64_t m_wave = 0;
    VmName m_vm;
  };
  std::vector<Order> m_orders;
  /// VMs whose workers must get no new tasks.
  std::vector<VmName> m_draining;
  /// VMs whose upkeep has not begun yet.
  std::vector<VmName> m_pending;
};

/// \brief Chooses VMs to drain and orders upkeep for the drained ones. The VMs
/// down at a time are limited by the wave, and the busy VMs that are draining
/// or down by a share of their pool.
///
/// So that waves can coincide with load surges, idle VMs come first, busy pools
/// keep most of their workers, and a larger share of a pool is drained only
/// once most of the wave's time has passed.
Plan MakePlan(State& state, TimePoint now,
              const std::function<VmLoad(const VmRecord&)>& load_of);

/// \brief Whether the upkeep of every VM of the wave has begun, except for VMs
/// that were removed and those that the platform keeps out of the wave. False
/// while the definition of the wave was not read.
bool IsComplete(const State& state, const Wave& wave);

/// \brief Numbers and names of the wave's VMs by the evidence for them, for a
/// log line.
std::string DescribeEvidence(const State& state, const Wave& wave);

/// \brief Status to store for the operators now; std::nullopt when the stored
/// one holds.
std::optional<WaveStatus> StatusToStore(const State& state, const Wave& wave);

/// \brief Write of the wave's status to its row, whose version must be known.
/// Until the response it is unknown which status the operators read.
///
/// The store may apply a write without a response seconds later. The condition
/// excludes that once a later status is stored, by this owner or the next.
StoreTransaction MakeStatusWrite(Wave& wave, const StoreKey& key,
                                 std::string value);

/// \brief Records the response to such a write.
void HandleStatusWritten(Wave& wave, WaveStatus status,
                         const StoreResponse& response);

}  // namespace filbertspar::upkeep
