#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "filbertspar/node/src/configuration.h"
#include "filbertspar/node/src/journal.h"
#include "filbertspar/node/src/link_server.h"
#include "filbertspar/node/src/options.h"
#include "filbertspar/node/src/vm_manager.h"
#include "filbertspar/node/src/worker_connections.h"

namespace filbertspar {

/// \brief Components of the process that a term of ownership uses. All must
/// outlive the term.
struct OwnerTermParts {
  asio::io_context& m_context;
  const NodeOptions& m_options;
  StoreClient& m_store;
  HttpClient& m_client;
  Configuration& m_configuration;
  LinkServer& m_links;
  TrafficMeter& m_traffic;
  MetricsBook& m_metrics;
  EventLog& m_log;
};

/// \brief One term of ownership of the jobs: restores the stored jobs,
/// schedules their tasks, sends orders to workers, persists jobs and progress,
/// and executes calls on jobs. A term ends when another VM takes over or this
/// VM releases the ownership.
class OwnerTerm : public std::enable_shared_from_this<OwnerTerm> {
 public:
  struct Hooks {
    /// Another VM has become the owner.
    std::function<void()> m_ownership_lost;
    /// A VM with more processor capacity should take over the ownership.
    std::function<void()> m_hand_over;
  };

  OwnerTerm(const OwnerTermParts& parts, WonClaim won, Hooks hooks);

  void Start();
  /// \brief Ends the term immediately; rows that are not sent yet are dropped.
  void Stop();
  /// \brief Writes pending rows, marks the owner's row as released, then ends
  /// the term.
  asio::awaitable<void> Release();

  /// \brief Executes a call, which the VM `from` forwarded or, when empty, this
  /// VM received, within its wait. kNotLeaseHolder: the term has
  /// ended. kNoOwner: the stored jobs are not read yet, or the answer may have
  /// changed since the store confirmed the ownership. kRequestUnknown: no
  /// such job.
  asio::awaitable<JobReply> Execute(VmName from, JobCall call);

  void ConfigChanged();

  /// \brief Whether the store confirmed the ownership within the last second.
  bool IsConfirmed() const;
  const scheduler::Scheduler& State() const { return m_scheduler; }

 private:
  /// Delay between attempts to read the store.
  static constexpr Duration kRetryPause = Milliseconds(150);

  asio::awaitable<void> Recover();
  asio::awaitable<bool> ReadJobs();
  asio::awaitable<void> FollowWorkers();
  asio::awaitable<bool> ReadWorkers(RowVersion& version);
  asio::awaitable<void> Tick();
  asio::awaitable<JobReply> Submit(const VmName& from, const JobCall& call);
  /// \brief Whether to take the job in now. With `counts_if_admitted` an
  /// admitted job counts as arrived; a refused one always does.
  JobReply Admit(const JobCall& call, const JobSpec& spec,
                 bool counts_if_admitted);
  /// \brief Refuses a job for this and every earlier copy of the call.
  JobReply Refuse(const JobId& job, Code code, Duration retry_after);
  JobReply AnswerOffer(const JobCall& call);
  /// \brief Returns when the job is stored, or was not, or at the deadline.
  asio::awaitable<void> CancelWhileStoring(const JobId& id, TimePoint deadline);
  asio::awaitable<JobReply> Cancel(const JobCall& call);
  /// \brief Reply to a call on an id whose job is not, or may not be, of the
  /// call's queue; nullopt when the call may see and change the job, or there
  /// is none.
  std::optional<JobReply> ReplyToOthers(const JobCall& call);
  /// \brief Reply to a call on a job that is not known, or not to this caller.
  JobReply UnknownJobReply() const;
  JobReply StateReply(const JobCall& call);
  JobReply QueueLengthReply(const VmName& from, const JobCall& call);
  void ApplyWorkerRow(const StoreRow& row);
  void ScheduleUnregister(const std::string& name);
  void UnregisterDue(TimePoint now);
  void HandleStateChange();
  void Dispatch();
  void ApplyEffects();
  void RequestRecommendations();
  asio::awaitable<void> RequestRecommendation(
      scheduler::RecommendationRequest request);
  void CountLogEvent(const scheduler::Effects::LogEvent& event);
  void WriteLogEvent(const scheduler::Effects::LogEvent& event);
  bool CanSendOrders() const;
  /// \brief Whether no other owner can have changed what this one knows, but
  /// for the time that a claim takes.
  bool HasCurrentState() const { return CanSendOrders(); }
  /// \brief Highest processor capacity among the VMs that could own the jobs.
  Millicores HighestCpuCapacity() const;
  void HandOverToLargerVm();
  /// \brief Gives the ownership up when its fencing numbers are used up; the
  /// next claim has new ones.
  void BeginTermAnew();
  /// \brief States once that no previous owner can send orders any more.
  void StateSoleTerm(TimePoint now);
  void LogTraffic(TimePoint now);

  OwnerTermParts m_parts;
  Hooks m_hooks;
  scheduler::Scheduler m_scheduler;
  std::shared_ptr<Journal> m_journal;
  std::shared_ptr<WorkerConnections> m_workers;
  std::shared_ptr<VmManager> m_vms;
  /// Workers whose registration was removed, with the time of removal.
  std::map<std::string, TimePoint> m_unregistered_at;
  Signal m_jobs_loaded_signal;
  asio::steady_timer m_dispatch_timer;
  bool m_dispatch_scheduled = false;
  /// Delay before the next dispatch, proportional to the duration of the last.
  Duration m_dispatch_pause{0};
  scheduler::WorkloadCache m_workload_cache;
  Refusals m_refusals;
  bool m_jobs_loaded = false;
  bool m_running = true;
  bool m_handing_over = false;
  FencingNumber m_epoch;
  /// Until when previous owners may send orders.
  TimePoint m_previous_orders_until;
  bool m_is_sole_stated = false;
  TimePoint m_traffic_logged_at = TimePoint::min();
  std::string m_log_epoch;
};

}  // namespace filbertspar
