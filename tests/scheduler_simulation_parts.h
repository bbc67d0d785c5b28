#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "filbertspar/scheduler/scheduler.h"

namespace filbertspar::scheduler {

/// \brief A start, a stop or a poll that was sent to a machine without power.
struct LateCall {
  FencingNumber m_fencing;
  /// Of a poll.
  std::optional<std::int64_t> m_deadline_ms;
  std::uint64_t m_acknowledged = 0;
  std::optional<StartOrder> m_start;
  std::optional<StopOrder> m_stop;
  /// When the next incarnation executes it; max() before that has started.
  TimePoint m_due = TimePoint::max();
};

/// \brief A worker that carries out orders immediately, in virtual time.
struct FakeWorker {
  struct Run {
    std::uint64_t m_run = 0;
    TimePoint m_began_at{};
    TimePoint m_ends_at{};
    RunOutcome m_outcome = RunOutcome::kDone;
    std::string m_checkpoint;
    std::int64_t m_speed_percent = 100;
    std::int64_t m_load = -1;
  };
  WorkerRecord m_record;
  std::int64_t m_incarnation = 1;
  TimePoint m_booted_at{};
  std::map<TaskId, Run> m_running;
  /// Highest run of each task that has ended.
  std::map<TaskId, std::uint64_t> m_last_run;
  std::vector<FinishedRun> m_finished;
  std::uint64_t m_next_finished_number = 1;
  /// Ends before this one were listed when the lease expired: that they are
  /// acknowledged later does not count (RULES.md, TWICE).
  std::uint64_t m_first_counted_end = 1;
  FencingNumber m_fencing;
  TimePoint m_lease_until{};
  /// Polls and orders get no answer; its tasks keep running.
  bool m_is_unreachable = false;
  /// Its machine has no power; what is sent to it may be executed by the next
  /// incarnation.
  bool m_has_no_power = false;
  std::vector<LateCall> m_late_calls;
  /// When the poll that waits for its answer is given up; max() without one.
  TimePoint m_poll_given_up_at = TimePoint::max();
  /// Connections to it are refused; its tasks keep running.
  bool m_refuses = false;
  /// Answers polls, but rejects every start.
  bool m_rejects_starts = false;
  /// Carries out starts, but the answers are lost.
  bool m_drops_responses = false;
  /// Every run on it fails.
  bool m_fails_all = false;
  /// When its process ended by itself; max() while it runs.
  TimePoint m_crashed_at = TimePoint::max();
  /// Its successor at the same address has started.
  bool m_is_replaced = false;
};

/// \brief Restores what a new owner reads: the rows of jobs, and those of
/// progress, by job.
inline void RestoreRows(Scheduler& scheduler, TimePoint now,
                        const std::map<JobId, std::string>& jobs,
                        const std::map<JobId, std::string>& progress_rows) {
  std::map<JobId, StoredJob> stored;
  for (const auto& [id, row] : jobs) {
    stored[id].m_spec = DecodeJob(row);
  }
  for (const auto& [id, row] : progress_rows) {
    stored[id].m_progress = DecodeProgress(row);
  }
  for (auto& [id, job] : stored) {
    job.m_id = id;
    RestoreStoredJob(scheduler, now, std::move(job));
  }
}

}  // namespace filbertspar::scheduler
