#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "filbertspar/fleetview/fleetview.h"

namespace filbertspar::upkeep {

enum class Phase : std::uint8_t {
  /// Due; nothing done yet.
  kPending,
  /// Gets no new task; running ones end or move.
  kDraining,
  /// Ordered; the answer has not come or was lost.
  kOrdered,
  /// Down for its upkeep.
  kDown,
  kDone,
};

/// \brief One VM in one wave.
struct VmProgress {
  Phase m_phase = Phase::kPending;
  TimePoint m_since{};
  /// An order about it is under way.
  bool m_order_in_flight = false;
};

struct Wave {
  UpkeepWave m_spec;
  TimePoint m_started_at{};
  std::map<VmName, VmProgress> m_vms;
  bool m_completed = false;
  /// Status last stored for operators.
  bool m_running_stored = false;
  bool m_completed_stored = false;
};

/// \brief What the planner knows of one VM besides its record.
struct VmLoad {
  /// Nothing runs on it, for certain: its worker was looked at, or leases that
  /// might have been given have run out.
  bool m_is_empty = false;
  std::size_t m_long_running = 0;
  double m_used_share = 0;
};

struct State {
  std::map<std::uint64_t, Wave> m_waves;
  std::map<VmName, VmRecord> m_vms;
  /// When the list that holds the records was asked for.
  TimePoint m_list_requested_at = TimePoint::min();
  /// Missing from the list since then.
  std::map<VmName, TimePoint> m_missing_since;
};

/// \brief Text of a wave's VMs that are done, for its row.
std::string EncodeDoneVms(const Wave& wave);
absl::StatusOr<std::vector<VmName>> DecodeDoneVms(std::string_view text);

/// \brief Text of when each VM was last ordered about, in milliseconds of the
/// store's clock.
std::string EncodeOrderTimes(const std::map<VmName, std::int64_t>& orders);
absl::StatusOr<std::map<VmName, std::int64_t>> DecodeOrderTimes(
    std::string_view text);

}  // namespace filbertspar::upkeep
