#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "filbertspar/node/src/configuration.h"
#include "filbertspar/node/src/journal.h"
#include "filbertspar/node/src/link_server.h"
#include "filbertspar/node/src/options.h"
#include "filbertspar/node/src/vm_manager.h"
#include "filbertspar/node/src/worker_connections.h"

namespace filbertspar {

/// \brief What the owner of the jobs works with.
struct OwnerTermParts {
  asio::io_context& m_context;
  const NodeOptions& m_options;
  StoreClient& m_store;
  HttpClient& m_client;
  Configuration& m_configuration;
  LinkServer& m_links;
  MetricsBook& m_metrics;
  EventLog& m_log;
};

/// \brief The owner's work for one term: reads what is stored, schedules,
/// orders workers, stores what must last, answers calls on jobs.
class OwnerTerm : public std::enable_shared_from_this<OwnerTerm> {
 public:
  struct Hooks {
    /// Another VM owns the jobs.
    std::function<void()> m_deposed;
    /// The term is better given up to another VM.
    std::function<void()> m_hand_over;
  };

  OwnerTerm(const OwnerTermParts& parts, OwnerWatch::WonClaim won, Hooks hooks);

  void Start();
  /// \brief Ends the term at once.
  void Stop();
  /// \brief Hands the ownership over: stores what waits, then ends the term.
  asio::awaitable<void> Release();

  /// \brief Answers a call; kNotLeaseHolder when the term is over.
  asio::awaitable<JobReply> Execute(JobCall call);

  void ConfigChanged();

  /// \brief Whether the store confirmed the ownership lately.
  bool IsConfirmed() const;
  const scheduler::Scheduler& State() const { return m_scheduler; }

 private:
  /// Between tries to read the store.
  static constexpr Duration kRetryPause = Milliseconds(150);

  asio::awaitable<void> Recover();
  asio::awaitable<bool> ReadJobs();
  asio::awaitable<void> FollowWorkers();
  asio::awaitable<bool> ReadWorkers(RowVersion& version);
  asio::awaitable<void> Tick();
  asio::awaitable<JobReply> Submit(const JobCall& call);
  asio::awaitable<JobReply> Cancel(const JobCall& call);
  JobReply StateReply(const JobCall& call) const;
  void TakeWorkerRow(const StoreRow& row);
  void UnlistAfter(const std::string& name);
  void UnlistDue(TimePoint now);
  void Changed();
  void Dispatch();
  void Apply();
  void AskAdvice();
  asio::awaitable<void> Advise(scheduler::RecommendationRequest need);
  void CountNote(const scheduler::Effects::LogEvent& note);
  void LogNote(const scheduler::Effects::LogEvent& note);
  bool MayOrder();
  /// \brief Whether no other VM had an answer of the store for `away`.
  bool OthersAreCutOff(TimePoint now, Duration away) const;
  /// \brief Processor of the strongest VM that could own the jobs.
  Millicores Strongest() const;
  void HandOverToStronger();

  OwnerTermParts m_parts;
  Hooks m_hooks;
  scheduler::Scheduler m_scheduler;
  std::shared_ptr<Journal> m_journal;
  std::shared_ptr<WorkerConnections> m_workers;
  std::shared_ptr<VmManager> m_vms;
  /// Workers whose registration was removed, and since when.
  std::map<std::string, TimePoint> m_unlisted;
  Signal m_ready_signal;
  asio::steady_timer m_dispatch_timer;
  bool m_dispatch_due = false;
  /// Pause after a round of starts, by the time that the last one took.
  Duration m_dispatch_pause{0};
  scheduler::WorkloadCache m_loads;
  bool m_is_ready = false;
  bool m_running = true;
  bool m_hands_over = false;
  std::string m_log_epoch;
};

}  // namespace filbertspar
