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
/// The owner's row takes two entries of each transaction, a condition and a
/// write.
constexpr std::size_t kMaxEntries = adapter::kMaxTransactionEntries - 4;
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

StoreKey KeyOf(const char* table, const JobId& id, std::size_t part) {
  return {table, job_table::kPartition, PartKey(id.Value(), part)};
}

std::size_t FindParts(const absl::flat_hash_map<JobId, std::size_t>& parts,
                      const JobId& id) {
  const auto found = parts.find(id);
  return found == parts.end() ? 1 : found->second;
}

void SetParts(absl::flat_hash_map<JobId, std::size_t>& parts, const JobId& id,
              std::size_t count) {
  if (count > 1) {
    parts[id] = count;
  } else {
    parts.erase(id);
  }
}

}  // namespace

Journal::Journal(asio::io_context& context, StoreClient& store,
                 const TrafficMeter& traffic, EventLog& log,
                 scheduler::Scheduler& scheduler, OwnerWatch::WonClaim won,
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
      m_confirmed_at(BootNow()),
      m_all_recorded_at_start(won.m_all_runs_recorded) {}

bool Journal::HasWork() const {
  return !m_unsent_jobs.empty() ||
         scheduler::HasPendingWrites(m_scheduler, BootNow()) ||
         !m_removed_jobs.empty() || !m_puts.empty() || m_releasing;
}

bool Journal::IsStalled(TimePoint now) const {
  return m_is_writing && now - m_write_began_at > kStalledAfter;
}

bool Journal::HasRoom(const Batch& batch) const {
  return batch.CountItems() < m_rejections.m_max_items &&
         batch.m_change.EntryCount() < kMaxEntries &&
         batch.m_bytes < m_max_bytes;
}

void Journal::SetJobParts(const JobId& job, std::size_t parts) {
  SetParts(m_job_parts, job, parts);
}

void Journal::SetProgressParts(const JobId& job, std::size_t parts) {
  SetParts(m_progress_parts, job, parts);
}

void Journal::AddJobs(Batch& batch) {
  while (!m_unsent_jobs.empty() && HasRoom(batch)) {
    const auto job = m_unsent_jobs.front();
    const std::string row = EncodeJob(job->m_spec);
    const std::vector<std::string> parts = SplitValue(row, m_max_part_bytes);
    const std::size_t bytes = batch.m_bytes + row.size();
    if (batch.CountItems() > 0 &&
        (batch.m_change.EntryCount() + parts.size() > kMaxEntries ||
         bytes > m_max_bytes)) {
      break;
    }
    m_unsent_jobs.pop_front();
    batch.m_bytes = bytes;
    for (std::size_t i = 0; i < parts.size(); ++i) {
      batch.m_change.m_writes.push_back(
          {KeyOf(job_table::kJobs, job->m_spec.m_id, i), parts[i]});
    }
    batch.m_jobs.push_back(job);
    batch.m_job_parts.push_back(parts.size());
  }
}

void Journal::AddProgress(Batch& batch) {
  m_progress_goes_first = false;
  if (!HasRoom(batch)) {
    return;
  }
  StoreTransaction& change = batch.m_change;
  bool is_alone = batch.CountItems() == 0;
  const auto add_if_it_fits = [&](const scheduler::JobWrite& write) {
    const std::vector<std::string> parts =
        SplitValue(write.m_progress, m_max_part_bytes);
    // Beside its parts: rows of parts that it no longer has, and the job's row.
    const std::size_t stored_parts = FindParts(m_progress_parts, write.m_id);
    const bool is_over = IsFinal(write.m_state) && !write.m_has_runs;
    const std::size_t job_parts =
        is_over ? FindParts(m_job_parts, write.m_id) : 0;
    const std::size_t entries =
        std::max(parts.size(), stored_parts) + job_parts;
    const std::size_t bytes = batch.m_bytes + write.m_progress.size();
    // One that is too large even alone is left to the store to reject.
    if (!is_alone &&
        (change.EntryCount() + entries > kMaxEntries || bytes > m_max_bytes)) {
      m_progress_goes_first = true;
      return false;
    }
    is_alone = false;
    batch.m_bytes = bytes;
    for (std::size_t i = 0; i < parts.size(); ++i) {
      change.m_writes.push_back(
          {KeyOf(job_table::kProgress, write.m_id, i), parts[i]});
    }
    for (std::size_t i = parts.size(); i < stored_parts; ++i) {
      change.m_deletes.push_back(KeyOf(job_table::kProgress, write.m_id, i));
    }
    for (std::size_t i = 0; i < job_parts; ++i) {
      change.m_deletes.push_back(KeyOf(job_table::kJobs, write.m_id, i));
    }
    return true;
  };
  batch.m_progress = scheduler::TakePendingWrites(
      m_scheduler, BootNow(), m_rejections.m_max_items - batch.CountItems(),
      add_if_it_fits);
}

void Journal::AddRemovals(Batch& batch) {
  while (!m_removed_jobs.empty() && HasRoom(batch) &&
         batch.m_change.EntryCount() +
                 FindParts(m_progress_parts, m_removed_jobs.front()) <=
             kMaxEntries) {
    const JobId& job = m_removed_jobs.front();
    const std::size_t parts = FindParts(m_progress_parts, job);
    for (std::size_t i = 0; i < parts; ++i) {
      batch.m_change.m_deletes.push_back(KeyOf(job_table::kProgress, job, i));
    }
    batch.m_removed_jobs.push_back(job);
    m_removed_jobs.pop_front();
  }
}

void Journal::AddPuts(Batch& batch) {
  while (!m_puts.empty() && HasRoom(batch)) {
    auto put = m_puts.extract(m_puts.begin());
    batch.m_bytes += put.mapped().m_value.size();
    batch.m_change.m_writes.push_back({put.key(), put.mapped().m_value});
    batch.m_puts.insert(std::move(put));
  }
}

Journal::Batch Journal::NextBatch() {
  Batch batch;
  ++m_record.m_write_number;
  batch.m_change.m_conditions.push_back({OwnerRowKey(), m_version});
  if (m_progress_goes_first) {
    AddProgress(batch);
    AddJobs(batch);
  } else {
    AddJobs(batch);
    AddProgress(batch);
  }
  AddRemovals(batch);
  AddPuts(batch);
  m_record.m_released = m_releasing && m_unsent_jobs.empty() &&
                        !scheduler::HasPendingWrites(m_scheduler, BootNow());
  m_record.m_strongest_cpu = m_hooks.m_highest_cpu_capacity();
  m_record.m_all_starts_recorded =
      (m_all_recorded_at_start || m_scheduler.m_inherited_resolved) &&
      !m_writes_are_slow && scheduler::AllStartsRecorded(m_scheduler);
  batch.m_change.m_writes.push_back({OwnerRowKey(), EncodeOwner(m_record)});
  return batch;
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

void Journal::HandleRejected(Batch batch) {
  const RejectionVerdict verdict =
      HandleBatchRejected(m_rejections, batch.CountItems());
  m_log.Warn("journal", "write_rejected",
             absl::StrCat("write=", m_record.m_write_number,
                          " items=", batch.CountItems(), " entries=",
                          batch.m_change.EntryCount(), " bytes=", batch.m_bytes,
                          " dropped=", verdict == RejectionVerdict::kDropItem));
  // Nothing of the batch is stored.
  scheduler::ReturnWrites(m_scheduler, batch.m_progress);
  if (verdict == RejectionVerdict::kDropItem) {
    DropRejectedItem(batch);
    return;
  }
  m_unsent_jobs.insert(m_unsent_jobs.begin(), batch.m_jobs.begin(),
                       batch.m_jobs.end());
  m_removed_jobs.insert(m_removed_jobs.begin(), batch.m_removed_jobs.begin(),
                        batch.m_removed_jobs.end());
  // A later value for the same key stays.
  for (const auto& [key, put] : batch.m_puts) {
    const auto [later, is_new] = m_puts.try_emplace(key, put);
    if (!is_new) {
      later->second.m_numbers.insert(later->second.m_numbers.end(),
                                     put.m_numbers.begin(),
                                     put.m_numbers.end());
    }
  }
}

void Journal::DropRejectedItem(const Batch& batch) {
  for (const auto& job : batch.m_jobs) {
    m_log.Warn("journal", "job_rejected",
               absl::StrCat("job=", job->m_spec.m_id.Value(),
                            " bytes=", batch.m_bytes));
    Finish(job, Code::kInternal);
  }
  for (const scheduler::JobWrite& write : batch.m_progress) {
    m_log.Warn(
        "journal", "progress_rejected",
        absl::StrCat("job=", write.m_id.Value(), " bytes=", batch.m_bytes));
    scheduler::HandleWriteRejected(m_scheduler, BootNow(), write.m_id);
  }
  for (const JobId& job : batch.m_removed_jobs) {
    m_log.Warn("journal", "removal_rejected",
               absl::StrCat("job=", job.Value()));
  }
  for (const auto& [key, put] : batch.m_puts) {
    m_log.Warn("journal", "row_rejected",
               absl::StrCat("table=", key.m_table, " key=", key.m_key,
                            " bytes=", batch.m_bytes));
    SettlePut(put, /*stored=*/false);
  }
  m_put_settled_signal.Notify();
  m_hooks.m_stored();
}

void Journal::SettlePut(const PendingPut& put, bool stored) {
  for (const std::uint64_t number : put.m_numbers) {
    m_unsettled_puts.erase(number);
    if (!stored) {
      m_rejected_puts.insert(number);
    }
  }
}

asio::awaitable<void> Journal::Run() {
  while (m_running) {
    const TimePoint due = m_confirmed_at + kOwnerRowRenewPeriod;
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
    const StoreResponse answer = co_await m_store.Change(change, timeout);
    switch (answer.m_result) {
      case StoreResult::kDone:
        m_version = answer.m_version;
        m_confirmed_at = sent;
        co_return Outcome::kStored;
      case StoreResult::kConflict: {
        co_return co_await ResolveConflict(sent);
      }
      case StoreResult::kInvalid:
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

asio::awaitable<Journal::Outcome> Journal::ResolveConflict(TimePoint sent) {
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
        m_confirmed_at = sent;
        co_return Outcome::kStored;
      }
    }
    co_return Outcome::kNotOwner;
  }
  co_return Outcome::kNotOwner;
}

asio::awaitable<Code> Journal::Accept(JobSpec spec, Duration wait) {
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
}

}  // namespace filbertspar
