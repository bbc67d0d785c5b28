#include "filbertspar/scheduler/src/evacuate.h"

#include <algorithm>
#include <vector>

#include "filbertspar/scheduler/src/admit.h"
#include "filbertspar/scheduler/src/jobs.h"
#include "filbertspar/scheduler/src/placement.h"
#include "filbertspar/scheduler/src/workers.h"

namespace filbertspar::scheduler {
namespace {

/// Time that a stop needs before the worker leaves.
constexpr Duration kStopMargin = Seconds(1);

Duration TimeLeft(const Scheduler& scheduler, TimePoint now,
                  const TaskRef& ref) {
  const double needed = ToSeconds(ref.Spec().m_estimate) *
                        RatioOf(scheduler, ref.m_job->m_spec->m_queue);
  return Duration(static_cast<std::int64_t>(needed * 1e6)) -
         (now - ref.GetTask().m_since);
}

/// Whether a batch task is better stopped now than left to end.
bool BatchShouldMove(const Scheduler& scheduler, TimePoint now,
                     const Worker& worker, const TaskRef& ref) {
  if (!worker.m_record.m_draining || !ref.Spec().m_checkpointing) {
    return false;
  }
  return now + TimeLeft(scheduler, now, ref) + kStopMargin >
         worker.m_drains_until;
}

}  // namespace

bool MayTakeAway(const TaskRef& ref) {
  const std::uint32_t limit = ref.Spec().m_max_unavailable;
  if (limit == 0) {
    return true;
  }
  const std::vector<Task>& tasks = ref.GetStep().m_tasks;
  const auto away =
      std::count_if(tasks.begin(), tasks.end(), [&ref](const Task& task) {
        return &task != &ref.GetTask() &&
               (task.m_phase != TaskPhase::kRunning || task.m_percent < 100);
      });
  return away < static_cast<std::int64_t>(limit);
}

void Evacuate(Scheduler& scheduler, TimePoint now) {
  for (std::size_t i = 0; i < scheduler.m_workers.size(); ++i) {
    const Worker& worker = scheduler.m_workers[i];
    if ((!worker.m_record.m_draining && !worker.m_cordoned) ||
        worker.m_tasks.empty() || !IsResponsive(worker, now)) {
      continue;
    }
    const std::vector<TaskRef> tasks = worker.m_tasks;
    for (const TaskRef& ref : tasks) {
      if (ref.GetTask().m_phase != TaskPhase::kRunning ||
          IsFinal(ref.m_job->m_state)) {
        continue;
      }
      if (!ref.Spec().m_long_running) {
        if (BatchShouldMove(scheduler, now, worker, ref)) {
          StopTask(scheduler, now, ref, "worker_leaves");
        }
        continue;
      }
      const Pool& pool = scheduler.m_pools[ref.m_job->m_spec->m_policy.m_pool];
      const bool has_place =
          ChooseWorker(scheduler, now, RoomsOf(scheduler, now, pool), ref) !=
          kNoWorker;
      const bool guarded = !worker.m_record.m_draining;
      if (has_place &&
          (!guarded || (now >= scheduler.m_options.m_takes_away_from &&
                        MayTakeAway(ref)))) {
        StopTask(scheduler, now, ref,
                 guarded ? "worker_emptied" : "worker_leaves");
      }
    }
  }
}

}  // namespace filbertspar::scheduler
