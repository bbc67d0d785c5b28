#pragma once

#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"
#include "filbertspar/base/base.h"
#include "filbertspar/json/json.h"

namespace filbertspar {

inline constexpr std::string_view kVmTable = "vm";
inline constexpr std::string_view kBudgetTable = "budget";
inline constexpr std::string_view kWaveTable = "wave";

/// \brief State of a VM; every state but kInService counts as out of service.
enum class VmState : std::uint8_t {
  kInService,
  /// Admitted to leave; the worker may still take work until it confirms.
  kCordoned,
  /// The worker takes no new work; running work ends.
  kDraining,
  kDrained,
  kRebooting,
  kVerifying,
  kFailed,
};
inline constexpr int kVmStates = 7;

/// \brief Why a VM leaves service.
enum class Purpose : std::uint8_t {
  kNone,
  /// Drain, reboot, verify.
  kMaintain,
  /// Drain, then serve the target pool.
  kMove,
  /// Stay cordoned until an operator returns it to service.
  kHold,
};

/// \brief Row `vm/NAME`. One row names one pool, so a VM is in exactly one.
/// Times are milliseconds of UTC since 1970.
struct VmRow {
  VmName m_name = {};
  /// "IP:PORT" of the worker agent.
  std::string m_address = {};
  PoolName m_pool = {};
  RackName m_rack = {};
  ZoneName m_zone = {};
  Resources m_capacity = {};
  std::int64_t m_connections = 64;
  VmState m_state = VmState::kInService;
  /// Grows with every transition; names the reboot so that it happens once.
  std::int64_t m_epoch = 0;
  std::int64_t m_last_maintained_ms = 0;
  /// When the state was entered.
  std::int64_t m_since_ms = 0;
  Purpose m_purpose = Purpose::kNone;
  /// Pool that a move leads to; empty otherwise.
  PoolName m_target_pool = {};
  /// Wave that admitted the drain, empty for none.
  std::string m_wave = {};
  /// Last move: the pool it left and when; 0 means never moved.
  PoolName m_moved_from = {};
  std::int64_t m_moved_ms = 0;
  /// Boot that the worker reported before its reboot was written; another boot
  /// shows that the reboot took place.
  std::string m_boot = {};

  friend bool operator==(const VmRow&, const VmRow&) = default;
};

/// \brief What a budget guards.
enum class BudgetKind : std::uint8_t { kPool, kRack, kZone, kEntry };

/// \brief Largest count; stands for "no limit" in a budget.
inline constexpr std::int64_t kNoLimit = 1'000'000;

/// \brief Row `budget/KIND:NAME`. It holds when at most `m_max_out` VMs are out
/// and at least `m_min_available` are in service.
struct BudgetRow {
  BudgetKind m_kind = BudgetKind::kPool;
  std::string m_name = {};
  std::int64_t m_max_out = kNoLimit;
  std::int64_t m_min_available = 0;
  /// Smallest number of VMs that a move may leave; pools only.
  std::int64_t m_min_size = 0;
  /// VMs that count in the budget, and how many of them are out or failed.
  /// Failed VMs are included in `m_out`.
  std::int64_t m_size = 0;
  std::int64_t m_out = 0;
  std::int64_t m_failed = 0;
  /// Guarded entries of a pool. Their rows change together with the pool's, so
  /// that the row of a new guard can start from the counts of its pool.
  std::vector<std::string> m_guards = {};

  friend bool operator==(const BudgetRow&, const BudgetRow&) = default;
};

/// \brief What an operator or the planner wants of a wave.
enum class WaveState : std::uint8_t { kRunning, kPaused, kStopped, kDone };

/// \brief Row `wave/NAME`: maintain every VM of a pool, or of the fleet, that
/// was not maintained since the wave started.
struct WaveRow {
  std::string m_name = {};
  /// Empty for the whole fleet.
  PoolName m_pool = {};
  OperatorName m_operator = {};
  std::int64_t m_started_ms = 0;
  WaveState m_state = WaveState::kRunning;

  friend bool operator==(const WaveRow&, const WaveRow&) = default;
};

/// \brief A row and its version in the table.
template <typename Row>
struct Versioned {
  Row m_row;
  RowVersion m_version = {};
};

std::string_view ToString(VmState state);
std::string_view ToString(Purpose purpose);
std::string_view ToString(BudgetKind kind);
std::string_view ToString(WaveState state);
std::optional<VmState> VmStateFromString(std::string_view text);

/// \brief Key of a budget row, "KIND:NAME".
std::string BudgetKey(BudgetKind kind, std::string_view name);
std::string KeyOf(const BudgetRow& row);

inline bool IsOut(const VmRow& row) {
  return row.m_state != VmState::kInService;
}

/// \brief JSON form; field names are the members' without m_, the capacity is
/// flat ("slots", "memory_mb", "accelerators").
JsonObject ToJson(const VmRow& row);
JsonObject ToJson(const BudgetRow& row);
JsonObject ToJson(const WaveRow& row);

/// \brief Strict inverse of ToJson; kBadField on an unknown or bad field.
absl::Status FromJson(const JsonObject& object, VmRow& out);
absl::Status FromJson(const JsonObject& object, BudgetRow& out);
absl::Status FromJson(const JsonObject& object, WaveRow& out);

}  // namespace filbertspar
