#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "filbertspar/fleetview/src/worker.h"

namespace filbertspar {

enum class VmStatus : std::uint8_t { kUp, kMoving, kUpkeep, kDown };

/// \brief A VM of the fleet as the platform lists it; the list lags.
struct VmRecord {
  VmName m_name;
  PoolName m_pool;
  VmStatus m_state = VmStatus::kDown;
  ZoneName m_zone;
  RackName m_rack;
  std::vector<LabelName> m_labels;
  ResourceVector m_capacity;
  /// Worker that runs on it; empty when there is none.
  WorkerName m_worker;
};

/// \brief Operators' request that VMs have their upkeep in time.
struct UpkeepWave {
  std::uint64_t m_number = 0;
  std::vector<VmName> m_vms;
  Duration m_duration{0};
  /// Most VMs down for it at a time.
  std::uint32_t m_max_down = 1;

  friend bool operator==(const UpkeepWave&, const UpkeepWave&) = default;
};

/// \brief Answer to an order to move a VM or to take it down.
enum class VmOrderResult : std::uint8_t {
  kAccepted,
  kFenced,
  /// Not up, or leaving.
  kBusy,
  kNotInWave,
  kMalformed,
  /// Refused for the rate, or the service is away; nothing was done.
  kTryLater,
  kUnknown,
};

}  // namespace filbertspar
