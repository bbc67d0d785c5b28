#include "filbertspar/scheduler/src/restore.h"

#include <utility>

#include "filbertspar/scheduler/src/jobs.h"

namespace filbertspar::scheduler {
namespace {

template <typename Row>
bool IsUnreadable(const std::optional<absl::StatusOr<Row>>& row) {
  return row && !row->ok();
}

}  // namespace

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
