#include "filbertspar/scheduler/src/evacuate.h"

#include <algorithm>
#include <utility>
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
/// A task leaves workers that are due for upkeep at most this often: the place
/// for which it left may be taken before its stop has ended.
constexpr Duration kMinTimeBetweenMoves = Seconds(10);

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

bool IsAvailable(const Scheduler& scheduler, TimePoint now, const Task& task) {
  return task.m_phase == TaskPhase::kRunning &&
         task.m_reported_speed_percent >= 100 &&
         IsResponsive(scheduler.m_workers[task.m_worker], now);
}

/// Why tasks leave a worker.
enum class Departure : std::uint8_t {
  /// The worker announced that it leaves.
  kDraining,
  /// The worker is being emptied by an order of the system.
  kCordoned,
  /// The worker will be emptied later in a wave of upkeep.
  kUpkeepDue,
};

/// Whether a worker is free for a task of each step that leaves one for this
/// reason, for one pass over all tasks; stops do not change it.
using FreeWorkers =
    absl::flat_hash_map<std::pair<const Step*, Departure>, bool>;

struct FreeWorkerCheck {
  bool m_is_free = false;
  /// The step was not checked before in this pass.
  bool m_is_new = false;
};

FreeWorkerCheck HasFreeWorker(Scheduler& scheduler, TimePoint now,
                              const TaskRef& ref, Departure departure,
                              FreeWorkers& known) {
  const auto [found, is_new] =
      known.try_emplace({&ref.GetStep(), departure}, false);
  if (is_new) {
    const Pool& pool = scheduler.m_pools[ref.m_job->m_spec->m_policy.m_pool];
    std::vector<FreeCapacity> capacities = FreeCapacities(scheduler, now, pool);
    if (departure == Departure::kUpkeepDue) {
      // On another worker that is due the task would have to move again.
      std::erase_if(capacities, [&scheduler](const FreeCapacity& capacity) {
        return scheduler.m_workers[capacity.m_worker].m_upkeep_due;
      });
    }
    found->second = ChooseWorker(scheduler, now, capacities, ref,
                                 SpreadOf(scheduler, ref)) != kNoWorker;
  }
  return {found->second, is_new};
}

std::string_view ReasonOf(Departure departure) {
  switch (departure) {
    case Departure::kDraining:
      return "worker_leaves";
    case Departure::kCordoned:
      return "worker_emptied";
    case Departure::kUpkeepDue:
      return "upkeep_due";
  }
  return "";
}

bool MayStop(const Scheduler& scheduler, TimePoint now, const Worker& worker,
             const TaskRef& ref, Departure departure) {
  if (departure == Departure::kDraining) {
    return ref.Spec().m_max_unavailable == 0 || !IsStopPending(ref) ||
           now + kStopMargin > worker.m_drain_deadline;
  }
  // A step without a limit can leave a worker at once when its upkeep comes,
  // and a gang leaves as a whole.
  if (departure == Departure::kUpkeepDue &&
      (ref.Spec().m_max_unavailable == 0 || ref.Spec().m_gang ||
       now < ref.GetTask().m_left_due_worker_at + kMinTimeBetweenMoves)) {
    return false;
  }
  return now >= scheduler.m_options.m_disruption_allowed_from &&
         IsDisruptionAllowed(scheduler, now, ref);
}

void EvacuateTask(Scheduler& scheduler, TimePoint now, const TaskRef& ref,
                  Departure departure, FreeWorkers& free_workers) {
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
  if (!MayStop(scheduler, now, worker, ref, departure)) {
    return;
  }
  const auto [is_free, is_new] =
      HasFreeWorker(scheduler, now, ref, departure, free_workers);
  if (is_free) {
    if (departure == Departure::kUpkeepDue) {
      ref.GetTask().m_left_due_worker_at = now;
    }
    StopTask(scheduler, now, ref, ReasonOf(departure));
  } else if (is_new) {
    scheduler.m_pools[ref.m_job->m_spec->m_policy.m_pool]
        .m_blocked_evacuations += ReservedDemand(ref.Spec());
  }
}

Departure DepartureFrom(const Worker& worker) {
  if (worker.m_record.m_draining) {
    return Departure::kDraining;
  }
  return worker.m_cordoned ? Departure::kCordoned : Departure::kUpkeepDue;
}

}  // namespace

bool IsDisruptionAllowed(const Scheduler& scheduler, TimePoint now,
                         const TaskRef& ref) {
  const std::uint32_t limit = ref.Spec().m_max_unavailable;
  if (limit == 0) {
    return true;
  }
  std::uint32_t unavailable = 0;
  for (const Task& task : ref.GetStep().m_tasks) {
    if (&task != &ref.GetTask() && !IsAvailable(scheduler, now, task) &&
        ++unavailable >= limit) {
      return false;
    }
  }
  return true;
}

void Evacuate(Scheduler& scheduler, TimePoint now) {
  FreeWorkers free_workers;
  for (auto& [name, pool] : scheduler.m_pools) {
    pool.m_blocked_evacuations = ResourceVector();
  }
  // Draining workers first: the tasks that they will lose count against the
  // limit before any task is stopped by choice. Tasks of a step with a limit
  // move one after the other, so that a wave is in time only if they begin to
  // leave the workers that are due before these are cordoned.
  for (const Departure departure :
       {Departure::kDraining, Departure::kCordoned, Departure::kUpkeepDue}) {
    for (std::size_t i = 0; i < scheduler.m_workers.size(); ++i) {
      const Worker& worker = scheduler.m_workers[i];
      const bool leaves = worker.m_record.m_draining || worker.m_cordoned ||
                          worker.m_upkeep_due;
      if (!leaves || DepartureFrom(worker) != departure ||
          worker.m_tasks.empty() || !IsResponsive(worker, now)) {
        continue;
      }
      const std::vector<TaskRef> tasks = worker.m_tasks;
      for (const TaskRef& ref : tasks) {
        EvacuateTask(scheduler, now, ref, departure, free_workers);
      }
    }
  }
}

}  // namespace filbertspar::scheduler
