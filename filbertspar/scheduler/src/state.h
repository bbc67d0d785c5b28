#pragma once

#include <cstdint>
#include <deque>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "filbertspar/fleetview/fleetview.h"
#include "filbertspar/job/job.h"
#include "filbertspar/routing/routing.h"
#include "filbertspar/scheduler/src/effects.h"

namespace filbertspar::scheduler {

/// Start deadline of a task whose start was not sent yet.
inline constexpr std::int64_t kStartNotSent =
    std::numeric_limits<std::int64_t>::max();

enum class TaskPhase : std::uint8_t {
  kWaiting,
  /// A start is planned or was sent; not yet known whether the task runs.
  kStarting,
  kRunning,
  /// A stop was sent; the task may still run.
  kStopping,
  kDone,
};

struct Task {
  TaskPhase m_phase = TaskPhase::kWaiting;
  /// Worker on which the task starts, runs or stops.
  WorkerIndex m_worker = kNoWorker;
  /// Position in the list of that worker's tasks.
  std::uint32_t m_position_on_worker = 0;
  /// Number of the last start; 0 before the first.
  std::uint64_t m_run = 0;
  /// Numbers of the runs that were counted as failed.
  std::vector<std::uint64_t> m_failed_runs;
  /// Worker of the last failed run; others are preferred.
  WorkerIndex m_last_failed_on = kNoWorker;
  /// Crashes of workers that may be this task's fault; see crashes.h.
  std::vector<CrashRecord> m_crashes;
  /// When the task last left a worker because that was due for upkeep.
  TimePoint m_left_due_worker_at = TimePoint::min();
  /// When the last start was sent; min() for a run of a previous owner.
  TimePoint m_run_began_at = TimePoint::min();
  /// The last start went to a worker that is isolated for it.
  bool m_is_isolated = false;
  std::string m_checkpoint;
  /// Entry into the current phase; for a running task, its start.
  TimePoint m_since{};
  /// Earliest time of the next start; set when a long-running task exits early.
  TimePoint m_not_before{};
  /// When the last order was answered; max() while it is unanswered.
  TimePoint m_order_confirmed_at = TimePoint::max();
  /// Of the last start, from when it is sent until it is known whether it was
  /// executed; none otherwise. See unanswered.h.
  FencingNumber m_start_fencing;
  /// When that start was found to get no response; min() before. It may be
  /// executed, and its run go on, until m_doubt_until.
  TimePoint m_doubt_since = TimePoint::min();
  TimePoint m_doubt_until = TimePoint::min();
  /// Milliseconds on the worker's clock after which it refuses the last start;
  /// kStartNotSent while that start waits to be recorded.
  std::int64_t m_start_deadline_ms = 0;
  /// Percent of full speed at which the task runs, from the last poll.
  std::int64_t m_reported_speed_percent = 0;
  /// From the last poll: tail latency in milliseconds of a serving task,
  /// otherwise processor use in thousandths of a core; -1 when not reported.
  std::int64_t m_load = -1;
  /// Percent of full speed asked for by the last throttle order.
  std::int64_t m_ordered_speed_percent = 100;
  /// The previous owner recorded a run that was neither found nor ruled out
  /// yet.
  bool m_may_be_running = false;
};

struct Step {
  std::vector<Task> m_tasks;
  /// Numbers of tasks that are done, and that wait for a start.
  std::uint32_t m_done = 0;
  std::uint32_t m_waiting = 0;
  /// Tasks of a long-running step that could start and fit on no worker at the
  /// last dispatch.
  std::uint32_t m_unplaced = 0;
  /// When all steps it depends on were done; max() before that.
  TimePoint m_ready_at = TimePoint::max();
  /// Latest checkpoint of any member of a gang.
  std::string m_gang_checkpoint;
};

struct Occurrence {
  std::uint32_t m_number = 0;
  std::vector<Step> m_steps;
  std::uint32_t m_unfinished_steps = 0;
};

struct Job {
  std::shared_ptr<const JobSpec> m_spec;
  JobState m_state = JobState::kQueued;
  /// State in the stored row; callers learn of a final state only from here.
  JobState m_stored_state = JobState::kQueued;
  /// Whether the row of the job is stored, beside that of its progress.
  bool m_has_stored_row = true;
  /// Unix milliseconds; 0 while the job is not final.
  std::int64_t m_ended_ms = 0;
  TimePoint m_ended_at{};
  TimePoint m_accepted_at{};
  std::uint32_t m_next_occurrence = 0;
  std::size_t m_tasks_per_occurrence = 0;
  std::vector<std::unique_ptr<Occurrence>> m_occurrences;
  /// A worker has confirmed a run of one of its tasks. Stored with the job's
  /// next write; a new owner learns the rest from its first polls.
  bool m_has_begun = false;
  std::uint32_t m_planned_starts = 0;
  /// Planned starts that were rejected, withdrawn or not answered in time.
  std::uint32_t m_lost_starts = 0;
  /// Restored after a takeover: a task that was not found yet may still run on
  /// a worker that has not responded.
  bool m_inherited = false;
  /// Number of tasks that hold resources on a worker.
  std::uint32_t m_placed_tasks = 0;
  /// Number of the first change not yet included in a write; 0 when there is
  /// none.
  std::uint64_t m_first_unstored = 0;
  /// The store rejected the progress: until it takes it, no task is started and
  /// no ended run is acknowledged.
  bool m_is_rejected = false;
  /// When the write of rejected progress may be tried again.
  TimePoint m_write_not_before = TimePoint::min();
  bool m_long_running = false;
  /// VM that forwarded the submission and keeps its payload; empty when it came
  /// to the owner itself or is not known after a take-over.
  VmName m_payload_holder;
  /// Submitted when its workspace had used up its share.
  bool m_over_share = false;
  /// Sum of the run time estimates along the critical path.
  Duration m_critical_path{0};
};

/// \brief Refers to a task in a job; valid while the job exists.
struct TaskRef {
  Job* m_job = nullptr;
  Occurrence* m_occurrence = nullptr;
  std::uint32_t m_step = 0;
  std::uint32_t m_index = 0;

  Step& GetStep() const { return m_occurrence->m_steps[m_step]; }
  Task& GetTask() const { return GetStep().m_tasks[m_index]; }
  const StepSpec& Spec() const { return m_job->m_spec->m_steps[m_step]; }
  TaskId Id() const {
    return {m_job->m_spec->m_id, m_occurrence->m_number, m_step, m_index};
  }
  explicit operator bool() const { return m_job != nullptr; }
  friend bool operator==(const TaskRef&, const TaskRef&) = default;
};

/// \brief Evidence that the process of a worker ended while its machine was up.
struct WorkerEnd {
  /// When its poll was closed or refused first; max() when it was not.
  TimePoint m_at = TimePoint::max();
  /// Nothing listens at its address, or another process does.
  bool m_is_confirmed = false;
  /// A poll timed out first: the machine is out of reach or without power.
  bool m_was_silent = false;
  bool m_is_judged = false;
  /// Runs with a CrashRecord of this end.
  std::vector<std::pair<TaskId, std::uint64_t>> m_recorded_runs;
};

/// \brief A run that is being stopped because its task ended on another worker.
struct SupersededRun {
  TaskId m_task;
  RunNumber m_run;
  WorkspaceName m_workspace;
  /// Reserved on the worker, and in the workspace.
  ResourceVector m_reserved;
  ResourceVector m_demand;
  TimePoint m_stopped_at{};
  /// max() while the stop is unanswered.
  TimePoint m_stop_answered_at = TimePoint::max();
};

struct UnstoredFinishedRun {
  std::uint64_t m_number = 0;
  JobId m_job;
  /// The change that must be stored before the worker may discard the entry.
  std::uint64_t m_change = 0;
};

/// \brief The owner's view of one worker.
struct Worker {
  WorkerRecord m_record;
  /// Whether its registration is in the store.
  bool m_registered = false;
  /// Whether this incarnation has answered a poll of this owner.
  bool m_has_responded = false;
  /// Whether one of its answers listed all its runs and ends, so that what was
  /// ordered before and was not listed does not exist; see HasListedAll.
  bool m_has_listed_all = false;
  /// Whether the last answer may lack some.
  bool m_last_list_is_cut = false;
  TimePoint m_drain_deadline = TimePoint::max();
  /// Polls without an answer since the last one that was answered.
  std::uint32_t m_failed_polls = 0;
  /// When the last poll was answered.
  TimePoint m_last_response_at = TimePoint::min();
  /// When the latest answered poll was sent.
  TimePoint m_answered_poll_sent_at = TimePoint::min();
  /// Lower bound of the worker's clock at m_clock_at, in milliseconds.
  std::int64_t m_clock_ms = 0;
  TimePoint m_clock_at{};
  /// As last reported, Unix milliseconds; 0 before the first answer.
  std::int64_t m_incarnation = 0;
  /// Incarnations before that one, the latest last; a few suffice, since no
  /// answer is waited for longer than some seconds.
  std::deque<std::int64_t> m_ended_incarnations;
  /// No run ordered so far outlives this time, except starts in doubt.
  TimePoint m_lease_until = TimePoint::min();
  /// Fencing number of the next call; see unanswered.h.
  FencingNumber m_fencing;
  /// Highest number of a call that granted, acknowledged or started something,
  /// and of a poll that acknowledged something.
  FencingNumber m_used_fencing;
  FencingNumber m_acknowledging_fencing;
  /// Calls up to this number may have no response.
  FencingNumber m_unanswered_fencing;
  /// Highest number that this incarnation is known to have seen.
  FencingNumber m_answered_fencing;
  /// When the last such call was sent.
  TimePoint m_used_at = TimePoint::min();
  /// Until when calls to former incarnations may have extended the lease of
  /// this one, from its first answer until the worker is fenced; min()
  /// otherwise.
  TimePoint m_unknown_lease_until = TimePoint::min();
  /// Resources reserved by m_tasks and m_superseded_runs.
  ResourceVector m_used;
  /// Resources of the runs of the last status that are not in m_tasks; they are
  /// being stopped.
  ResourceVector m_unwanted_used;
  /// Whether one of these runs is of a job that is not known, so that its
  /// resources are not either.
  bool m_has_unknown_run = false;
  std::vector<TaskRef> m_tasks;
  std::vector<SupersededRun> m_superseded_runs;
  /// Number of the last finished run that was read, and of the last whose
  /// effects are stored.
  std::uint64_t m_finished_read = 0;
  std::uint64_t m_finished_stored = 0;
  /// Number of the last that a poll has acknowledged.
  std::uint64_t m_finished_acknowledged = 0;
  /// Finished runs that were read but not acknowledged.
  std::deque<UnstoredFinishedRun> m_unstored_finished;
  /// When each unwanted run, which is not the current run of its task, was last
  /// ordered to stop.
  absl::flat_hash_map<std::string, TimePoint> m_unwanted_stops;
  /// Consecutive failed runs.
  std::uint32_t m_failure_streak = 0;
  /// No task is started on the worker before this time.
  TimePoint m_avoid_until = TimePoint::min();
  /// No task is started while the VM is being evacuated.
  bool m_cordoned = false;
  /// The VM is due for upkeep or is being emptied for it: long-running tasks
  /// are placed elsewhere if possible, and those with a limit begin to leave.
  bool m_upkeep_due = false;
  /// Last throttle order to a best-effort task on this worker.
  TimePoint m_throttled_at = TimePoint::min();
  /// The worker refused a start for lack of capacity that this view showed as
  /// free; it is skipped until then.
  TimePoint m_no_capacity_until = TimePoint::min();
  WorkerEnd m_end;
  /// The task, or first task of a gang, that is tested here; no other task is
  /// started meanwhile.
  std::optional<TaskId> m_isolated_for;
  /// How long the worker waits for other tasks to end before the test.
  TimePoint m_isolation_wait_until = TimePoint::min();
};

struct Options {
  /// Lowest and highest fencing number of this owner's calls to workers.
  FencingNumber m_fencing;
  FencingNumber m_last_fencing =
      FencingNumber(std::numeric_limits<std::int64_t>::max());
  /// Length of the lease that each poll grants.
  Duration m_lease = Seconds(3);
  /// Workers shorten longer leases to this.
  Duration m_max_lease = Seconds(6);
  /// Number of successive unanswered polls that still renew the lease. 0 unless
  /// this VM's own link is loaded, when a poll without an answer says little
  /// about the worker.
  std::uint32_t m_unanswered_renewals = 0;
  /// A worker refuses a start order that arrives later than this.
  Duration m_start_window = Seconds(2);
  /// Time for which the state of a final job is kept.
  Duration m_state_retention = Seconds(120);
  /// Memory that jobs may take; further ones are refused.
  std::size_t m_max_job_bytes = 64 << 20;
  /// Whether the stored progress names the worker of every run that the
  /// previous owner ordered.
  bool m_runs_are_recorded = false;
  /// Until when runs ordered by previous owners may continue on workers that do
  /// not respond.
  TimePoint m_inherited_leases_until = TimePoint::min();
  /// The same for workers that may have started again: when starts of previous
  /// owners can neither be executed nor their runs go on any more.
  TimePoint m_inherited_doubt_until = TimePoint::min();
  /// No task with a max_unavailable limit is stopped before this time: stops
  /// ordered by the previous owner have taken effect by then.
  TimePoint m_disruption_allowed_from = TimePoint::min();
};

/// \brief Observed run times of a queue's tasks.
struct QueueHistory {
  /// Run time of recent tasks divided by their estimates, as sums.
  double m_ratio = 1;
  /// Decayed sums of run times and of their estimates.
  double m_run_seconds = 0;
  double m_estimated_seconds = 0;
};

/// \brief A start that is sent once the store has recorded it.
struct PlannedStart {
  TaskId m_task;
  std::uint64_t m_run = 0;
  WorkerIndex m_worker = kNoWorker;
  /// Number of the change that records it.
  std::uint64_t m_change = 0;
  /// Waits for the store even where other starts do not: the crashes of its
  /// task must be known to the next owner before there can be one more.
  bool m_must_be_recorded = false;
};

struct Pool {
  std::vector<WorkerIndex> m_workers;
  /// Jobs whose state is not final.
  std::vector<Job*> m_jobs;
  /// Cores of VMs that were ordered into the pool and have not joined yet.
  double m_incoming_cores = 0;
  /// Core-seconds of all jobs submitted within shares, including refused ones.
  double m_arrived_work = 0;
  std::uint64_t m_arrived_jobs = 0;
  /// Demand of one task of each long-running step whose tasks may leave their
  /// workers and fit on no other one, counted once for each reason to leave.
  ResourceVector m_blocked_evacuations;
};

/// \brief Token bucket that limits a workspace to its share of jobs.
struct ShareBucket {
  /// Jobs that may still be submitted, as of m_at.
  double m_tokens = 0;
  TimePoint m_at{};
};

struct Approvals {
  /// Ticket by worker; valid until m_valid_until.
  absl::flat_hash_map<WorkerName, std::string> m_tickets;
  TimePoint m_valid_until = TimePoint::min();
  /// No new request is sent before this time unless an answer arrives.
  TimePoint m_request_pending_until = TimePoint::min();
  /// Number of workers asked about so far; the next request continues after
  /// them.
  std::size_t m_workers_asked = 0;
};

/// \brief State of one owner's scheduler.
struct Scheduler {
  Options m_options;
  DeploymentConfigPtr m_deployment;
  absl::flat_hash_map<JobId, std::unique_ptr<Job>> m_jobs;
  /// Jobs that are cancelled as soon as they are added.
  std::set<JobId> m_cancelled_early;
  /// Jobs of previous owners whose rows cannot be read. Their rows are kept.
  std::set<JobId> m_unreadable_jobs;
  std::vector<Worker> m_workers;
  absl::flat_hash_map<WorkerName, WorkerIndex> m_worker_index;
  absl::flat_hash_map<PoolName, Pool> m_pools;
  /// Resources that each workspace's tasks hold on all workers.
  absl::flat_hash_map<WorkspaceName, ResourceVector> m_reserved;
  absl::flat_hash_map<QueueName, QueueHistory> m_history;
  absl::flat_hash_map<WorkspaceName, ShareBucket> m_share_buckets;
  /// By job, occurrence and step (index 0), for queues that need approvals.
  std::map<TaskId, Approvals> m_approvals;
  /// Jobs with changes not yet included in a write, by number of the first such
  /// change.
  std::map<std::uint64_t, Job*> m_unstored_jobs;
  std::uint64_t m_last_change = 0;
  /// First change of the write in progress; 0 when there is none.
  std::uint64_t m_first_change_in_write = 0;
  /// A worker has used up the fencing numbers of this owner.
  bool m_fencing_exhausted = false;
  /// Workers of the VMs that the latest list of VMs shows as up, and the time
  /// since which that list holds; min() without a whole list.
  std::set<WorkerName> m_workers_of_vms;
  TimePoint m_vms_listed_at = TimePoint::min();
  /// Workers that a list of VMs has shown, and known ones that none has shown
  /// yet. A list lags by a time that is not bounded: that it lacks one of the
  /// latter does not tell a worker that has left from one that has just joined.
  std::set<WorkerName> m_shown_workers;
  std::set<WorkerName> m_unshown_workers;
  /// Start of the youngest worker in the latest list, in Unix milliseconds: the
  /// list is from then or later.
  std::int64_t m_vms_shown_born_ms = 0;
  /// Unix time minus scheduler time.
  Duration m_unix_offset{0};
  /// Workers that may run inherited tasks; nullopt until all are known.
  std::optional<std::vector<WorkerName>> m_expected_workers;
  /// Whether every inherited run was found or ruled out.
  bool m_inherited_resolved = false;
  /// Runs that the previous owner recorded and no poll has shown yet, with
  /// their workers.
  std::map<TaskId, WorkerName> m_inherited_runs;
  /// Tasks, or first tasks of gangs, with crash records.
  std::set<TaskId> m_crash_suspects;
  /// Starts waiting to be recorded in the store, oldest first.
  std::deque<PlannedStart> m_planned_starts;
  /// Whether a start is sent only after the store has recorded it. Off while
  /// the store is slow or unreachable; the next owner then waits for the
  /// workers instead.
  bool m_record_before_start = true;
  /// Last change that records a start which was sent without waiting for the
  /// store.
  std::uint64_t m_last_unrecorded_start = 0;
  Effects m_effects;
};

/// \brief Returns the task, or an empty reference when it is unknown.
TaskRef FindTask(Scheduler& scheduler, const TaskId& id);

/// \brief Records that a job's progress must be stored; returns the number of
/// the change.
std::uint64_t MarkChanged(Scheduler& scheduler, Job& job);

/// \brief Highest number up to which all changes are stored, except those of
/// jobs whose progress the store rejected.
std::uint64_t LastStoredChange(const Scheduler& scheduler);

/// \brief Whether the store rejected the progress of the job.
bool IsRejected(const Scheduler& scheduler, const JobId& job);

/// \brief Unix time at `now`, in milliseconds.
std::int64_t UnixMs(const Scheduler& scheduler, TimePoint now);

/// \brief Whether a start of the placed task was sent, so that its run may
/// exist.
bool MayRun(const Task& task);

/// \brief Resources that a task reserves on its worker; best-effort tasks
/// reserve no processor.
ResourceVector ReservedDemand(const StepSpec& step);

/// \brief Free resources of the worker; negative where its capacity has shrunk
/// below what runs there.
ResourceVector FreeOn(const Worker& worker);

/// \brief Reserves and releases a task's resources on a worker and in its
/// workspace.
void ReserveResources(Scheduler& scheduler, const TaskRef& ref,
                      WorkerIndex worker);
void ReleaseResources(Scheduler& scheduler, const TaskRef& ref);

/// \brief Adds an event to the effects; a default `task` or kNoWorker leaves
/// that field out of the log.
void AddLogEvent(Scheduler& scheduler, std::string event, const TaskId& task,
                 WorkerIndex worker, std::string detail = "");

/// \brief The same for an event about one run of a task, of which there may be
/// thousands in a second.
void AddLogDetail(Scheduler& scheduler, std::string event, const TaskId& task,
                  WorkerIndex worker, std::string detail);

/// \brief The same for an event that is logged as a warning.
void AddWarning(Scheduler& scheduler, std::string event, const TaskId& task,
                WorkerIndex worker, std::string detail);

}  // namespace filbertspar::scheduler
