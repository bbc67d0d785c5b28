#include "filbertspar/scheduler/src/eligibility.h"

#include <algorithm>

namespace filbertspar::scheduler {
namespace {

/// Each owner's run numbers start at this multiple of the number of owners
/// before it, so that they exceed those of previous owners without a store
/// write per start. A task that ends at once is restarted a few times a second
/// for as long as a term lasts.
constexpr std::uint64_t kRunsPerOwner = 1'000'000;

}  // namespace

/// A recorded run of the previous owner delays only its own task. When runs may
/// be unrecorded, the whole job waits until they are resolved.
bool MayStartTasks(const Scheduler& scheduler, const Job& job) {
  if (job.m_is_rejected) {
    return false;
  }
  return !job.m_inherited || scheduler.m_inherited_resolved ||
         scheduler.m_options.m_runs_are_recorded;
}

bool IsStartable(const Task& task, TimePoint now) {
  return task.m_phase == TaskPhase::kWaiting && !task.m_may_be_running &&
         now >= task.m_not_before;
}

bool IsReady(const Job& job, Occurrence& occurrence, std::uint32_t step,
             TimePoint now) {
  const StepSpec& spec = job.m_spec->m_steps[step];
  const bool ready = std::all_of(
      spec.m_depends_on.begin(), spec.m_depends_on.end(),
      [&](std::uint32_t dependency) {
        const Step& dependency_step = occurrence.m_steps[dependency];
        return dependency_step.m_done == dependency_step.m_tasks.size();
      });
  TimePoint& ready_at = occurrence.m_steps[step].m_ready_at;
  if (ready && ready_at == TimePoint::max()) {
    ready_at = now;
  }
  return ready;
}

bool IsWithinQuota(const Scheduler& scheduler, const WorkspaceName& workspace,
                   const ResourceVector& additional) {
  if (workspace.Empty() || scheduler.m_deployment == nullptr) {
    return true;
  }
  const WorkspaceConfig* config =
      FindWorkspace(*scheduler.m_deployment, workspace);
  if (config == nullptr) {
    return true;
  }
  const auto reserved = scheduler.m_reserved.find(workspace);
  const ResourceVector total_demand = reserved == scheduler.m_reserved.end()
                                          ? additional
                                          : reserved->second + additional;
  const auto within = [](auto amount, auto limit) {
    return limit.Count() == 0 || amount <= limit;
  };
  const ResourceVector& quota = config->m_quota;
  return within(total_demand.m_cpu, quota.m_cpu) &&
         within(total_demand.m_memory, quota.m_memory) &&
         within(total_demand.m_accelerators, quota.m_accelerators);
}

std::uint64_t LastInheritedRun(const Scheduler& scheduler) {
  return (scheduler.m_options.m_fencing.Value() - 1) * kRunsPerOwner;
}

std::uint64_t NextRun(const Scheduler& scheduler, const Task& task) {
  return std::max(LastInheritedRun(scheduler), task.m_run) + 1;
}

}  // namespace filbertspar::scheduler
