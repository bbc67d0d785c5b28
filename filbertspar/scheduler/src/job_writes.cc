#include <algorithm>
#include <utility>

#include "filbertspar/scheduler/src/jobs.h"
#include "filbertspar/scheduler/src/starts.h"
#include "filbertspar/scheduler/src/workers.h"

namespace filbertspar::scheduler {
namespace {

StepProgress ProgressOfStep(const Scheduler& scheduler, const Job& job,
                            std::uint32_t occurrence, std::uint32_t number,
                            const Step& step) {
  StepProgress progress;
  if (step.m_done > 0) {
    progress.m_done.assign((step.m_tasks.size() + 7) / 8, '\0');
  }
  for (std::uint32_t t = 0; t < step.m_tasks.size(); ++t) {
    const Task& task = step.m_tasks[t];
    if (task.m_phase == TaskPhase::kDone) {
      progress.m_done[t / 8] = static_cast<char>(
          static_cast<unsigned char>(progress.m_done[t / 8]) | (1U << (t % 8)));
      continue;
    }
    std::string worker =
        WorkerOfRun(scheduler, {job.m_spec->m_id, occurrence, number, t}, task);
    if (!worker.empty() || !task.m_failed_runs.empty() ||
        !task.m_checkpoint.empty() || !task.m_crashes.empty()) {
      progress.m_tasks.push_back({t, task.m_failed_runs, task.m_checkpoint,
                                  std::move(worker), task.m_crashes});
    }
  }
  return progress;
}

/// Of a final job only the runs being stopped are stored: they still count
/// against the workspace's quota.
StepProgress RunsOf(const Scheduler& scheduler, const Job& job,
                    std::uint32_t occurrence, std::uint32_t number,
                    const Step& step) {
  StepProgress progress;
  for (std::uint32_t t = 0; t < step.m_tasks.size(); ++t) {
    std::string worker = WorkerOfRun(
        scheduler, {job.m_spec->m_id, occurrence, number, t}, step.m_tasks[t]);
    if (!worker.empty()) {
      progress.m_tasks.push_back({t, {}, "", std::move(worker), {}});
    }
  }
  return progress;
}

bool HasRuns(const OccurrenceProgress& occurrence) {
  return std::any_of(
      occurrence.m_steps.begin(), occurrence.m_steps.end(),
      [](const StepProgress& step) {
        return std::any_of(
            step.m_tasks.begin(), step.m_tasks.end(),
            [](const TaskProgress& task) { return !task.m_worker.empty(); });
      });
}

void ClearCheckpoints(JobProgress& progress) {
  for (OccurrenceProgress& occurrence : progress.m_occurrences) {
    for (StepProgress& step : occurrence.m_steps) {
      for (TaskProgress& task : step.m_tasks) {
        task.m_checkpoint.clear();
      }
    }
  }
}

}  // namespace

JobProgress ProgressOf(const Scheduler& scheduler, const Job& job) {
  JobProgress progress;
  progress.m_state = job.m_state;
  if (!IsFinal(job.m_state) && job.m_has_begun) {
    progress.m_state = JobState::kRunning;
  }
  progress.m_ended_ms = job.m_ended_ms;
  progress.m_next_occurrence = job.m_next_occurrence;
  if (IsFinal(job.m_state)) {
    // The job's own row, which names them too, goes with its last run.
    progress.m_queue = job.m_spec->m_queue;
    progress.m_workspace = job.m_spec->m_workspace;
  }
  for (const auto& occurrence : job.m_occurrences) {
    OccurrenceProgress occurrence_progress;
    occurrence_progress.m_number = occurrence->m_number;
    for (const Step& step : occurrence->m_steps) {
      const auto number =
          static_cast<std::uint32_t>(occurrence_progress.m_steps.size());
      occurrence_progress.m_steps.push_back(
          IsFinal(job.m_state)
              ? RunsOf(scheduler, job, occurrence_progress.m_number, number,
                       step)
              : ProgressOfStep(scheduler, job, occurrence_progress.m_number,
                               number, step));
    }
    if (!IsFinal(job.m_state) || HasRuns(occurrence_progress)) {
      progress.m_occurrences.push_back(std::move(occurrence_progress));
    }
  }
  return progress;
}

namespace {

JobWrite MakeWrite(const Scheduler& scheduler, const Job& job,
                   std::uint64_t first_change) {
  JobProgress progress = ProgressOf(scheduler, job);
  JobWrite write;
  write.m_id = job.m_spec->m_id;
  write.m_state = job.m_state;
  write.m_has_runs = std::any_of(progress.m_occurrences.begin(),
                                 progress.m_occurrences.end(), HasRuns);
  write.m_progress = EncodeProgress(progress);
  write.m_first_change = first_change;
  if (write.m_progress.size() > kMaxProgressBytes) {
    // A task without its checkpoint only repeats work.
    ClearCheckpoints(progress);
    write.m_progress = EncodeProgress(progress);
  }
  return write;
}

bool MayWrite(const Job& job, TimePoint now) {
  return !job.m_is_rejected || now >= job.m_write_not_before;
}

}  // namespace

std::vector<JobWrite> TakePendingWrites(Scheduler& scheduler, TimePoint now,
                                        std::size_t limit,
                                        const WriteFits& fits) {
  std::vector<JobWrite> writes;
  auto next = scheduler.m_unstored_jobs.begin();
  while (next != scheduler.m_unstored_jobs.end() && writes.size() < limit) {
    Job& job = *next->second;
    if (!MayWrite(job, now)) {
      ++next;
      continue;
    }
    JobWrite write = MakeWrite(scheduler, job, next->first);
    if (!fits(write)) {
      break;
    }
    if (writes.empty()) {
      scheduler.m_first_change_in_write = next->first;
    }
    next = scheduler.m_unstored_jobs.erase(next);
    job.m_first_unstored = 0;
    writes.push_back(std::move(write));
  }
  return writes;
}

bool HasPendingWrites(const Scheduler& scheduler, TimePoint now) {
  return std::any_of(
      scheduler.m_unstored_jobs.begin(), scheduler.m_unstored_jobs.end(),
      [now](const auto& entry) { return MayWrite(*entry.second, now); });
}

void HandleWriteCompleted(Scheduler& scheduler, TimePoint now,
                          const std::vector<JobWrite>& jobs) {
  scheduler.m_first_change_in_write = 0;
  for (const JobWrite& write : jobs) {
    const auto found = scheduler.m_jobs.find(write.m_id);
    if (found != scheduler.m_jobs.end()) {
      found->second->m_stored_state = write.m_state;
      found->second->m_has_stored_row =
          !IsFinal(write.m_state) || write.m_has_runs;
      found->second->m_is_rejected = false;
    }
  }
  AcknowledgeStoredRuns(scheduler);
  IssueRecordedStarts(scheduler, now);
}

void ReturnWrites(Scheduler& scheduler, const std::vector<JobWrite>& jobs) {
  scheduler.m_first_change_in_write = 0;
  for (const JobWrite& write : jobs) {
    const auto found = scheduler.m_jobs.find(write.m_id);
    if (found == scheduler.m_jobs.end()) {
      continue;
    }
    Job& job = *found->second;
    if (job.m_first_unstored != 0) {
      scheduler.m_unstored_jobs.erase(job.m_first_unstored);
    }
    job.m_first_unstored = write.m_first_change;
    scheduler.m_unstored_jobs[write.m_first_change] = &job;
  }
}

void HandleWriteRejected(Scheduler& scheduler, TimePoint now,
                         const JobId& job) {
  /// Each attempt delays the writes of other jobs a little.
  constexpr Duration kRetryDelay = Seconds(2);
  const auto found = scheduler.m_jobs.find(job);
  if (found == scheduler.m_jobs.end()) {
    return;
  }
  found->second->m_is_rejected = true;
  found->second->m_write_not_before = now + kRetryDelay;
  AcknowledgeStoredRuns(scheduler);
  IssueRecordedStarts(scheduler, now);
}

}  // namespace filbertspar::scheduler
