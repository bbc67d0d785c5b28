#pragma once

/// \file
/// \brief Fakes around request engines in virtual time: workers, connections,
/// claim store, peers and callers with seeded faults, and a recorded history.

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "filbertspar/history/history.h"
#include "tests/world/engine_api.h"
#include "tests/world/options.h"

namespace filbertspar::world {

Body Text(std::string text);

class World {
 public:
  /// \brief Each engine is one node; ceilings are split over the nodes.
  World(WorldOptions options, std::shared_ptr<Catalogue> catalogue,
        const std::vector<WorkerInfo>& workers,
        std::vector<std::unique_ptr<EngineApi>> engines);

  /// \brief Offers the load, then waits until every caller has its answer and
  /// no task can run any more.
  void Run();

  // Faults that a bench or test switches by hand, before Run.
  void FailAll(const VmName& worker, Duration from);
  void TakeDown(const VmName& worker, Duration from);

  const std::vector<HistoryRecord>& History() const { return m_history; }
  const WorldCounts& Counts() const { return m_counts; }

 private:
  using Event = std::function<void()>;
  struct Node {
    std::unique_ptr<EngineApi> m_engine;
    NodeName m_name;
    std::map<TeamName, std::int64_t> m_granted;
    bool m_paused = false;
    std::vector<Event> m_deferred;
    TimePoint m_tick_at = TimePoint::max();
  };
  enum class TaskState { kRunning, kDone, kFailed, kStopped };
  struct Task {
    StartAttempt m_start;
    TaskState m_state = TaskState::kRunning;
    Body m_result;
    TimePoint m_lease_end;
  };
  using TaskPtr = std::shared_ptr<Task>;
  struct FakeWorker {
    WorkerInfo m_info;
    bool m_down = false;
    bool m_fails_all = false;
    bool m_refuses_all = false;
    std::int64_t m_slots_used = 0;
    std::map<AttemptId, TaskPtr> m_tasks;
  };
  /// The shell's side of an attempt.
  struct Wire {
    std::size_t m_node = 0;
    bool m_reported = false;
    StartAttempt m_start;
  };
  using WirePtr = std::shared_ptr<Wire>;
  struct Claim {
    RequestId m_holder;
    bool m_finished = false;
    Code m_code = Code::kOk;
    Body m_body;
  };
  /// The request for which a peer handles a forwarded copy.
  struct Origin {
    std::size_t m_node = 0;
    RequestId m_request;
    bool m_is_lost = false;
  };
  using EngineCall = std::function<void(EngineApi&, TimePoint, Effects&)>;

  // Events; world.cc.
  TimePoint End() const { return TimePoint(m_options.m_load_time); }
  const FaultRates& Faults() const { return m_options.m_faults; }
  Duration Random(Duration from, Duration to);
  Duration Hop() { return Random(Duration(100), Milliseconds(2)); }
  void After(Duration delay, Event event);
  void Every(Duration interval, const Event& event);
  HistoryRecord& Record(HistoryEvent event);
  std::vector<WorkerInfo> WorkerList() const;
  /// Calls the engine of a node, or puts the call off while it is paused.
  void Change(std::size_t n, const EngineCall& change);
  void PlanTick(std::size_t n);
  void Offer();
  void SubmitCall();
  void CheckSettlements();
  void Do(std::size_t n, const Reply& reply);

  // Attempts and workers; workers.cc.
  void Do(std::size_t n, const StartAttempt& start);
  void Do(std::size_t n, const StopAttempt& stop);
  void Do(std::size_t n, const QueryAttempt& query);
  void Report(const WirePtr& wire, AttemptResult result);
  void Deliver(const WirePtr& wire, AttemptReport report);
  void Renew(const WirePtr& wire);
  TaskPtr FindTask(const StartAttempt& start);
  void Arrive(const WirePtr& wire);
  void WatchLease(const TaskPtr& task);
  static void Fill(HistoryRecord& record, const Task& task);
  void EndTask(const TaskPtr& task, TaskState state);
  void Answer(const WirePtr& wire, AttemptReport report);

  // Claim store and peers; store.cc.
  void Do(std::size_t n, const WriteClaim& claim);
  void Do(std::size_t n, const FinishClaim& claim);
  void Do(std::size_t n, const ReleaseClaim& claim);
  void Do(std::size_t n, const ForwardRequest& forward);
  void Do(std::size_t n, const WantGrant& want);
  ClaimReport Insert(const WriteClaim& claim);
  void ReportClaim(std::size_t n, const ClaimReport& report);
  void WhenStoreUp(const Event& event);
  void AnswerForward(const Origin& origin, const Reply& reply);
  void ReportForward(const Origin& origin, const ForwardReport& report);
  void ShareUse();

  // Planned faults; plan.cc.
  void PlanFaults();
  void Pause(std::size_t n, Duration length);
  void LoseWorker(FakeWorker& worker, Duration length);
  void CancelWave();
  void ChangeConfig();
  void MoveGrant();

  WorldOptions m_options;
  Rng m_rng;
  TimePoint m_now{};
  std::uint64_t m_sequence = 0;
  std::map<std::pair<TimePoint, std::uint64_t>, Event> m_events;
  std::shared_ptr<const Catalogue> m_catalogue;
  std::vector<Node> m_nodes;
  std::map<VmName, FakeWorker> m_workers;
  std::map<AttemptId, WirePtr> m_wires;
  std::vector<AttemptId> m_recent_wires;
  std::map<std::string, Claim> m_claims;
  bool m_store_down = false;
  std::map<RequestId, std::uint64_t> m_calls;
  std::map<RequestId, std::size_t> m_open;
  std::map<RequestId, std::size_t> m_unknown;
  std::map<RequestId, Origin> m_origins;
  std::vector<HistoryRecord> m_history;
  WorldCounts m_counts;
};

}  // namespace filbertspar::world
