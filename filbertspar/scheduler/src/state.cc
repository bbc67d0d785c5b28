#include "filbertspar/scheduler/src/state.h"

#include <algorithm>

namespace filbertspar::scheduler {

TaskRef FindTask(Scheduler& scheduler, const TaskId& id) {
  const auto found = scheduler.m_jobs.find(id.m_job);
  if (found == scheduler.m_jobs.end()) {
    return {};
  }
  Job* job = found->second.get();
  for (const auto& occurrence : job->m_occurrences) {
    if (occurrence->m_number == id.m_occurrence) {
      if (id.m_step >= occurrence->m_steps.size() ||
          id.m_index >= occurrence->m_steps[id.m_step].m_tasks.size()) {
        return {};
      }
      return {job, occurrence.get(), id.m_step, id.m_index};
    }
  }
  return {};
}

std::uint64_t MarkChanged(Scheduler& scheduler, Job& job) {
  const std::uint64_t change = ++scheduler.m_last_change;
  if (job.m_first_unstored == 0) {
    job.m_first_unstored = change;
    scheduler.m_unstored_jobs[change] = &job;
  }
  return change;
}

std::uint64_t LastStoredChange(const Scheduler& scheduler) {
  if (scheduler.m_first_change_in_write != 0) {
    return scheduler.m_first_change_in_write - 1;
  }
  const auto first = std::find_if(
      scheduler.m_unstored_jobs.begin(), scheduler.m_unstored_jobs.end(),
      [](const auto& entry) { return !entry.second->m_is_rejected; });
  return first == scheduler.m_unstored_jobs.end() ? scheduler.m_last_change
                                                  : first->first - 1;
}

bool IsRejected(const Scheduler& scheduler, const JobId& job) {
  const auto found = scheduler.m_jobs.find(job);
  return found != scheduler.m_jobs.end() && found->second->m_is_rejected;
}

std::int64_t UnixMs(const Scheduler& scheduler, TimePoint now) {
  return ToMilliseconds(now.time_since_epoch() + scheduler.m_unix_offset);
}

bool MayRun(const Task& task) {
  return task.m_phase != TaskPhase::kStarting ||
         task.m_start_deadline_ms != kStartNotSent;
}

ResourceVector ReservedDemand(const StepSpec& step) {
  ResourceVector reserved = step.m_demand;
  if (step.m_best_effort) {
    reserved.m_cpu = Millicores(0);
  }
  return reserved;
}

ResourceVector FreeOn(const Worker& worker) {
  return worker.m_record.m_capacity - worker.m_used - worker.m_unwanted_used;
}

void ReserveResources(Scheduler& scheduler, const TaskRef& ref,
                      WorkerIndex worker) {
  Task& task = ref.GetTask();
  FS_ASSERT(task.m_worker == kNoWorker,
            "a task reserves resources on one worker only");
  task.m_worker = worker;
  ++ref.m_job->m_placed_tasks;
  scheduler.m_workers[worker].m_used += ReservedDemand(ref.Spec());
  std::vector<TaskRef>& tasks = scheduler.m_workers[worker].m_tasks;
  task.m_position_on_worker = static_cast<std::uint32_t>(tasks.size());
  tasks.push_back(ref);
  scheduler.m_reserved[ref.m_job->m_spec->m_workspace] += ref.Spec().m_demand;
}

void ReleaseResources(Scheduler& scheduler, const TaskRef& ref) {
  Task& task = ref.GetTask();
  if (task.m_worker == kNoWorker) {
    return;
  }
  Worker& worker = scheduler.m_workers[task.m_worker];
  worker.m_used -= ReservedDemand(ref.Spec());
  const std::uint32_t position = task.m_position_on_worker;
  FS_ASSERT(position < worker.m_tasks.size() && worker.m_tasks[position] == ref,
            "a worker lists every task placed on it");
  worker.m_tasks[position] = worker.m_tasks.back();
  worker.m_tasks[position].GetTask().m_position_on_worker = position;
  worker.m_tasks.pop_back();
  scheduler.m_reserved[ref.m_job->m_spec->m_workspace] -= ref.Spec().m_demand;
  task.m_worker = kNoWorker;
  task.m_start_fencing = FencingNumber();
  task.m_doubt_since = TimePoint::min();
  --ref.m_job->m_placed_tasks;
}

void AddLogEvent(Scheduler& scheduler, std::string event, const TaskId& task,
                 WorkerIndex worker, std::string detail) {
  scheduler.m_effects.m_log_events.push_back(
      {std::move(event), task, worker, std::move(detail)});
}

void AddLogDetail(Scheduler& scheduler, std::string event, const TaskId& task,
                  WorkerIndex worker, std::string detail) {
  scheduler.m_effects.m_log_events.push_back({std::move(event), task, worker,
                                              std::move(detail),
                                              Effects::LogLevel::kDetail});
}

void AddWarning(Scheduler& scheduler, std::string event, const TaskId& task,
                WorkerIndex worker, std::string detail) {
  scheduler.m_effects.m_log_events.push_back({std::move(event), task, worker,
                                              std::move(detail),
                                              Effects::LogLevel::kWarning});
}

}  // namespace filbertspar::scheduler
