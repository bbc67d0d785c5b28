#include "filbertspar/scheduler/src/unanswered.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "filbertspar/scheduler/src/workers.h"

namespace filbertspar::scheduler {
namespace {

/// Difference between the times of day of two machines, also after a jump.
constexpr Duration kMaxUnixDifference = Seconds(2);

/// The task if the order is for its current run; null otherwise.
Task* TaskOf(Scheduler& scheduler, WorkerIndex index, const StartOrder& order) {
  const TaskRef ref = FindTask(scheduler, order.m_task);
  const bool is_current = ref && ref.GetTask().m_worker == index &&
                          ref.GetTask().m_run == order.m_run.Value();
  return is_current ? &ref.GetTask() : nullptr;
}

void UseNextNumber(Scheduler& scheduler, Worker& worker) {
  if (worker.m_fencing >= scheduler.m_options.m_last_fencing) {
    scheduler.m_fencing_exhausted = true;
    return;
  }
  worker.m_fencing = FencingNumber(worker.m_fencing.Value() + 1);
}

}  // namespace

Duration MaxLeaseTime(const Scheduler& scheduler) {
  return MaxElapsedTime(ToMilliseconds(scheduler.m_options.m_max_lease)) +
         kLeaseKillDelay;
}

TimePoint LatestStartOf(const Scheduler& scheduler, std::int64_t incarnation) {
  return TimePoint(Milliseconds(incarnation) - scheduler.m_unix_offset +
                   kMaxUnixDifference);
}

std::uint64_t EndsToAcknowledge(const Worker& worker) {
  const bool may_start = std::any_of(
      worker.m_tasks.begin(), worker.m_tasks.end(), [&](const TaskRef& ref) {
        return HasUnansweredStart(ref.GetTask()) &&
               !IsRefused(ref.GetTask(), worker.m_answered_fencing);
      });
  return may_start ? 0 : worker.m_finished_stored;
}

bool HoldsBackEnds(const Worker& worker) {
  return worker.m_finished_stored > worker.m_finished_acknowledged &&
         EndsToAcknowledge(worker) == 0;
}

FencingNumber HandlePollSent(TimePoint now, Worker& worker,
                             std::uint64_t acknowledged) {
  worker.m_used_fencing = worker.m_fencing;
  worker.m_used_at = now;
  if (acknowledged > 0) {
    worker.m_finished_acknowledged = acknowledged;
    worker.m_acknowledging_fencing = worker.m_fencing;
  }
  return worker.m_fencing;
}

void RaiseFencing(Scheduler& scheduler, WorkerIndex index) {
  Worker& worker = scheduler.m_workers[index];
  worker.m_unanswered_fencing = worker.m_used_fencing;
  if (worker.m_fencing == worker.m_unanswered_fencing) {
    UseNextNumber(scheduler, worker);
  }
}

bool IsFenced(const Worker& worker) {
  return worker.m_answered_fencing > worker.m_unanswered_fencing;
}

bool HasUnansweredStart(const Task& task) {
  return task.m_start_fencing != FencingNumber();
}

FencingNumber HandleStartSent(Scheduler& scheduler, TimePoint now,
                              const StartOrder& order) {
  const TaskRef ref = FindTask(scheduler, order.m_task);
  Task& task = ref.GetTask();
  Worker& worker = scheduler.m_workers[task.m_worker];
  if (worker.m_fencing == worker.m_acknowledging_fencing) {
    UseNextNumber(scheduler, worker);
  }
  worker.m_used_fencing = worker.m_fencing;
  worker.m_used_at = now;
  task.m_start_fencing = worker.m_fencing;
  return task.m_start_fencing;
}

void HandleStartNotSent(Scheduler& scheduler, WorkerIndex index,
                        const StartOrder& order) {
  if (Task* task = TaskOf(scheduler, index, order)) {
    task->m_start_fencing = FencingNumber();
  }
}

void HandleStartUnanswered(Scheduler& scheduler, TimePoint now,
                           WorkerIndex index, const StartOrder& order) {
  const Worker& worker = scheduler.m_workers[index];
  if (order.m_fencing > worker.m_unanswered_fencing) {
    RaiseFencing(scheduler, index);
  }
  Task* task = TaskOf(scheduler, index, order);
  if (task == nullptr || !HasUnansweredStart(*task)) {
    return;
  }
  BeginDoubt(scheduler, now, *task);
  AddLogEvent(scheduler, "start_in_doubt", order.m_task, index,
              absl::StrCat("run=", order.m_run.Value(),
                           " incarnation=", order.m_incarnation,
                           " fencing=", order.m_fencing.Value(),
                           " next_fencing=", worker.m_fencing.Value()));
}

void BeginDoubt(const Scheduler& scheduler, TimePoint now, Task& task) {
  if (task.m_doubt_since == TimePoint::min()) {
    task.m_doubt_since = now;
    task.m_doubt_until = now + kMaxCallDelay + MaxLeaseTime(scheduler);
  }
}

bool IsRefused(const Task& task, FencingNumber fencing) {
  return HasUnansweredStart(task) && task.m_start_fencing < fencing;
}

bool IsDoubtOver(const Scheduler& scheduler, TimePoint now,
                 const Worker& worker, const Task& task) {
  if (task.m_doubt_since == TimePoint::min()) {
    // Still waits for its response.
    return false;
  }
  const bool is_gone = !worker.m_registered &&
                       scheduler.m_vms_listed_at > task.m_doubt_since &&
                       HasLeftVms(scheduler, worker.m_record.m_name);
  return is_gone || now > task.m_doubt_until;
}

void HandleVmList(Scheduler& scheduler, TimePoint shows_since,
                  const VmList& list) {
  std::set<WorkerName> listed;
  for (const VmRecord& vm : list.m_vms) {
    if (vm.m_state == VmStatus::kUp && !vm.m_worker.Empty()) {
      listed.insert(vm.m_worker);
    }
  }
  scheduler.m_shown_workers.insert(listed.begin(), listed.end());
  scheduler.m_unshown_workers.clear();
  scheduler.m_vms_shown_born_ms = 0;
  for (const Worker& worker : scheduler.m_workers) {
    const WorkerName& name = worker.m_record.m_name;
    if (listed.contains(name)) {
      scheduler.m_vms_shown_born_ms = std::max(scheduler.m_vms_shown_born_ms,
                                               worker.m_record.m_incarnation);
    }
    if (!scheduler.m_shown_workers.contains(name)) {
      scheduler.m_unshown_workers.insert(name);
    }
  }
  if (!list.m_invalid_vms.empty() || list.m_nameless_count > 0) {
    // Proves no absence.
    scheduler.m_vms_listed_at = TimePoint::min();
    return;
  }
  scheduler.m_vms_listed_at = shows_since;
  scheduler.m_workers_of_vms = std::move(listed);
}

bool HasLeftVms(const Scheduler& scheduler, const WorkerName& worker) {
  if (scheduler.m_vms_listed_at == TimePoint::min() ||
      scheduler.m_workers_of_vms.contains(worker)) {
    return false;
  }
  if (!scheduler.m_unshown_workers.contains(worker)) {
    return true;
  }
  const auto known = scheduler.m_worker_index.find(worker);
  const std::int64_t born =
      known == scheduler.m_worker_index.end()
          ? 0
          : scheduler.m_workers[known->second].m_record.m_incarnation;
  return born != 0 && born + ToMilliseconds(kMaxUnixDifference) <
                          scheduler.m_vms_shown_born_ms;
}

std::vector<WorkerName> ExpectedWorkers(const Scheduler& scheduler) {
  std::set<WorkerName> expected = scheduler.m_workers_of_vms;
  for (const Worker& worker : scheduler.m_workers) {
    if (worker.m_registered && !HasLeftVms(scheduler, worker.m_record.m_name)) {
      expected.insert(worker.m_record.m_name);
    }
  }
  return {expected.begin(), expected.end()};
}

void BeginUnknownLease(const Scheduler& scheduler, TimePoint now,
                       Worker& worker) {
  worker.m_unknown_lease_until = now + kMaxCallDelay + MaxLeaseTime(scheduler);
}

void EndUnknownLease(const Scheduler& scheduler, TimePoint latest_call,
                     Worker& worker) {
  worker.m_unknown_lease_until = TimePoint::min();
  worker.m_lease_until =
      std::max(worker.m_lease_until, latest_call + MaxLeaseTime(scheduler));
}

}  // namespace filbertspar::scheduler
