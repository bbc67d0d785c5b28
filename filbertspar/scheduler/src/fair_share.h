#pragma once

#include "filbertspar/scheduler/src/state.h"

namespace filbertspar::scheduler {

/// \brief Whether a workspace has handed in its share of jobs of late.
///
/// Answers the load in which one workspace sends many times its usual: what
/// it sends beyond its share waits for the work of others, so that these keep
/// theirs. While there is room for all, nothing waits.
bool IsOverShare(const Scheduler& scheduler, TimePoint now,
                 const WorkspaceName& workspace);

/// \brief Counts an accepted job against its workspace's share; false when the
/// job is beyond it.
bool ConsumeShare(Scheduler& scheduler, TimePoint now,
                  const WorkspaceName& workspace);

}  // namespace filbertspar::scheduler
