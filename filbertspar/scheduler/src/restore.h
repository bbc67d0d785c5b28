#pragma once

#include <optional>

#include "absl/status/statusor.h"
#include "filbertspar/scheduler/src/state.h"

namespace filbertspar::scheduler {

/// \brief Rows of one job as a new owner reads them: absent, readable, or an
/// error.
struct StoredJob {
  JobId m_id;
  std::optional<absl::StatusOr<JobSpec>> m_spec;
  std::optional<absl::StatusOr<JobProgress>> m_progress;
};

/// \brief Called at the beginning of a term: previous owners may send orders
/// until `previous_orders_until`; a stop takes effect within `stop_time`. Sets
/// how long their leases, starts and stops are reckoned with.
void InheritOrders(Scheduler& scheduler, TimePoint now,
                   TimePoint previous_orders_until, Duration stop_time);

/// \brief Adds a job of the previous owners. One whose rows leave open whose it
/// is, or which of its tasks have ended, is not run; see JobMatch.
void RestoreStoredJob(Scheduler& scheduler, TimePoint now, StoredJob stored);

}  // namespace filbertspar::scheduler
