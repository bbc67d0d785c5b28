#pragma once

#include <vector>

#include "filbertspar/scheduler/src/state.h"

namespace filbertspar::scheduler {

/// \brief Starts what can be started now, in the order that serves callers
/// best, and adjusts the pace of tasks that fill.
///
/// Answers the load in which each queue in turn asks for several times what
/// its pool holds: jobs that can still meet their objective go first, by
/// priority and then by the time that is left to them.
void Dispatch(Scheduler& scheduler, TimePoint now);

/// \brief Steps for which approvals are needed, with the workers to ask about.
struct RecommendationRequest {
  TaskId m_first_task;
  std::vector<WorkerName> m_workers;
};
std::vector<RecommendationRequest> CollectRecommendationRequests(
    Scheduler& scheduler, TimePoint now);
void HandleRecommendation(Scheduler& scheduler, TimePoint now,
                          const TaskId& task, const Recommendation* advice);

}  // namespace filbertspar::scheduler
