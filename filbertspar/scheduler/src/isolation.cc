#include "filbertspar/scheduler/src/isolation.h"

#include <algorithm>
#include <limits>
#include <vector>

#include "filbertspar/scheduler/src/crashes.h"
#include "filbertspar/scheduler/src/eligibility.h"
#include "filbertspar/scheduler/src/placement.h"
#include "filbertspar/scheduler/src/starts.h"
#include "filbertspar/scheduler/src/workers.h"

namespace filbertspar::scheduler {
namespace {

/// Share of a pool's workers that may be isolated at a time; at least one.
constexpr std::size_t kIsolatedShare = 4;
/// Longest time a worker is kept free of new tasks until those it has end.
constexpr Duration kMaxDrainWait = Seconds(1);
/// After this time a task with one crash is placed like any other.
constexpr Duration kMaxSuspectWait = Milliseconds(2500);

/// Cost of a crash of the worker, in tasks that end; those that others rely on
/// continuously, or that cannot be moved soon, count more.
constexpr double kLongRunningCost = 4;
constexpr double kFarFromDataCost = 2;
/// A test on a worker that crashed under the suspect before proves less.
constexpr double kCrashedHereCost = 2;

bool HasBatchTasks(const Worker& worker) {
  return std::any_of(
      worker.m_tasks.begin(), worker.m_tasks.end(),
      [](const TaskRef& ref) { return !ref.Spec().m_long_running; });
}

double CrashCost(const Worker& worker, const TaskRef& unit) {
  double cost = 0;
  for (const TaskRef& ref : worker.m_tasks) {
    cost += ref.Spec().m_long_running ? kLongRunningCost : 1;
  }
  const std::vector<CrashRecord>& crashes = unit.GetTask().m_crashes;
  const bool crashed_here = std::any_of(
      crashes.begin(), crashes.end(), [&](const CrashRecord& crash) {
        return crash.m_worker == worker.m_record.m_name.Value();
      });
  cost += crashed_here ? kCrashedHereCost : 0;
  const RackName& rack = unit.Spec().m_data_rack;
  return cost + (rack.Empty() || rack == worker.m_record.m_rack
                     ? 0
                     : kFarFromDataCost);
}

/// Worker whose crash would cost least, among those that could run the unit
/// when they have no batch tasks left; kNoWorker when there is none.
WorkerIndex ChooseWorkerToIsolate(const Scheduler& scheduler, TimePoint now,
                                  const Pool& pool, const TaskRef& unit) {
  WorkerIndex best = kNoWorker;
  double best_cost = std::numeric_limits<double>::max();
  const StepSpread spread = SpreadOf(scheduler, unit);
  for (const WorkerIndex index : pool.m_workers) {
    const Worker& worker = scheduler.m_workers[index];
    if (worker.m_isolated_for || !IsSchedulable(scheduler, worker, now) ||
        !CanRun(scheduler, now, index, unit, spread)) {
      continue;
    }
    ResourceVector available = worker.m_record.m_capacity;
    for (const TaskRef& ref : worker.m_tasks) {
      if (ref.Spec().m_long_running) {
        available -= ReservedDemand(ref.Spec());
      }
    }
    const double cost = CrashCost(worker, unit);
    if (FitsIn(ReservedDemand(unit.Spec()), available) && cost < best_cost) {
      best = index;
      best_cost = cost;
    }
  }
  return best;
}

/// Whether the pool can spare another worker for a test. One that crashed in
/// its test no longer counts.
bool MayIsolateMore(const Scheduler& scheduler, TimePoint now,
                    const Pool& pool) {
  std::size_t schedulable = 0;
  std::size_t isolated = 0;
  for (const WorkerIndex index : pool.m_workers) {
    const Worker& worker = scheduler.m_workers[index];
    if (IsSchedulable(scheduler, worker, now)) {
      ++schedulable;
      isolated += worker.m_isolated_for ? 1 : 0;
    }
  }
  return isolated < std::max<std::size_t>(1, schedulable / kIsolatedShare);
}

/// Worker that waits for its tasks to end before it runs the unit.
WorkerIndex DrainedFor(const Scheduler& scheduler, const Pool& pool,
                       const TaskId& unit) {
  const auto found = std::find_if(
      pool.m_workers.begin(), pool.m_workers.end(), [&](WorkerIndex index) {
        return scheduler.m_workers[index].m_isolated_for == unit;
      });
  return found == pool.m_workers.end() ? kNoWorker : *found;
}

void StartIsolated(Scheduler& scheduler, TimePoint now, const TaskRef& ref,
                   WorkerIndex index, std::uint64_t run) {
  scheduler.m_workers[index].m_isolated_for = CrashUnit(ref).Id();
  PlanStart(scheduler, now, ref, index, run);
  ref.GetTask().m_is_isolated = true;
}

void StartSuspectGang(Scheduler& scheduler, TimePoint now, const Pool& pool,
                      const TaskRef& unit) {
  const std::vector<Task>& members = unit.GetStep().m_tasks;
  ResourceVector total;
  std::uint64_t run = 0;
  for (const Task& member : members) {
    if (!IsStartable(member, now)) {
      return;
    }
    total += unit.Spec().m_demand;
    run = std::max(run, NextRun(scheduler, member));
  }
  if (!IsWithinQuota(scheduler, unit.m_job->m_spec->m_workspace, total)) {
    return;
  }
  const std::vector<WorkerIndex> workers = ChooseGangWorkers(
      scheduler, now, FreeCapacities(scheduler, now, pool), unit);
  for (std::uint32_t i = 0; i < workers.size(); ++i) {
    TaskRef ref = unit;
    ref.m_index = i;
    StartIsolated(scheduler, now, ref, workers[i], run);
  }
}

void StartSuspectTask(Scheduler& scheduler, TimePoint now, const Pool& pool,
                      const TaskRef& unit) {
  const TaskId id = unit.Id();
  const Task& task = unit.GetTask();
  if (!IsStartable(task, now) ||
      !IsWithinQuota(scheduler, unit.m_job->m_spec->m_workspace,
                     unit.Spec().m_demand)) {
    return;
  }
  WorkerIndex index = DrainedFor(scheduler, pool, id);
  if (index == kNoWorker) {
    if (!MayIsolateMore(scheduler, now, pool)) {
      return;
    }
    index = ChooseWorkerToIsolate(scheduler, now, pool, unit);
    if (index == kNoWorker) {
      return;
    }
    scheduler.m_workers[index].m_isolated_for = id;
    scheduler.m_workers[index].m_isolation_wait_until = now + kMaxDrainWait;
  }
  Worker& worker = scheduler.m_workers[index];
  if (!IsSchedulable(scheduler, worker, now)) {
    worker.m_isolated_for.reset();
    return;
  }
  if (HasBatchTasks(worker) && now < worker.m_isolation_wait_until) {
    return;
  }
  if (!FitsIn(ReservedDemand(unit.Spec()), FreeOn(worker))) {
    worker.m_isolated_for.reset();
    return;
  }
  StartIsolated(scheduler, now, unit, index, NextRun(scheduler, task));
}

}  // namespace

bool WaitsForIsolation(const TaskRef& ref, TimePoint now) {
  const Task& unit = CrashUnit(ref).GetTask();
  return NeedsIsolation(unit) &&
         (unit.m_crashes.size() > 1 || now - unit.m_since < kMaxSuspectWait);
}

void StartSuspects(Scheduler& scheduler, TimePoint now, const PoolName& name) {
  if (scheduler.m_crash_suspects.empty()) {
    return;
  }
  const Pool& pool = scheduler.m_pools[name];
  std::vector<TaskRef> units;
  for (const TaskId& id : scheduler.m_crash_suspects) {
    const TaskRef unit = FindTask(scheduler, id);
    if (unit && !IsFinal(unit.m_job->m_state) &&
        unit.m_job->m_spec->m_policy.m_pool == name &&
        unit.GetTask().m_phase == TaskPhase::kWaiting &&
        WaitsForIsolation(unit, now) && MayStartTasks(scheduler, *unit.m_job) &&
        IsReady(*unit.m_job, *unit.m_occurrence, unit.m_step, now)) {
      units.push_back(unit);
    }
  }
  std::sort(units.begin(), units.end(), [](const TaskRef& a, const TaskRef& b) {
    return a.GetTask().m_since < b.GetTask().m_since;
  });
  for (const TaskRef& unit : units) {
    if (unit.Spec().m_gang) {
      StartSuspectGang(scheduler, now, pool, unit);
    } else {
      StartSuspectTask(scheduler, now, pool, unit);
    }
  }
}

}  // namespace filbertspar::scheduler
