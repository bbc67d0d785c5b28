#pragma once

#include <vector>

#include "filbertspar/scheduler/src/state.h"

namespace filbertspar::scheduler {

/// \brief Starts all tasks that can start now, most urgent first, and throttles
/// best-effort tasks.
///
/// Addresses bursts in which the queues in turn ask for several times their
/// pool's capacity: jobs that can still meet their objective run first, by
/// priority and then by earliest objective.
void Dispatch(Scheduler& scheduler, TimePoint now);

/// \brief A step that needs approvals, and the workers to ask the
/// recommendation service about.
struct RecommendationRequest {
  /// Task 0 of the step.
  TaskId m_first_task;
  std::vector<WorkerName> m_workers;
};

/// \brief Requests that are due now; counts them as sent.
std::vector<RecommendationRequest> CollectRecommendationRequests(
    Scheduler& scheduler, TimePoint now);

/// \brief Applies the answer to a request; null when there was none that could
/// be read.
void HandleRecommendation(Scheduler& scheduler, TimePoint now,
                          const TaskId& task,
                          const Recommendation* recommendation);

}  // namespace filbertspar::scheduler
