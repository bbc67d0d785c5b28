#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "filbertspar/base/base.h"
#include "filbertspar/json/json.h"

namespace filbertspar::standin {

enum class TaskState : std::uint8_t { kRunning, kDone, kFailed, kStopped };

std::string_view ToString(TaskState state);

/// \brief One task on a worker.
struct Task {
  std::string m_request;
  std::string m_attempt;
  std::string m_job;
  std::string m_team;
  std::string m_body;
  Resources m_resources;
  TaskState m_state = TaskState::kRunning;
  std::string m_result;
  TimePoint m_started;
  TimePoint m_ends;
  TimePoint m_lease_end;
};

/// \brief What goes wrong on the worker; all off at the start.
struct WorkerFaults {
  bool m_down = false;
  bool m_silent = false;
  bool m_fail_all = false;
  bool m_paused = false;
  /// Renewals are answered but not applied.
  bool m_lapse_leases = false;
  Duration m_slow{0};
  /// Shares of answers that are lost, given to another request, cut short.
  double m_lose_answers = 0;
  double m_cross_answers = 0;
  double m_truncate_answers = 0;
};

/// \brief Start or end of a task, for the history.
struct TaskEvent {
  bool m_start = true;
  std::string m_request;
  std::string m_attempt;
  std::string m_job;
  std::string m_team;
  std::string m_state;
  std::int64_t m_time_us = 0;
};

/// \brief Capacity and tasks of one worker; the clock is handed in.
class Worker {
 public:
  Worker(Resources capacity, Duration default_run_time);

  /// \brief Starts the task, or gives the reason why it is refused.
  std::string Start(TimePoint now, const std::shared_ptr<Task>& task,
                    Duration lease, bool fail_all);
  void Renew(TimePoint now, const std::string& attempt, Duration lease);
  void Stop(TimePoint now, const std::string& attempt);
  /// \brief Ends tasks that are done or whose lease lapsed.
  void Tick(TimePoint now);
  /// \brief Stops everything, as a reboot does. \returns tasks cut off.
  std::size_t StopAll(TimePoint now);

  std::shared_ptr<Task> Find(const std::string& attempt) const;
  std::size_t Running() const { return m_running.size(); }
  const std::map<std::string, std::shared_ptr<Task>>& Tasks() const {
    return m_running;
  }
  Slots FreeSlots() const { return m_free.m_slots; }

  bool m_cordoned = false;
  std::vector<TaskEvent> m_history;

 private:
  void End(TimePoint now, Task& task, TaskState state);

  Resources m_capacity;
  Resources m_free;
  Duration m_default_run_time;
  std::map<std::string, std::shared_ptr<Task>> m_tasks;
  std::map<std::string, std::shared_ptr<Task>> m_running;
  std::deque<std::string> m_order;
};

}  // namespace filbertspar::standin
