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

}  // namespace

JobProgress ProgressOf(const Scheduler& scheduler, const Job& job) {
  JobProgress progress;
  progress.m_state = job.m_state;
  progress.m_ended_ms = job.m_ended_ms;
  progress.m_next_occurrence = job.m_next_occurrence;
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

std::vector<JobWrite> TakePendingWrites(Scheduler& scheduler, std::size_t limit,
                                        std::size_t max_bytes) {
  std::vector<JobWrite> writes;
  std::size_t bytes = 0;
  while (!scheduler.m_unstored_jobs.empty() && writes.size() < limit &&
         bytes < max_bytes) {
    const auto first = scheduler.m_unstored_jobs.begin();
    Job& job = *first->second;
    if (writes.empty()) {
      scheduler.m_first_change_in_write = first->first;
    }
    scheduler.m_unstored_jobs.erase(first);
    job.m_first_unstored = 0;
    const JobProgress progress = ProgressOf(scheduler, job);
    const bool has_runs = std::any_of(progress.m_occurrences.begin(),
                                      progress.m_occurrences.end(), HasRuns);
    writes.push_back(
        {job.m_spec->m_id, job.m_state, has_runs, EncodeProgress(progress)});
    bytes += writes.back().m_progress.size();
  }
  return writes;
}

void HandleWriteCompleted(Scheduler& scheduler, TimePoint now,
                          const std::vector<JobWrite>& jobs) {
  scheduler.m_first_change_in_write = 0;
  for (const JobWrite& write : jobs) {
    const auto found = scheduler.m_jobs.find(write.m_id);
    if (found != scheduler.m_jobs.end()) {
      found->second->m_stored_state = write.m_state;
    }
  }
  AcknowledgeStoredRuns(scheduler);
  IssueRecordedStarts(scheduler, now);
}

}  // namespace filbertspar::scheduler
