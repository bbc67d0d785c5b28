#include "filbertspar/scheduler/src/workers.h"

#include <algorithm>

#include "absl/container/flat_hash_set.h"
#include "absl/strings/str_cat.h"
#include "filbertspar/scheduler/src/crashes.h"
#include "filbertspar/scheduler/src/jobs.h"
#include "filbertspar/scheduler/src/starts.h"
#include "filbertspar/scheduler/src/superseded.h"
#include "filbertspar/scheduler/src/unanswered.h"

namespace filbertspar::scheduler {
namespace {

/// Interval after which the stop of a run that goes on is sent again.
constexpr Duration kStopRetryInterval = Seconds(1);
/// Consecutive failures on one worker after which it gets no task for
/// kAvoidDuration.
constexpr std::uint32_t kMaxFailureStreak = 3;
constexpr Duration kAvoidDuration = Seconds(5);
/// Incarnations of one worker of which late answers are recognized.
constexpr std::size_t kMaxEndedIncarnations = 8;

/// Whether another owner may have ordered runs.
bool HasPredecessor(const Scheduler& scheduler) {
  return scheduler.m_options.m_fencing > FencingNumber(1);
}

/// Latest time at which an incarnation that has just been fenced may have
/// executed a call to a former one.
TimePoint LatestCall(const Scheduler& scheduler, TimePoint now,
                     const Worker& worker) {
  // Calls of the previous owner, or of this one to a former incarnation.
  const TimePoint inherited =
      HasPredecessor(scheduler)
          ? std::min(scheduler.m_options.m_inherited_doubt_until -
                         MaxLeaseTime(scheduler),
                     LatestStartOf(scheduler, worker.m_incarnation) +
                         kMaxDetectionTime + kMaxCallDelay)
          : TimePoint::min();
  const TimePoint own = worker.m_ended_incarnations.empty()
                            ? TimePoint::min()
                            : worker.m_used_at + kMaxCallDelay;
  return std::min(now, std::max(inherited, own));
}

bool HasRuns(const Worker& worker) {
  return !worker.m_tasks.empty() || !worker.m_superseded_runs.empty();
}

bool HasEnded(const Worker& worker, std::int64_t incarnation) {
  const auto& ended = worker.m_ended_incarnations;
  return std::find(ended.begin(), ended.end(), incarnation) != ended.end();
}

/// Keeps the reading that gives the highest lower bound of the clock.
void UpdateClock(Worker& worker, TimePoint now, std::int64_t clock_ms) {
  if (clock_ms >= MinWorkerClock(worker, now) || !worker.m_has_responded) {
    worker.m_clock_ms = clock_ms;
    worker.m_clock_at = now;
  }
}

void RequeueTasksOf(Scheduler& scheduler, TimePoint now, Worker& worker,
                    std::string_view reason) {
  const std::vector<TaskRef> tasks = worker.m_tasks;
  for (const TaskRef& ref : tasks) {
    RequeueLostTask(scheduler, now, ref, reason);
  }
}

/// A new incarnation has no runs of the previous one, but may execute starts
/// that this one has not answered.
void HandleNewIncarnation(Scheduler& scheduler, TimePoint now,
                          WorkerIndex index, const WorkerStatus& status) {
  Worker& worker = scheduler.m_workers[index];
  const std::int64_t former = worker.m_incarnation;
  const bool is_first = former == 0;
  if (!is_first) {
    HandleWorkerReplaced(scheduler, now, index);
    worker.m_ended_incarnations.push_back(former);
    if (worker.m_ended_incarnations.size() > kMaxEndedIncarnations) {
      worker.m_ended_incarnations.pop_front();
    }
  }
  worker.m_end = WorkerEnd();
  worker.m_incarnation = status.m_incarnation;
  worker.m_has_responded = false;
  worker.m_has_listed_all = false;
  worker.m_last_list_is_cut = false;
  worker.m_answered_fencing = FencingNumber();
  if (!is_first || HasPredecessor(scheduler)) {
    BeginUnknownLease(scheduler, now, worker);
  }
  if (is_first) {
    return;
  }
  RaiseFencing(scheduler, index);
  ReleaseSupersededRuns(scheduler, worker);
  worker.m_finished_read = 0;
  worker.m_finished_stored = 0;
  worker.m_finished_acknowledged = 0;
  worker.m_unstored_finished.clear();
  worker.m_failure_streak = 0;
  worker.m_avoid_until = TimePoint::min();
  worker.m_no_capacity_until = TimePoint::min();
  worker.m_unwanted_stops.clear();
  for (auto& [step, approvals] : scheduler.m_approvals) {
    approvals.m_tickets.erase(worker.m_record.m_name);
  }
  const std::vector<TaskRef> tasks = worker.m_tasks;
  for (const TaskRef& ref : tasks) {
    if (HasUnansweredStart(ref.GetTask())) {
      BeginDoubt(scheduler, now, ref.GetTask());
    } else {
      RequeueLostTask(scheduler, now, ref, "worker_restarted");
    }
  }
  // Runs and ends in the first answer are of orders to former incarnations.
  AddLogEvent(scheduler, "worker_restarted", {}, index,
              absl::StrCat("incarnation=", status.m_incarnation,
                           " former=", former, " clock_ms=", status.m_clock_ms,
                           " runs=", status.m_running.size(),
                           " ends=", status.m_finished.size()));
}

void RecordOutcome(Scheduler& scheduler, TimePoint now, WorkerIndex index,
                   RunOutcome outcome) {
  Worker& worker = scheduler.m_workers[index];
  if (outcome == RunOutcome::kDone) {
    worker.m_failure_streak = 0;
    return;
  }
  if (outcome != RunOutcome::kFailed) {
    return;
  }
  if (++worker.m_failure_streak >= kMaxFailureStreak) {
    worker.m_avoid_until = now + kAvoidDuration;
    // After the pause one more failure suffices.
    worker.m_failure_streak = kMaxFailureStreak - 1;
    AddLogEvent(scheduler, "worker_avoided", {}, index, "reason=failures");
  }
}

void AcknowledgeStored(const Scheduler& scheduler, Worker& worker) {
  const std::uint64_t stored = LastStoredChange(scheduler);
  while (!worker.m_unstored_finished.empty() &&
         worker.m_unstored_finished.front().m_change <= stored &&
         !IsRejected(scheduler, worker.m_unstored_finished.front().m_job)) {
    worker.m_finished_stored = worker.m_unstored_finished.front().m_number;
    worker.m_unstored_finished.pop_front();
  }
}

void ReadFinishedRuns(Scheduler& scheduler, TimePoint now, WorkerIndex index,
                      const WorkerStatus& status) {
  for (const FinishedRun& finished : status.m_finished) {
    Worker& worker = scheduler.m_workers[index];
    if (finished.m_number <= worker.m_finished_read) {
      continue;
    }
    worker.m_finished_read = finished.m_number;
    RecordOutcome(scheduler, now, index, finished.m_outcome);
    HandleSupersededEnd(scheduler, index, finished.m_task, finished.m_run);
    OpenListedOccurrence(scheduler, finished.m_task);
    const TaskRef ref = FindTask(scheduler, finished.m_task);
    const bool has_stored_effect = ref && !ref.Spec().m_long_running;
    if (ref) {
      MarkBegun(scheduler, now, *ref.m_job, index);
      HandleRunFinished(scheduler, now, ref, finished, index);
    }
    // A finished run that changed nothing may still depend on a change that is
    // not stored yet.
    const std::uint64_t change =
        has_stored_effect ? scheduler.m_last_change : 0;
    AddLogDetail(
        scheduler, "task_end", finished.m_task, index,
        absl::StrCat("how=", std::string(RunOutcomeName(finished.m_outcome)),
                     " run=", finished.m_run.Value()));
    scheduler.m_workers[index].m_unstored_finished.push_back(
        {finished.m_number, finished.m_task.m_job, change});
  }
  AcknowledgeStored(scheduler, scheduler.m_workers[index]);
}

void StopUnwantedRun(Scheduler& scheduler, TimePoint now, WorkerIndex index,
                     const ActiveRun& run) {
  Worker& worker = scheduler.m_workers[index];
  const std::string key = absl::StrCat(
      run.m_task.m_job.Value(), ".", run.m_task.m_occurrence, ".",
      run.m_task.m_step, ".", run.m_task.m_index, "/", run.m_run.Value());
  const auto found = worker.m_unwanted_stops.find(key);
  if (found != worker.m_unwanted_stops.end() &&
      now - found->second < kStopRetryInterval) {
    return;
  }
  worker.m_unwanted_stops[key] = now;
  scheduler.m_effects.m_stops.push_back(
      {index, {run.m_task, run.m_run, worker.m_fencing}});
  AddLogDetail(scheduler, "unwanted_run_stop", run.m_task, index,
               absl::StrCat("run=", run.m_run.Value(),
                            " incarnation=", worker.m_incarnation));
}

void AdoptRun(Scheduler& scheduler, TimePoint now, const TaskRef& ref,
              WorkerIndex index, const ActiveRun& run) {
  Task& task = ref.GetTask();
  const bool is_recorded = WorkerOfRun(scheduler, ref.Id(), task) ==
                           scheduler.m_workers[index].m_record.m_name.Value();
  RemoveInheritedRun(scheduler, ref);
  ReserveResources(scheduler, ref, index);
  if (!is_recorded) {
    scheduler.m_last_unrecorded_start = MarkChanged(scheduler, *ref.m_job);
  }
  --ref.GetStep().m_waiting;
  task.m_phase = TaskPhase::kRunning;
  task.m_run = run.m_run.Value();
  task.m_run_began_at = TimePoint::min();
  task.m_since = now;
  task.m_order_confirmed_at = now;
  AddLogEvent(scheduler, "task_adopted", ref.Id(), index,
              absl::StrCat("run=", run.m_run.Value(), " incarnation=",
                           scheduler.m_workers[index].m_incarnation));
}

void ReadActiveRun(Scheduler& scheduler, TimePoint now, WorkerIndex index,
                   const ActiveRun& run) {
  OpenListedOccurrence(scheduler, run.m_task);
  const TaskRef ref = FindTask(scheduler, run.m_task);
  if (ref) {
    MarkBegun(scheduler, now, *ref.m_job, index);
  }
  if (!ref || ref.GetTask().m_phase == TaskPhase::kDone) {
    StopUnwantedRun(scheduler, now, index, run);
    return;
  }
  Task& task = ref.GetTask();
  if (IsFinal(ref.m_job->m_state)) {
    if (task.m_phase == TaskPhase::kWaiting &&
        run.m_run.Value() >= task.m_run) {
      AdoptRun(scheduler, now, ref, index, run);
      StopTask(scheduler, now, ref, "job_is_final");
    } else {
      StopUnwantedRun(scheduler, now, index, run);
    }
    return;
  }
  if (task.m_phase == TaskPhase::kWaiting && run.m_run.Value() >= task.m_run) {
    AdoptRun(scheduler, now, ref, index, run);
  }
  if (task.m_worker != index || task.m_run != run.m_run.Value()) {
    StopUnwantedRun(scheduler, now, index, run);
    return;
  }
  task.m_start_fencing = FencingNumber();
  if (task.m_phase == TaskPhase::kStarting) {
    task.m_phase = TaskPhase::kRunning;
    task.m_since = now;
    task.m_order_confirmed_at = now;
  }
  if (task.m_phase == TaskPhase::kStopping &&
      now - task.m_since > kStopRetryInterval) {
    StopTask(scheduler, now, ref, "still_running");
  }
  task.m_reported_speed_percent = run.m_speed_percent;
  task.m_load = run.m_load;
  if (!run.m_checkpoint.empty()) {
    task.m_checkpoint = run.m_checkpoint;
    if (ref.Spec().m_gang) {
      ref.GetStep().m_gang_checkpoint = run.m_checkpoint;
    }
  }
}

/// Sums up the runs that the worker reports beside its tasks.
void CountUnwantedRuns(Scheduler& scheduler, WorkerIndex index,
                       const WorkerStatus& status) {
  Worker& worker = scheduler.m_workers[index];
  worker.m_unwanted_used = ResourceVector();
  worker.m_has_unknown_run = false;
  for (const ActiveRun& run : status.m_running) {
    const TaskRef ref = FindTask(scheduler, run.m_task);
    if (!ref) {
      worker.m_has_unknown_run = true;
    } else if ((ref.GetTask().m_worker != index ||
                ref.GetTask().m_run != run.m_run.Value()) &&
               !IsSuperseded(worker, run.m_task, run.m_run)) {
      worker.m_unwanted_used += ReservedDemand(ref.Spec());
    }
  }
}

/// Requeues tasks that the worker should report and does not.
void RequeueMissingRuns(Scheduler& scheduler, TimePoint sent, TimePoint now,
                        WorkerIndex index, const WorkerStatus& status,
                        FencingNumber fencing) {
  if (status.m_truncated) {
    return;
  }
  absl::flat_hash_set<std::pair<const Task*, std::uint64_t>> reported;
  for (const ActiveRun& run : status.m_running) {
    if (const TaskRef ref = FindTask(scheduler, run.m_task)) {
      reported.insert({&ref.GetTask(), run.m_run.Value()});
    }
  }
  const std::vector<TaskRef> tasks = scheduler.m_workers[index].m_tasks;
  for (const TaskRef& ref : tasks) {
    const Task& task = ref.GetTask();
    if (reported.contains({&task, task.m_run})) {
      continue;
    }
    const bool never_ran =
        HasUnansweredStart(task)
            ? IsRefused(task, fencing)
            : task.m_phase == TaskPhase::kStarting &&
                  status.m_clock_ms > task.m_start_deadline_ms;
    // The answer to a stop binds the incarnation that gave it only.
    const bool has_ended = task.m_phase != TaskPhase::kStarting &&
                           !HasUnansweredStart(task) &&
                           task.m_order_confirmed_at < sent;
    if (never_ran || has_ended) {
      RequeueLostTask(scheduler, now, ref,
                      never_ran ? "never_ran" : "not_listed");
    }
  }
}

/// Repeats stops whose order was given up without an answer. Without one, a
/// task that the worker does not list keeps its resources.
void RepeatUnansweredStops(Scheduler& scheduler, TimePoint now,
                           WorkerIndex index) {
  const std::vector<TaskRef> tasks = scheduler.m_workers[index].m_tasks;
  for (const TaskRef& ref : tasks) {
    const Task& task = ref.GetTask();
    if (task.m_phase == TaskPhase::kStopping &&
        task.m_order_confirmed_at == TimePoint::max() &&
        now - task.m_since > kStopRetryInterval) {
      StopTask(scheduler, now, ref, "stop_unanswered");
    }
  }
}

}  // namespace

WorkerIndex RegisterWorker(Scheduler& scheduler, TimePoint now,
                           const WorkerRecord& record) {
  const auto [found, is_new] = scheduler.m_worker_index.try_emplace(
      record.m_name, static_cast<WorkerIndex>(scheduler.m_workers.size()));
  const WorkerIndex index = found->second;
  if (is_new) {
    scheduler.m_workers.emplace_back();
    scheduler.m_pools[record.m_pool].m_workers.push_back(index);
    AddLogEvent(scheduler, "worker_listed", {}, index,
                absl::StrCat("pool=", record.m_pool.Value()));
  }
  Worker& worker = scheduler.m_workers[index];
  if (!is_new && worker.m_record.m_pool != record.m_pool) {
    auto& old = scheduler.m_pools[worker.m_record.m_pool].m_workers;
    old.erase(std::remove(old.begin(), old.end(), index), old.end());
    scheduler.m_pools[record.m_pool].m_workers.push_back(index);
  }
  if (record.m_draining && !worker.m_record.m_draining) {
    AddLogEvent(
        scheduler, "worker_draining", {}, index,
        absl::StrCat("remaining_ms=", ToMilliseconds(record.m_remaining)));
  }
  if (is_new) {
    worker.m_fencing = scheduler.m_options.m_fencing;
  }
  worker.m_record = record;
  worker.m_registered = true;
  worker.m_drain_deadline =
      record.m_draining ? now + record.m_remaining : TimePoint::max();
  return index;
}

void UnregisterWorker(Scheduler& scheduler, TimePoint now,
                      const WorkerName& name) {
  static_cast<void>(now);
  const auto found = scheduler.m_worker_index.find(name);
  if (found == scheduler.m_worker_index.end()) {
    return;
  }
  Worker& worker = scheduler.m_workers[found->second];
  if (worker.m_registered) {
    worker.m_registered = false;
    AddLogEvent(scheduler, "worker_unlisted", {}, found->second);
  }
}

void HandlePollResponse(Scheduler& scheduler, TimePoint sent, TimePoint now,
                        WorkerIndex index, const WorkerStatus& status,
                        FencingNumber fencing) {
  Worker& worker = scheduler.m_workers[index];
  if (sent < worker.m_answered_poll_sent_at ||
      HasEnded(worker, status.m_incarnation)) {
    // A later poll, or a later incarnation, has answered first.
    return;
  }
  if (status.m_incarnation != worker.m_incarnation) {
    HandleNewIncarnation(scheduler, now, index, status);
  }
  HandleWorkerAlive(scheduler, index);
  worker.m_answered_poll_sent_at = sent;
  UpdateClock(worker, now, status.m_clock_ms);
  worker.m_last_response_at = now;
  worker.m_failed_polls = 0;
  if (!worker.m_has_responded) {
    // Runs there may hold a lease of the previous owner.
    worker.m_lease_until = std::max(
        worker.m_lease_until, scheduler.m_options.m_inherited_leases_until);
  }
  worker.m_has_responded = true;
  if (!status.m_truncated && !worker.m_has_listed_all) {
    worker.m_has_listed_all = true;
    if (worker.m_last_list_is_cut) {
      AddLogEvent(scheduler, "worker_listed_all", {}, index,
                  absl::StrCat("ends_read=", worker.m_finished_read,
                               " ends=", status.m_finished.size()));
    }
  }
  worker.m_last_list_is_cut = status.m_truncated;
  worker.m_answered_fencing = std::max(worker.m_answered_fencing, fencing);
  if (worker.m_unknown_lease_until != TimePoint::min() && IsFenced(worker)) {
    EndUnknownLease(scheduler, LatestCall(scheduler, now, worker), worker);
  }
  if (worker.m_unwanted_stops.size() > status.m_running.size() + 64) {
    worker.m_unwanted_stops.clear();
  }
  ReadFinishedRuns(scheduler, now, index, status);
  for (const ActiveRun& run : status.m_running) {
    ReadActiveRun(scheduler, now, index, run);
  }
  ReviewSupersededRuns(scheduler, sent, now, index, status);
  CountUnwantedRuns(scheduler, index, status);
  RequeueMissingRuns(scheduler, sent, now, index, status, fencing);
  RepeatUnansweredStops(scheduler, now, index);
}

void HandlePollFailure(Scheduler& scheduler, TimePoint now, WorkerIndex index,
                       PollFailure failure) {
  ++scheduler.m_workers[index].m_failed_polls;
  RaiseFencing(scheduler, index);
  RecordPollFailure(scheduler.m_workers[index], now, failure);
}

void HandleInstanceReplaced(Scheduler& scheduler, TimePoint now,
                            WorkerIndex index) {
  Worker& worker = scheduler.m_workers[index];
  HandleWorkerReplaced(scheduler, now, index);
  worker.m_registered = false;
  worker.m_has_responded = false;
  worker.m_has_listed_all = false;
  worker.m_lease_until = TimePoint::min();
  RequeueTasksOf(scheduler, now, worker, "instance_gone");
  ReleaseSupersededRuns(scheduler, worker);
  AddLogEvent(scheduler, "worker_gone", {}, index, "reason=other_instance");
}

bool HasRunsOnUnlistedVms(const Scheduler& scheduler) {
  return std::any_of(
      scheduler.m_workers.begin(), scheduler.m_workers.end(),
      [&scheduler](const Worker& worker) {
        return HasRuns(worker) &&
               !scheduler.m_workers_of_vms.contains(worker.m_record.m_name);
      });
}

bool IsMachineEmpty(const Scheduler& scheduler, TimePoint now,
                    WorkerIndex index) {
  const Worker& worker = scheduler.m_workers[index];
  if (HasRuns(worker)) {
    return false;
  }
  if (worker.m_registered && IsResponsive(worker, now)) {
    // It has not been replaced. Ends that it has not listed yet would be lost.
    return !worker.m_last_list_is_cut;
  }
  return std::none_of(scheduler.m_workers.begin(), scheduler.m_workers.end(),
                      [&](const Worker& other) {
                        return !other.m_record.m_endpoint.m_address.empty() &&
                               other.m_record.m_endpoint ==
                                   worker.m_record.m_endpoint &&
                               HasRuns(other);
                      });
}

void AcknowledgeStoredRuns(Scheduler& scheduler) {
  for (Worker& worker : scheduler.m_workers) {
    AcknowledgeStored(scheduler, worker);
  }
}

}  // namespace filbertspar::scheduler
