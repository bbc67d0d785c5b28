#include <algorithm>

#include "absl/strings/str_cat.h"
#include "filbertspar/scheduler/src/jobs.h"
#include "filbertspar/scheduler/src/starts.h"
#include "filbertspar/scheduler/src/superseded.h"
#include "filbertspar/scheduler/src/unanswered.h"
#include "filbertspar/scheduler/src/workers.h"

namespace filbertspar::scheduler {
namespace {

/// Largest factor by which a worker's clock may run slow: 2%, rounded up.
constexpr double kMaxClockSlowdown = 1.03;
void ExtendLease(Worker& worker, std::int64_t deadline_ms) {
  const std::int64_t remaining_ms =
      std::max<std::int64_t>(0, deadline_ms - worker.m_clock_ms);
  worker.m_lease_until = std::max(
      worker.m_lease_until,
      worker.m_clock_at + MaxElapsedTime(remaining_ms) + kLeaseKillDelay);
}

/// Tasks that no worker runs any more once the worker's lease has expired.
std::vector<TaskRef> TasksWithoutLease(const Scheduler& scheduler,
                                       TimePoint now, const Worker& worker) {
  std::vector<TaskRef> tasks;
  for (const TaskRef& ref : worker.m_tasks) {
    // A start that waits for the store holds no lease yet.
    const Task& task = ref.GetTask();
    if (MayRun(task) && (!HasUnansweredStart(task) ||
                         IsDoubtOver(scheduler, now, worker, task))) {
      tasks.push_back(ref);
    }
  }
  return tasks;
}

/// Until when recorded runs on workers that do not answer may go on.
TimePoint AllInheritedRunsUntil(const Scheduler& scheduler) {
  TimePoint until = scheduler.m_options.m_inherited_leases_until;
  for (const Worker& worker : scheduler.m_workers) {
    if ((worker.m_registered || worker.m_has_responded) &&
        !HasListedAll(worker)) {
      until = std::max(until, InheritedRunsUntil(scheduler, worker));
    }
  }
  return until;
}

/// Whether all workers that may have runs or ends of the previous owner have
/// listed them.
bool HaveAllListed(const Scheduler& scheduler, TimePoint now) {
  if (!scheduler.m_expected_workers) {
    return false;
  }
  const auto has_listed_all = [&scheduler](const WorkerName& name) {
    const auto found = scheduler.m_worker_index.find(name);
    return found != scheduler.m_worker_index.end() &&
           HasListedAll(scheduler.m_workers[found->second]);
  };
  const auto has_more = [&scheduler, now](const Worker& worker) {
    return worker.m_has_responded && !worker.m_has_listed_all &&
           now <= InheritedRunsUntil(scheduler, worker);
  };
  return std::all_of(scheduler.m_expected_workers->begin(),
                     scheduler.m_expected_workers->end(), has_listed_all) &&
         std::none_of(scheduler.m_workers.begin(), scheduler.m_workers.end(),
                      has_more);
}

}  // namespace

Duration MaxElapsedTime(std::int64_t milliseconds) {
  return Duration(static_cast<std::int64_t>(static_cast<double>(milliseconds) *
                                            1000 * kMaxClockSlowdown));
}

bool HasListedAll(const Worker& worker) {
  return worker.m_has_responded && worker.m_has_listed_all;
}

TimePoint InheritedRunsUntil(const Scheduler& scheduler, const Worker& worker) {
  const Options& options = scheduler.m_options;
  if (worker.m_has_responded) {
    // Each answer renews the lease. Ends that are not read are lost to this
    // owner once it has lapsed.
    return std::max({worker.m_lease_until, worker.m_unknown_lease_until,
                     options.m_inherited_leases_until});
  }
  if (!worker.m_registered) {
    return options.m_inherited_leases_until;
  }
  // Starts to the one before are sent, and may be executed, for a while after
  // the start of an incarnation.
  TimePoint until = options.m_inherited_doubt_until;
  if (worker.m_record.m_incarnation != 0) {
    until = std::min(
        until, LatestStartOf(scheduler, worker.m_record.m_incarnation) +
                   kMaxDetectionTime + kMaxCallDelay + MaxLeaseTime(scheduler));
  }
  return std::max(until, options.m_inherited_leases_until);
}

void ExpireLeases(Scheduler& scheduler, TimePoint now) {
  JudgeEndedWorkers(scheduler, now);
  ReviewSuspects(scheduler, now);
  for (Worker& worker : scheduler.m_workers) {
    if (now <= worker.m_lease_until || now <= worker.m_unknown_lease_until) {
      continue;
    }
    ReleaseSupersededRuns(scheduler, worker);
    const std::vector<TaskRef> tasks =
        TasksWithoutLease(scheduler, now, worker);
    if (!tasks.empty()) {
      AddLogEvent(
          scheduler, "lease_expired", {},
          scheduler.m_worker_index.at(worker.m_record.m_name),
          absl::StrCat("incarnation=", worker.m_incarnation, " silent_ms=",
                       ToMilliseconds(now - worker.m_last_response_at),
                       " tasks=", tasks.size(),
                       " others=", worker.m_tasks.size() - tasks.size()));
    }
    for (const TaskRef& ref : tasks) {
      RequeueLostTask(
          scheduler, now, ref,
          HasUnansweredStart(ref.GetTask()) ? "doubt_over" : "lease_ran_out");
    }
  }
  if (scheduler.m_inherited_resolved) {
    return;
  }
  ResolveInheritedRuns(scheduler, now);
  const bool all_listed = HaveAllListed(scheduler, now);
  if (all_listed || now > AllInheritedRunsUntil(scheduler)) {
    scheduler.m_inherited_resolved = true;
    AddLogEvent(
        scheduler, "settled", {}, kNoWorker,
        absl::StrCat(
            "reason=", all_listed ? "all_workers_answered" : "leases_over",
            " held_back=", scheduler.m_inherited_runs.size()));
    ResolveInheritedRuns(scheduler, now);
  }
}

std::optional<std::int64_t> GrantLease(Scheduler& scheduler, TimePoint now,
                                       WorkerIndex index) {
  Worker& worker = scheduler.m_workers[index];
  if (!worker.m_has_responded ||
      worker.m_failed_polls > scheduler.m_options.m_unanswered_renewals) {
    return std::nullopt;
  }
  const std::int64_t deadline =
      MinWorkerClock(worker, now) + ToMilliseconds(scheduler.m_options.m_lease);
  ExtendLease(worker, deadline);
  return deadline;
}

std::int64_t GrantStartDeadline(Scheduler& scheduler, TimePoint now,
                                WorkerIndex index) {
  Worker& worker = scheduler.m_workers[index];
  const std::int64_t deadline =
      MinWorkerClock(worker, now) +
      ToMilliseconds(scheduler.m_options.m_start_window);
  ExtendLease(worker, deadline);
  return deadline;
}

std::int64_t MinWorkerClock(const Worker& worker, TimePoint now) {
  return worker.m_clock_ms +
         static_cast<std::int64_t>(
             static_cast<double>(ToMilliseconds(now - worker.m_clock_at)) /
             kMaxClockSlowdown);
}

}  // namespace filbertspar::scheduler
