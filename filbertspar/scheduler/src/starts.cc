#include "filbertspar/scheduler/src/starts.h"

#include <algorithm>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "filbertspar/scheduler/src/crashes.h"
#include "filbertspar/scheduler/src/jobs.h"
#include "filbertspar/scheduler/src/placement.h"
#include "filbertspar/scheduler/src/workers.h"

namespace filbertspar::scheduler {
namespace {

void IssueStart(Scheduler& scheduler, TimePoint now, const TaskRef& ref,
                WorkerIndex index) {
  Task& task = ref.GetTask();
  task.m_since = now;
  task.m_run_began_at = now;
  task.m_start_deadline_ms = GrantStartDeadline(scheduler, now, index);
  StartOrder order;
  order.m_task = ref.Id();
  order.m_run = RunNumber(task.m_run);
  order.m_incarnation = scheduler.m_workers[index].m_incarnation;
  order.m_deadline_ms = task.m_start_deadline_ms;
  order.m_fencing = scheduler.m_workers[index].m_fencing;
  order.m_checkpoint =
      ref.Spec().m_gang ? ref.GetStep().m_gang_checkpoint : task.m_checkpoint;
  const WorkerName& name = scheduler.m_workers[index].m_record.m_name;
  if (const std::string* ticket = FindTicket(scheduler, now, ref.Id(), name)) {
    order.m_ticket = *ticket;
  }
  scheduler.m_effects.m_starts.push_back({index, std::move(order)});
}

bool HasRoom(const Scheduler& scheduler, const Task& task) {
  return FitsIn(ResourceVector(), FreeOn(scheduler.m_workers[task.m_worker]));
}

/// Whether there is room for each gang of which a member was looked at.
using GangRoom = absl::flat_hash_map<const Step*, bool>;

/// Whether the worker still has room for the placed task. The members of a gang
/// are started together or not at all.
bool HasRoomToStart(const Scheduler& scheduler, const TaskRef& ref,
                    GangRoom& gangs) {
  if (!ref.Spec().m_gang) {
    return HasRoom(scheduler, ref.GetTask());
  }
  const auto [found, is_new] = gangs.try_emplace(&ref.GetStep(), false);
  if (is_new) {
    const std::vector<Task>& members = ref.GetStep().m_tasks;
    found->second =
        std::all_of(members.begin(), members.end(), [&](const Task& member) {
          return member.m_worker != kNoWorker &&
                 (MayRun(member) || HasRoom(scheduler, member));
        });
  }
  return found->second;
}

/// Sends a planned start unless its task was stopped or lost in the meantime,
/// or the worker has no room for it any more.
void IssuePlannedStart(Scheduler& scheduler, TimePoint now,
                       const PlannedStart& planned, GangRoom& gangs) {
  const TaskRef ref = FindTask(scheduler, planned.m_task);
  if (!ref || ref.GetTask().m_phase != TaskPhase::kStarting ||
      ref.GetTask().m_run != planned.m_run ||
      ref.GetTask().m_worker != planned.m_worker) {
    return;
  }
  if (ref.m_job->m_is_rejected) {
    RequeueLostTask(scheduler, now, ref, "not_recorded");
  } else if (HasRoomToStart(scheduler, ref, gangs)) {
    IssueStart(scheduler, now, ref, planned.m_worker);
  } else {
    RequeueLostTask(scheduler, now, ref, "capacity_shrank");
  }
}

/// Whether a run on this worker was found or cannot exist: the worker has
/// listed all its runs and ends, its lease is over, or no VM and no
/// registration has its name.
bool IsAccountedFor(const Scheduler& scheduler, TimePoint now,
                    const WorkerName& name) {
  const auto found = scheduler.m_worker_index.find(name);
  TimePoint until = scheduler.m_options.m_inherited_leases_until;
  if (found != scheduler.m_worker_index.end()) {
    const Worker& worker = scheduler.m_workers[found->second];
    if (HasListedAll(worker)) {
      return true;
    }
    until = InheritedRunsUntil(scheduler, worker);
    if (worker.m_has_responded) {
      return now > until;
    }
  }
  if (now > until) {
    return true;
  }
  return scheduler.m_expected_workers &&
         std::find(scheduler.m_expected_workers->begin(),
                   scheduler.m_expected_workers->end(),
                   name) == scheduler.m_expected_workers->end();
}

}  // namespace

void PlanStart(Scheduler& scheduler, TimePoint now, const TaskRef& ref,
               WorkerIndex worker, std::uint64_t run) {
  Task& task = ref.GetTask();
  ReserveResources(scheduler, ref, worker);
  ++ref.m_job->m_planned_starts;
  --ref.GetStep().m_waiting;
  task.m_phase = TaskPhase::kStarting;
  task.m_run = run;
  task.m_since = now;
  task.m_order_confirmed_at = TimePoint::max();
  task.m_ordered_speed_percent = 100;
  task.m_reported_speed_percent = 0;
  task.m_load = -1;
  task.m_start_deadline_ms = kStartNotSent;
  scheduler.m_effects.m_planned_workers.push_back(worker);
  const std::uint64_t change = MarkChanged(scheduler, *ref.m_job);
  const bool must_be_recorded = !CrashUnit(ref).GetTask().m_crashes.empty();
  if (scheduler.m_record_before_start || must_be_recorded) {
    scheduler.m_planned_starts.push_back(
        {ref.Id(), run, worker, change, must_be_recorded});
  } else {
    scheduler.m_last_unrecorded_start = change;
    IssueStart(scheduler, now, ref, worker);
  }
}

void IssueRecordedStarts(Scheduler& scheduler, TimePoint now) {
  const std::uint64_t stored = LastStoredChange(scheduler);
  GangRoom gangs;
  while (!scheduler.m_planned_starts.empty() &&
         scheduler.m_planned_starts.front().m_change <= stored) {
    const PlannedStart planned = scheduler.m_planned_starts.front();
    scheduler.m_planned_starts.pop_front();
    IssuePlannedStart(scheduler, now, planned, gangs);
  }
}

void SetRecordBeforeStart(Scheduler& scheduler, TimePoint now,
                          bool lists_first) {
  scheduler.m_record_before_start = lists_first;
  if (lists_first || scheduler.m_planned_starts.empty()) {
    return;
  }
  scheduler.m_last_unrecorded_start =
      scheduler.m_planned_starts.back().m_change;
  std::deque<PlannedStart> planned_starts;
  std::swap(planned_starts, scheduler.m_planned_starts);
  GangRoom gangs;
  for (const PlannedStart& planned : planned_starts) {
    if (planned.m_must_be_recorded) {
      scheduler.m_planned_starts.push_back(planned);
    } else {
      IssuePlannedStart(scheduler, now, planned, gangs);
    }
  }
}

bool AllStartsRecorded(const Scheduler& scheduler) {
  return scheduler.m_unstored_jobs.empty() ||
         scheduler.m_unstored_jobs.begin()->first >
             scheduler.m_last_unrecorded_start;
}

std::string WorkerOfRun(const Scheduler& scheduler, const TaskId& id,
                        const Task& task) {
  if (task.m_worker != kNoWorker) {
    return scheduler.m_workers[task.m_worker].m_record.m_name.Value();
  }
  if (task.m_may_be_running) {
    const auto found = scheduler.m_inherited_runs.find(id);
    if (found != scheduler.m_inherited_runs.end()) {
      return found->second.Value();
    }
  }
  return "";
}

void InheritRun(Scheduler& scheduler, const TaskRef& ref,
                const WorkerName& worker) {
  ref.GetTask().m_may_be_running = true;
  scheduler.m_inherited_runs[ref.Id()] = worker;
  scheduler.m_reserved[ref.m_job->m_spec->m_workspace] += ref.Spec().m_demand;
}

void RemoveInheritedRun(Scheduler& scheduler, const TaskRef& ref) {
  Task& task = ref.GetTask();
  if (!task.m_may_be_running) {
    return;
  }
  task.m_may_be_running = false;
  scheduler.m_inherited_runs.erase(ref.Id());
  scheduler.m_reserved[ref.m_job->m_spec->m_workspace] -= ref.Spec().m_demand;
}

void ResolveInheritedRuns(Scheduler& scheduler, TimePoint now) {
  std::vector<TaskId> resolved;
  for (const auto& [id, worker] : scheduler.m_inherited_runs) {
    if (scheduler.m_inherited_resolved ||
        IsAccountedFor(scheduler, now, worker)) {
      resolved.push_back(id);
    }
  }
  for (const TaskId& id : resolved) {
    if (const TaskRef ref = FindTask(scheduler, id)) {
      RemoveInheritedRun(scheduler, ref);
      if (IsFinal(ref.m_job->m_state)) {
        MarkChanged(scheduler, *ref.m_job);
      }
    }
    scheduler.m_inherited_runs.erase(id);
  }
}

}  // namespace filbertspar::scheduler
