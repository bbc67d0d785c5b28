#pragma once

#include "filbertspar/scheduler/src/state.h"

namespace filbertspar::scheduler {

/// \brief Whether a workspace has used up its current share of jobs.
///
/// Keeps one workspace that submits far more than usual from delaying the
/// others: jobs beyond its share run after the jobs within shares. While the
/// pool has capacity for all, no job waits because of its share.
bool IsOverShare(const Scheduler& scheduler, TimePoint now,
                 const WorkspaceName& workspace);

/// \brief Counts an accepted job against its workspace's share; returns false
/// when the job is beyond the share.
bool ConsumeShare(Scheduler& scheduler, TimePoint now,
                  const WorkspaceName& workspace);

}  // namespace filbertspar::scheduler
