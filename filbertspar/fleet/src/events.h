#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "filbertspar/fleet/src/rows.h"

namespace filbertspar {

/// \brief One row of a change list; no row means that it was deleted.
template <typename Row>
struct RowRead {
  std::string m_key = {};
  RowVersion m_version = {};
  std::optional<Row> m_row = {};
};

/// \brief Changes of the three tables. The shell reads `budget` to its end
/// before it starts to read `vm`; CorrectBudgets depends on that order.
struct RowsRead {
  std::vector<RowRead<BudgetRow>> m_budgets;
  std::vector<RowRead<VmRow>> m_vms;
  std::vector<RowRead<WaveRow>> m_waves;
};

/// \brief What became of a WriteRows effect.
enum class WriteResult : std::uint8_t {
  /// Took effect, also when that was found by reading the rows back.
  kCommitted,
  /// Certainly took no effect: conflict, store down, rate budget spent.
  kNotWritten,
};

/// \brief The shell reports each write once it is settled, never before.
struct FleetWriteReport {
  std::uint64_t m_id = 0;
  WriteResult m_result = WriteResult::kNotWritten;
  /// New versions when committed, in the order vms, budgets, waves.
  std::vector<RowVersion> m_versions = {};
};

/// \brief A task that runs on a worker.
struct RunningTask {
  std::string m_attempt = {};
  EntryName m_entry = {};
  Duration m_running_for{0};
};

/// \brief State of a worker as the worker itself reports it, not from a source
/// that lags.
struct WorkerReport {
  VmName m_vm = {};
  /// When the question was sent.
  TimePoint m_asked = {};
  /// False when the worker did not answer within the shell's bound; the other
  /// members are then meaningless.
  bool m_reachable = false;
  bool m_healthy = false;
  bool m_cordoned = false;
  /// Differs after every start of the worker's VM.
  std::string m_boot = {};
  std::int64_t m_running = 0;
  std::vector<RunningTask> m_tasks = {};
};

/// \brief Line of the platform's VM list, which lags.
struct FleetListedVm {
  VmName m_name = {};
  std::string m_address = {};
  bool m_leaving = false;
};

/// \brief Slots that a pool's running and waiting work asks for.
struct PoolLoad {
  PoolName m_pool = {};
  std::int64_t m_slots = 0;
};

/// \brief A VM should go from one pool to another; the planner picks it.
struct MoveRequest {
  PoolName m_from = {};
  PoolName m_to = {};
};

}  // namespace filbertspar
