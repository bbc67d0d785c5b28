#pragma once

#include "filbertspar/scheduler/src/load.h"
#include "filbertspar/scheduler/src/state.h"

namespace filbertspar::scheduler {

/// \brief Whether a job is accepted; if not, when a retry is more likely to be.
struct Admission {
  Code m_code = Code::kOk;
  Duration m_retry_after{0};
  bool m_is_over_share = false;
  /// Estimates behind the decision, for the log.
  Duration m_expected_wait{0};
  Duration m_expected_critical_path{0};
};

/// \brief Refuses a job with kDeadlineTooShort when the work ahead of it, taken
/// from its pool's `workload`, would make it end too late to be useful.
Admission Admit(const Scheduler& scheduler, TimePoint now, const JobSpec& spec,
                const PoolWorkload& workload);

/// \brief Time by which a job should end: acceptance plus the queue's stretch
/// times the job's critical path, with estimates scaled by the learned ratio,
/// plus the queue's target.
TimePoint ObjectiveOf(const Scheduler& scheduler, const Job& job);

/// \brief Estimated time until the end of one open occurrence, or of all of
/// them, if every remaining task starts as soon as the steps it depends on are
/// done.
Duration RemainingCriticalPath(const Scheduler& scheduler, TimePoint now,
                               const Job& job, const Occurrence& occurrence);
Duration RemainingCriticalPath(const Scheduler& scheduler, TimePoint now,
                               const Job& job);

/// \brief Learned ratio of run time to estimate for a queue; 1 when nothing is
/// known.
double RunTimeRatio(const Scheduler& scheduler, const QueueName& queue);

}  // namespace filbertspar::scheduler
