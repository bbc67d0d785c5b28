#include <algorithm>

#include "filbertspar/scheduler/src/jobs.h"

namespace filbertspar::scheduler {

bool IsOfQueue(const Scheduler& scheduler, const JobSpec& spec,
               const QueueName& queue) {
  if (spec.m_queue == queue || spec.m_queue.Empty()) {
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
