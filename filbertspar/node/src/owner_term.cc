#include "filbertspar/node/src/owner_term.h"

#include <algorithm>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "boost/asio/co_spawn.hpp"
#include "boost/asio/detached.hpp"
#include "filbertspar/node/src/clock.h"
#include "filbertspar/node/src/metric_names.h"
#include "platform/platform.h"

namespace filbertspar {
namespace {

/// Length of the lease requested with each poll, in report intervals; the
/// deployment may limit it further. A worker's registration expires three
/// report intervals after its last report, by which time a lease of two
/// intervals has expired.
constexpr int kLeaseReportIntervals = 2;
constexpr Duration kMaxConfirmationAge = Seconds(1);
constexpr Duration kTickPeriod = Milliseconds(100);
constexpr Duration kTrafficLogPeriod = Seconds(5);
/// Batches events that arrive close together into one dispatch.
constexpr Duration kDispatchDelay = Milliseconds(2);
/// Idle time after a dispatch, as a multiple of its duration. Limits dispatch
/// to a third of the processor for any backlog whose dispatch is shorter than
/// half of kMaxDispatchPause, and to a half for one up to kLongDispatchPause;
/// the rest serves calls, polls and the store.
constexpr int kDispatchIdleFactor = 2;
constexpr Duration kMaxDispatchPause = Milliseconds(40);
constexpr Duration kLongDispatchPause = Milliseconds(400);
constexpr Duration kRecommendationTimeout = Seconds(2);
constexpr std::size_t kMaxRemovalsPerTick = 20;
constexpr Duration kMaxPingAge = Seconds(1);

/// Jobs may take one part in this of the process's memory; the rest covers
/// their rows while they are written, the orders, and the callers.
constexpr std::size_t kJobMemoryShare = 3;

Duration WorkerLease(const NodeOptions& options) {
  return std::min(options.m_max_lease,
                  options.m_worker_report_interval * kLeaseReportIntervals);
}

std::string JobField(const JobId& id) {
  return id.Empty() ? "" : absl::StrCat("job=", id.Value());
}

/// Decodes a value unless one of its rows is missing.
template <typename Decode>
auto DecodeWhole(const JoinedValue& joined, Decode decode)
    -> decltype(decode(joined.m_value)) {
  if (!joined.m_is_complete) {
    return Error(Code::kBadField, "a row of the value is missing");
  }
  return decode(joined.m_value);
}

std::string RowFields(const std::string& key, const JoinedValue& joined,
                      const absl::Status& status) {
  return absl::StrCat("job=", key, " parts=", joined.m_parts,
                      " complete=", joined.m_is_complete, " reason=\"",
                      std::string(status.message()), "\"");
}

}  // namespace

OwnerTerm::OwnerTerm(const OwnerTermParts& parts, WonClaim won,
                     Hooks duty_hooks)
    : m_parts(parts),
      m_hooks(std::move(duty_hooks)),
      m_jobs_loaded_signal(parts.m_context),
      m_dispatch_timer(parts.m_context),
      m_epoch(won.m_record.m_epoch),
      m_previous_orders_until(won.m_previous_orders_until) {
  scheduler::Options& options = m_scheduler.m_options;
  options.m_fencing = FirstFencingNumber(won.m_record.m_epoch);
  options.m_last_fencing = won.m_record.m_epoch;
  options.m_lease = WorkerLease(parts.m_options);
  options.m_max_lease = parts.m_options.m_max_lease;
  options.m_runs_are_recorded = won.m_all_runs_recorded;
  options.m_max_job_bytes = parts.m_options.m_memory_bytes / kJobMemoryShare;
  options.m_state_retention = parts.m_options.m_state_retention;
  scheduler::InheritOrders(m_scheduler, BootNow(), won.m_previous_orders_until,
                           parts.m_options.m_stop_time);
  m_scheduler.m_unix_offset = UnixNow() - BootNow().time_since_epoch();
  m_scheduler.m_deployment = parts.m_configuration.Current();
  m_log_epoch = absl::StrCat("epoch=", won.m_record.m_epoch.Value());
  Journal::Hooks hooks;
  hooks.m_accepted = [this](JobSpec spec) {
    const JobId id = spec.m_id;
    scheduler::AddJob(m_scheduler, BootNow(), std::move(spec));
    Count(m_parts.m_metrics, metric::kJobs, "accepted");
    HandleStateChange();
  };
  hooks.m_stored = [this] {
    m_workers->NotifyFinishedRunsStored();
    ApplyEffects();
  };
  hooks.m_ownership_lost = [this] {
    m_parts.m_log.Warn("owner", "deposed", m_log_epoch);
    m_hooks.m_ownership_lost();
  };
  hooks.m_highest_cpu_capacity = [this] { return HighestCpuCapacity(); };
  m_journal = std::make_shared<Journal>(
      parts.m_context, parts.m_store, parts.m_traffic, parts.m_log, m_scheduler,
      std::move(won),
      Journal::Limits{parts.m_options.m_partition_transactions_per_s,
                      parts.m_options.m_max_row_bytes},
      std::move(hooks));
  m_workers = std::make_shared<WorkerConnections>(
      parts.m_context, parts.m_client, parts.m_links, parts.m_traffic,
      parts.m_metrics, parts.m_log, m_scheduler,
      WorkerConnections::Hooks{[this] { return CanSendOrders(); },
                               [this] { HandleStateChange(); }});
  m_vms = std::make_shared<VmManager>(
      VmManager::Parts{parts.m_context, parts.m_options, parts.m_client,
                       parts.m_store, parts.m_configuration, parts.m_metrics,
                       parts.m_log, m_scheduler, *m_journal},
      VmManager::Hooks{[this] { return IsConfirmed(); },
                       [this] { HandleStateChange(); }});
}

void OwnerTerm::Start() {
  const auto self = shared_from_this();
  const auto run = [this](asio::awaitable<void> work) {
    asio::co_spawn(m_parts.m_context, std::move(work), asio::detached);
  };
  run([](std::shared_ptr<OwnerTerm> owner_term) -> asio::awaitable<void> {
    co_await owner_term->m_journal->Run();
  }(self));
  run([](std::shared_ptr<OwnerTerm> owner_term) -> asio::awaitable<void> {
    co_await owner_term->Recover();
  }(self));
  run([](std::shared_ptr<OwnerTerm> owner_term) -> asio::awaitable<void> {
    co_await owner_term->Tick();
  }(self));
}

void OwnerTerm::Stop() {
  m_running = false;
  m_journal->Stop();
  m_workers->Stop();
  m_vms->Stop();
  m_dispatch_timer.cancel();
  m_jobs_loaded_signal.Notify();
}

asio::awaitable<void> OwnerTerm::Release() {
  const auto self = shared_from_this();
  scheduler::SetRecordBeforeStart(m_scheduler, BootNow(), true);
  co_await m_journal->Release();
  m_parts.m_log.Info("owner", "released", m_log_epoch);
  Stop();
}

bool OwnerTerm::IsConfirmed() const {
  return m_running &&
         BootNow() - m_journal->ConfirmedAt() < kMaxConfirmationAge;
}

Millicores OwnerTerm::HighestCpuCapacity() const {
  const TimePoint now = BootNow();
  Millicores strongest = m_parts.m_options.m_cpu_capacity;
  for (const auto& [vm, peer] : m_parts.m_links.Peers()) {
    const bool could_own = peer.m_connected && peer.m_willing &&
                           now - peer.m_last_ping_at < kMaxPingAge &&
                           peer.m_store_age < kStoreAwayTime;
    if (could_own) {
      strongest = std::max(strongest, peer.m_cpu_capacity);
    }
  }
  return strongest;
}

void OwnerTerm::HandOverToLargerVm() {
  const Millicores strongest = HighestCpuCapacity();
  if (m_handing_over || !m_jobs_loaded || !IsConfirmed() ||
      !ShouldHandOver(m_parts.m_options.m_cpu_capacity, strongest)) {
    return;
  }
  m_handing_over = true;
  m_parts.m_log.Info("owner", "hand_over",
                     absl::StrCat(m_log_epoch, " strength=",
                                  m_parts.m_options.m_cpu_capacity.Count(),
                                  " strongest=", strongest.Count()));
  m_hooks.m_hand_over();
}

void OwnerTerm::BeginTermAnew() {
  if (!m_scheduler.m_fencing_exhausted || m_handing_over || !IsConfirmed()) {
    return;
  }
  m_handing_over = true;
  m_parts.m_log.Warn("owner", "fencing_numbers_exhausted", m_log_epoch);
  m_hooks.m_hand_over();
}

bool OwnerTerm::CanSendOrders() const {
  if (!m_running) {
    return false;
  }
  const TimePoint now = BootNow();
  return IsRecentlyConfirmed(m_journal->ConfirmedAt(), now) ||
         MayGoOnUnconfirmed(m_journal->ConfirmedAt(),
                            m_parts.m_links.Statements(), now);
}

asio::awaitable<void> OwnerTerm::Recover() {
  const auto self = shared_from_this();
  while (m_running && !co_await ReadJobs()) {
    co_await SleepFor(kRetryPause);
  }
  if (!m_running) {
    co_return;
  }
  m_jobs_loaded = true;
  m_parts.m_log.Info(
      "owner", "jobs_read",
      absl::StrCat(m_log_epoch, " jobs=", m_scheduler.m_jobs.size(),
                   " unreadable=", m_scheduler.m_unreadable_jobs.size()));
  m_jobs_loaded_signal.Notify();
  co_await FollowWorkers();
}

asio::awaitable<bool> OwnerTerm::ReadJobs() {
  const StoreResponse jobs =
      co_await m_parts.m_store.ReadAll(job_table::kJobs, job_table::kPartition);
  if (jobs.m_result != StoreResult::kDone) {
    co_return false;
  }
  const StoreResponse progress = co_await m_parts.m_store.ReadAll(
      job_table::kProgress, job_table::kPartition);
  if (progress.m_result != StoreResult::kDone || !m_running) {
    co_return false;
  }
  std::map<std::string, scheduler::StoredJob> stored;
  for (const auto& [key, joined] : JoinParts(progress.m_rows)) {
    m_journal->SetProgressParts(JobId(key), joined.m_parts);
    absl::StatusOr<JobProgress> decoded = DecodeWhole(joined, DecodeProgress);
    if (!decoded.ok()) {
      m_parts.m_log.Warn("owner", "progress_unreadable",
                         RowFields(key, joined, decoded.status()));
    }
    stored[key].m_progress = std::move(decoded);
  }
  for (const auto& [key, joined] : JoinParts(jobs.m_rows)) {
    m_journal->SetJobParts(JobId(key), joined.m_parts);
    absl::StatusOr<JobSpec> decoded = DecodeWhole(joined, DecodeJob);
    if (!decoded.ok()) {
      m_parts.m_log.Warn("owner", "job_unreadable",
                         RowFields(key, joined, decoded.status()));
    }
    stored[key].m_spec = std::move(decoded);
  }
  const TimePoint now = BootNow();
  for (auto& [key, job] : stored) {
    job.m_id = JobId(key);
    scheduler::RestoreStoredJob(m_scheduler, now, std::move(job));
  }
  co_return true;
}

asio::awaitable<void> OwnerTerm::Tick() {
  const auto self = shared_from_this();
  while (m_running) {
    co_await SleepFor(kTickPeriod);
    if (!m_running) {
      break;
    }
    const TimePoint now = BootNow();
    m_scheduler.m_unix_offset = UnixNow() - now.time_since_epoch();
    UnregisterDue(now);
    if (m_jobs_loaded) {
      scheduler::ExpireLeases(m_scheduler, now);
      scheduler::TrimFinishedJobs(m_scheduler, now);
      m_journal->RemoveJobs(
          scheduler::RemoveExpiredJobs(m_scheduler, now, kMaxRemovalsPerTick));
      Dispatch();
    }
    std::vector<VmName> gone;
    for (const auto& [vm, peer] : m_parts.m_links.Peers()) {
      if (!peer.m_connected && IsConfirmed() &&
          now - peer.m_disconnected_at > kPeerRemovalDelay) {
        gone.push_back(vm);
      }
    }
    for (const VmName& vm : gone) {
      m_parts.m_links.RemovePeer(vm);
    }
    HandOverToLargerVm();
    BeginTermAnew();
    StateSoleTerm(now);
    LogTraffic(now);
  }
}

void OwnerTerm::StateSoleTerm(TimePoint now) {
  if (!m_is_sole_stated && now > m_previous_orders_until) {
    m_is_sole_stated = true;
    m_journal->Put(SoleTermRowKey(), EncodeSoleTerm(m_epoch));
  }
}

void OwnerTerm::LogTraffic(TimePoint now) {
  if (now < m_traffic_logged_at + kTrafficLogPeriod) {
    return;
  }
  m_traffic_logged_at = now;
  m_parts.m_log.Info(
      "owner", "traffic",
      absl::StrCat(m_log_epoch, " ", m_parts.m_traffic.TakeSummary()));
}

void OwnerTerm::ConfigChanged() {
  m_scheduler.m_deployment = m_parts.m_configuration.Current();
  HandleStateChange();
}

void OwnerTerm::HandleStateChange() {
  ApplyEffects();
  if (m_dispatch_scheduled || !m_jobs_loaded || !m_running) {
    return;
  }
  m_dispatch_scheduled = true;
  m_dispatch_timer.expires_after(std::max(kDispatchDelay, m_dispatch_pause));
  m_dispatch_timer.async_wait(
      [self = shared_from_this()](boost::system::error_code error) {
        self->m_dispatch_scheduled = false;
        if (!error && self->m_running) {
          self->Dispatch();
        }
      });
}

void OwnerTerm::Dispatch() {
  const TimePoint now = BootNow();
  if (CanSendOrders()) {
    if (m_scheduler.m_record_before_start &&
        MayStartUnrecorded(m_journal->ConfirmedAt(),
                           m_parts.m_links.Statements(),
                           m_journal->IsReleasing(), now)) {
      m_parts.m_log.Warn("owner", "starts_not_listed", m_log_epoch);
      scheduler::SetRecordBeforeStart(m_scheduler, now, false);
    }
    scheduler::Dispatch(m_scheduler, now);
    RequestRecommendations();
  }
  const Duration took = BootNow() - now;
  m_dispatch_pause =
      std::max(std::min(took * kDispatchIdleFactor, kMaxDispatchPause),
               std::min(took, kLongDispatchPause));
  ApplyEffects();
}

void OwnerTerm::ApplyEffects() {
  scheduler::Effects effects;
  std::swap(effects, m_scheduler.m_effects);
  for (const auto& event : effects.m_log_events) {
    WriteLogEvent(event);
  }
  m_workers->SendOrders(effects);
  if (!m_scheduler.m_unstored_jobs.empty()) {
    m_journal->NotifyWork();
  }
}

void OwnerTerm::CountLogEvent(const scheduler::Effects::LogEvent& event) {
  constexpr std::string_view kJobPrefix = "job_";
  constexpr std::string_view kAgePrefix = "after_ms=";
  if (!std::string_view(event.m_event).starts_with(kJobPrefix)) {
    return;
  }
  const std::string state = event.m_event.substr(kJobPrefix.size());
  Count(m_parts.m_metrics, metric::kJobs, state);
  std::int64_t age_ms = 0;
  const std::string age =
      event.m_detail.substr(0, event.m_detail.find(' '))
          .substr(std::min(kAgePrefix.size(), event.m_detail.size()));
  if (absl::SimpleAtoi(age, &age_ms)) {
    RecordLatency(m_parts.m_metrics, metric::kJobSeconds, state,
                  Milliseconds(age_ms));
  }
}

void OwnerTerm::WriteLogEvent(const scheduler::Effects::LogEvent& event) {
  CountLogEvent(event);
  // The first field of these events is the label of a metric.
  const std::size_t begin = event.m_detail.find('=') + 1;
  const std::string_view label =
      std::string_view(event.m_detail)
          .substr(begin, event.m_detail.find(' ') - begin);
  if (event.m_event == "task_end") {
    Count(m_parts.m_metrics, metric::kEnds, label);
  } else if (event.m_event == "worker_crashed") {
    Count(m_parts.m_metrics, metric::kWorkerCrashes, label);
  }
  std::string fields = JobField(event.m_task.m_job);
  if (!event.m_task.m_job.Empty()) {
    absl::StrAppend(&fields, " occurrence=", event.m_task.m_occurrence,
                    " step=", event.m_task.m_step,
                    " task=", event.m_task.m_index);
  }
  if (event.m_worker != scheduler::kNoWorker) {
    absl::StrAppend(
        &fields, fields.empty() ? "" : " ", "worker=",
        m_scheduler.m_workers[event.m_worker].m_record.m_name.Value());
  }
  absl::StrAppend(&fields, " ", event.m_detail);
  using LogLevel = scheduler::Effects::LogLevel;
  switch (event.m_level) {
    case LogLevel::kDetail:
      m_parts.m_log.Detail("scheduler", event.m_event, fields);
      break;
    case LogLevel::kInfo:
      m_parts.m_log.Info("scheduler", event.m_event, fields);
      break;
    case LogLevel::kWarning:
      m_parts.m_log.Warn("scheduler", event.m_event, fields);
      break;
  }
}

void OwnerTerm::RequestRecommendations() {
  if (!m_parts.m_options.m_recommendation) {
    return;
  }
  for (scheduler::RecommendationRequest& request :
       scheduler::CollectRecommendationRequests(m_scheduler, BootNow())) {
    asio::co_spawn(m_parts.m_context, RequestRecommendation(std::move(request)),
                   asio::detached);
  }
}

asio::awaitable<void> OwnerTerm::RequestRecommendation(
    scheduler::RecommendationRequest request) {
  const auto self = shared_from_this();
  const CallResult result = co_await m_parts.m_client.Call(
      *m_parts.m_options.m_recommendation,
      adapter::MakeRecommendationRequest(request.m_first_task,
                                         request.m_workers),
      kRecommendationTimeout);
  const std::optional<Recommendation> recommendation =
      adapter::DecodeRecommendation(result);
  Count(m_parts.m_metrics, metric::kOrders,
        recommendation ? "advice_accepted" : "advice_unknown");
  m_parts.m_log.Info(
      "scheduler", "advice",
      absl::StrCat(JobField(request.m_first_task.m_job),
                   " step=", request.m_first_task.m_step,
                   " asked=", request.m_workers.size(), " approved=",
                   recommendation
                       ? static_cast<int>(recommendation->m_approved.size())
                       : -1));
  if (m_running) {
    scheduler::HandleRecommendation(
        m_scheduler, BootNow(), request.m_first_task,
        recommendation ? &*recommendation : nullptr);
    HandleStateChange();
  }
}

}  // namespace filbertspar
