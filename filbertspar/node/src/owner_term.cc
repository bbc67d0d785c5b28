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

/// Lease asked for with each look, unless the deployment allows only less. A
/// worker's registration outlives its silence by three reports; a lease of two
/// has run out by then.
constexpr int kLeaseReports = 2;
/// An owner whose writes are not confirmed for this long orders nothing more,
/// unless nobody else reaches the store either.
constexpr Duration kOrderBound = Milliseconds(1600);
/// Clock error and late delivery on top of the last lease of an earlier owner.
constexpr Duration kInheritMargin = Milliseconds(500);
/// On top of the time of a stop: until the workers were looked at first, which
/// shuts out further orders of an earlier owner.
constexpr Duration kEarlierStops = Seconds(1);
constexpr Duration kConfirmedBound = Seconds(1);
constexpr Duration kTickPeriod = Milliseconds(100);
/// Events that come together are followed by one round of starts.
constexpr Duration kDispatchDelay = Milliseconds(2);
/// Rounds of starts take at most a third of the processor, however long the
/// backlog is; the rest is for calls, looks and the store.
constexpr int kDispatchRest = 2;
constexpr Duration kLongestDispatchPause = Milliseconds(40);
constexpr Duration kAdviceTimeout = Seconds(2);
constexpr std::size_t kForgetAtOnce = 20;
/// A link that has been down for this long while the store confirmed the
/// ownership belongs to a VM that is gone.
constexpr Duration kPeerGoneAfter = Seconds(10);
constexpr Duration kPingBound = Seconds(1);
/// Without the store for this long, an owner whose peers do not reach it either
/// orders starts that the store does not list.
constexpr Duration kUnlistedAfter = Seconds(3);
/// A VM that reaches the store has an answer every second, when its feed of the
/// configuration ends.
constexpr Duration kAwayTime = Milliseconds(1300);
/// Longer than the gaps in a contact that a successor counts as continuous.
constexpr Duration kLongAwayTime = Seconds(2);

Duration LeaseOf(const NodeOptions& options) {
  return std::min(options.m_max_lease,
                  options.m_worker_report_interval * kLeaseReports);
}

std::string JobField(const JobId& id) {
  return id.Empty() ? "" : absl::StrCat("job=", id.Value());
}

}  // namespace

OwnerTerm::OwnerTerm(const OwnerTermParts& parts, OwnerWatch::WonClaim won,
                     Hooks duty_hooks)
    : m_parts(parts),
      m_hooks(std::move(duty_hooks)),
      m_ready_signal(parts.m_context),
      m_dispatch_timer(parts.m_context) {
  scheduler::Options& options = m_scheduler.m_options;
  options.m_fencing = won.m_record.m_epoch;
  options.m_lease = LeaseOf(parts.m_options);
  options.m_runs_are_recorded = won.m_runs_are_listed;
  options.m_state_retention = parts.m_options.m_state_retention;
  options.m_inherited_leases_until = won.m_quiet_since + kOrderBound +
                                     options.m_lease * 21 / 20 + kInheritMargin;
  options.m_disruption_allowed_from =
      BootNow() + parts.m_options.m_stop_time + kEarlierStops;
  m_scheduler.m_unix_offset = UnixNow() - BootNow().time_since_epoch();
  m_scheduler.m_deployment = parts.m_configuration.Current();
  m_log_epoch = absl::StrCat("epoch=", won.m_record.m_epoch.Value());
  Journal::Hooks hooks;
  hooks.m_accepted = [this](JobSpec spec) {
    const JobId id = spec.m_id;
    scheduler::AddJob(m_scheduler, BootNow(), std::move(spec));
    Count(m_parts.m_metrics, metric::kJobs, "accepted");
    Changed();
  };
  hooks.m_stored = [this] {
    m_workers->NotifyFinishedRunsStored();
    Apply();
  };
  hooks.m_deposed = [this] {
    m_parts.m_log.Warn("owner", "deposed", m_log_epoch);
    m_hooks.m_deposed();
  };
  hooks.m_strongest = [this] { return Strongest(); };
  m_journal = std::make_shared<Journal>(
      parts.m_context, parts.m_store, parts.m_log, m_scheduler, std::move(won),
      parts.m_options.m_partition_transactions_per_s, std::move(hooks));
  m_workers = std::make_shared<WorkerConnections>(
      parts.m_context, parts.m_client, parts.m_metrics, parts.m_log,
      m_scheduler,
      WorkerConnections::Hooks{[this] { return MayOrder(); },
                               [this] { Changed(); }});
  m_vms = std::make_shared<VmManager>(
      VmManager::Parts{parts.m_context, parts.m_options, parts.m_client,
                       parts.m_store, parts.m_configuration, parts.m_metrics,
                       parts.m_log, m_scheduler, *m_journal},
      VmManager::Hooks{[this] { return IsConfirmed(); },
                       [this] { Changed(); }});
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
  m_ready_signal.Notify();
}

asio::awaitable<void> OwnerTerm::Release() {
  const auto self = shared_from_this();
  co_await m_journal->Release();
  m_parts.m_log.Info("owner", "released", m_log_epoch);
  Stop();
}

bool OwnerTerm::IsConfirmed() const {
  return m_running && BootNow() - m_journal->ConfirmedAt() < kConfirmedBound;
}

bool OwnerTerm::OthersAreCutOff(TimePoint now, Duration away) const {
  if (m_parts.m_links.Peers().empty()) {
    // Others may exist that this VM cannot reach.
    return false;
  }
  for (const auto& [vm, peer] : m_parts.m_links.Peers()) {
    const bool heard =
        peer.m_connected && now - peer.m_last_ping_at < kPingBound;
    if (!heard || peer.m_store_age < away) {
      return false;
    }
  }
  return true;
}

Millicores OwnerTerm::Strongest() const {
  const TimePoint now = BootNow();
  Millicores strongest = m_parts.m_options.m_cpu_capacity;
  for (const auto& [vm, peer] : m_parts.m_links.Peers()) {
    const bool could_own = peer.m_connected && peer.m_willing &&
                           now - peer.m_last_ping_at < kPingBound &&
                           peer.m_store_age < kAwayTime;
    if (could_own) {
      strongest = std::max(strongest, peer.m_cpu_capacity);
    }
  }
  return strongest;
}

void OwnerTerm::HandOverToStronger() {
  const Millicores strongest = Strongest();
  if (m_hands_over || !m_is_ready || !IsConfirmed() ||
      !ShouldHandOver(m_parts.m_options.m_cpu_capacity, strongest)) {
    return;
  }
  m_hands_over = true;
  m_parts.m_log.Info("owner", "hand_over",
                     absl::StrCat(m_log_epoch, " strength=",
                                  m_parts.m_options.m_cpu_capacity.Count(),
                                  " strongest=", strongest.Count()));
  m_hooks.m_hand_over();
}

bool OwnerTerm::MayOrder() {
  if (!m_running) {
    return false;
  }
  const TimePoint now = BootNow();
  return now - m_journal->ConfirmedAt() < kOrderBound ||
         OthersAreCutOff(now, kAwayTime);
}

asio::awaitable<void> OwnerTerm::Recover() {
  const auto self = shared_from_this();
  while (m_running && !co_await ReadJobs()) {
    co_await SleepFor(kRetryPause);
  }
  if (!m_running) {
    co_return;
  }
  m_is_ready = true;
  m_parts.m_log.Info(
      "owner", "jobs_read",
      absl::StrCat(m_log_epoch, " jobs=", m_scheduler.m_jobs.size()));
  m_ready_signal.Notify();
  co_await FollowWorkers();
}

asio::awaitable<bool> OwnerTerm::ReadJobs() {
  const StoreResponse jobs =
      co_await m_parts.m_store.ReadAll(job_table::kJobs, job_table::kPart);
  if (jobs.m_result != StoreResult::kDone) {
    co_return false;
  }
  const StoreResponse progress =
      co_await m_parts.m_store.ReadAll(job_table::kProgress, job_table::kPart);
  if (progress.m_result != StoreResult::kDone || !m_running) {
    co_return false;
  }
  absl::flat_hash_map<std::string, JobProgress> known;
  for (const StoreRow& row : progress.m_rows) {
    absl::StatusOr<JobProgress> decoded = DecodeProgress(row.m_value);
    if (decoded.ok()) {
      known[row.m_key.m_key] = *std::move(decoded);
    } else {
      m_parts.m_log.Warn("owner", "progress_unreadable",
                         absl::StrCat("job=", row.m_key.m_key));
    }
  }
  const TimePoint now = BootNow();
  for (const StoreRow& row : jobs.m_rows) {
    absl::StatusOr<JobSpec> spec = DecodeJob(row.m_value);
    if (!spec.ok()) {
      m_parts.m_log.Warn("owner", "job_unreadable",
                         absl::StrCat("job=", row.m_key.m_key));
      continue;
    }
    const auto found = known.find(row.m_key.m_key);
    scheduler::RestoreJob(m_scheduler, now, *std::move(spec),
                          found == known.end() ? JobProgress() : found->second);
  }
  for (const auto& [id, done] : known) {
    if (IsFinal(done.m_state)) {
      scheduler::RestoreFinalJob(m_scheduler, now, JobId(id), done);
    }
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
    UnlistDue(now);
    if (m_is_ready) {
      scheduler::ExpireLeases(m_scheduler, now);
      m_journal->Remove(
          scheduler::RemoveExpiredJobs(m_scheduler, now, kForgetAtOnce));
      Dispatch();
    }
    std::vector<VmName> gone;
    for (const auto& [vm, peer] : m_parts.m_links.Peers()) {
      if (!peer.m_connected && IsConfirmed() &&
          now - peer.m_disconnected_at > kPeerGoneAfter) {
        gone.push_back(vm);
      }
    }
    for (const VmName& vm : gone) {
      m_parts.m_links.RemovePeer(vm);
    }
    HandOverToStronger();
  }
}

void OwnerTerm::ConfigChanged() {
  m_scheduler.m_deployment = m_parts.m_configuration.Current();
  Changed();
}

void OwnerTerm::Changed() {
  Apply();
  if (m_dispatch_due || !m_is_ready || !m_running) {
    return;
  }
  m_dispatch_due = true;
  m_dispatch_timer.expires_after(std::max(kDispatchDelay, m_dispatch_pause));
  m_dispatch_timer.async_wait(
      [self = shared_from_this()](boost::system::error_code error) {
        self->m_dispatch_due = false;
        if (!error && self->m_running) {
          self->Dispatch();
        }
      });
}

void OwnerTerm::Dispatch() {
  const TimePoint now = BootNow();
  if (MayOrder()) {
    if (m_scheduler.m_record_before_start &&
        now - m_journal->ConfirmedAt() > kUnlistedAfter &&
        OthersAreCutOff(now, kLongAwayTime)) {
      m_parts.m_log.Warn("owner", "starts_not_listed", m_log_epoch);
      scheduler::SetRecordBeforeStart(m_scheduler, now, false);
    }
    scheduler::Dispatch(m_scheduler, now);
    AskAdvice();
  }
  m_dispatch_pause =
      std::min((BootNow() - now) * kDispatchRest, kLongestDispatchPause);
  Apply();
}

void OwnerTerm::Apply() {
  scheduler::Effects effects;
  std::swap(effects, m_scheduler.m_effects);
  for (const auto& note : effects.m_log_events) {
    LogNote(note);
  }
  m_workers->SendOrders(effects);
  if (!m_scheduler.m_unstored_jobs.empty()) {
    m_journal->Kick();
  }
}

void OwnerTerm::CountNote(const scheduler::Effects::LogEvent& note) {
  constexpr std::string_view kJobPrefix = "job_";
  constexpr std::string_view kAgePrefix = "after_ms=";
  if (!std::string_view(note.m_event).starts_with(kJobPrefix)) {
    return;
  }
  const std::string state = note.m_event.substr(kJobPrefix.size());
  Count(m_parts.m_metrics, metric::kJobs, state);
  std::int64_t age_ms = 0;
  if (absl::SimpleAtoi(note.m_detail.substr(kAgePrefix.size()), &age_ms)) {
    RecordLatency(m_parts.m_metrics, metric::kJobSeconds, state,
                  Milliseconds(age_ms));
  }
}

void OwnerTerm::LogNote(const scheduler::Effects::LogEvent& note) {
  CountNote(note);
  if (note.m_event == "task_end") {
    const std::size_t begin = note.m_detail.find('=') + 1;
    Count(m_parts.m_metrics, metric::kEnds,
          std::string_view(note.m_detail)
              .substr(begin, note.m_detail.find(' ') - begin));
  }
  std::string fields = JobField(note.m_task.m_job);
  if (!note.m_task.m_job.Empty()) {
    absl::StrAppend(&fields, " occurrence=", note.m_task.m_occurrence,
                    " step=", note.m_task.m_step,
                    " task=", note.m_task.m_index);
  }
  if (note.m_worker != scheduler::kNoWorker) {
    absl::StrAppend(
        &fields, fields.empty() ? "" : " ", "worker=",
        m_scheduler.m_workers[note.m_worker].m_record.m_name.Value());
  }
  absl::StrAppend(&fields, " ", note.m_detail);
  m_parts.m_log.Info("scheduler", note.m_event, fields);
}

void OwnerTerm::AskAdvice() {
  if (!m_parts.m_options.m_recommendation) {
    return;
  }
  for (scheduler::RecommendationRequest& need :
       scheduler::CollectRecommendationRequests(m_scheduler, BootNow())) {
    asio::co_spawn(m_parts.m_context, Advise(std::move(need)), asio::detached);
  }
}

asio::awaitable<void> OwnerTerm::Advise(scheduler::RecommendationRequest need) {
  const auto self = shared_from_this();
  const CallResult result = co_await m_parts.m_client.Call(
      *m_parts.m_options.m_recommendation,
      adapter::MakeRecommendationRequest(need.m_first_task, need.m_workers),
      kAdviceTimeout);
  const std::optional<Recommendation> advice =
      adapter::DecodeRecommendation(result);
  Count(m_parts.m_metrics, metric::kOrders,
        advice ? "advice_accepted" : "advice_unknown");
  m_parts.m_log.Info(
      "scheduler", "advice",
      absl::StrCat(JobField(need.m_first_task.m_job),
                   " step=", need.m_first_task.m_step,
                   " asked=", need.m_workers.size(), " approved=",
                   advice ? static_cast<int>(advice->m_approved.size()) : -1));
  if (m_running) {
    scheduler::HandleRecommendation(m_scheduler, BootNow(), need.m_first_task,
                                    advice ? &*advice : nullptr);
    Changed();
  }
}

}  // namespace filbertspar
