#include <algorithm>
#include <array>

#include "tests/world/world.h"

namespace filbertspar::world {

void World::Do(std::size_t n, const StartAttempt& start) {
  ++m_counts.m_attempts;
  FakeWorker& worker = m_workers.at(start.m_worker);
  if (worker.m_fails_all) {
    ++m_counts.m_on_failing[m_now.time_since_epoch().count() / 1'000'000];
  }
  const auto wire = std::make_shared<Wire>(Wire{.m_node = n, .m_start = start});
  m_wires[start.m_attempt] = wire;
  m_recent_wires.push_back(start.m_attempt);
  if (worker.m_down || m_rng.Chance(Faults().m_not_sent)) {
    After(Hop(), [this, wire] { Report(wire, AttemptResult::kNotSent); });
    return;
  }
  After(start.m_timeout, [this, wire] { Report(wire, AttemptResult::kLost); });
  Renew(wire);
  if (!m_rng.Chance(Faults().m_lose_request)) {
    const Duration delay = m_rng.Chance(Faults().m_delay_request)
                               ? Random(Duration(100), Seconds(3))
                               : Hop();
    After(delay, [this, wire] { Arrive(wire); });
  } else if (m_rng.Chance(0.5)) {
    After(Hop(), [this, wire] { Report(wire, AttemptResult::kLost); });
  }
}

void World::Report(const WirePtr& wire, AttemptResult result) {
  if (wire->m_reported) {
    return;
  }
  if (m_options.m_plant == Plant::kLostAsNotSent &&
      result == AttemptResult::kLost) {
    result = AttemptResult::kNotSent;
  }
  AttemptReport report;
  report.m_attempt = wire->m_start.m_attempt;
  report.m_result = result;
  Deliver(wire, report);
}

void World::Deliver(const WirePtr& wire, AttemptReport report) {
  wire->m_reported = true;
  if (m_options.m_plant == Plant::kForgedEcho && report.m_body != nullptr) {
    report.m_echoed_request = wire->m_start.m_request;
    report.m_echoed_attempt = wire->m_start.m_attempt;
    report.m_declared_length = report.m_body->size();
  }
  Change(wire->m_node,
         [report](EngineApi& engine, TimePoint now, Effects& effects) {
           engine.Ended(now, report, effects);
         });
}

// Renews as the entry process does while it runs and awaits the answer.
void World::Renew(const WirePtr& wire) {
  After(wire->m_start.m_lease / 3, [this, wire] {
    if (wire->m_reported) {
      return;
    }
    const TaskPtr task = FindTask(wire->m_start);
    if (!m_nodes[wire->m_node].m_paused && task != nullptr) {
      task->m_lease_end = m_now + wire->m_start.m_lease;
    }
    Renew(wire);
  });
}

World::TaskPtr World::FindTask(const StartAttempt& start) {
  auto& tasks = m_workers.at(start.m_worker).m_tasks;
  const auto found = tasks.find(start.m_attempt);
  return found == tasks.end() ? nullptr : found->second;
}

void World::Arrive(const WirePtr& wire) {
  const StartAttempt& start = wire->m_start;
  FakeWorker& worker = m_workers.at(start.m_worker);
  if (worker.m_down) {
    Report(wire, AttemptResult::kLost);
    return;
  }
  if (worker.m_refuses_all || m_rng.Chance(Faults().m_refuse) ||
      worker.m_slots_used + start.m_resources.m_slots.Count() >
          worker.m_info.m_capacity.m_slots.Count()) {
    After(Hop(), [this, wire] { Report(wire, AttemptResult::kRefused); });
    return;
  }
  const auto task = std::make_shared<Task>(
      Task{.m_start = start,
           .m_result = Text("result of " + *start.m_body),
           .m_lease_end = m_now + start.m_lease});
  worker.m_tasks[start.m_attempt] = task;
  worker.m_slots_used += start.m_resources.m_slots.Count();
  Fill(Record(HistoryEvent::kStarted), *task);
  const bool fails = worker.m_fails_all || m_rng.Chance(Faults().m_fail);
  const Duration longest =
      m_rng.Chance(Faults().m_long_task) ? Seconds(40) : m_options.m_max_run;
  const Duration run_time = worker.m_fails_all
                                ? Milliseconds(1)
                                : Random(m_options.m_min_run, longest);
  After(run_time, [this, task, fails] {
    EndTask(task, fails ? TaskState::kFailed : TaskState::kDone);
  });
  WatchLease(task);
}

void World::WatchLease(const TaskPtr& task) {
  After(task->m_lease_end - m_now, [this, task] {
    if (task->m_state != TaskState::kRunning ||
        m_options.m_plant == Plant::kLeasesIgnored) {
      return;
    }
    if (m_now >= task->m_lease_end) {
      EndTask(task, TaskState::kStopped);
    } else {
      WatchLease(task);
    }
  });
}

void World::Fill(HistoryRecord& record, const Task& task) {
  record.m_request = std::to_string(task.m_start.m_request.Value());
  record.m_attempt = std::to_string(task.m_start.m_attempt.Value());
  record.m_worker = task.m_start.m_worker.Value();
  record.m_team = task.m_start.m_team.Value();
  record.m_entry = task.m_start.m_entry.Value();
}

void World::EndTask(const TaskPtr& task, TaskState state) {
  constexpr std::array<const char*, 4> kNames = {"running", "done", "failed",
                                                 "stopped"};
  constexpr std::array<AttemptResult, 4> kResults = {
      AttemptResult::kLost, AttemptResult::kDone, AttemptResult::kFailed,
      AttemptResult::kStopped};
  if (task->m_state != TaskState::kRunning) {
    return;
  }
  task->m_state = state;
  m_workers.at(task->m_start.m_worker).m_slots_used -=
      task->m_start.m_resources.m_slots.Count();
  HistoryRecord& record = Record(HistoryEvent::kEnded);
  Fill(record, *task);
  record.m_outcome = kNames[static_cast<std::size_t>(state)];
  record.m_digest = *task->m_result;
  AttemptReport report;
  report.m_attempt = task->m_start.m_attempt;
  report.m_result = kResults[static_cast<std::size_t>(state)];
  report.m_echoed_request = task->m_start.m_request;
  report.m_echoed_attempt = task->m_start.m_attempt;
  report.m_declared_length = task->m_result->size();
  report.m_body = task->m_result;
  Answer(m_wires.at(report.m_attempt), report);
}

// Sends the worker's answer back over a connection that may go wrong.
void World::Answer(const WirePtr& wire, AttemptReport report) {
  if (m_rng.Chance(Faults().m_lose_answer)) {
    if (m_rng.Chance(0.5)) {
      After(Hop(), [this, wire] { Report(wire, AttemptResult::kLost); });
    }
    return;
  }
  if (m_rng.Chance(Faults().m_truncate)) {
    report.m_body =
        Text(report.m_body->substr(0, m_rng.Below(report.m_body->size())));
  }
  WirePtr target = wire;
  if (m_rng.Chance(Faults().m_cross)) {
    // One of the last attempts, which are likely to be awaited still.
    const std::size_t last = std::min<std::size_t>(m_recent_wires.size(), 8);
    target = m_wires.at(
        m_recent_wires[m_recent_wires.size() - 1 - m_rng.Below(last)]);
    report.m_attempt = target->m_start.m_attempt;
  }
  Duration delay = Hop();
  if (m_rng.Chance(Faults().m_late)) {
    // The shell gives up first; the answer still reaches the engine.
    After(delay, [this, wire] { Report(wire, AttemptResult::kLost); });
    delay += Random(Duration(0), Seconds(20));
  }
  const int copies = m_rng.Chance(Faults().m_duplicate) ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    After(delay, [this, target, report] { Deliver(target, report); });
    delay += Hop();
  }
}

void World::Do(std::size_t /*n*/, const StopAttempt& stop) {
  After(Hop(), [this, stop] {
    const auto& tasks = m_workers.at(stop.m_worker).m_tasks;
    if (const auto found = tasks.find(stop.m_attempt); found != tasks.end()) {
      EndTask(found->second, TaskState::kStopped);
    }
  });
}

void World::Do(std::size_t n, const QueryAttempt& query) {
  ++m_counts.m_queries;
  After(Hop(), [this, n, query] {
    constexpr std::array<AttemptState, 4> kStates = {
        AttemptState::kRunning, AttemptState::kDone, AttemptState::kFailed,
        AttemptState::kStopped};
    const FakeWorker& worker = m_workers.at(query.m_worker);
    QueryReport report{.m_attempt = query.m_attempt,
                       .m_state = AttemptState::kUnknown,
                       .m_body = nullptr};
    const auto found = worker.m_tasks.find(query.m_attempt);
    if (worker.m_down || m_rng.Chance(Faults().m_lose_answer)) {
      report.m_state = AttemptState::kUnreachable;
    } else if (found != worker.m_tasks.end()) {
      const Task& task = *found->second;
      report.m_state = kStates[static_cast<std::size_t>(task.m_state)];
      report.m_body = task.m_result;
    }
    After(Hop(), [this, n, report] {
      Change(n, [report](EngineApi& engine, TimePoint now, Effects& effects) {
        engine.Settled(now, report, effects);
      });
    });
  });
}

}  // namespace filbertspar::world
