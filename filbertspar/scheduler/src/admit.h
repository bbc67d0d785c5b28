#pragma once

#include "filbertspar/scheduler/src/load.h"
#include "filbertspar/scheduler/src/state.h"

namespace filbertspar::scheduler {

/// \brief Whether a job is taken in; when not, after which time a repeat has a
/// better chance.
struct Admission {
  Code m_code = Code::kOk;
  Duration m_retry_after{0};
  /// Whether the job is beyond its workspace's share.
  bool m_is_over_share = false;
  /// Estimates that decided, for the log.
  Duration m_expected_wait{0};
  Duration m_expected_critical_path{0};
};

/// \brief Refuses a job that cannot end in useful time behind the work ahead,
/// which `use` of its pool tells.
Admission Admit(const Scheduler& scheduler, TimePoint now, const JobSpec& spec,
                const PoolWorkload& use);

/// \brief Time by which a job should end to be of full use to its caller.
TimePoint ObjectiveOf(const Scheduler& scheduler, const Job& job);

/// \brief Estimate of the time from now to the job's end when all its tasks
/// find room at once.
Duration RemainingCriticalPath(const Scheduler& scheduler, TimePoint now,
                               const Job& job);

/// \brief Time that a job can wait and still meet its objective, as far as run
/// times keep to the estimates; below 0 when it will be late.
Duration SlackOf(const Scheduler& scheduler, TimePoint now, const Job& job,
                 TimePoint objective);

/// \brief Learned run time over estimate of a queue.
double RunTimeRatio(const Scheduler& scheduler, const QueueName& queue);

}  // namespace filbertspar::scheduler
