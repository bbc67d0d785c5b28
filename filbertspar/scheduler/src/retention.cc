#include <memory>
#include <utility>

#include "filbertspar/scheduler/src/jobs.h"

namespace filbertspar::scheduler {

std::size_t TasksPerOccurrence(const JobSpec& spec) {
  std::size_t tasks = 0;
  for (const StepSpec& step : spec.m_steps) {
    tasks += step.m_count;
  }
  return tasks;
}

void TrimFinishedJobs(Scheduler& scheduler, TimePoint now) {
  /// Longer than a start may be late, so that no run of the job can show up.
  constexpr Duration kTrimAfter = Seconds(10);
  for (const auto& [id, job] : scheduler.m_jobs) {
    if (!IsFinal(job->m_stored_state) || job->m_has_stored_row ||
        job->m_placed_tasks > 0 || job->m_first_unstored != 0 ||
        job->m_occurrences.empty() || now - job->m_ended_at < kTrimAfter) {
      continue;
    }
    auto spec = std::make_shared<JobSpec>();
    spec->m_id = job->m_spec->m_id;
    spec->m_queue = job->m_spec->m_queue;
    spec->m_workspace = job->m_spec->m_workspace;
    spec->m_policy = job->m_spec->m_policy;
    job->m_spec = std::move(spec);
    job->m_occurrences.clear();
  }
}

std::size_t JobBytes(const JobSpec& spec, std::size_t tasks) {
  /// Memory of a job without its payload, steps and tasks.
  constexpr std::size_t kFixedBytes = 1500;
  std::size_t bytes =
      kFixedBytes + spec.m_payload.size() + tasks * sizeof(Task);
  for (const StepSpec& step : spec.m_steps) {
    bytes += sizeof(StepSpec) + sizeof(Step) +
             step.m_depends_on.size() * sizeof(std::uint32_t);
  }
  return bytes;
}

std::size_t JobBytes(const Scheduler& scheduler) {
  std::size_t bytes = 0;
  for (const auto& [id, job] : scheduler.m_jobs) {
    bytes += JobBytes(*job->m_spec,
                      job->m_occurrences.size() * job->m_tasks_per_occurrence);
  }
  return bytes;
}

std::vector<JobId> RemoveExpiredJobs(Scheduler& scheduler, TimePoint now,
                                     std::size_t limit) {
  std::vector<JobId> forgotten;
  for (const auto& [id, job] : scheduler.m_jobs) {
    if (forgotten.size() >= limit) {
      break;
    }
    // A row that is left without its progress would run the job again.
    if (IsFinal(job->m_stored_state) && !job->m_has_stored_row &&
        job->m_placed_tasks == 0 && job->m_first_unstored == 0 &&
        now - job->m_ended_at > scheduler.m_options.m_state_retention) {
      forgotten.push_back(id);
    }
  }
  for (const JobId& id : forgotten) {
    scheduler.m_jobs.erase(id);
  }
  return forgotten;
}

}  // namespace filbertspar::scheduler
