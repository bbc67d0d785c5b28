#include "filbertspar/scheduler/src/unanswered.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "filbertspar/scheduler/src/workers.h"

namespace filbertspar::scheduler {
namespace {

void BeginDoubt(const Scheduler& scheduler, TimePoint now, Task& task) {
  if (task.m_doubt_since == TimePoint::min()) {
    task.m_doubt_since = now;
    task.m_doubt_until = now + kMaxCallDelay + MaxLeaseTime(scheduler);
  }
}

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

std::uint64_t EndsToAcknowledge(const Worker& worker) {
  const bool has_unanswered_start = std::any_of(
      worker.m_tasks.begin(), worker.m_tasks.end(),
      [](const TaskRef& ref) { return IsStartInDoubt(ref.GetTask()); });
  return has_unanswered_start ? 0 : worker.m_finished_stored;
}

FencingNumber HandlePollSent(Worker& worker, std::uint64_t acknowledged) {
  worker.m_used_fencing = worker.m_fencing;
  if (acknowledged > 0) {
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

bool IsStartInDoubt(const Task& task) {
  return task.m_start_fencing != FencingNumber();
}

FencingNumber HandleStartSent(Scheduler& scheduler, const StartOrder& order) {
  const TaskRef ref = FindTask(scheduler, order.m_task);
  Task& task = ref.GetTask();
  Worker& worker = scheduler.m_workers[task.m_worker];
  if (worker.m_fencing == worker.m_acknowledging_fencing) {
    UseNextNumber(scheduler, worker);
  }
  worker.m_used_fencing = worker.m_fencing;
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
  if (task == nullptr || !IsStartInDoubt(*task)) {
    return;
  }
  BeginDoubt(scheduler, now, *task);
  AddLogEvent(scheduler, "start_in_doubt", order.m_task, index,
              absl::StrCat("run=", order.m_run.Value(),
                           " incarnation=", order.m_incarnation,
                           " fencing=", order.m_fencing.Value(),
                           " next_fencing=", worker.m_fencing.Value()));
}

bool KeepsStartInDoubt(TimePoint now, Scheduler& scheduler, Task& task) {
  if (!IsStartInDoubt(task)) {
    return false;
  }
  BeginDoubt(scheduler, now, task);
  return true;
}

bool IsRefused(const Task& task, FencingNumber fencing) {
  return IsStartInDoubt(task) && task.m_start_fencing < fencing;
}

bool IsDoubtOver(const Scheduler& scheduler, TimePoint now,
                 const Worker& worker, const Task& task) {
  if (task.m_doubt_since == TimePoint::min()) {
    // Still waits for its response.
    return false;
  }
  if (now > task.m_doubt_until || !worker.m_registered) {
    return true;
  }
  return worker.m_record.m_incarnation != 0 &&
         worker.m_record.m_incarnation == worker.m_incarnation &&
         scheduler.m_registrations_read_at >
             task.m_doubt_since + scheduler.m_options.m_registration_expiry;
}

}  // namespace filbertspar::scheduler
