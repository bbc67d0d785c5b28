#pragma once

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "filbertspar/placement/src/worker.h"
#include "tests/world/engine_api.h"

namespace filbertspar {

/// \brief The naive version beside which the benches measure: one global
/// first-come queue, least-loaded pick by a scan of the pool, three retries of
/// whatever did not succeed, and "not run" when none did.
class NaiveEngine : public world::EngineApi {
 public:
  explicit NaiveEngine(std::uint32_t node)
      : m_next_id(std::uint64_t{node} << (64 - kNodeBits)) {}

  void Configure(TimePoint now, std::shared_ptr<const Catalogue> what,
                 Effects& effects) override {
    m_catalogue = std::move(what);
    m_entries.clear();
    for (const CatalogueEntry& entry : m_catalogue->m_entries) {
      m_entries[entry.m_name] = &entry;
    }
    Start(now, effects);
  }

  void Workers(TimePoint now, std::vector<WorkerInfo> workers,
               Effects& effects) override {
    m_pools.clear();
    for (WorkerInfo& info : workers) {
      auto& pool = m_pools[info.m_pool];
      pool.push_back({.m_info = std::move(info)});
    }
    Start(now, effects);
  }

  void Grant(TimePoint now, const TeamName& team, std::int64_t units,
             Effects& effects) override {
    m_granted[team] = units;
    Start(now, effects);
  }

  RequestId Submit(TimePoint now, Submission submission,
                   Effects& effects) override {
    const RequestId id(++m_next_id);
    Waiting waiting{
        .m_id = id, .m_submission = std::move(submission), .m_deadline = now};
    waiting.m_deadline += waiting.m_submission.m_deadline;
    m_queue.push_back(std::move(waiting));
    Start(now, effects);
    return id;
  }

  void Ended(TimePoint now, const AttemptReport& report,
             Effects& effects) override {
    const auto found = m_running.find(report.m_attempt);
    if (found == m_running.end()) {
      return;
    }
    Running running = std::move(found->second);
    m_running.erase(found);
    --running.m_worker->m_used;
    --m_used[running.m_waiting.m_submission.m_team];
    Waiting& waiting = running.m_waiting;
    if (report.m_result == AttemptResult::kDone) {
      Answer(waiting.m_id, Code::kOk, report.m_body, effects);
    } else if (waiting.m_retries < 3 && now < waiting.m_deadline) {
      ++waiting.m_retries;
      m_queue.push_back(std::move(waiting));
    } else {
      Answer(waiting.m_id,
             report.m_result == AttemptResult::kFailed ? Code::kTaskFailed
                                                       : Code::kNoWorker,
             nullptr, effects);
    }
    Start(now, effects);
  }

  void Tick(TimePoint now, Effects& effects) override {
    while (!m_queue.empty() && m_queue.front().m_deadline <= now) {
      Answer(m_queue.front().m_id, Code::kDeadlinePassed, nullptr, effects);
      m_queue.pop_front();
    }
    Start(now, effects);
  }

  std::optional<TimePoint> NextTick() const override {
    return m_queue.empty() ? std::nullopt
                           : std::optional(m_queue.front().m_deadline);
  }

  void Peers(TimePoint /*now*/, std::vector<PeerUse> /*use*/) override {}
  void Settled(TimePoint /*now*/, const QueryReport& /*report*/,
               Effects& /*effects*/) override {}
  void Claimed(TimePoint /*now*/, const ClaimReport& /*report*/,
               Effects& /*effects*/) override {}
  void Forwarded(TimePoint /*now*/, const ForwardReport& /*report*/,
                 Effects& /*effects*/) override {}
  void Cancel(TimePoint /*now*/, RequestId /*request*/,
              Effects& /*effects*/) override {}
  std::vector<TeamPoolUse> Use() const override { return {}; }
  std::optional<RequestStatus> Query(RequestId /*request*/) const override {
    return std::nullopt;
  }

 private:
  struct Waiting {
    RequestId m_id;
    Submission m_submission;
    TimePoint m_deadline;
    int m_retries = 0;
  };
  struct Worker {
    WorkerInfo m_info;
    std::int64_t m_used = 0;
  };
  struct Running {
    Waiting m_waiting;
    Worker* m_worker = nullptr;
  };

  void Answer(RequestId id, Code code, Body body, Effects& effects) {
    effects.emplace_back(
        Reply{.m_request = id, .m_code = code, .m_body = std::move(body)});
  }

  Worker* LeastLoaded(const PoolName& pool) {
    Worker* best = nullptr;
    for (Worker& worker : m_pools[pool]) {
      if (worker.m_used < worker.m_info.m_capacity.m_slots.Count() &&
          (best == nullptr || worker.m_used < best->m_used)) {
        best = &worker;
      }
    }
    return best;
  }

  // Starts from the head until the head has to wait.
  void Start(TimePoint now, Effects& effects) {
    while (!m_queue.empty()) {
      Waiting& first = m_queue.front();
      const auto entry = m_entries.find(first.m_submission.m_entry);
      const TeamName& team = first.m_submission.m_team;
      if (entry == m_entries.end()) {
        return;
      }
      Worker* worker = m_used[team] < m_granted[team]
                           ? LeastLoaded(entry->second->m_pool)
                           : nullptr;
      if (worker == nullptr) {
        return;
      }
      const AttemptId attempt(++m_next_id);
      ++worker->m_used;
      ++m_used[team];
      effects.emplace_back(
          StartAttempt{.m_request = first.m_id,
                       .m_attempt = attempt,
                       .m_worker = worker->m_info.m_name,
                       .m_entry = first.m_submission.m_entry,
                       .m_team = team,
                       .m_body = first.m_submission.m_body,
                       .m_resources = entry->second->m_resources,
                       .m_timeout = first.m_deadline - now});
      m_running[attempt] = {.m_waiting = std::move(first), .m_worker = worker};
      m_queue.pop_front();
    }
  }

  std::uint64_t m_next_id;
  std::shared_ptr<const Catalogue> m_catalogue;
  std::map<EntryName, const CatalogueEntry*> m_entries;
  std::map<PoolName, std::vector<Worker>> m_pools;
  std::map<TeamName, std::int64_t> m_granted;
  std::map<TeamName, std::int64_t> m_used;
  std::deque<Waiting> m_queue;
  std::map<AttemptId, Running> m_running;
};

}  // namespace filbertspar
