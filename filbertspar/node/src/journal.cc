#include "filbertspar/node/src/journal.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "filbertspar/node/src/clock.h"
#include "platform/platform.h"

namespace filbertspar {
namespace {

/// The owner's row is written at least this often, so that others see that
/// the owner lives.
constexpr Duration kRenewPeriod = Milliseconds(400);
/// Share of a part's rate of changes that is used.
constexpr double kPartShare = 0.35;
/// Least time between the begins of two writes, whatever the rate.
constexpr Duration kLeastGap = Milliseconds(10);
/// Longer than a write of a store that is 60 times slower than usual.
constexpr Duration kFirstTimeout = Milliseconds(700);
constexpr Duration kLongestTimeout = Milliseconds(1600);
/// Starts do not wait for writes that take longer; a task's objective leaves
/// it a few tenths of a second.
constexpr Duration kSlowWrite = Milliseconds(150);
/// Least time between two tries of a write without an answer; several still fit
/// into the time in which an owner must be confirmed.
constexpr Duration kLeastRetry = Milliseconds(200);
constexpr Duration kRefusedPause = Milliseconds(60);
/// Longest wait for a row that an order depends on.
constexpr Duration kPutTime = Seconds(1);
constexpr Duration kStuckAfter = Milliseconds(1500);
/// A job that no write has taken up by then is refused, which is still true.
constexpr Duration kQueueTime = Milliseconds(1200);
/// The owner's row takes two entries of a change.
constexpr std::size_t kMaxEntries = adapter::kMaxTransactionEntries - 4;
/// Rows grow by a third in the body of a call.
constexpr std::size_t kMaxBytes = adapter::kMaxTransactionBytes / 2;

StoreKey JobKey(const char* table, const JobId& id) {
  return {table, job_table::kPart, id.Value()};
}

}  // namespace

Journal::Journal(asio::io_context& context, StoreClient& store, EventLog& log,
                 scheduler::Scheduler& scheduler, OwnerWatch::WonClaim won,
                 std::int64_t changes_per_s, Hooks hooks)
    : m_context(context),
      m_store(store),
      m_log(log),
      m_scheduler(scheduler),
      m_record(std::move(won.m_record)),
      m_version(won.m_version),
      m_hooks(std::move(hooks)),
      m_write_gap(std::max(
          kLeastGap,
          Duration(static_cast<std::int64_t>(
              1e6 / kPartShare / static_cast<double>(changes_per_s))))),
      m_wake(context),
      m_put_stored(context),
      m_confirmed_at(BootNow()),
      m_began_listed(won.m_runs_are_listed) {}

bool Journal::HasWork() const {
  return !m_waiting.empty() || !m_scheduler.m_unstored_jobs.empty() ||
         !m_removals.empty() || !m_puts.empty() || m_releasing;
}

bool Journal::IsStuck(TimePoint now) const {
  return m_is_writing && now - m_write_began > kStuckAfter;
}

Journal::Batch Journal::NextBatch() {
  Batch batch;
  StoreTransaction& change = batch.m_change;
  ++m_record.m_write_number;
  change.m_conditions.push_back({OwnerRowKey(), m_version});
  std::size_t bytes = 0;
  std::size_t entries = 0;
  while (!m_waiting.empty() && entries < kMaxEntries && bytes < kMaxBytes) {
    const auto job = m_waiting.front();
    m_waiting.pop_front();
    std::string row = EncodeJob(job->m_spec);
    bytes += row.size();
    ++entries;
    change.m_writes.push_back(
        {JobKey(job_table::kJobs, job->m_spec.m_id), std::move(row)});
    batch.m_jobs.push_back(job);
  }
  if (bytes < kMaxBytes && entries < kMaxEntries) {
    batch.m_progress =
        scheduler::TakePendingWrites(m_scheduler, (kMaxEntries - entries) / 2);
  }
  for (const scheduler::JobWrite& write : batch.m_progress) {
    change.m_writes.push_back(
        {JobKey(job_table::kProgress, write.m_id), write.m_progress});
    ++entries;
    if (IsFinal(write.m_state) && !write.m_has_runs) {
      change.m_deletes.push_back(JobKey(job_table::kJobs, write.m_id));
      ++entries;
    }
  }
  while (!m_removals.empty() && entries < kMaxEntries) {
    change.m_deletes.push_back(
        JobKey(job_table::kProgress, m_removals.front()));
    m_removals.pop_front();
    ++entries;
  }
  while (!m_puts.empty() && entries < kMaxEntries) {
    change.m_writes.push_back(
        {m_puts.begin()->first, std::move(m_puts.begin()->second)});
    m_puts.erase(m_puts.begin());
    ++entries;
  }
  batch.m_puts = m_puts.empty() ? m_last_put : 0;
  m_record.m_released =
      m_releasing && m_waiting.empty() && m_scheduler.m_unstored_jobs.empty();
  m_record.m_strongest_cpu = m_hooks.m_strongest();
  m_record.m_all_starts_recorded =
      (m_began_listed || m_scheduler.m_inherited_resolved) && !m_is_slow &&
      scheduler::AllStartsRecorded(m_scheduler);
  change.m_writes.push_back({OwnerRowKey(), EncodeOwner(m_record)});
  return batch;
}

asio::awaitable<void> Journal::Run() {
  while (m_running) {
    const TimePoint due = m_confirmed_at + kRenewPeriod;
    while (m_running && !HasWork() && BootNow() < due) {
      co_await m_wake.WaitFor(due - BootNow());
    }
    const TimePoint earliest = m_write_began + m_write_gap;
    if (m_running && BootNow() < earliest) {
      co_await SleepFor(earliest - BootNow());
    }
    if (!m_running) {
      break;
    }
    Batch batch = NextBatch();
    m_write_began = BootNow();
    m_is_writing = true;
    const Outcome outcome = co_await Write(batch.m_change);
    m_is_writing = false;
    if (outcome == Outcome::kDeposed) {
      for (const auto& job : batch.m_jobs) {
        Finish(job, Code::kNotLeaseHolder);
      }
      if (m_running) {
        m_running = false;
        m_hooks.m_deposed();
      }
      break;
    }
    const bool stored = outcome == Outcome::kStored;
    for (const auto& job : batch.m_jobs) {
      if (stored) {
        m_hooks.m_accepted(job->m_spec);
      }
      Finish(job, stored ? Code::kOk : Code::kInternal);
    }
    if (stored) {
      const TimePoint now = BootNow();
      const bool slow = now - m_write_began > kSlowWrite;
      if (slow != m_is_slow) {
        m_is_slow = slow;
        m_log.Info(
            "journal", slow ? "writes_slow" : "writes_fast",
            absl::StrCat("took_ms=", ToMilliseconds(now - m_write_began)));
      }
      // A successor must know first that starts are no longer listed.
      const bool told = !m_record.m_all_starts_recorded;
      scheduler::HandleWriteCompleted(m_scheduler, now, batch.m_progress);
      scheduler::SetRecordBeforeStart(m_scheduler, now, !(m_is_slow && told));
      m_stored_put = std::max(m_stored_put, batch.m_puts);
      m_put_stored.Notify();
      m_hooks.m_stored();
    }
    if (m_record.m_released) {
      m_released = true;
      m_running = false;
    }
  }
  FailAll(Code::kNotLeaseHolder);
  m_put_stored.Notify();
}

asio::awaitable<Journal::Outcome> Journal::Write(
    const StoreTransaction& change) {
  Duration timeout = kFirstTimeout;
  while (m_running) {
    const TimePoint sent = BootNow();
    const StoreResponse answer = co_await m_store.Change(change, timeout);
    switch (answer.m_result) {
      case StoreResult::kDone:
        m_version = answer.m_version;
        m_confirmed_at = sent;
        co_return Outcome::kStored;
      case StoreResult::kConflict: {
        co_return co_await ReadBack(sent);
      }
      case StoreResult::kInvalid:
        m_log.Warn("journal", "write_rejected",
                   absl::StrCat("entries=", change.EntryCount()));
        co_return Outcome::kRejected;
      case StoreResult::kRefused:
        co_await SleepFor(kRefusedPause);
        break;
      case StoreResult::kHistoryGone:
      case StoreResult::kUnknown:
        m_log.Warn("journal", "write_unanswered",
                   absl::StrCat("write=", m_record.m_write_number,
                                " entries=", change.EntryCount(),
                                " timeout_ms=", ToMilliseconds(timeout)));
        timeout = std::min(timeout * 2, kLongestTimeout);
        // A store that resets connections fails each try at once.
        if (BootNow() < sent + kLeastRetry) {
          co_await SleepFor(sent + kLeastRetry - BootNow());
        }
        break;
    }
  }
  co_return Outcome::kDeposed;
}

asio::awaitable<Journal::Outcome> Journal::ReadBack(TimePoint sent) {
  while (m_running) {
    const StoreResponse answer = co_await m_store.Read(
        job_table::kOwner, job_table::kPart, "", kLongestTimeout);
    if (answer.m_result != StoreResult::kDone) {
      co_await SleepFor(kRefusedPause);
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
    co_return Outcome::kDeposed;
  }
  co_return Outcome::kDeposed;
}

asio::awaitable<Code> Journal::Accept(JobSpec spec, Duration wait) {
  const JobId id = spec.m_id;
  auto found = m_accepting.find(id);
  std::shared_ptr<Accepting> job;
  if (found != m_accepting.end()) {
    job = found->second;
  } else {
    if (!m_running) {
      co_return Code::kNotLeaseHolder;
    }
    job = std::make_shared<Accepting>(m_context);
    job->m_spec = std::move(spec);
    m_accepting[id] = job;
    m_waiting.push_back(job);
    m_wake.Notify();
  }
  const TimePoint began = BootNow();
  const TimePoint deadline = began + wait;
  const TimePoint taken_up_by = began + std::min(wait, kQueueTime);
  while (!job->m_is_over && BootNow() < deadline) {
    const bool queued = BootNow() < taken_up_by;
    co_await job->m_done.WaitFor((queued ? taken_up_by : deadline) - BootNow());
    const auto waiting = std::find(m_waiting.begin(), m_waiting.end(), job);
    if (!job->m_is_over && waiting != m_waiting.end() &&
        BootNow() >= taken_up_by) {
      m_waiting.erase(waiting);
      Finish(job, Code::kJournalStoreDown);
    }
  }
  co_return job->m_code;
}

void Journal::Finish(const std::shared_ptr<Accepting>& job, Code code) {
  job->m_code = code;
  job->m_is_over = true;
  job->m_done.Notify();
  m_accepting.erase(job->m_spec.m_id);
}

void Journal::FailAll(Code code) {
  while (!m_waiting.empty()) {
    const auto job = m_waiting.front();
    m_waiting.pop_front();
    Finish(job, code);
  }
}

void Journal::Remove(const std::vector<JobId>& jobs) {
  m_removals.insert(m_removals.end(), jobs.begin(), jobs.end());
}

void Journal::Put(const StoreKey& key, std::string value) {
  m_puts[key] = std::move(value);
  ++m_last_put;
  m_wake.Notify();
}

asio::awaitable<bool> Journal::PutAndWait(const StoreKey& key,
                                          std::string value) {
  Put(key, std::move(value));
  const std::uint64_t number = m_last_put;
  const TimePoint deadline = BootNow() + kPutTime;
  while (m_running && m_stored_put < number && BootNow() < deadline) {
    co_await m_put_stored.WaitFor(deadline - BootNow());
  }
  co_return m_stored_put >= number;
}

asio::awaitable<void> Journal::Release() {
  /// Longest time for the last writes of an owner that stops.
  constexpr Duration kReleaseTime = Seconds(2);
  m_releasing = true;
  m_wake.Notify();
  const TimePoint deadline = BootNow() + kReleaseTime;
  while (!m_released && m_running && BootNow() < deadline) {
    co_await SleepFor(Milliseconds(10));
  }
}

void Journal::Stop() {
  m_running = false;
  m_wake.Notify();
}

}  // namespace filbertspar
