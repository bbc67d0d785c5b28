#include "filbertspar/scheduler/src/evacuate.h"

#include <algorithm>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "filbertspar/scheduler/src/admit.h"
#include "filbertspar/scheduler/src/jobs.h"
#include "filbertspar/scheduler/src/placement.h"
#include "filbertspar/scheduler/src/workers.h"

namespace filbertspar::scheduler {
namespace {

/// Time needed to stop a task before its worker leaves.
constexpr Duration kStopMargin = Seconds(1);

Duration RemainingRunTime(const Scheduler& scheduler, TimePoint now,
                          const TaskRef& ref) {
  const double needed = ToSeconds(ref.Spec().m_estimate) *
                        RunTimeRatio(scheduler, ref.m_job->m_spec->m_queue);
  return Duration(static_cast<std::int64_t>(needed * 1e6)) -
         (now - ref.GetTask().m_since);
}

/// Whether a batch task would not finish before its worker leaves and can
/// resume from a checkpoint elsewhere.
bool ShouldStopBatchTask(const Scheduler& scheduler, TimePoint now,
                         const Worker& worker, const TaskRef& ref) {
  if (!worker.m_record.m_draining || !ref.Spec().m_checkpointing) {
    return false;
  }
  return now + RemainingRunTime(scheduler, now, ref) + kStopMargin >
         worker.m_drain_deadline;
}

/// Whether a stop of a task of the step has not been answered yet. Stop orders
/// to two workers may arrive in either order, and the one that arrives last
/// must find the other task's absence allowed.
bool IsStopPending(const TaskRef& ref) {
  const std::vector<Task>& tasks = ref.GetStep().m_tasks;
  return std::any_of(tasks.begin(), tasks.end(), [](const Task& task) {
    return task.m_phase == TaskPhase::kStopping &&
           task.m_order_confirmed_at == TimePoint::max();
  });
}

/// Whether a worker is free for a task of each step, for one pass over all
/// tasks; stops do not change it.
using FreeWorkers = absl::flat_hash_map<const Step*, bool>;

bool HasFreeWorker(Scheduler& scheduler, TimePoint now, const TaskRef& ref,
                   FreeWorkers& known) {
  const auto [found, is_new] = known.try_emplace(&ref.GetStep(), false);
  if (is_new) {
    const Pool& pool = scheduler.m_pools[ref.m_job->m_spec->m_policy.m_pool];
    found->second =
        ChooseWorker(scheduler, now, FreeCapacities(scheduler, now, pool), ref,
                     SpreadOf(scheduler, ref)) != kNoWorker;
  }
  return found->second;
}

void EvacuateTask(Scheduler& scheduler, TimePoint now, const TaskRef& ref,
                  FreeWorkers& free_workers) {
  if (ref.GetTask().m_phase != TaskPhase::kRunning ||
      IsFinal(ref.m_job->m_state)) {
    return;
  }
  const Worker& worker = scheduler.m_workers[ref.GetTask().m_worker];
  if (!ref.Spec().m_long_running) {
    if (ShouldStopBatchTask(scheduler, now, worker, ref)) {
      StopTask(scheduler, now, ref, "worker_leaves");
    }
    return;
  }
  const bool is_voluntary = !worker.m_record.m_draining;
  const bool allowed =
      is_voluntary ? now >= scheduler.m_options.m_disruption_allowed_from &&
                         IsDisruptionAllowed(ref)
                   : ref.Spec().m_max_unavailable == 0 || !IsStopPending(ref) ||
                         now + kStopMargin > worker.m_drain_deadline;
  if (allowed && HasFreeWorker(scheduler, now, ref, free_workers)) {
    StopTask(scheduler, now, ref,
             is_voluntary ? "worker_emptied" : "worker_leaves");
  }
}

}  // namespace

bool IsDisruptionAllowed(const TaskRef& ref) {
  const std::uint32_t limit = ref.Spec().m_max_unavailable;
  if (limit == 0) {
    return true;
  }
  const std::vector<Task>& tasks = ref.GetStep().m_tasks;
  const auto unavailable =
      std::count_if(tasks.begin(), tasks.end(), [&ref](const Task& task) {
        return &task != &ref.GetTask() &&
               (task.m_phase != TaskPhase::kRunning ||
                task.m_reported_speed_percent < 100);
      });
  return unavailable < static_cast<std::int64_t>(limit);
}

void Evacuate(Scheduler& scheduler, TimePoint now) {
  FreeWorkers free_workers;
  // Draining workers first: the tasks that they will lose count against the
  // limit before any task is stopped by choice.
  for (const bool draining : {true, false}) {
    for (std::size_t i = 0; i < scheduler.m_workers.size(); ++i) {
      const Worker& worker = scheduler.m_workers[i];
      const bool selected =
          draining ? worker.m_record.m_draining
                   : worker.m_cordoned && !worker.m_record.m_draining;
      if (!selected || worker.m_tasks.empty() || !IsResponsive(worker, now)) {
        continue;
      }
      const std::vector<TaskRef> tasks = worker.m_tasks;
      for (const TaskRef& ref : tasks) {
        EvacuateTask(scheduler, now, ref, free_workers);
      }
    }
  }
}

}  // namespace filbertspar::scheduler
