#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "tests/scheduler_simulation_parts.h"

namespace filbertspar::scheduler {

/// \brief One owner with its workers and stored rows, in virtual time.
class Simulation {
 public:
  Simulation() {
    auto deployment = std::make_shared<DeploymentConfig>();
    deployment->m_version = ConfigVersion(1);
    m_deployment = deployment;
    m_owner = std::make_unique<Scheduler>();
    m_owner->m_options.m_fencing = FencingNumber(1);
    m_owner->m_deployment = m_deployment;
    m_owner->m_expected_workers.emplace();
  }

  /// Changes the configuration in force.
  template <typename Change>
  void Configure(Change change) {
    auto next = std::make_shared<DeploymentConfig>(*m_deployment);
    change(*next);
    BuildIndex(*next);
    m_deployment = next;
    m_owner->m_deployment = m_deployment;
  }

  FakeWorker& AddWorker(const std::string& name, const std::string& pool,
                        std::int64_t cores, const std::string& rack = "r1") {
    Configure([&pool](DeploymentConfig& deployment) {
      PoolConfig config;
      config.m_name = PoolName(pool);
      deployment.m_pools[config.m_name] = config;
    });
    auto worker = std::make_unique<FakeWorker>();
    worker->m_record.m_name = WorkerName(name);
    worker->m_record.m_pool = PoolName(pool);
    worker->m_record.m_rack = RackName(rack);
    worker->m_record.m_labels = {LabelName("a"), LabelName(rack)};
    worker->m_record.m_capacity = {Millicores(cores * 1000), Megabytes(32768),
                                   Accelerators(0)};
    worker->m_record.m_incarnation = worker->m_incarnation;
    worker->m_booted_at = m_now;
    m_workers.push_back(std::move(worker));
    RegisterWorker(*m_owner, m_now, m_workers.back()->m_record);
    return *m_workers.back();
  }

  static JobSpec MakeJob(const std::string& id, const std::string& pool,
                         std::uint32_t tasks, Duration estimate,
                         std::int64_t millicores = 1000) {
    JobSpec job;
    job.m_id = JobId(id);
    job.m_queue = QueueName("q-" + pool);
    job.m_policy.m_pool = PoolName(pool);
    job.m_policy.m_max_attempts = 2;
    job.m_policy.m_stretch = 2;
    job.m_policy.m_target = Milliseconds(600);
    StepSpec step;
    step.m_count = tasks;
    step.m_estimate = estimate;
    step.m_demand = {Millicores(millicores), Megabytes(100), Accelerators(0)};
    job.m_steps.push_back(step);
    return job;
  }

  /// Admission with the pool's current workload, not a cached one.
  Admission CheckAdmission(const JobSpec& job) const {
    const auto pool = m_owner->m_pools.find(job.m_policy.m_pool);
    const PoolWorkload workload =
        pool == m_owner->m_pools.end()
            ? PoolWorkload()
            : ComputeWorkload(*m_owner, m_now, pool->second);
    return Admit(*m_owner, m_now, job, workload);
  }

  /// Admits, stores and adds a job; returns false when it was refused.
  bool Submit(const JobSpec& job) {
    if (CheckAdmission(job).m_code != Code::kOk) {
      return false;
    }
    m_jobs[job.m_id] = EncodeJob(job);
    AddJob(*m_owner, m_now, job);
    return true;
  }

  void RunFor(Duration duration) {
    const TimePoint end = m_now + duration;
    while (m_now < end) {
      Advance();
    }
  }

  /// Replaces the owner by a new one that starts from the stored rows. It reads
  /// the jobs first and their progress later.
  void TakeOver(const std::function<void()>& between_reads = [] {}) {
    const auto jobs = StoredJobs();
    between_reads();
    const std::uint64_t epoch =
        m_owner->m_options.m_fencing.Value() + 1'000'000;
    const Duration retention = m_owner->m_options.m_state_retention;
    m_owner = std::make_unique<Scheduler>();
    m_owner->m_options.m_fencing = FencingNumber(epoch);
    m_owner->m_options.m_state_retention = retention;
    m_owner->m_options.m_inherited_leases_until = m_now + Seconds(6);
    m_owner->m_options.m_inherited_doubt_until =
        m_now + kMaxCallDelay + MaxLeaseTime(*m_owner);
    m_owner->m_options.m_disruption_allowed_from = m_now + Seconds(2);
    m_owner->m_options.m_runs_are_recorded = m_runs_are_recorded;
    m_owner->m_deployment = m_deployment;
    RestoreRows(*m_owner, m_now, jobs, m_progress);
    m_unanswered_starts.clear();
    m_owner->m_expected_workers.emplace();
    for (const auto& worker : m_workers) {
      worker->m_poll_given_up_at = TimePoint::max();
      if (worker->m_is_replaced) {
        continue;
      }
      RegisterWorker(*m_owner, m_now, worker->m_record);
      m_owner->m_expected_workers->push_back(worker->m_record.m_name);
    }
  }

  /// Stores the next write of the owner, which does not learn of it.
  void StoreWithoutAnswer() { Store(TakePendingWrites(*m_owner, m_now, 100)); }

  /// Removes the jobs whose retention time is over; returns their number.
  std::size_t RemoveExpired() {
    const std::vector<JobId> expired = RemoveExpiredJobs(*m_owner, m_now, 100);
    for (const JobId& id : expired) {
      m_progress.erase(id);
    }
    return expired.size();
  }

  /// Ends the incarnation of a worker whose machine loses its power.
  void LosePower(FakeWorker& worker) {
    worker.m_running.clear();
    worker.m_last_run.clear();
    worker.m_finished.clear();
    worker.m_next_finished_number = 1;
    worker.m_first_counted_end = 1;
    // What an incarnation has refused does not wait for the next one.
    std::erase_if(worker.m_late_calls, [&](const LateCall& call) {
      return call.m_fencing < worker.m_fencing && !m_keeps_refused_calls;
    });
    worker.m_fencing = FencingNumber();
    worker.m_lease_until = TimePoint();
    worker.m_is_unreachable = true;
    worker.m_has_no_power = true;
  }

  /// Begins the next incarnation of a worker whose machine had no power. It
  /// executes what was sent meanwhile, if m_late_call_delay is set.
  void Boot(FakeWorker& worker) {
    worker.m_is_unreachable = false;
    worker.m_has_no_power = false;
    worker.m_booted_at = m_now;
    worker.m_incarnation = std::max(worker.m_incarnation + 1,
                                    ToMilliseconds(m_now.time_since_epoch()));
    worker.m_record.m_incarnation = worker.m_incarnation;
    RegisterWorker(*m_owner, m_now, worker.m_record);
    if (m_asks_at_boot) {
      worker.m_poll_given_up_at = TimePoint::max();
    }
    for (LateCall& call : worker.m_late_calls) {
      call.m_due = m_now + m_late_call_delay();
    }
  }

  /// Starts a new incarnation of the worker, without runs or finished runs.
  void Restart(FakeWorker& worker) {
    const bool is_unreachable = worker.m_is_unreachable;
    LosePower(worker);
    Boot(worker);
    worker.m_is_unreachable = is_unreachable;
  }

  /// Changes the capacity that the worker reports.
  void SetCapacity(FakeWorker& worker, std::int64_t cores) {
    worker.m_record.m_capacity.m_cpu = Millicores(cores * 1000);
    RegisterWorker(*m_owner, m_now, worker.m_record);
  }

  /// Ends the worker's process. Nothing listens at its address until another
  /// worker starts there.
  void Crash(FakeWorker& worker) {
    for (const auto& [task, run] : worker.m_running) {
      ++m_lost_runs[task];
    }
    worker.m_running.clear();
    worker.m_finished.clear();
    worker.m_crashed_at = m_now;
  }

  /// Cuts the power of the worker's machine: it is silent until another worker
  /// starts at its address.
  void PowerOff(FakeWorker& worker) {
    Crash(worker);
    worker.m_is_unreachable = true;
  }

  std::size_t CountRunning(const TaskId& task) const {
    std::size_t running = 0;
    for (const auto& worker : m_workers) {
      running += worker->m_running.count(task);
    }
    return running;
  }

  JobState StateOfJob(const std::string& id) const {
    return *ReportedState(*m_owner, JobId(id));
  }

  TimePoint m_now{Seconds(1000)};
  std::unique_ptr<Scheduler> m_owner;
  std::vector<std::unique_ptr<FakeWorker>> m_workers;
  std::map<JobId, std::string> m_jobs;
  std::map<JobId, std::string> m_progress;
  /// Jobs of which only the progress is still stored.
  std::set<JobId> m_removed_rows;
  /// Tasks of which a run has ended as done on a worker, and the runs that have
  /// failed there.
  std::set<TaskId> m_done;
  std::map<TaskId, std::set<std::uint64_t>> m_failed_runs;
  /// Number of starts carried out, by task.
  std::map<TaskId, int> m_starts;
  /// Run time divided by estimate.
  double m_ratio = 1;
  Duration m_stop_time = Milliseconds(200);
  /// Time after which a poll without an answer is given up.
  Duration m_poll_timeout{0};
  /// Time from the start of an incarnation to its execution of a call that was
  /// sent to the one before; empty when such calls are lost.
  std::function<Duration()> m_late_call_delay;
  int m_late_starts = 0;
  int m_late_stops = 0;
  /// Calls that an incarnation has refused may be executed by a later one.
  bool m_keeps_refused_calls = false;
  /// The owner asks a worker which incarnation it is as soon as it has started
  /// again, while a poll of the one before is open.
  bool m_asks_at_boot = false;
  /// Starts and polls reach whatever incarnation is there, also on connections
  /// on which another one has answered.
  bool m_reaches_any_incarnation = false;
  /// Planted: workers execute late calls whatever their fencing number.
  bool m_ignores_fencing = false;
  bool m_store_is_down = false;
  /// Ends that one answer of a worker holds.
  std::size_t m_max_listed_ends = 500;
  /// Progress that the store rejects; it rejects all that is written with it.
  std::function<bool(const JobWrite&)> m_store_rejects = [](const JobWrite&) {
    return false;
  };
  /// Whether the next owner relies on the runs recorded in the store.
  bool m_runs_are_recorded = true;
  /// Starts that brought a worker over its capacity. Workers start whatever
  /// they are ordered to.
  int m_starts_over_capacity = 0;
  /// Starts of tasks of which a run had ended as done, where that end was
  /// acknowledged, then or later (RULES.md, TWICE).
  int m_starts_after_end = 0;
  /// Highest number of simultaneous runs of one task.
  std::size_t m_max_concurrent_runs = 0;
  std::set<std::string> m_failing_jobs;
  /// Tasks that crash each worker on which they run, and the age of the run at
  /// which they do.
  std::map<TaskId, Duration> m_crashing_tasks;
  /// When workers crashed under these tasks.
  std::map<TaskId, std::vector<TimePoint>> m_crashes;
  /// Number of runs that were lost with a crashed worker, by task.
  std::map<TaskId, int> m_lost_runs;
  /// Time after a crash at which a new worker starts at the same address.
  Duration m_restart_time = Seconds(3);

 private:
  static constexpr Duration kTick = Milliseconds(20);
  /// Time after which a start without a response is given up.
  static constexpr Duration kOrderTimeout = Milliseconds(360);
  /// A longer lease is shortened to this by the worker.
  static constexpr Duration kMaxLease = Seconds(6);

  std::int64_t ClockOf(const FakeWorker& worker) const {
    return ToMilliseconds(m_now - worker.m_booted_at) + 1000;
  }

  void Advance() {
    m_now += kTick;
    ReplaceCrashedWorkers();
    for (WorkerIndex i = 0; i < m_owner->m_workers.size(); ++i) {
      FakeWorker* worker = Find(m_owner->m_workers[i].m_record.m_name);
      if (worker == nullptr) {
        continue;
      }
      FinishRuns(*worker);
      CrashIfDue(*worker);
      ExecuteLateCalls(*worker);
      Poll(i, *worker);
    }
    if (!m_store_is_down) {
      StoreWrites();
    }
    ExpireLeases(*m_owner, m_now);
    Dispatch(*m_owner, m_now);
    ApplyEffects();
    GiveUpStarts();
    for (const auto& worker : m_workers) {
      for (const auto& [task, run] : worker->m_running) {
        m_max_concurrent_runs =
            std::max(m_max_concurrent_runs, CountRunning(task));
      }
    }
  }

  std::map<JobId, std::string> StoredJobs() const {
    std::map<JobId, std::string> jobs = m_jobs;
    std::erase_if(jobs, [this](const auto& job) {
      return m_removed_rows.contains(job.first);
    });
    return jobs;
  }

  /// The row of a job is removed with the write after which nothing of it may
  /// run.
  void Store(const std::vector<JobWrite>& writes) {
    for (const JobWrite& write : writes) {
      m_progress[write.m_id] = write.m_progress;
      if (IsFinal(write.m_state) && !write.m_has_runs) {
        m_removed_rows.insert(write.m_id);
      }
    }
  }

  /// Sends what was rejected again in smaller batches.
  void StoreWrites() {
    constexpr std::size_t kMaxWrites = 100;
    const std::vector<JobWrite> writes =
        TakePendingWrites(*m_owner, m_now, m_max_writes);
    if (std::any_of(writes.begin(), writes.end(), m_store_rejects)) {
      ReturnWrites(*m_owner, writes);
      if (writes.size() == 1) {
        HandleWriteRejected(*m_owner, m_now, writes.front().m_id);
      }
      m_max_writes = std::max<std::size_t>(1, writes.size() / 2);
      return;
    }
    m_max_writes = kMaxWrites;
    Store(writes);
    HandleWriteCompleted(*m_owner, m_now, writes);
  }

  FakeWorker* Find(const WorkerName& name) {
    for (const auto& worker : m_workers) {
      if (worker->m_record.m_name == name) {
        return worker.get();
      }
    }
    return nullptr;
  }

  /// What is being stopped still counts.
  bool IsOverCapacity(const FakeWorker& worker) const {
    ResourceVector used;
    for (const auto& [task, run] : worker.m_running) {
      const auto job = m_jobs.find(task.m_job);
      used += ReservedDemand(DecodeJob(job->second)->m_steps[task.m_step]);
    }
    return !FitsIn(used, worker.m_record.m_capacity);
  }

  void CrashIfDue(FakeWorker& worker) {
    for (const auto& [task, run] : worker.m_running) {
      const auto crashing = m_crashing_tasks.find(task);
      if (crashing != m_crashing_tasks.end() &&
          m_now - run.m_began_at >= crashing->second) {
        m_crashes[task].push_back(m_now);
        Crash(worker);
        return;
      }
    }
  }

  void ReplaceCrashedWorkers() {
    for (std::size_t i = 0; i < m_workers.size(); ++i) {
      FakeWorker& crashed = *m_workers[i];
      if (crashed.m_crashed_at == TimePoint::max() || crashed.m_is_replaced ||
          m_now - crashed.m_crashed_at < m_restart_time) {
        continue;
      }
      crashed.m_is_replaced = true;
      UnregisterWorker(*m_owner, m_now, crashed.m_record.m_name);
      auto worker = std::make_unique<FakeWorker>();
      worker->m_record = crashed.m_record;
      worker->m_record.m_name =
          WorkerName(crashed.m_record.m_name.Value() + "+");
      worker->m_booted_at = m_now;
      worker->m_incarnation = ToMilliseconds(m_now.time_since_epoch());
      worker->m_record.m_incarnation = worker->m_incarnation;
      RegisterWorker(*m_owner, m_now, worker->m_record);
      m_workers.push_back(std::move(worker));
    }
  }

  void Finish(FakeWorker& worker, const TaskId& task,
              const FakeWorker::Run& run, RunOutcome outcome) {
    if (outcome == RunOutcome::kDone) {
      m_done.insert(task);
      m_done_at[{task, run.m_run}] = m_now;
    }
    if (outcome == RunOutcome::kFailed) {
      m_failed_runs[task].insert(run.m_run);
    }
    worker.m_last_run[task] = std::max(worker.m_last_run[task], run.m_run);
    worker.m_finished.push_back({worker.m_next_finished_number++, task,
                                 RunNumber(run.m_run), outcome,
                                 run.m_checkpoint});
  }

  void FinishRuns(FakeWorker& worker) {
    if (m_now > worker.m_lease_until) {
      worker.m_first_counted_end = worker.m_next_finished_number;
    }
    for (auto it = worker.m_running.begin(); it != worker.m_running.end();) {
      const bool lease_expired = m_now > worker.m_lease_until;
      if (it->second.m_ends_at <= m_now || lease_expired) {
        Finish(
            worker, it->first, it->second,
            lease_expired ? RunOutcome::kLeaseExpired : it->second.m_outcome);
        it = worker.m_running.erase(it);
      } else {
        ++it;
      }
    }
  }

  /// Whether calls that are sent to the worker now wait for its next
  /// incarnation.
  bool KeepsCalls(const FakeWorker& worker) const {
    return worker.m_has_no_power && m_late_call_delay;
  }

  void ExecuteLateCalls(FakeWorker& worker) {
    if (worker.m_has_no_power) {
      return;
    }
    std::vector<LateCall> calls;
    std::swap(calls, worker.m_late_calls);
    for (const LateCall& call : calls) {
      if (call.m_due > m_now) {
        worker.m_late_calls.push_back(call);
      } else if (call.m_fencing >= worker.m_fencing || m_ignores_fencing) {
        worker.m_fencing = std::max(worker.m_fencing, call.m_fencing);
        Execute(worker, call);
      }
    }
  }

  void Execute(FakeWorker& worker, const LateCall& call) {
    if (call.m_deadline_ms) {
      ExtendLease(worker, *call.m_deadline_ms);
    }
    Acknowledge(worker, call.m_acknowledged);
    if (call.m_stop) {
      ++m_late_stops;
      Stop(worker, *call.m_stop);
    }
    if (!call.m_start) {
      return;
    }
    const TaskId& task = call.m_start->m_task;
    const bool is_old = worker.m_running.contains(task) ||
                        call.m_start->m_run.Value() <= worker.m_last_run[task];
    if (!is_old && call.m_start->m_deadline_ms >= ClockOf(worker)) {
      ++m_late_starts;
      StartRun(worker, *call.m_start);
    }
  }

  void Poll(WorkerIndex index, FakeWorker& worker) {
    const TimePoint sent = m_now;
    if (worker.m_is_replaced) {
      if (!m_owner->m_workers[index].m_tasks.empty()) {
        HandleInstanceReplaced(*m_owner, m_now, index);
      }
      return;
    }
    if (worker.m_poll_given_up_at != TimePoint::max()) {
      if (m_now >= worker.m_poll_given_up_at) {
        worker.m_poll_given_up_at = TimePoint::max();
        HandlePollFailure(*m_owner, m_now, index, PollFailure::kSilent);
      }
      return;
    }
    // Other incarnations than the known one are only asked which they are.
    const bool is_known =
        m_owner->m_workers[index].m_incarnation == worker.m_incarnation ||
        m_reaches_any_incarnation;
    std::optional<std::int64_t> deadline;
    if (is_known || worker.m_is_unreachable) {
      deadline = GrantLease(*m_owner, m_now, index);
    }
    // A poll that was given up is followed by ones on new connections, which
    // neither grant nor acknowledge anything.
    Worker& known = m_owner->m_workers[index];
    const bool is_plain = !deadline && !m_reaches_any_incarnation;
    const std::uint64_t acknowledged = is_plain ? 0 : EndsToAcknowledge(known);
    const FencingNumber fencing =
        is_plain ? known.m_fencing : HandlePollSent(m_now, known, acknowledged);
    if (KeepsCalls(worker) && !is_plain) {
      LateCall call;
      call.m_fencing = fencing;
      call.m_deadline_ms = deadline;
      call.m_acknowledged = acknowledged;
      worker.m_late_calls.push_back(call);
    }
    if (worker.m_is_unreachable && m_poll_timeout > Duration(0)) {
      worker.m_poll_given_up_at = m_now + m_poll_timeout;
      return;
    }
    if (worker.m_is_unreachable) {
      HandlePollFailure(*m_owner, m_now, index, PollFailure::kSilent);
      return;
    }
    if (worker.m_crashed_at != TimePoint::max() || worker.m_refuses) {
      const Worker& seen = m_owner->m_workers[index];
      const bool had_poll = seen.m_has_responded && seen.m_failed_polls == 0;
      HandlePollFailure(
          *m_owner, m_now, index,
          had_poll ? PollFailure::kClosed : PollFailure::kRefused);
      return;
    }
    worker.m_fencing = std::max(worker.m_fencing, fencing);
    if (deadline) {
      ExtendLease(worker, *deadline);
    }
    Acknowledge(worker, acknowledged);
    HandlePollResponse(*m_owner, sent, m_now, index, StatusOf(worker), fencing);
  }

  void ExtendLease(FakeWorker& worker, std::int64_t deadline_ms) const {
    const Duration length = std::min(
        kMaxLease, Duration(Milliseconds(deadline_ms - ClockOf(worker))));
    worker.m_lease_until = std::max(worker.m_lease_until, m_now + length);
  }

  void Acknowledge(FakeWorker& worker, std::uint64_t number) {
    for (const FinishedRun& finished : worker.m_finished) {
      if (finished.m_number <= number &&
          finished.m_number >= worker.m_first_counted_end &&
          finished.m_outcome == RunOutcome::kDone) {
        m_acknowledged_ends.insert(finished.m_task);
        const TimePoint ended_at =
            m_done_at.at({finished.m_task, finished.m_run.Value()});
        const std::vector<TimePoint>& starts = m_started_at[finished.m_task];
        m_starts_after_end += static_cast<int>(
            std::count_if(starts.begin(), starts.end(),
                          [&](TimePoint start) { return start > ended_at; }));
      }
    }
    std::erase_if(worker.m_finished, [number](const FinishedRun& finished) {
      return finished.m_number <= number;
    });
  }

  WorkerStatus StatusOf(const FakeWorker& worker) const {
    WorkerStatus status;
    status.m_clock_ms = ClockOf(worker);
    status.m_incarnation = worker.m_incarnation;
    status.m_finished = worker.m_finished;
    if (status.m_finished.size() >= m_max_listed_ends) {
      status.m_finished.resize(m_max_listed_ends);
      status.m_truncated = true;
    }
    for (const auto& [task, run] : worker.m_running) {
      status.m_running.push_back({task, RunNumber(run.m_run), run.m_checkpoint,
                                  run.m_speed_percent, run.m_load});
    }
    return status;
  }

  /// Gives up the starts that got no response in time.
  void GiveUpStarts() {
    std::vector<UnansweredStart> starts;
    std::swap(starts, m_unanswered_starts);
    for (const UnansweredStart& unanswered : starts) {
      if (m_now < unanswered.m_until) {
        m_unanswered_starts.push_back(unanswered);
      } else {
        HandleStartResponse(*m_owner, m_now, unanswered.m_start.m_worker,
                            unanswered.m_start.m_order,
                            {OrderResult::kUnknown, std::nullopt});
      }
    }
  }

  void ApplyEffects() {
    Effects effects;
    std::swap(effects, m_owner->m_effects);
    for (const auto& start : effects.m_starts) {
      ApplyStart(start);
    }
    for (const auto& stop : effects.m_stops) {
      FakeWorker* worker =
          Find(m_owner->m_workers[stop.m_worker].m_record.m_name);
      if (worker != nullptr && KeepsCalls(*worker)) {
        LateCall call;
        call.m_fencing = m_owner->m_workers[stop.m_worker].m_fencing;
        call.m_stop = stop.m_order;
        worker->m_late_calls.push_back(call);
      }
      if (worker == nullptr || worker->m_is_unreachable || worker->m_refuses ||
          worker->m_crashed_at != TimePoint::max()) {
        continue;
      }
      Stop(*worker, stop.m_order);
      HandleStopResponse(*m_owner, m_now, stop.m_worker, stop.m_order,
                         {OrderResult::kAccepted, ClockOf(*worker)});
    }
    for (const auto& throttle : effects.m_throttles) {
      FakeWorker* worker =
          Find(m_owner->m_workers[throttle.m_worker].m_record.m_name);
      const auto run = worker->m_running.find(throttle.m_order.m_task);
      if (run != worker->m_running.end()) {
        run->second.m_speed_percent = throttle.m_order.m_speed_percent;
      }
    }
  }

  /// A run that is not there yet will be rejected.
  void Stop(FakeWorker& worker, const StopOrder& order) const {
    const auto run = worker.m_running.find(order.m_task);
    if (run == worker.m_running.end() ||
        run->second.m_run != order.m_run.Value()) {
      worker.m_last_run[order.m_task] =
          std::max(worker.m_last_run[order.m_task], order.m_run.Value());
    } else if (run->second.m_outcome != RunOutcome::kStopped) {
      run->second.m_ends_at = m_now + m_stop_time;
      run->second.m_outcome = RunOutcome::kStopped;
    }
  }

  void ApplyStart(Effects::Start start) {
    Worker& known = m_owner->m_workers[start.m_worker];
    FakeWorker* worker = Find(known.m_record.m_name);
    StartOrder& order = start.m_order;
    if (!IsFenced(known)) {
      HandleStartResponse(*m_owner, m_now, start.m_worker, order,
                          {OrderResult::kDeadlinePassed, std::nullopt});
      return;
    }
    if (worker != nullptr && !worker->m_is_unreachable &&
        (worker->m_crashed_at != TimePoint::max() || worker->m_refuses)) {
      HandleStartResponse(*m_owner, m_now, start.m_worker, order,
                          {OrderResult::kNotDelivered, std::nullopt});
      return;
    }
    const bool is_known = worker == nullptr || worker->m_is_unreachable ||
                          order.m_incarnation == worker->m_incarnation ||
                          m_reaches_any_incarnation;
    if (is_known) {
      order.m_fencing = HandleStartSent(*m_owner, m_now, order);
    }
    if (worker == nullptr || worker->m_is_unreachable) {
      m_unanswered_starts.push_back({start, m_now + kOrderTimeout});
    }
    if (worker != nullptr && KeepsCalls(*worker)) {
      LateCall call;
      call.m_fencing = order.m_fencing;
      call.m_start = order;
      worker->m_late_calls.push_back(call);
    }
    if (worker == nullptr || worker->m_is_unreachable) {
      return;
    }
    if (!is_known) {
      // The owner learns of the incarnation that answers; the start is not
      // sent.
      worker->m_poll_given_up_at = TimePoint::max();
      HandlePollResponse(*m_owner, m_now, m_now, start.m_worker,
                         StatusOf(*worker), known.m_fencing);
      return;
    }
    if (worker->m_rejects_starts) {
      HandleStartResponse(*m_owner, m_now, start.m_worker, order,
                          {OrderResult::kUnhealthy, ClockOf(*worker)});
      return;
    }
    StartRun(*worker, order);
    if (!worker->m_drops_responses) {
      HandleStartResponse(*m_owner, m_now, start.m_worker, order,
                          {OrderResult::kAccepted, ClockOf(*worker)});
    } else {
      m_unanswered_starts.push_back({start, m_now + kOrderTimeout});
    }
  }

  void StartRun(FakeWorker& worker, const StartOrder& order) {
    const JobSpec job = *DecodeJob(m_jobs.at(order.m_task.m_job));
    const StepSpec& step = job.m_steps[order.m_task.m_step];
    FakeWorker::Run run;
    run.m_run = order.m_run.Value();
    run.m_began_at = m_now;
    run.m_checkpoint = order.m_checkpoint;
    const bool fails =
        worker.m_fails_all || m_failing_jobs.contains(job.m_id.Value());
    run.m_outcome = fails ? RunOutcome::kFailed : RunOutcome::kDone;
    run.m_ends_at =
        step.m_long_running
            ? TimePoint::max()
            : m_now + Duration(static_cast<std::int64_t>(
                          static_cast<double>(step.m_estimate.count()) *
                          (fails ? 0.2 : m_ratio)));
    ExtendLease(worker, order.m_deadline_ms);
    worker.m_running[order.m_task] = run;
    m_starts_after_end += m_acknowledged_ends.contains(order.m_task) ? 1 : 0;
    m_starts_over_capacity += IsOverCapacity(worker) ? 1 : 0;
    ++m_starts[order.m_task];
    m_started_at[order.m_task].push_back(m_now);
  }

  struct UnansweredStart {
    Effects::Start m_start;
    TimePoint m_until{};
  };

  DeploymentConfigPtr m_deployment;
  std::size_t m_max_writes = 100;
  std::vector<UnansweredStart> m_unanswered_starts;
  std::set<TaskId> m_acknowledged_ends;
  /// When runs ended as done, and when runs of each task were started.
  std::map<std::pair<TaskId, std::uint64_t>, TimePoint> m_done_at;
  std::map<TaskId, std::vector<TimePoint>> m_started_at;
};

}  // namespace filbertspar::scheduler
