#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "filbertspar/fleetview/src/worker.h"

namespace filbertspar {

/// \brief State of a VM as the platform reports it.
enum class VmStatus : std::uint8_t { kUp, kMoving, kUpkeep, kDown };

/// \brief A VM of the fleet as the platform lists it. The list is eventually
/// consistent.
struct VmRecord {
  VmName m_name;
  PoolName m_pool;
  VmStatus m_state = VmStatus::kDown;
  ZoneName m_zone;
  RackName m_rack;
  std::vector<LabelName> m_labels;
  ResourceVector m_capacity;
  /// Worker that runs on the VM; empty when there is none.
  WorkerName m_worker;
};

/// \brief A reading of the whole list of VMs.
struct VmList {
  TimePoint m_requested_at{};
  std::vector<VmRecord> m_vms;
  /// VMs that are listed with an entry that is invalid otherwise.
  std::vector<VmName> m_invalid_vms;
  /// Number of entries that do not even show which VM they describe.
  std::size_t m_nameless_count = 0;
};

/// \brief Operators' request to perform upkeep on a set of VMs within a time.
struct UpkeepWave {
  std::uint64_t m_number = 0;
  std::vector<VmName> m_vms;
  /// Time within which the wave should complete.
  Duration m_duration{0};
  /// Maximum number of its VMs that may be down at the same time.
  std::uint32_t m_max_down = 1;

  friend bool operator==(const UpkeepWave&, const UpkeepWave&) = default;
};

/// \brief Result of an order to move a VM to another pool or to take it down
/// for upkeep. Logs and metrics show it as a number, so the order of the
/// values must not change.
enum class VmOrderResult : std::uint8_t {
  kAccepted,
  /// The fencing number of the order is out of date.
  kFenced,
  /// The VM is not up, or is already being moved or taken down.
  kBusy,
  /// The VM is not part of the wave.
  kNotInWave,
  kMalformed,
  /// Not executed: rate limit exceeded, or the service is unavailable.
  kTryLater,
  /// No usable response; the order may have taken effect.
  kUnknown,
};

}  // namespace filbertspar
