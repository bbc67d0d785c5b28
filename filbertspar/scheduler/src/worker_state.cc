#include <algorithm>

#include "filbertspar/scheduler/src/unanswered.h"
#include "filbertspar/scheduler/src/workers.h"

namespace filbertspar::scheduler {
namespace {

/// A worker that has not answered for this long gets no new tasks.
constexpr Duration kResponseTimeout = Milliseconds(2500);

/// Whether the registration describes the incarnation that answers: another one
/// may differ in kind and capacity. Either may state none.
bool IsRegistrationCurrent(const Worker& worker) {
  return worker.m_record.m_incarnation == 0 || worker.m_incarnation == 0 ||
         worker.m_record.m_incarnation == worker.m_incarnation;
}

}  // namespace

bool IsResponsive(const Worker& worker, TimePoint now) {
  return worker.m_has_responded && worker.m_failed_polls == 0 &&
         now - worker.m_last_response_at < kResponseTimeout;
}

bool IsSchedulable(const Scheduler& scheduler, const Worker& worker,
                   TimePoint now) {
  return worker.m_registered && IsRegistrationCurrent(worker) &&
         !worker.m_record.m_draining && !worker.m_cordoned &&
         !worker.m_has_unknown_run && IsResponsive(worker, now) &&
         IsFenced(worker) && now >= worker.m_avoid_until &&
         now >= worker.m_no_capacity_until &&
         (scheduler.m_deployment == nullptr ||
          scheduler.m_deployment->m_pools.contains(worker.m_record.m_pool));
}

bool MayHaveRestarted(const Worker& worker) {
  const auto& ended = worker.m_ended_incarnations;
  return !IsRegistrationCurrent(worker) &&
         std::find(ended.begin(), ended.end(), worker.m_record.m_incarnation) ==
             ended.end();
}

bool IsRetired(const Worker& worker, TimePoint now) {
  return !worker.m_registered && worker.m_tasks.empty() &&
         worker.m_superseded_runs.empty() && now > worker.m_lease_until;
}

}  // namespace filbertspar::scheduler
