#include "filbertspar/scheduler/src/jobs.h"

#include <algorithm>
#include <string>

#include "absl/strings/str_cat.h"
#include "filbertspar/scheduler/src/fair_share.h"
#include "filbertspar/scheduler/src/starts.h"
#include "filbertspar/scheduler/src/superseded.h"
#include "filbertspar/scheduler/src/workers.h"

namespace filbertspar::scheduler {
namespace {

/// A long-running task that exits this soon after its start is restarted with a
/// delay that doubles up to the maximum.
constexpr Duration kEarlyExitTime = Seconds(1);
constexpr Duration kMinRestartDelay = Milliseconds(50);
constexpr Duration kMaxRestartDelay = Milliseconds(400);
/// Decay of the sums of run times and estimates with each sample. A job has
/// tens of tasks, which are alike, so that the sums must span many jobs.
constexpr double kRatioWeight = 0.01;
/// Samples are clamped to these bounds so that one outlier does not distort the
/// estimate.
constexpr double kMinRatio = 0.2;
constexpr double kMaxRatio = 5;
bool IsBitSet(const std::string& bits, std::uint32_t index) {
  return index / 8 < bits.size() &&
         ((static_cast<unsigned char>(bits[index / 8]) >> (index % 8)) & 1U) !=
             0;
}

Duration CriticalPath(const JobSpec& spec) {
  std::vector<Duration> step_ends(spec.m_steps.size(), Duration(0));
  Duration longest{0};
  for (std::size_t i = 0; i < spec.m_steps.size(); ++i) {
    Duration start{0};
    for (const std::uint32_t dependency : spec.m_steps[i].m_depends_on) {
      start = std::max(start, step_ends[dependency]);
    }
    step_ends[i] = start + spec.m_steps[i].m_estimate;
    longest = std::max(longest, step_ends[i]);
  }
  return longest;
}

Job& InsertJob(Scheduler& scheduler, TimePoint now, JobSpec spec) {
  auto job = std::make_unique<Job>();
  job->m_accepted_at = now;
  job->m_long_running =
      std::any_of(spec.m_steps.begin(), spec.m_steps.end(),
                  [](const StepSpec& step) { return step.m_long_running; });
  job->m_critical_path = CriticalPath(spec);
  job->m_tasks_per_occurrence = TasksPerOccurrence(spec);
  job->m_spec = std::make_shared<const JobSpec>(std::move(spec));
  Job& inserted = *job;
  scheduler.m_jobs[job->m_spec->m_id] = std::move(job);
  return inserted;
}

void ActivateJob(Scheduler& scheduler, TimePoint now, Job& job) {
  scheduler.m_pools[job.m_spec->m_policy.m_pool].m_jobs.push_back(&job);
  if (job.m_spec->m_occurrence_count == 0 && job.m_next_occurrence == 0) {
    AddOccurrence(job, 0);
    job.m_next_occurrence = 1;
  }
  OpenDueOccurrences(job, UnixMs(scheduler, now));
}

/// Makes the job final and stops its starting and running tasks.
void FinishJob(Scheduler& scheduler, TimePoint now, Job& job, JobState state) {
  job.m_state = state;
  job.m_ended_at = now;
  job.m_ended_ms = UnixMs(scheduler, now);
  auto& jobs = scheduler.m_pools[job.m_spec->m_policy.m_pool].m_jobs;
  jobs.erase(std::remove(jobs.begin(), jobs.end(), &job), jobs.end());
  for (const auto& occurrence : job.m_occurrences) {
    for (std::uint32_t s = 0; s < occurrence->m_steps.size(); ++s) {
      for (std::uint32_t t = 0; t < occurrence->m_steps[s].m_tasks.size();
           ++t) {
        const TaskRef ref{&job, occurrence.get(), s, t};
        const TaskPhase phase = ref.GetTask().m_phase;
        if (phase == TaskPhase::kStarting || phase == TaskPhase::kRunning) {
          StopTask(scheduler, now, ref, JobStateName(state));
        }
      }
    }
  }
  MarkChanged(scheduler, job);
  AddLogEvent(
      scheduler, absl::StrCat("job_", std::string(JobStateName(state))),
      {job.m_spec->m_id}, kNoWorker,
      absl::StrCat("after_ms=", ToMilliseconds(now - job.m_accepted_at)));
}

void FinishOccurrence(Scheduler& scheduler, TimePoint now, Job& job,
                      const Occurrence* occurrence) {
  const auto found =
      std::find_if(job.m_occurrences.begin(), job.m_occurrences.end(),
                   [occurrence](const std::unique_ptr<Occurrence>& candidate) {
                     return candidate.get() == occurrence;
                   });
  const bool has_placed_tasks = std::any_of(
      (*found)->m_steps.begin(), (*found)->m_steps.end(), [](const Step& step) {
        return std::any_of(
            step.m_tasks.begin(), step.m_tasks.end(),
            [](const Task& task) { return task.m_worker != kNoWorker; });
      });
  const std::uint32_t total = std::max(job.m_spec->m_occurrence_count, 1U);
  const bool all_done =
      job.m_next_occurrence >= total &&
      std::all_of(job.m_occurrences.begin(), job.m_occurrences.end(),
                  [](const std::unique_ptr<Occurrence>& candidate) {
                    return candidate->m_unfinished_steps == 0;
                  });
  if (all_done) {
    FinishJob(scheduler, now, job, JobState::kCompleted);
  } else if (!has_placed_tasks) {
    job.m_occurrences.erase(found);
  }
}

void SetWaiting(Scheduler& scheduler, TimePoint now, const TaskRef& ref) {
  Task& task = ref.GetTask();
  ReleaseResources(scheduler, ref);
  if (task.m_phase != TaskPhase::kWaiting && task.m_phase != TaskPhase::kDone) {
    task.m_phase = TaskPhase::kWaiting;
    ++ref.GetStep().m_waiting;
  }
  task.m_since = now;
  task.m_ordered_speed_percent = 100;
  task.m_is_isolated = false;
  if (IsFinal(ref.m_job->m_state) && ref.m_job->m_placed_tasks == 0) {
    // The last run has ended, so the rows that recorded the runs can be
    // removed.
    MarkChanged(scheduler, *ref.m_job);
  }
}

void SetDone(Scheduler& scheduler, TimePoint now, const TaskRef& ref) {
  Task& task = ref.GetTask();
  if (task.m_phase == TaskPhase::kDone) {
    return;
  }
  if (task.m_phase == TaskPhase::kWaiting) {
    --ref.GetStep().m_waiting;
  }
  RemoveInheritedRun(scheduler, ref);
  ReleaseResources(scheduler, ref);
  task.m_is_isolated = false;
  task.m_phase = TaskPhase::kDone;
  task.m_since = now;
  Step& step = ref.GetStep();
  ++step.m_done;
  MarkChanged(scheduler, *ref.m_job);
  if (step.m_done == step.m_tasks.size() &&
      --ref.m_occurrence->m_unfinished_steps == 0) {
    FinishOccurrence(scheduler, now, *ref.m_job, ref.m_occurrence);
  }
}

void UpdateRunTimeRatio(Scheduler& scheduler, TimePoint now,
                        const TaskRef& ref) {
  const Task& task = ref.GetTask();
  const StepSpec& spec = ref.Spec();
  if (spec.m_estimate <= Duration(0) || !task.m_checkpoint.empty() ||
      task.m_phase != TaskPhase::kRunning) {
    return;
  }
  QueueHistory& history = scheduler.m_history[ref.m_job->m_spec->m_queue];
  const double estimate = ToSeconds(spec.m_estimate);
  const double run_time =
      std::clamp(ToSeconds(now - task.m_since), estimate * kMinRatio,
                 estimate * kMaxRatio);
  history.m_run_seconds = history.m_run_seconds * (1 - kRatioWeight) + run_time;
  history.m_estimated_seconds =
      history.m_estimated_seconds * (1 - kRatioWeight) + estimate;
  history.m_ratio = history.m_run_seconds / history.m_estimated_seconds;
}

void CompleteTask(Scheduler& scheduler, TimePoint now, const TaskRef& ref) {
  UpdateRunTimeRatio(scheduler, now, ref);
  if (!ref.Spec().m_gang) {
    SetDone(scheduler, now, ref);
    return;
  }
  // When one member of a gang is done, all are. The last one may end the
  // occurrence, after which it can't be looked at.
  std::vector<TaskRef> unfinished;
  for (std::uint32_t i = 0; i < ref.GetStep().m_tasks.size(); ++i) {
    const TaskRef member{ref.m_job, ref.m_occurrence, ref.m_step, i};
    if (member.GetTask().m_phase != TaskPhase::kDone) {
      unfinished.push_back(member);
    }
  }
  for (const TaskRef& member : unfinished) {
    SetDone(scheduler, now, member);
  }
}

/// Counts each failed run once, in whatever order the reports arrive; a gang's
/// run fails once, whichever member reports it.
void CountFailure(Scheduler& scheduler, TimePoint now, const TaskRef& ref,
                  std::uint64_t run) {
  Task& counted = ref.Spec().m_gang ? ref.GetStep().m_tasks[0] : ref.GetTask();
  auto& runs = counted.m_failed_runs;
  if (std::find(runs.begin(), runs.end(), run) != runs.end()) {
    return;
  }
  runs.push_back(run);
  MarkChanged(scheduler, *ref.m_job);
  if (runs.size() >= ref.m_job->m_spec->m_policy.m_max_attempts) {
    FinishJob(scheduler, now, *ref.m_job, JobState::kFailed);
  }
}

void DelayRestart(TimePoint now, Task& task, TimePoint started_at) {
  if (now - started_at >= kEarlyExitTime) {
    task.m_not_before = now;
    return;
  }
  const Duration last = task.m_not_before - started_at;
  const Duration pause =
      std::clamp(last * 2, kMinRestartDelay, kMaxRestartDelay);
  task.m_not_before = now + pause;
}

}  // namespace

void AddJob(Scheduler& scheduler, TimePoint now, JobSpec spec) {
  if (scheduler.m_jobs.contains(spec.m_id)) {
    return;
  }
  Job& job = InsertJob(scheduler, now, std::move(spec));
  job.m_over_share = !job.m_long_running &&
                     job.m_spec->m_occurrence_count == 0 &&
                     !ConsumeShare(scheduler, now, job.m_spec->m_workspace);
  ActivateJob(scheduler, now, job);
  if (scheduler.m_cancelled_early.erase(job.m_spec->m_id) > 0) {
    FinishJob(scheduler, now, job, JobState::kCancelled);
  }
}

void RestoreJob(Scheduler& scheduler, TimePoint now, JobSpec spec,
                const JobProgress& progress) {
  if (scheduler.m_jobs.contains(spec.m_id)) {
    return;
  }
  const std::int64_t age_ms =
      std::max<std::int64_t>(0, UnixMs(scheduler, now) - spec.m_received_ms);
  Job& job = InsertJob(scheduler, now, std::move(spec));
  job.m_accepted_at = now - Milliseconds(age_ms);
  job.m_inherited = true;
  job.m_state = progress.m_state;
  job.m_stored_state = progress.m_state;
  job.m_next_occurrence = progress.m_next_occurrence;
  job.m_has_begun = progress.m_state == JobState::kRunning;
  for (const OccurrenceProgress& stored : progress.m_occurrences) {
    Occurrence& occurrence = AddOccurrence(job, stored.m_number);
    for (std::size_t s = 0;
         s < occurrence.m_steps.size() && s < stored.m_steps.size(); ++s) {
      Step& step = occurrence.m_steps[s];
      for (const TaskProgress& stored_task : stored.m_steps[s].m_tasks) {
        if (stored_task.m_index < step.m_tasks.size()) {
          Task& task = step.m_tasks[stored_task.m_index];
          task.m_failed_runs = stored_task.m_failed_runs;
          task.m_crashes = stored_task.m_crashes;
          job.m_has_begun = job.m_has_begun || !task.m_failed_runs.empty() ||
                            !stored_task.m_checkpoint.empty();
          task.m_since = now;
          if (!task.m_crashes.empty()) {
            scheduler.m_crash_suspects.insert(
                {job.m_spec->m_id, occurrence.m_number,
                 static_cast<std::uint32_t>(s), stored_task.m_index});
          }
          if (!stored_task.m_worker.empty()) {
            InheritRun(scheduler,
                       {&job, &occurrence, static_cast<std::uint32_t>(s),
                        stored_task.m_index},
                       WorkerName(stored_task.m_worker));
          }
          task.m_checkpoint = stored_task.m_checkpoint;
          if (job.m_spec->m_steps[s].m_gang) {
            step.m_gang_checkpoint = stored_task.m_checkpoint;
          }
        }
      }
      for (std::uint32_t t = 0; t < step.m_tasks.size(); ++t) {
        if (IsBitSet(stored.m_steps[s].m_done, t)) {
          step.m_tasks[t].m_phase = TaskPhase::kDone;
          ++step.m_done;
          --step.m_waiting;
        }
      }
      if (step.m_done == step.m_tasks.size()) {
        --occurrence.m_unfinished_steps;
      }
      job.m_has_begun = job.m_has_begun || step.m_done > 0;
    }
  }
  if (IsFinal(job.m_state)) {
    job.m_ended_ms = progress.m_ended_ms;
    job.m_ended_at = now;
    // The next write removes the job's row, unless runs of it may go on.
    MarkChanged(scheduler, job);
  } else {
    ActivateJob(scheduler, now, job);
  }
}

void RestoreFinalJob(Scheduler& scheduler, TimePoint now, const JobId& id,
                     const JobProgress& progress) {
  if (scheduler.m_jobs.contains(id)) {
    return;
  }
  JobSpec spec;
  spec.m_id = id;
  spec.m_queue = progress.m_queue;
  spec.m_workspace = progress.m_workspace;
  Job& job = InsertJob(scheduler, now, std::move(spec));
  job.m_state = progress.m_state;
  job.m_stored_state = progress.m_state;
  job.m_has_stored_row = false;
  job.m_ended_ms = progress.m_ended_ms;
  job.m_ended_at = now;
}

void CancelJob(Scheduler& scheduler, TimePoint now, const JobId& id) {
  const auto found = scheduler.m_jobs.find(id);
  if (found != scheduler.m_jobs.end() && !IsFinal(found->second->m_state)) {
    FinishJob(scheduler, now, *found->second, JobState::kCancelled);
  }
}

void CancelWhenAdded(Scheduler& scheduler, const JobId& id) {
  scheduler.m_cancelled_early.insert(id);
}

void ForgetEarlyCancel(Scheduler& scheduler, const JobId& id) {
  scheduler.m_cancelled_early.erase(id);
}

std::optional<JobState> ReportedState(const Scheduler& scheduler,
                                      const JobId& id) {
  const auto found = scheduler.m_jobs.find(id);
  if (found == scheduler.m_jobs.end()) {
    return std::nullopt;
  }
  const Job& job = *found->second;
  if (IsFinal(job.m_stored_state)) {
    return job.m_stored_state;
  }
  return job.m_has_begun ? JobState::kRunning : JobState::kQueued;
}

void MarkBegun(Scheduler& scheduler, TimePoint now, Job& job,
               WorkerIndex worker) {
  if (job.m_has_begun) {
    return;
  }
  job.m_has_begun = true;
  AddLogEvent(scheduler, "job_begun", {job.m_spec->m_id}, worker,
              absl::StrCat("after_ms=", ToMilliseconds(now - job.m_accepted_at),
                           " starts=", job.m_planned_starts,
                           " lost_starts=", job.m_lost_starts));
}

void HandleRunFinished(Scheduler& scheduler, TimePoint now, const TaskRef& ref,
                       const FinishedRun& finished, WorkerIndex worker) {
  Task& task = ref.GetTask();
  if (task.m_phase == TaskPhase::kDone) {
    return;
  }
  const bool is_last_run = finished.m_run.Value() >= task.m_run;
  const bool is_on_worker = task.m_worker == worker;
  if (IsFinal(ref.m_job->m_state)) {
    if (is_on_worker && is_last_run) {
      SetWaiting(scheduler, now, ref);
    }
    return;
  }
  const bool long_running = ref.Spec().m_long_running;
  if (finished.m_outcome == RunOutcome::kDone && !long_running) {
    task.m_run = std::max(task.m_run, finished.m_run.Value());
    if (task.m_worker != kNoWorker && !is_on_worker) {
      StopSupersededRun(scheduler, now, ref);
    }
    CompleteTask(scheduler, now, ref);
    return;
  }
  if (is_last_run && (is_on_worker || task.m_worker == kNoWorker)) {
    const TimePoint started_at = task.m_since;
    task.m_run = finished.m_run.Value();
    if (!finished.m_checkpoint.empty() &&
        finished.m_checkpoint != task.m_checkpoint) {
      task.m_checkpoint = finished.m_checkpoint;
      if (ref.Spec().m_gang) {
        ref.GetStep().m_gang_checkpoint = finished.m_checkpoint;
      }
      MarkChanged(scheduler, *ref.m_job);
    }
    if (long_running) {
      DelayRestart(now, task, started_at);
    }
    if (finished.m_outcome == RunOutcome::kFailed) {
      task.m_last_failed_on = worker;
    }
    SetWaiting(scheduler, now, ref);
  }
  if (finished.m_outcome == RunOutcome::kFailed && !long_running) {
    CountFailure(scheduler, now, ref, finished.m_run.Value());
  }
}

void FailJob(Scheduler& scheduler, TimePoint now, Job& job) {
  FinishJob(scheduler, now, job, JobState::kFailed);
}

void RequeueLostTask(Scheduler& scheduler, TimePoint now, const TaskRef& ref,
                     std::string_view reason) {
  const WorkerIndex worker = ref.GetTask().m_worker;
  const Task& task = ref.GetTask();
  ref.m_job->m_lost_starts += task.m_phase == TaskPhase::kStarting;
  AddLogDetail(scheduler, "task_lost", ref.Id(), worker,
               absl::StrCat("reason=", std::string(reason), " run=", task.m_run,
                            " sent=", MayRun(task), " confirmed=",
                            task.m_order_confirmed_at != TimePoint::max(),
                            " age_ms=", ToMilliseconds(now - task.m_since)));
  SetWaiting(scheduler, now, ref);
}

void StopTask(Scheduler& scheduler, TimePoint now, const TaskRef& ref,
              std::string_view reason) {
  Task& task = ref.GetTask();
  scheduler.m_effects.m_stops.push_back(
      {task.m_worker,
       {ref.Id(), RunNumber(task.m_run),
        scheduler.m_workers[task.m_worker].m_fencing}});
  task.m_phase = TaskPhase::kStopping;
  task.m_since = now;
  task.m_order_confirmed_at = TimePoint::max();
  AddLogDetail(
      scheduler, "task_stop", ref.Id(), task.m_worker,
      absl::StrCat("reason=", std::string(reason), " run=", task.m_run));
}

void SetPayloadHolder(Scheduler& scheduler, const JobId& job,
                      const VmName& vm) {
  const auto found = scheduler.m_jobs.find(job);
  if (found != scheduler.m_jobs.end()) {
    found->second->m_payload_holder = vm;
  }
}

}  // namespace filbertspar::scheduler
