#include "standins/upstream/worker.h"

#include <chrono>

namespace filbertspar::standin {
namespace {

constexpr std::size_t kMaxTasksKept = 50'000;
constexpr Duration kLongestRun = Seconds(3600);

std::int64_t WallMicroseconds() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

/// A body that is an object with "work_ms" says how long its task runs.
Duration RunTimeOf(const std::string& body, Duration fallback) {
  if (body.find("\"work_ms\"") == std::string::npos) {
    return fallback;
  }
  absl::StatusOr<JsonObject> object = ParseJsonObject(body);
  if (!object.ok()) {
    return fallback;
  }
  const Json* field = object->if_contains("work_ms");
  if (field == nullptr || !field->is_int64() || field->as_int64() < 0) {
    return fallback;
  }
  return std::min(Milliseconds(field->as_int64()), kLongestRun);
}

}  // namespace

std::string_view ToString(TaskState state) {
  switch (state) {
    case TaskState::kRunning:
      return "running";
    case TaskState::kDone:
      return "done";
    case TaskState::kFailed:
      return "failed";
    case TaskState::kStopped:
      return "stopped";
  }
  return "unknown";
}

Worker::Worker(Resources capacity, Duration default_run_time)
    : m_capacity(capacity),
      m_free(capacity),
      m_default_run_time(default_run_time) {}

std::string Worker::Start(TimePoint now, const std::shared_ptr<Task>& task,
                          Duration lease, bool fail_all) {
  if (m_cordoned) {
    return "cordoned";
  }
  const Resources& need = task->m_resources;
  if (need.m_slots > m_free.m_slots || need.m_memory > m_free.m_memory ||
      need.m_accelerators > m_free.m_accelerators) {
    return "full";
  }
  m_free.m_slots -= need.m_slots;
  m_free.m_memory -= need.m_memory;
  m_free.m_accelerators -= need.m_accelerators;
  task->m_started = now;
  task->m_lease_end = now + lease;
  task->m_ends = now + RunTimeOf(task->m_body, m_default_run_time);
  m_tasks[task->m_attempt] = task;
  m_running[task->m_attempt] = task;
  m_order.push_back(task->m_attempt);
  if (m_order.size() > kMaxTasksKept && !m_running.contains(m_order.front())) {
    m_tasks.erase(m_order.front());
    m_order.pop_front();
  }
  m_history.push_back({true, task->m_request, task->m_attempt, task->m_job,
                       task->m_team, "running", WallMicroseconds()});
  if (fail_all) {
    End(now, *task, TaskState::kFailed);
  }
  return "";
}

void Worker::Renew(TimePoint now, const std::string& attempt, Duration lease) {
  if (const auto found = m_running.find(attempt); found != m_running.end()) {
    found->second->m_lease_end = now + lease;
  }
}

void Worker::Stop(TimePoint now, const std::string& attempt) {
  if (const auto found = m_running.find(attempt); found != m_running.end()) {
    const std::shared_ptr<Task> task = found->second;
    End(now, *task, TaskState::kStopped);
  }
}

void Worker::Tick(TimePoint now) {
  std::vector<std::shared_ptr<Task>> due;
  for (const auto& [attempt, task] : m_running) {
    if (task->m_ends <= now || task->m_lease_end <= now) {
      due.push_back(task);
    }
  }
  for (const auto& task : due) {
    End(now, *task,
        task->m_ends <= now ? TaskState::kDone : TaskState::kStopped);
  }
}

std::size_t Worker::StopAll(TimePoint now) {
  const std::size_t cut_off = m_running.size();
  while (!m_running.empty()) {
    const std::shared_ptr<Task> task = m_running.begin()->second;
    End(now, *task, TaskState::kStopped);
  }
  return cut_off;
}

std::shared_ptr<Task> Worker::Find(const std::string& attempt) const {
  const auto found = m_tasks.find(attempt);
  return found == m_tasks.end() ? nullptr : found->second;
}

void Worker::End(TimePoint now, Task& task, TaskState state) {
  static_cast<void>(now);
  task.m_state = state;
  if (state == TaskState::kDone) {
    task.m_result = ToText(JsonObject{{"job", task.m_job},
                                      {"request", task.m_request},
                                      {"echo", task.m_body}});
  }
  m_free.m_slots += task.m_resources.m_slots;
  m_free.m_memory += task.m_resources.m_memory;
  m_free.m_accelerators += task.m_resources.m_accelerators;
  m_history.push_back({false, task.m_request, task.m_attempt, task.m_job,
                       task.m_team, std::string(ToString(state)),
                       WallMicroseconds()});
  m_running.erase(task.m_attempt);
}

}  // namespace filbertspar::standin
