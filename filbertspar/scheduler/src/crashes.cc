#include "filbertspar/scheduler/src/crashes.h"

#include <algorithm>
#include <set>
#include <string>
#include <string_view>

#include "absl/strings/str_cat.h"
#include "filbertspar/scheduler/src/eligibility.h"
#include "filbertspar/scheduler/src/jobs.h"
#include "filbertspar/scheduler/src/workers.h"

namespace filbertspar::scheduler {
namespace {

/// Crashed workers after which a task is given up if it was the sole cause of
/// one crash. Further crashes of the same worker prove nothing: it may go down
/// by itself.
constexpr std::size_t kMaxCrashedWorkers = 3;
/// Crashes after which a task is given up in any case, if they were of several
/// workers: the third and fewer than three more.
constexpr std::size_t kMaxSharedCrashes = 5;
/// The same if they were all of one worker, as in a pool that has no other.
constexpr std::size_t kMaxCrashesOfOneWorker = 8;
/// Between the end of a worker and its judgement: the ends of others that have
/// the same cause are known by then.
constexpr Duration kJudgementDelay = Milliseconds(400);
/// The workers of a rack end within this time when the rack is the cause.
constexpr Duration kCommonCauseWindow = Milliseconds(300);
/// A run this young when its worker ended may have ended it by its start.
constexpr Duration kSuddenCrashAge = Milliseconds(250);
/// Of the tasks that were on a crashed worker, those that began at most this
/// long before the last one are suspects.
constexpr Duration kSuspectSpread = Milliseconds(100);
constexpr Duration kProbationMargin = Milliseconds(500);
constexpr Duration kMaxProbation = Seconds(10);
/// A run that is older than this is no likely cause. Long-running tasks are on
/// many workers when others crash these, and most of their runs are old.
constexpr Duration kMaxBatchAge = Seconds(10);
constexpr Duration kMaxLongRunningAge = Seconds(5);
/// Age of a run whose start is not known.
constexpr Duration kUnknownAge = Seconds(60);

/// A unit whose run may be the cause of its worker's end.
struct Candidate {
  TaskRef m_unit;
  std::uint64_t m_run = 0;
  Duration m_age{0};
  bool m_is_isolated = false;
};

Duration AgeAt(const Task& task, TimePoint at) {
  return task.m_run_began_at == TimePoint::min() ? kUnknownAge
                                                 : at - task.m_run_began_at;
}

/// Units of the runs that the previous owner recorded on a worker which this
/// one has not reached. Their starts are not known.
std::vector<Candidate> InheritedCandidatesOn(Scheduler& scheduler,
                                             const WorkerName& worker) {
  std::vector<Candidate> candidates;
  for (const auto& [id, recorded] : scheduler.m_inherited_runs) {
    const TaskRef ref = FindTask(scheduler, id);
    if (recorded != worker || !ref || IsFinal(ref.m_job->m_state)) {
      continue;
    }
    const TaskRef unit = CrashUnit(ref);
    const std::vector<CrashRecord>& crashes = unit.GetTask().m_crashes;
    const bool is_known = std::any_of(crashes.begin(), crashes.end(),
                                      [&worker](const CrashRecord& crash) {
                                        return crash.m_worker == worker.Value();
                                      });
    const bool is_listed = std::any_of(
        candidates.begin(), candidates.end(),
        [&unit](const Candidate& other) { return other.m_unit == unit; });
    if (!is_known && !is_listed) {
      candidates.push_back(
          {unit, LastInheritedRun(scheduler), Duration(0), false});
    }
  }
  return candidates;
}

std::vector<Candidate> CandidatesOn(const Worker& worker) {
  std::vector<Candidate> candidates;
  for (const TaskRef& ref : worker.m_tasks) {
    const Task& task = ref.GetTask();
    const Duration age = AgeAt(task, worker.m_end.m_at);
    const Duration max_age =
        ref.Spec().m_long_running ? kMaxLongRunningAge : kMaxBatchAge;
    if (!MayRun(task) || age < Duration(0) || age > max_age ||
        IsFinal(ref.m_job->m_state)) {
      continue;
    }
    const TaskRef unit = CrashUnit(ref);
    const auto known = std::find_if(candidates.begin(), candidates.end(),
                                    [&unit](const Candidate& candidate) {
                                      return candidate.m_unit == unit;
                                    });
    if (known != candidates.end()) {
      known->m_age = std::min(known->m_age, age);
      continue;
    }
    candidates.push_back({unit, task.m_run, age, task.m_is_isolated});
  }
  return candidates;
}

/// Ends by order: the worker leaves, or its VM is taken away.
bool IsPlanned(const Worker& worker) {
  return worker.m_record.m_draining || worker.m_cordoned;
}

/// Whether a run began just before the worker ended.
bool HasSuddenRun(const Worker& worker) {
  return std::any_of(worker.m_tasks.begin(), worker.m_tasks.end(),
                     [&worker](const TaskRef& ref) {
                       const Duration age =
                           AgeAt(ref.GetTask(), worker.m_end.m_at);
                       return MayRun(ref.GetTask()) && age >= Duration(0) &&
                              age <= kSuddenCrashAge;
                     });
}

/// One task ends one worker. When a whole rack ends at once, the rack is the
/// cause, unless on each of its workers a run had just begun: the suspects of
/// earlier crashes are often started again at the same moment, also on one
/// rack. For the same reason workers of different racks that end together have
/// no common cause.
bool HasCommonCause(const Scheduler& scheduler, const Worker& worker) {
  bool has_others = false;
  bool all_sudden = HasSuddenRun(worker);
  for (const Worker& other : scheduler.m_workers) {
    if (&other == &worker || !other.m_has_responded || IsPlanned(other) ||
        other.m_record.m_rack.Empty() ||
        other.m_record.m_rack != worker.m_record.m_rack) {
      continue;
    }
    if (other.m_end.m_at > worker.m_end.m_at + kCommonCauseWindow) {
      return false;
    }
    if (other.m_end.m_at + kCommonCauseWindow < worker.m_end.m_at) {
      // It ended earlier, so it was no longer there.
      continue;
    }
    has_others = true;
    all_sudden = all_sudden && HasSuddenRun(other);
  }
  return has_others && !all_sudden;
}

std::string WorkersOf(const Task& unit) {
  std::string workers;
  for (const CrashRecord& crash : unit.m_crashes) {
    absl::StrAppend(&workers, workers.empty() ? "" : ",", crash.m_worker);
  }
  return workers;
}

std::size_t CountWorkers(const std::vector<CrashRecord>& crashes) {
  std::set<std::string_view> workers;
  for (const CrashRecord& crash : crashes) {
    workers.insert(crash.m_worker);
  }
  return workers.size();
}

bool IsGivenUp(const TaskRef& unit) {
  const std::vector<CrashRecord>& crashes = unit.GetTask().m_crashes;
  const std::size_t workers = CountWorkers(crashes);
  const bool has_sole = std::any_of(
      crashes.begin(), crashes.end(),
      [](const CrashRecord& crash) { return crash.m_is_sole_cause; });
  if (workers >= kMaxCrashedWorkers && has_sole) {
    return true;
  }
  const std::size_t max_crashes =
      workers > 1 ? kMaxSharedCrashes : kMaxCrashesOfOneWorker;
  return crashes.size() >= max_crashes &&
         (has_sole || !unit.Spec().m_long_running);
}

void RecordCrash(Scheduler& scheduler, TimePoint now, WorkerIndex index,
                 const Candidate& candidate, bool is_suspect,
                 bool is_sole_cause) {
  const TaskRef& ref = candidate.m_unit;
  Task& unit = ref.GetTask();
  const auto known = std::find_if(unit.m_crashes.begin(), unit.m_crashes.end(),
                                  [&candidate](const CrashRecord& crash) {
                                    return crash.m_run == candidate.m_run;
                                  });
  if (known != unit.m_crashes.end()) {
    return;
  }
  Worker& worker = scheduler.m_workers[index];
  unit.m_crashes.push_back(
      {candidate.m_run, worker.m_record.m_name.Value(),
       static_cast<std::uint32_t>(ToMilliseconds(candidate.m_age)), is_suspect,
       is_sole_cause});
  worker.m_end.m_recorded_runs.emplace_back(ref.Id(), candidate.m_run);
  scheduler.m_crash_suspects.insert(ref.Id());
  MarkChanged(scheduler, *ref.m_job);
  AddLogEvent(scheduler, "task_crash", ref.Id(), index,
              absl::StrCat("run=", candidate.m_run,
                           " age_ms=", ToMilliseconds(candidate.m_age),
                           " suspect=", is_suspect, " sole_cause=",
                           is_sole_cause, " crashes=", unit.m_crashes.size()));
  if (IsGivenUp(ref)) {
    AddWarning(scheduler, "task_given_up", ref.Id(), kNoWorker,
               absl::StrCat("crashes=", unit.m_crashes.size(),
                            " workers=", WorkersOf(unit)));
    FailJob(scheduler, now, *ref.m_job);
  }
}

void RecordSharedCrash(Scheduler& scheduler, TimePoint now, WorkerIndex index,
                       const std::vector<Candidate>& candidates) {
  // An inherited run is known to have been alone only if the previous owner had
  // reason to isolate it.
  const bool is_alone = candidates.size() == 1 &&
                        (scheduler.m_workers[index].m_has_responded ||
                         NeedsIsolation(candidates.front().m_unit.GetTask()));
  Duration youngest = kUnknownAge;
  for (const Candidate& candidate : candidates) {
    youngest = std::min(youngest, candidate.m_age);
  }
  for (const Candidate& candidate : candidates) {
    // An earlier candidate may have failed the job of this one.
    if (!IsFinal(candidate.m_unit.m_job->m_state)) {
      RecordCrash(scheduler, now, index, candidate,
                  candidate.m_age <= youngest + kSuspectSpread, is_alone);
    }
  }
}

/// The candidate whose isolated run was still on probation; null when there is
/// none.
const Candidate* FindIsolated(const std::vector<Candidate>& candidates) {
  const auto found = std::find_if(
      candidates.begin(), candidates.end(), [](const Candidate& candidate) {
        return candidate.m_is_isolated &&
               candidate.m_age <= ProbationOf(candidate.m_unit.GetTask());
      });
  return found == candidates.end() ? nullptr : &*found;
}

void JudgeEnd(Scheduler& scheduler, TimePoint now, WorkerIndex index) {
  const Worker& worker = scheduler.m_workers[index];
  if (worker.m_end.m_is_judged || worker.m_end.m_at == TimePoint::max() ||
      !worker.m_end.m_is_confirmed) {
    return;
  }
  scheduler.m_workers[index].m_end.m_is_judged = true;
  const std::vector<Candidate> candidates =
      worker.m_has_responded
          ? CandidatesOn(worker)
          : InheritedCandidatesOn(scheduler, worker.m_record.m_name);
  if (candidates.empty()) {
    return;
  }
  const Candidate* isolated = FindIsolated(candidates);
  std::string_view cause = isolated != nullptr ? "isolated_task" : "shared";
  if (IsPlanned(worker)) {
    cause = "planned";
  } else if (HasCommonCause(scheduler, worker)) {
    cause = "common";
  }
  AddWarning(
      scheduler, "worker_crashed", {}, index,
      absl::StrCat("cause=", std::string(cause), " tasks=", candidates.size()));
  if (cause == "isolated_task") {
    RecordCrash(scheduler, now, index, *isolated, true, true);
  } else if (cause == "shared") {
    RecordSharedCrash(scheduler, now, index, candidates);
  }
}

/// Whether all runs of the unit have outlasted its probation.
bool HasSurvived(const Scheduler& scheduler, TimePoint now,
                 const TaskRef& unit) {
  const Duration probation = ProbationOf(unit.GetTask());
  const auto survived = [&](const Task& task) {
    if (task.m_phase != TaskPhase::kRunning) {
      return task.m_phase == TaskPhase::kDone;
    }
    const Worker& worker = scheduler.m_workers[task.m_worker];
    return AgeAt(task, now) > probation &&
           worker.m_end.m_at == TimePoint::max() && IsResponsive(worker, now);
  };
  if (!unit.Spec().m_gang) {
    return survived(unit.GetTask());
  }
  const std::vector<Task>& members = unit.GetStep().m_tasks;
  return std::all_of(members.begin(), members.end(), survived);
}

/// Whether the worker is still needed for the test of its suspect.
bool KeepsIsolation(Scheduler& scheduler, TimePoint now, WorkerIndex index) {
  const Worker& worker = scheduler.m_workers[index];
  if (!scheduler.m_crash_suspects.contains(*worker.m_isolated_for)) {
    return false;
  }
  const TaskRef unit = FindTask(scheduler, *worker.m_isolated_for);
  const bool runs_here = std::any_of(
      worker.m_tasks.begin(), worker.m_tasks.end(),
      [&unit](const TaskRef& ref) { return CrashUnit(ref) == unit; });
  return runs_here || now < worker.m_isolation_wait_until;
}

}  // namespace

TaskRef CrashUnit(const TaskRef& ref) {
  TaskRef unit = ref;
  if (ref.Spec().m_gang) {
    unit.m_index = 0;
  }
  return unit;
}

Duration ProbationOf(const Task& unit) {
  Duration longest{0};
  for (const CrashRecord& crash : unit.m_crashes) {
    longest = std::max(longest, Duration(Milliseconds(crash.m_age_ms)));
  }
  return std::min(longest * 2 + kProbationMargin, kMaxProbation);
}

bool NeedsIsolation(const Task& unit) {
  return unit.m_crashes.size() > 1 ||
         (unit.m_crashes.size() == 1 && unit.m_crashes.front().m_is_suspect);
}

void RecordPollFailure(Worker& worker, TimePoint now, PollFailure failure) {
  WorkerEnd& end = worker.m_end;
  if (failure == PollFailure::kUnusable) {
    return;
  }
  if (failure == PollFailure::kSilent) {
    // A close that silence follows came from the network.
    end.m_was_silent = true;
    if (!end.m_is_confirmed) {
      end.m_at = TimePoint::max();
    }
    return;
  }
  if (end.m_was_silent) {
    return;
  }
  end.m_at = std::min(end.m_at, now);
  end.m_is_confirmed = end.m_is_confirmed || failure == PollFailure::kRefused;
}

void HandleWorkerAlive(Scheduler& scheduler, WorkerIndex index) {
  Worker& worker = scheduler.m_workers[index];
  for (const auto& [id, run] : worker.m_end.m_recorded_runs) {
    const TaskRef ref = FindTask(scheduler, id);
    if (!ref) {
      continue;
    }
    std::vector<CrashRecord>& crashes = ref.GetTask().m_crashes;
    std::erase_if(crashes, [run = run](const CrashRecord& crash) {
      return crash.m_run == run;
    });
    if (crashes.empty()) {
      scheduler.m_crash_suspects.erase(id);
    }
    MarkChanged(scheduler, *ref.m_job);
    AddLogEvent(scheduler, "task_crash_withdrawn", id, index,
                absl::StrCat("run=", run));
  }
  worker.m_end = WorkerEnd();
}

void HandleWorkerReplaced(Scheduler& scheduler, TimePoint now,
                          WorkerIndex index) {
  scheduler.m_workers[index].m_end.m_is_confirmed = true;
  JudgeEnd(scheduler, now, index);
}

void JudgeEndedWorkers(Scheduler& scheduler, TimePoint now) {
  for (WorkerIndex i = 0; i < scheduler.m_workers.size(); ++i) {
    const WorkerEnd& end = scheduler.m_workers[i].m_end;
    if (end.m_at != TimePoint::max() && now - end.m_at >= kJudgementDelay) {
      JudgeEnd(scheduler, now, i);
    }
  }
}

void ReviewSuspects(Scheduler& scheduler, TimePoint now) {
  for (auto it = scheduler.m_crash_suspects.begin();
       it != scheduler.m_crash_suspects.end();) {
    const TaskRef unit = FindTask(scheduler, *it);
    if (!unit || IsFinal(unit.m_job->m_state) ||
        unit.GetTask().m_phase == TaskPhase::kDone) {
      it = scheduler.m_crash_suspects.erase(it);
      continue;
    }
    if (!HasSurvived(scheduler, now, unit)) {
      ++it;
      continue;
    }
    AddLogEvent(scheduler, "task_cleared", *it, unit.GetTask().m_worker,
                absl::StrCat("crashes=", unit.GetTask().m_crashes.size()));
    unit.GetTask().m_crashes.clear();
    unit.GetTask().m_is_isolated = false;
    MarkChanged(scheduler, *unit.m_job);
    it = scheduler.m_crash_suspects.erase(it);
  }
  for (WorkerIndex i = 0; i < scheduler.m_workers.size(); ++i) {
    Worker& worker = scheduler.m_workers[i];
    if (worker.m_isolated_for && !KeepsIsolation(scheduler, now, i)) {
      worker.m_isolated_for.reset();
    }
  }
}

}  // namespace filbertspar::scheduler
