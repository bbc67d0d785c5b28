#include "filbertspar/node/src/journal.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "filbertspar/node/src/clock.h"
#include "platform/platform.h"

namespace filbertspar {
namespace {

/// The owner's row is rewritten at least this often, as a heartbeat to the
/// other VMs.
constexpr Duration kOwnerRowRenewPeriod = Milliseconds(400);
/// Fraction of the partition's transaction rate that the journal uses.
constexpr double kPartitionRateShare = 0.35;
/// Minimum time between the starts of two writes, for any rate.
constexpr Duration kMinWriteInterval = Milliseconds(10);
/// Longer than a write takes when the store is 60 times slower than usual.
constexpr Duration kInitialTimeout = Milliseconds(700);
constexpr Duration kMaxTimeout = Milliseconds(1600);
/// Starts do not wait for writes slower than this; a task's latency objective
/// leaves a few tenths of a second.
constexpr Duration kSlowWrite = Milliseconds(150);
/// Minimum time between two attempts of a write without a response. Several
/// attempts fit into the time within which the ownership must be confirmed.
constexpr Duration kMinRetryInterval = Milliseconds(200);
constexpr Duration kRefusedRetryDelay = Milliseconds(60);
/// Time between two writes as a multiple of the time that encoding one took, so
/// that large jobs leave the processor to other work.
constexpr int kEncodeIdleFactor = 4;
/// Timeout for storing a row that an order depends on.
constexpr Duration kPutTimeout = Seconds(1);
constexpr Duration kStalledAfter = Milliseconds(1500);
/// A job that has not been sent to the store by then is refused; since no write
/// contains it, it is certainly not stored.
constexpr Duration kMaxQueueTime = Milliseconds(1200);
/// Leaves room for the encoding, by which rows grow by a third in a request
/// body.
constexpr std::size_t kMaxBytes = adapter::kMaxTransactionBytes / 2;

/// Share of the link that writes may use; rows of the same job that change
/// meanwhile are written once.
constexpr double kLinkShare = 0.3;
/// Limits the delay of starts and of the owner's heartbeat.
constexpr Duration kMaxLinkInterval = Milliseconds(250);

/// Estimated bytes of a transaction's request body.
std::size_t EncodedBytes(const StoreTransaction& change) {
  /// Names of fields, table, partition and key of one entry.
  constexpr std::size_t kEntryBytes = 120;
  std::size_t bytes = change.EntryCount() * kEntryBytes;
  for (const StoreTransaction::Write& write : change.m_writes) {
    bytes += write.m_value.size() * 4 / 3;
  }
  return bytes;
}

/// A write takes at most about this long on the VM's link, a fraction of the
/// time within which the owner's row must change.
constexpr Duration kMaxWriteTimeOnLink = Milliseconds(150);

}  // namespace

Journal::Journal(asio::io_context& context, StoreClient& store,
                 const TrafficMeter& traffic, EventLog& log,
                 scheduler::Scheduler& scheduler, WonClaim won,
                 const Limits& limits, Hooks hooks)
    : m_context(context),
      m_store(store),
      m_traffic(traffic),
      m_log(log),
      m_scheduler(scheduler),
      m_record(std::move(won.m_record)),
      m_version(won.m_version),
      m_hooks(std::move(hooks)),
      m_write_interval(
          std::max(kMinWriteInterval,
                   Duration(static_cast<std::int64_t>(
                       1e6 / kPartitionRateShare /
                       static_cast<double>(limits.m_transactions_per_s))))),
      m_max_bytes(std::min(
          kMaxBytes, static_cast<std::size_t>(traffic.Budget().m_bytes_per_s *
                                              ToSeconds(kMaxWriteTimeOnLink)))),
      m_max_part_bytes(MaxPartBytes(limits.m_row_bytes)),
      m_work_signal(context),
      m_put_settled_signal(context),
      m_confirmation{won.m_claimed_at, std::nullopt, {}},
      m_all_recorded_at_start(won.m_all_runs_recorded) {}

bool Journal::HasWork() const {
  return !m_unsent_jobs.empty() ||
         scheduler::HasPendingWrites(m_scheduler, BootNow()) ||
         !m_removed_jobs.empty() || !m_puts.empty() || m_releasing;
}

bool Journal::IsStalled(TimePoint now) const {
  return m_is_writing && now - m_write_began_at > kStalledAfter;
}

void Journal::HandleStored(const Batch& batch) {
  HandleBatchStored(m_rejections, batch.CountItems());
  for (std::size_t i = 0; i < batch.m_jobs.size(); ++i) {
    SetJobParts(batch.m_jobs[i]->m_spec.m_id, batch.m_job_parts[i]);
    m_hooks.m_accepted(batch.m_jobs[i]->m_spec);
    Finish(batch.m_jobs[i], Code::kOk);
  }
  for (const scheduler::JobWrite& write : batch.m_progress) {
    if (IsFinal(write.m_state) && !write.m_has_runs) {
      SetJobParts(write.m_id, 0);
    }
    SetProgressParts(write.m_id,
                     CountParts(write.m_progress.size(), m_max_part_bytes));
  }
  for (const JobId& job : batch.m_removed_jobs) {
    SetProgressParts(job, 0);
  }
  for (const auto& [key, put] : batch.m_puts) {
    SettlePut(put, /*stored=*/true);
  }
  const TimePoint now = BootNow();
  const bool slow = now - m_write_began_at > kSlowWrite;
  if (slow != m_writes_are_slow) {
    m_writes_are_slow = slow;
    m_log.Info(
        "journal", slow ? "writes_slow" : "writes_fast",
        absl::StrCat("took_ms=", ToMilliseconds(now - m_write_began_at)));
  }
  // The owner's row must announce that starts are no longer recorded before
  // any unrecorded start, so that the next owner does not rely on the record.
  const bool is_announced = !m_record.m_all_starts_recorded;
  scheduler::HandleWriteCompleted(m_scheduler, now, batch.m_progress);
  scheduler::SetRecordBeforeStart(m_scheduler, now,
                                  !(m_writes_are_slow && is_announced));
  m_put_settled_signal.Notify();
  m_hooks.m_stored();
}

asio::awaitable<void> Journal::Run() {
  while (m_running) {
    const TimePoint due = ConfirmedAt() + kOwnerRowRenewPeriod;
    while (m_running && !HasWork() && BootNow() < due) {
      co_await m_work_signal.WaitFor(due - BootNow());
    }
    const TimePoint earliest =
        m_write_began_at +
        std::max({m_write_interval, m_link_interval, m_encode_interval});
    if (m_running && BootNow() < earliest) {
      co_await SleepFor(earliest - BootNow());
    }
    if (!m_running) {
      break;
    }
    const TimePoint began = BootNow();
    Batch batch = NextBatch();
    m_write_began_at = BootNow();
    m_encode_interval = (m_write_began_at - began) * kEncodeIdleFactor;
    m_link_interval = std::min(
        kMaxLinkInterval, TimeOnLink(m_traffic.Budget(),
                                     EncodedBytes(batch.m_change), kLinkShare));
    m_is_writing = true;
    const Outcome outcome = co_await Write(batch.m_change);
    m_is_writing = false;
    if (outcome == Outcome::kNotOwner) {
      for (const auto& job : batch.m_jobs) {
        Finish(job, Code::kNotLeaseHolder);
      }
      if (m_running) {
        m_running = false;
        m_hooks.m_ownership_lost();
      }
      break;
    }
    if (outcome == Outcome::kRejected) {
      HandleRejected(std::move(batch));
      co_await SleepFor(kRefusedRetryDelay);
      continue;
    }
    HandleStored(batch);
    if (m_record.m_released) {
      m_released = true;
      m_running = false;
    }
  }
  FailUnsentJobs(Code::kNotLeaseHolder);
  m_put_settled_signal.Notify();
}

asio::awaitable<Journal::Outcome> Journal::Write(
    const StoreTransaction& change) {
  Duration timeout = kInitialTimeout;
  while (m_running) {
    const TimePoint sent = BootNow();
    HandleWriteSent(m_confirmation, sent);
    const StoreResponse answer = co_await m_store.Change(change, timeout);
    switch (answer.m_result) {
      case StoreResult::kDone:
        m_version = answer.m_version;
        HandleWriteAnswered(m_confirmation);
        co_return Outcome::kStored;
      case StoreResult::kConflict: {
        co_return co_await ResolveConflict();
      }
      case StoreResult::kInvalid:
        HandleWriteRejected(m_confirmation);
        co_return Outcome::kRejected;
      case StoreResult::kRefused:
        co_await SleepFor(kRefusedRetryDelay);
        break;
      case StoreResult::kHistoryGone:
      case StoreResult::kUnknown:
        m_log.Warn("journal", "write_unanswered",
                   absl::StrCat("write=", m_record.m_write_number,
                                " entries=", change.EntryCount(),
                                " timeout_ms=", ToMilliseconds(timeout)));
        timeout = std::min(timeout * 2, kMaxTimeout);
        // A store that resets connections makes each attempt fail immediately.
        if (BootNow() < sent + kMinRetryInterval) {
          co_await SleepFor(sent + kMinRetryInterval - BootNow());
        }
        break;
    }
  }
  co_return Outcome::kNotOwner;
}

asio::awaitable<Journal::Outcome> Journal::ResolveConflict() {
  while (m_running) {
    const StoreResponse answer = co_await m_store.Read(
        job_table::kOwner, job_table::kPartition, "", kMaxTimeout);
    if (answer.m_result != StoreResult::kDone) {
      co_await SleepFor(kRefusedRetryDelay);
      continue;
    }
    for (const StoreRow& row : answer.m_rows) {
      const absl::StatusOr<OwnerRecord> record = DecodeOwner(row.m_value);
      if (row.m_key == OwnerRowKey() && record.ok() &&
          record->m_vm == m_record.m_vm &&
          record->m_incarnation == m_record.m_incarnation &&
          record->m_epoch == m_record.m_epoch &&
          record->m_write_number == m_record.m_write_number) {
        m_log.Info("journal", "write_settled",
                   absl::StrCat("write=", m_record.m_write_number));
        m_version = row.m_version;
        HandleWriteFound(m_confirmation);
        co_return Outcome::kStored;
      }
    }
    co_return Outcome::kNotOwner;
  }
  co_return Outcome::kNotOwner;
}

asio::awaitable<Code> Journal::Accept(JobSpec spec, Duration wait) {
  const auto self = shared_from_this();
  const JobId id = spec.m_id;
  auto found = m_pending_jobs.find(id);
  std::shared_ptr<PendingJob> job;
  if (found != m_pending_jobs.end()) {
    job = found->second;
  } else {
    if (!m_running) {
      co_return Code::kNotLeaseHolder;
    }
    job = std::make_shared<PendingJob>(m_context);
    job->m_spec = std::move(spec);
    m_pending_jobs[id] = job;
    m_unsent_jobs.push_back(job);
    m_work_signal.Notify();
  }
  const TimePoint began = BootNow();
  const TimePoint deadline = began + wait;
  const TimePoint send_deadline = began + std::min(wait, kMaxQueueTime);
  while (!job->m_is_over && BootNow() < deadline) {
    const bool is_unsent = BootNow() < send_deadline;
    co_await job->m_done.WaitFor((is_unsent ? send_deadline : deadline) -
                                 BootNow());
    const auto waiting =
        std::find(m_unsent_jobs.begin(), m_unsent_jobs.end(), job);
    if (!job->m_is_over && waiting != m_unsent_jobs.end() &&
        BootNow() >= send_deadline) {
      m_unsent_jobs.erase(waiting);
      Finish(job, Code::kJournalStoreDown);
    }
  }
  co_return job->m_code;
}

const JobSpec* Journal::FindStoring(const JobId& id) const {
  const auto found = m_pending_jobs.find(id);
  return found == m_pending_jobs.end() ? nullptr : &found->second->m_spec;
}

void Journal::Finish(const std::shared_ptr<PendingJob>& job, Code code) {
  job->m_code = code;
  job->m_is_over = true;
  job->m_done.Notify();
  m_pending_jobs.erase(job->m_spec.m_id);
}

void Journal::FailUnsentJobs(Code code) {
  while (!m_unsent_jobs.empty()) {
    const auto job = m_unsent_jobs.front();
    m_unsent_jobs.pop_front();
    Finish(job, code);
  }
}

void Journal::RemoveJobs(const std::vector<JobId>& jobs) {
  m_removed_jobs.insert(m_removed_jobs.end(), jobs.begin(), jobs.end());
}

void Journal::Put(const StoreKey& key, std::string value) {
  PendingPut& put = m_puts[key];
  put.m_value = std::move(value);
  put.m_numbers.push_back(++m_last_put_number);
  m_unsettled_puts.insert(m_last_put_number);
  m_work_signal.Notify();
}

asio::awaitable<bool> Journal::PutAndWait(const StoreKey& key,
                                          std::string value) {
  // Those that wait may outlive the term.
  const auto self = shared_from_this();
  Put(key, std::move(value));
  const std::uint64_t number = m_last_put_number;
  const auto is_settled = [this, number] {
    return !m_unsettled_puts.contains(number);
  };
  const TimePoint deadline = BootNow() + kPutTimeout;
  while (m_running && !is_settled() && BootNow() < deadline) {
    co_await m_put_settled_signal.WaitFor(deadline - BootNow());
  }
  co_return is_settled() && !m_rejected_puts.contains(number);
}

asio::awaitable<void> Journal::Release() {
  /// Time limit for the last writes of an owner that stops.
  constexpr Duration kReleaseTimeout = Seconds(2);
  m_releasing = true;
  m_work_signal.Notify();
  const TimePoint deadline = BootNow() + kReleaseTimeout;
  while (!m_released && m_running && BootNow() < deadline) {
    co_await SleepFor(Milliseconds(10));
  }
}

void Journal::Stop() {
  m_running = false;
  m_work_signal.Notify();
  m_put_settled_signal.Notify();
}

}  // namespace filbertspar
