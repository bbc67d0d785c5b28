#include "filbertspar/scheduler/src/superseded.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

namespace filbertspar::scheduler {
namespace {

/// Interval after which a stop without an answer is repeated.
constexpr Duration kStopRetryInterval = Seconds(1);

void Release(Scheduler& scheduler, Worker& worker, const SupersededRun& run) {
  worker.m_used -= run.m_reserved;
  scheduler.m_reserved[run.m_workspace] -= run.m_demand;
}

template <typename HasEnded>
void ReleaseIf(Scheduler& scheduler, Worker& worker, HasEnded has_ended) {
  std::erase_if(worker.m_superseded_runs, [&](const SupersededRun& run) {
    const bool ended = has_ended(run);
    if (ended) {
      Release(scheduler, worker, run);
    }
    return ended;
  });
}

void OrderStop(Scheduler& scheduler, TimePoint now, WorkerIndex index,
               SupersededRun& run, std::string_view reason) {
  run.m_stopped_at = now;
  scheduler.m_effects.m_stops.push_back(
      {index, {run.m_task, run.m_run, scheduler.m_workers[index].m_fencing}});
  AddLogDetail(
      scheduler, "task_stop", run.m_task, index,
      absl::StrCat("reason=", std::string(reason), " run=", run.m_run.Value()));
}

}  // namespace

void StopSupersededRun(Scheduler& scheduler, TimePoint now,
                       const TaskRef& ref) {
  const Task& task = ref.GetTask();
  if (!MayRun(task)) {
    return;
  }
  Worker& worker = scheduler.m_workers[task.m_worker];
  SupersededRun run;
  run.m_task = ref.Id();
  run.m_run = RunNumber(task.m_run);
  run.m_workspace = ref.m_job->m_spec->m_workspace;
  run.m_reserved = ReservedDemand(ref.Spec());
  run.m_demand = ref.Spec().m_demand;
  worker.m_used += run.m_reserved;
  scheduler.m_reserved[run.m_workspace] += run.m_demand;
  OrderStop(scheduler, now, task.m_worker, run, "done_elsewhere");
  worker.m_superseded_runs.push_back(std::move(run));
}

bool IsSuperseded(const Worker& worker, const TaskId& task, RunNumber run) {
  return std::any_of(worker.m_superseded_runs.begin(),
                     worker.m_superseded_runs.end(),
                     [&](const SupersededRun& other) {
                       return other.m_task == task && other.m_run == run;
                     });
}

void HandleSupersededEnd(Scheduler& scheduler, WorkerIndex index,
                         const TaskId& task, RunNumber run) {
  ReleaseIf(scheduler, scheduler.m_workers[index],
            [&](const SupersededRun& other) {
              return other.m_task == task && other.m_run == run;
            });
}

void HandleSupersededStop(Scheduler& scheduler, TimePoint now,
                          WorkerIndex index, const StopOrder& order) {
  for (SupersededRun& run : scheduler.m_workers[index].m_superseded_runs) {
    if (run.m_task == order.m_task && run.m_run == order.m_run) {
      run.m_stop_answered_at = now;
    }
  }
}

void ReviewSupersededRuns(Scheduler& scheduler, TimePoint sent, TimePoint now,
                          WorkerIndex index, const WorkerStatus& status) {
  Worker& worker = scheduler.m_workers[index];
  if (worker.m_superseded_runs.empty() || status.m_truncated) {
    return;
  }
  ReleaseIf(scheduler, worker, [&](const SupersededRun& run) {
    const bool is_listed = std::any_of(
        status.m_running.begin(), status.m_running.end(),
        [&run](const ActiveRun& active) {
          return active.m_task == run.m_task && active.m_run == run.m_run;
        });
    return !is_listed && run.m_stop_answered_at < sent;
  });
  for (SupersededRun& run : worker.m_superseded_runs) {
    if (run.m_stop_answered_at == TimePoint::max() &&
        now - run.m_stopped_at > kStopRetryInterval) {
      OrderStop(scheduler, now, index, run, "stop_unanswered");
    }
  }
}

void ReleaseSupersededRuns(Scheduler& scheduler, Worker& worker) {
  ReleaseIf(scheduler, worker, [](const SupersededRun&) { return true; });
}

}  // namespace filbertspar::scheduler
