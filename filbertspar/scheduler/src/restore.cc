#include "filbertspar/scheduler/src/restore.h"

#include <algorithm>
#include <utility>

#include "filbertspar/scheduler/src/jobs.h"
#include "filbertspar/scheduler/src/unanswered.h"

namespace filbertspar::scheduler {
namespace {

template <typename Row>
bool IsUnreadable(const std::optional<absl::StatusOr<Row>>& row) {
  return row && !row->ok();
}

/// Allowance for clock error and late delivery, added to the last lease granted
/// by the previous owner.
constexpr Duration kInheritedLeaseMargin = Milliseconds(500);
/// Covers the first poll of every worker, after which workers reject orders of
/// the previous owner.
constexpr Duration kFirstPollTime = Seconds(1);

}  // namespace

void InheritOrders(Scheduler& scheduler, TimePoint now,
                   TimePoint previous_orders_until, Duration stop_time) {
  Options& options = scheduler.m_options;
  // A start grants a lease for its window.
  const Duration lease = std::max(options.m_lease, options.m_start_window);
  options.m_inherited_leases_until =
      previous_orders_until + lease * 21 / 20 + kInheritedLeaseMargin;
  options.m_inherited_doubt_until =
      previous_orders_until + kMaxCallDelay + MaxLeaseTime(scheduler);
  options.m_disruption_allowed_from =
      std::max(now + kFirstPollTime, previous_orders_until) + stop_time;
}

void RestoreStoredJob(Scheduler& scheduler, TimePoint now, StoredJob stored) {
  const bool has_spec = stored.m_spec && stored.m_spec->ok();
  const bool has_progress = stored.m_progress && stored.m_progress->ok();
  if (has_spec && !IsUnreadable(stored.m_progress)) {
    RestoreJob(scheduler, now, **std::move(stored.m_spec),
               has_progress ? **stored.m_progress : JobProgress());
  } else if (has_progress && IsFinal((*stored.m_progress)->m_state)) {
    RestoreFinalJob(scheduler, now, stored.m_id, **stored.m_progress);
  } else {
    scheduler.m_unreadable_jobs.insert(stored.m_id);
  }
}

}  // namespace filbertspar::scheduler
