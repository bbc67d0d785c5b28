#include <algorithm>

#include "filbertspar/scheduler/src/jobs.h"

namespace filbertspar::scheduler {

bool IsOfQueue(const Scheduler& scheduler, const JobSpec& spec,
               const QueueName& queue) {
  if (spec.m_queue.Empty()) {
    return false;
  }
  if (spec.m_queue == queue) {
    return true;
  }
  const DeploymentConfig* deployment = scheduler.m_deployment.get();
  return deployment == nullptr ||
         FindQueue(*deployment, spec.m_queue) == nullptr ||
         FindQueue(*deployment, queue) == nullptr;
}

bool IsOfQueue(const Scheduler& scheduler, const JobId& id,
               const QueueName& queue) {
  const auto found = scheduler.m_jobs.find(id);
  return found == scheduler.m_jobs.end() ||
         IsOfQueue(scheduler, *found->second->m_spec, queue);
}

JobMatch MatchJob(const Scheduler& scheduler, const JobId& id,
                  const JobSpec* storing, const QueueName& queue) {
  if (scheduler.m_unreadable_jobs.contains(id)) {
    return JobMatch::kUnidentified;
  }
  const auto found = scheduler.m_jobs.find(id);
  if (storing == nullptr && found == scheduler.m_jobs.end()) {
    return JobMatch::kNone;
  }
  const JobSpec& spec = storing == nullptr ? *found->second->m_spec : *storing;
  if (spec.m_queue.Empty()) {
    return JobMatch::kUnidentified;
  }
  if (spec.m_queue != queue && scheduler.m_deployment == nullptr) {
    return JobMatch::kUndecided;
  }
  return IsOfQueue(scheduler, spec, queue) ? JobMatch::kSameQueue
                                           : JobMatch::kOtherQueue;
}

Code CodeForOthers(JobMatch match, bool is_submission) {
  switch (match) {
    case JobMatch::kNone:
    case JobMatch::kSameQueue:
      return Code::kOk;
    case JobMatch::kOtherQueue:
      return is_submission ? Code::kAlreadyClaimed : Code::kRequestUnknown;
    case JobMatch::kUnidentified:
      // To its own caller the job must not seem unknown, to a stranger it must
      // not be shown.
      return Code::kAlreadyClaimed;
    case JobMatch::kUndecided:
      break;
  }
  return Code::kNoOwner;
}

std::int64_t CountQueuedJobs(const Scheduler& scheduler,
                             const QueueName& queue) {
  return MeasureQueues(scheduler)[queue].m_queued;
}

absl::flat_hash_map<QueueName, QueueLength> MeasureQueues(
    const Scheduler& scheduler) {
  absl::flat_hash_map<QueueName, QueueLength> lengths;
  for (const auto& [id, job] : scheduler.m_jobs) {
    if (IsFinal(job->m_stored_state) || job->m_has_begun) {
      continue;
    }
    QueueLength& length = lengths[job->m_spec->m_queue];
    ++length.m_queued;
    length.m_reserved += job->m_placed_tasks > 0;
    length.m_with_lost_start += job->m_lost_starts > 0;
    length.m_oldest_at = std::min(length.m_oldest_at, job->m_accepted_at);
  }
  return lengths;
}

}  // namespace filbertspar::scheduler
