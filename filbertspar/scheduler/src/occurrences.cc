#include "filbertspar/scheduler/src/occurrences.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace filbertspar::scheduler {
namespace {

/// Bounds of the occurrences of a job that are open at a time: each of them
/// takes memory, and time in every dispatch. Occurrences that are due beyond
/// them are opened as earlier ones finish.
constexpr std::size_t kMaxOpenOccurrences = 256;
constexpr std::size_t kMaxOpenTasks = kMaxTasksPerJob;

std::int64_t DueMs(const JobSpec& spec, std::uint32_t occurrence) {
  return spec.m_first_due_ms + static_cast<std::int64_t>(occurrence) *
                                   ToMilliseconds(spec.m_interval);
}

}  // namespace

Occurrence& AddOccurrence(Job& job, std::uint32_t number) {
  auto occurrence = std::make_unique<Occurrence>();
  occurrence->m_number = number;
  for (const StepSpec& spec : job.m_spec->m_steps) {
    Step step;
    step.m_tasks.resize(spec.m_count);
    step.m_waiting = spec.m_count;
    occurrence->m_steps.push_back(std::move(step));
  }
  occurrence->m_unfinished_steps =
      static_cast<std::uint32_t>(job.m_spec->m_steps.size());
  job.m_occurrences.push_back(std::move(occurrence));
  return *job.m_occurrences.back();
}

void OpenDueOccurrences(Job& job, std::int64_t unix_ms) {
  const JobSpec& spec = *job.m_spec;
  const std::size_t max_open = std::clamp<std::size_t>(
      kMaxOpenTasks / job.m_tasks_per_occurrence, 1, kMaxOpenOccurrences);
  while (job.m_occurrences.size() < max_open &&
         job.m_next_occurrence < spec.m_occurrence_count &&
         DueMs(spec, job.m_next_occurrence) <= unix_ms) {
    AddOccurrence(job, job.m_next_occurrence);
    ++job.m_next_occurrence;
  }
}

void OpenListedOccurrence(Scheduler& scheduler, const TaskId& task) {
  const auto found = scheduler.m_jobs.find(task.m_job);
  if (found == scheduler.m_jobs.end() || IsFinal(found->second->m_state)) {
    return;
  }
  Job& job = *found->second;
  if (task.m_occurrence >= job.m_spec->m_occurrence_count ||
      task.m_occurrence >= job.m_next_occurrence + kMaxOpenOccurrences) {
    return;
  }
  while (job.m_next_occurrence <= task.m_occurrence) {
    AddOccurrence(job, job.m_next_occurrence);
    ++job.m_next_occurrence;
  }
}

void AdvanceOccurrences(Scheduler& scheduler, TimePoint now) {
  const std::int64_t unix_ms = UnixMs(scheduler, now);
  for (auto& [name, pool] : scheduler.m_pools) {
    for (Job* job : pool.m_jobs) {
      OpenDueOccurrences(*job, unix_ms);
    }
  }
}

}  // namespace filbertspar::scheduler
