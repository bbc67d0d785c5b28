#pragma once

#include <cstdint>
#include <deque>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "filbertspar/fleetview/fleetview.h"
#include "filbertspar/job/job.h"
#include "filbertspar/routing/routing.h"

namespace filbertspar::scheduler {

using WorkerIndex = std::uint32_t;
inline constexpr WorkerIndex kNoWorker =
    std::numeric_limits<WorkerIndex>::max();

enum class TaskPhase : std::uint8_t {
  kWaiting,
  /// Ordered; it is not known yet whether it runs.
  kStarting,
  kRunning,
  /// Ordered to stop; it may still run.
  kStopping,
  kDone,
};

struct Task {
  TaskPhase m_phase = TaskPhase::kWaiting;
  /// Where it starts, runs or stops.
  WorkerIndex m_worker = kNoWorker;
  /// Number of its last start.
  std::uint64_t m_run = 0;
  /// Runs that ended as failed.
  std::vector<std::uint64_t> m_failed_runs;
  /// Where its last run failed; it is started elsewhere if it can be.
  WorkerIndex m_last_failed_on = kNoWorker;
  std::string m_checkpoint;
  /// Since when it is in its phase; of a running task since it began.
  TimePoint m_since{};
  /// Not started before this time, after an end that came too early.
  TimePoint m_not_before{};
  /// When the last order about it was answered.
  TimePoint m_order_confirmed_at = TimePoint::max();
  /// On the worker's clock: after it the worker refuses the last start.
  std::int64_t m_start_deadline_ms = 0;
  std::int64_t m_reported_speed_percent = 0;
  std::int64_t m_load = -1;
  /// Speed that the last pace order asked for.
  std::int64_t m_ordered_speed_percent = 100;
  /// An earlier owner listed a run that was not found yet.
  bool m_may_be_running = false;
};

struct Step {
  std::vector<Task> m_tasks;
  std::uint32_t m_done = 0;
  std::uint32_t m_waiting = 0;
  /// When its earlier steps were all done; max() before that.
  TimePoint m_ready_at = TimePoint::max();
  /// Newest checkpoint of any member of a gang.
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
  /// State that a stored row shows, which is what callers are told.
  JobState m_stored_state = JobState::kQueued;
  std::int64_t m_ended_ms = 0;
  TimePoint m_ended_at{};
  TimePoint m_accepted_at{};
  std::uint32_t m_next_occurrence = 0;
  std::vector<std::unique_ptr<Occurrence>> m_occurrences;
  bool m_has_started = false;
  /// Taken over from an earlier owner: a task not found yet may still run on
  /// a worker that has not answered.
  bool m_inherited = false;
  /// Tasks that hold room on a worker.
  std::uint32_t m_placed_tasks = 0;
  /// Number of the first change that no write has taken up; 0 when none is.
  std::uint64_t m_first_unstored = 0;
  bool m_long_running = false;
  /// Came when its workspace had handed in its share already.
  bool m_over_share = false;
  /// Sum of the estimates along its longest chain of steps.
  Duration m_critical_path{0};
};

/// \brief Place of a task in a job; stays valid while the job exists.
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

/// \brief What is believed of one worker.
struct Worker {
  WorkerRecord m_record;
  /// Whether the store lists it.
  bool m_registered = false;
  /// Whether it answered a look of this owner.
  bool m_has_responded = false;
  TimePoint m_drain_deadline = TimePoint::max();
  /// Whether the last look got no answer.
  bool m_last_poll_failed = false;
  /// Last answered look.
  TimePoint m_last_response_at = TimePoint::min();
  /// When the newest answered look was sent.
  TimePoint m_last_poll_sent_at = TimePoint::min();
  /// Worker's clock at m_clock_at, a lower bound.
  std::int64_t m_clock_ms = 0;
  TimePoint m_clock_at{};
  std::int64_t m_incarnation = 0;
  /// After this time nothing that was ordered runs there any more.
  TimePoint m_lease_until = TimePoint::min();
  ResourceVector m_used;
  std::vector<TaskRef> m_tasks;
  /// Highest end that was read, and highest whose effects are stored.
  std::uint64_t m_finished_read = 0;
  std::uint64_t m_finished_stored = 0;
  /// Ends read and the change that has to be stored before each may be
  /// forgotten.
  std::deque<std::pair<std::uint64_t, std::uint64_t>> m_unstored_finished;
  /// When runs that are not wanted there were last ordered to stop.
  absl::flat_hash_map<std::string, TimePoint> m_unwanted_stops;
  std::uint32_t m_failure_streak = 0;
  /// No task is started there until then.
  TimePoint m_avoid_until = TimePoint::min();
  /// Nothing is started there while its VM is to be emptied.
  bool m_cordoned = false;
  /// The VM is due for upkeep: long-running tasks are better placed elsewhere.
  bool m_upkeep_due = false;
  /// Last change of the pace of a task that fills.
  TimePoint m_throttled_at = TimePoint::min();
  /// FreeCapacity reported as missing although the books show it, until then.
  TimePoint m_no_capacity_until = TimePoint::min();
};

/// \brief Orders and changes that a call of the scheduler asks for.
struct Effects {
  struct Start {
    WorkerIndex m_worker = kNoWorker;
    StartOrder m_order;
  };
  struct Stop {
    WorkerIndex m_worker = kNoWorker;
    StopOrder m_order;
  };
  struct Throttle {
    WorkerIndex m_worker = kNoWorker;
    ThrottleOrder m_order;
  };
  /// A decision for the log.
  struct LogEvent {
    std::string m_event;
    TaskId m_task;
    WorkerIndex m_worker = kNoWorker;
    std::string m_detail;
  };
  std::vector<Start> m_starts;
  std::vector<Stop> m_stops;
  std::vector<Throttle> m_throttles;
  std::vector<LogEvent> m_log_events;
};

struct Options {
  FencingNumber m_fencing;
  /// Lease asked for with each look.
  Duration m_lease = Seconds(3);
  /// A worker refuses a start that arrives later than this.
  Duration m_start_window = Seconds(2);
  /// Longest time for which a job's state is kept after its end.
  Duration m_state_retention = Seconds(120);
  /// Whether the stored progress names the worker of every run that an earlier
  /// owner ordered.
  bool m_runs_are_recorded = false;
  /// Until when runs ordered by an earlier owner may go on at workers that do
  /// not answer.
  TimePoint m_inherited_leases_until = TimePoint::min();
  /// From when guarded tasks may be stopped: what an earlier owner ordered to
  /// stop has ended by then.
  TimePoint m_disruption_allowed_from = TimePoint::min();
};

/// \brief Learned of a queue's tasks.
struct QueueHistory {
  /// Run time over estimate, smoothed.
  double m_ratio = 1;
  std::uint64_t m_samples = 0;
};

/// \brief A start that is ordered once the store lists it.
struct PlannedStart {
  TaskId m_task;
  std::uint64_t m_run = 0;
  WorkerIndex m_worker = kNoWorker;
  /// Number of the change that lists it.
  std::uint64_t m_change = 0;
};

struct Pool {
  std::vector<WorkerIndex> m_workers;
  /// Jobs that are not final.
  std::vector<Job*> m_jobs;
  /// Cores of VMs that were ordered to join and have not yet.
  double m_incoming_cores = 0;
  /// Core-seconds of all jobs within shares that were handed in, also of those
  /// refused.
  double m_arrived_work = 0;
  std::uint64_t m_arrived_jobs = 0;
};

/// \brief What a workspace may still hand in of its share.
struct ShareBucket {
  /// Jobs, as of m_at.
  double m_tokens = 0;
  TimePoint m_at{};
};

struct Approvals {
  /// Ticket by worker; an approval ends with the time.
  absl::flat_hash_map<WorkerName, std::string> m_tickets;
  TimePoint m_valid_until = TimePoint::min();
  /// Asked for and not answered until then.
  TimePoint m_request_pending_until = TimePoint::min();
  /// Workers asked about so far; the next question goes on after them.
  std::size_t m_workers_asked = 0;
};

/// \brief All state of one owner.
struct Scheduler {
  Options m_options;
  DeploymentConfigPtr m_deployment;
  absl::flat_hash_map<JobId, std::unique_ptr<Job>> m_jobs;
  std::vector<Worker> m_workers;
  absl::flat_hash_map<WorkerName, WorkerIndex> m_worker_index;
  absl::flat_hash_map<PoolName, Pool> m_pools;
  /// FreeCapacity that each workspace's tasks hold on all workers.
  absl::flat_hash_map<WorkspaceName, ResourceVector> m_reserved;
  absl::flat_hash_map<QueueName, QueueHistory> m_history;
  absl::flat_hash_map<WorkspaceName, ShareBucket> m_share_buckets;
  /// Per step of an advised queue: job, occurrence, step.
  std::map<TaskId, Approvals> m_approvals;
  /// Jobs with changes that no write has taken up, by number of the first one.
  std::map<std::uint64_t, Job*> m_unstored_jobs;
  std::uint64_t m_last_change = 0;
  /// First change of the write under way; 0 when there is none.
  std::uint64_t m_first_change_in_write = 0;
  /// Unix time minus scheduler time.
  Duration m_unix_offset{0};
  /// Workers that may hold inherited runs; nothing until all are known.
  std::optional<std::vector<WorkerName>> m_expected_workers;
  /// Whether all inherited runs are accounted for.
  bool m_inherited_resolved = false;
  /// Runs that an earlier owner listed and no look has shown, with their
  /// workers.
  std::map<TaskId, WorkerName> m_inherited_runs;
  /// Starts that wait for the store, by age.
  std::deque<PlannedStart> m_planned_starts;
  /// Whether starts wait until the store lists them. While it is slow or away
  /// they do not; a successor then waits for the workers instead.
  bool m_record_before_start = true;
  /// Last change that lists a start which did not wait for it.
  std::uint64_t m_last_unrecorded_start = 0;
  Effects m_effects;
};

/// \brief The task, or an empty reference when it is not known.
TaskRef FindTask(Scheduler& scheduler, const TaskId& id);

/// \brief Notes that a job's progress changed and has to be stored; gives the
/// number of the change.
std::uint64_t MarkChanged(Scheduler& scheduler, Job& job);

/// \brief Last change before which all changes are stored.
std::uint64_t LastStoredChange(const Scheduler& scheduler);

/// \brief Unix milliseconds at `now`.
std::int64_t UnixMs(const Scheduler& scheduler, TimePoint now);

/// \brief FreeCapacity that a task takes on its worker; fills take no
/// processor.
ResourceVector ReservedDemand(const StepSpec& step);

/// \brief Takes and gives back the room of a task on a worker and in its
/// workspace.
void ReserveResources(Scheduler& scheduler, const TaskRef& ref,
                      WorkerIndex worker);
void ReleaseResources(Scheduler& scheduler, const TaskRef& ref);

void AddLogEvent(Scheduler& scheduler, std::string event, const TaskId& task,
                 WorkerIndex worker, std::string detail = "");

}  // namespace filbertspar::scheduler
