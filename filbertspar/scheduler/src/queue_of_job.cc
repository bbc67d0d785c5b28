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

}  // namespace filbertspar::scheduler
