#include "filbertspar/scheduler/src/placement.h"

#include <algorithm>
#include <limits>
#include <set>

#include "filbertspar/scheduler/src/workers.h"

namespace filbertspar::scheduler {
namespace {

/// Placement penalties, in units of a fully used worker. Tasks that end are
/// packed onto few workers, so that the others can be moved to another pool.
constexpr double kFailedTherePenalty = 8;
constexpr double kSameStepOnWorkerPenalty = 4;
constexpr double kSameStepInRackPenalty = 0.5;
/// A worker without long-running tasks can be moved to another pool, so the
/// first one costs extra.
constexpr double kFirstLongRunningPenalty = 1.5;
constexpr double kFarFromDataPenalty = 2;
/// A task that is placed on a worker due for upkeep has to move again. That is
/// worse than a second task of the step on one worker, and better than a worker
/// where the task failed.
constexpr double kUpkeepDuePenalty = 7;
constexpr double kInterferencePenalty = 2;

/// A task waits for a worker near its data for up to this fraction of its
/// estimated run time before it accepts one elsewhere.
constexpr double kDataWaitFactor = 1.0;

/// Starts that may be planned or sent to one worker and not answered. It has
/// two connections for orders, so that more would only wait in memory until
/// their deadline passes.
constexpr std::uint32_t kMaxPendingStarts = 64;

bool HasLabel(const Worker& worker, const LabelName& label) {
  const auto& labels = worker.m_record.m_labels;
  return label.Empty() ||
         std::find(labels.begin(), labels.end(), label) != labels.end();
}

double UsedFraction(const Worker& worker, const ResourceVector& free) {
  const auto capacity =
      static_cast<double>(worker.m_record.m_capacity.m_cpu.Count());
  const auto remaining = static_cast<double>(free.m_cpu.Count());
  return capacity <= 0 ? 1 : 1 - remaining / capacity;
}

/// Spreads a long-running step over workers and racks, so that one failure
/// affects few of its tasks, and keeps best-effort tasks away from serving
/// tasks.
double LongRunningPenalty(const Scheduler& scheduler, WorkerIndex index,
                          const TaskRef& ref, const StepSpread& spread) {
  const Worker& worker = scheduler.m_workers[index];
  const std::uint32_t on_worker = CountOnWorker(spread, index);
  double penalty = worker.m_upkeep_due ? kUpkeepDuePenalty : 0;
  penalty += kSameStepOnWorkerPenalty * on_worker;
  const auto in_rack = spread.m_in_rack.find(worker.m_record.m_rack);
  if (in_rack != spread.m_in_rack.end()) {
    penalty += kSameStepInRackPenalty * (in_rack->second - on_worker);
  }
  const bool has_long_running = std::any_of(
      worker.m_tasks.begin(), worker.m_tasks.end(),
      [](const TaskRef& other) { return other.Spec().m_long_running; });
  penalty += has_long_running ? 0 : kFirstLongRunningPenalty;
  const StepSpec& spec = ref.Spec();
  for (const TaskRef& other : worker.m_tasks) {
    const bool interferes =
        (spec.m_best_effort &&
         other.Spec().m_tail_latency_target > Duration(0)) ||
        (spec.m_tail_latency_target > Duration(0) &&
         other.Spec().m_best_effort);
    penalty += interferes ? kInterferencePenalty : 0;
  }
  return penalty;
}

bool WaitsForData(const Scheduler& scheduler, TimePoint now,
                  const TaskRef& ref) {
  const StepSpec& spec = ref.Spec();
  if (spec.m_data_rack.Empty()) {
    return false;
  }
  const auto found = scheduler.m_pools.find(ref.m_job->m_spec->m_policy.m_pool);
  const bool exists =
      std::any_of(found->second.m_workers.begin(),
                  found->second.m_workers.end(), [&](WorkerIndex index) {
                    const Worker& worker = scheduler.m_workers[index];
                    return worker.m_record.m_rack == spec.m_data_rack &&
                           IsSchedulable(scheduler, worker, now);
                  });
  const TimePoint ready = ref.GetStep().m_ready_at;
  return exists &&
         ToSeconds(now - ready) < kDataWaitFactor * ToSeconds(spec.m_estimate);
}

}  // namespace

StepSpread SpreadOf(const Scheduler& scheduler, const TaskRef& ref) {
  StepSpread spread;
  const StepSpec& spec = ref.Spec();
  if (spec.m_max_per_worker == 0 && !spec.m_long_running) {
    return spread;
  }
  for (const Task& task : ref.GetStep().m_tasks) {
    if (task.m_worker != kNoWorker) {
      AddToSpread(spread, scheduler, task.m_worker);
    }
  }
  return spread;
}

void AddToSpread(StepSpread& spread, const Scheduler& scheduler,
                 WorkerIndex worker) {
  ++spread.m_on_worker[worker];
  ++spread.m_in_rack[scheduler.m_workers[worker].m_record.m_rack];
}

std::uint32_t CountOnWorker(const StepSpread& spread, WorkerIndex worker) {
  const auto found = spread.m_on_worker.find(worker);
  return found == spread.m_on_worker.end() ? 0 : found->second;
}

bool CanRun(const Scheduler& scheduler, TimePoint now, WorkerIndex index,
            const TaskRef& ref, const StepSpread& spread) {
  const Worker& worker = scheduler.m_workers[index];
  const StepSpec& spec = ref.Spec();
  if (!HasLabel(worker, spec.m_required_label)) {
    return false;
  }
  if (spec.m_max_per_worker > 0 &&
      CountOnWorker(spread, index) >= spec.m_max_per_worker) {
    return false;
  }
  return !ref.m_job->m_spec->m_policy.m_needs_recommendation ||
         FindTicket(scheduler, now, ref.Id(), worker.m_record.m_name) !=
             nullptr;
}

std::vector<FreeCapacity> FreeCapacities(const Scheduler& scheduler,
                                         TimePoint now, const Pool& pool) {
  std::vector<FreeCapacity> capacities;
  for (const WorkerIndex index : pool.m_workers) {
    const Worker& worker = scheduler.m_workers[index];
    if (!worker.m_isolated_for && IsSchedulable(scheduler, worker, now)) {
      const auto pending = static_cast<std::uint32_t>(std::count_if(
          worker.m_tasks.begin(), worker.m_tasks.end(), [](const TaskRef& ref) {
            return ref.GetTask().m_phase == TaskPhase::kStarting;
          }));
      capacities.push_back(
          {index, FreeOn(worker),
           pending < kMaxPendingStarts ? kMaxPendingStarts - pending : 0});
    }
  }
  return capacities;
}

WorkerIndex ChooseWorker(const Scheduler& scheduler, TimePoint now,
                         const std::vector<FreeCapacity>& capacities,
                         const TaskRef& ref, const StepSpread& spread) {
  const StepSpec& spec = ref.Spec();
  const ResourceVector needed = ReservedDemand(spec);
  const bool near_data_only = WaitsForData(scheduler, now, ref);
  WorkerIndex best = kNoWorker;
  double best_penalty = std::numeric_limits<double>::max();
  for (const FreeCapacity& capacity : capacities) {
    const Worker& worker = scheduler.m_workers[capacity.m_worker];
    const bool near_data = worker.m_record.m_rack == spec.m_data_rack;
    if (capacity.m_starts_left == 0 || !FitsIn(needed, capacity.m_free) ||
        (near_data_only && !near_data) ||
        !CanRun(scheduler, now, capacity.m_worker, ref, spread)) {
      continue;
    }
    double penalty = spec.m_long_running
                         ? UsedFraction(worker, capacity.m_free)
                         : 1 - UsedFraction(worker, capacity.m_free);
    penalty += ref.GetTask().m_last_failed_on == capacity.m_worker
                   ? kFailedTherePenalty
                   : 0;
    penalty += worker.m_failure_streak;
    if (!spec.m_data_rack.Empty() && !near_data) {
      penalty += kFarFromDataPenalty;
    }
    if (spec.m_long_running) {
      penalty += LongRunningPenalty(scheduler, capacity.m_worker, ref, spread);
    }
    if (penalty < best_penalty) {
      best_penalty = penalty;
      best = capacity.m_worker;
    }
  }
  return best;
}

std::vector<WorkerIndex> ChooseGangWorkers(const Scheduler& scheduler,
                                           TimePoint now,
                                           std::vector<FreeCapacity> capacities,
                                           const TaskRef& first) {
  const StepSpec& spec = first.Spec();
  const ResourceVector needed = ReservedDemand(spec);
  const std::size_t count = first.GetStep().m_tasks.size();
  const StepSpread spread = SpreadOf(scheduler, first);
  const auto place = [&](const RackName* rack) {
    std::vector<FreeCapacity> remaining = capacities;
    std::sort(remaining.begin(), remaining.end(),
              [](const FreeCapacity& a, const FreeCapacity& b) {
                return a.m_free.m_cpu > b.m_free.m_cpu;
              });
    std::vector<WorkerIndex> workers;
    for (FreeCapacity& capacity : remaining) {
      const Worker& worker = scheduler.m_workers[capacity.m_worker];
      if ((rack != nullptr && worker.m_record.m_rack != *rack) ||
          !CanRun(scheduler, now, capacity.m_worker, first, spread)) {
        continue;
      }
      std::uint32_t count_here = CountOnWorker(spread, capacity.m_worker);
      while (
          workers.size() < count && FitsIn(needed, capacity.m_free) &&
          (spec.m_max_per_worker == 0 || count_here < spec.m_max_per_worker)) {
        capacity.m_free -= needed;
        workers.push_back(capacity.m_worker);
        ++count_here;
      }
    }
    return workers.size() == count ? workers : std::vector<WorkerIndex>();
  };
  if (!spec.m_data_rack.Empty()) {
    auto near_data_workers = place(&spec.m_data_rack);
    if (!near_data_workers.empty() || WaitsForData(scheduler, now, first)) {
      return near_data_workers;
    }
  }
  if (!spec.m_colocated) {
    return place(nullptr);
  }
  std::set<RackName> racks;
  for (const FreeCapacity& capacity : capacities) {
    racks.insert(scheduler.m_workers[capacity.m_worker].m_record.m_rack);
  }
  for (const RackName& rack : racks) {
    auto workers = place(&rack);
    if (!workers.empty()) {
      return workers;
    }
  }
  // A colocated gang runs far slower across racks, but that is better than not
  // at all.
  const bool waited = ToSeconds(now - first.GetStep().m_ready_at) >=
                      kDataWaitFactor * ToSeconds(spec.m_estimate);
  return waited ? place(nullptr) : std::vector<WorkerIndex>();
}

const std::string* FindTicket(const Scheduler& scheduler, TimePoint now,
                              const TaskId& task, const WorkerName& worker) {
  TaskId step = task;
  step.m_index = 0;
  const auto approvals = scheduler.m_approvals.find(step);
  if (approvals == scheduler.m_approvals.end() ||
      now >= approvals->second.m_valid_until) {
    return nullptr;
  }
  const auto ticket = approvals->second.m_tickets.find(worker);
  return ticket == approvals->second.m_tickets.end() ? nullptr
                                                     : &ticket->second;
}

}  // namespace filbertspar::scheduler
