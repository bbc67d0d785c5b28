#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "filbertspar/journal/journal.h"
#include "filbertspar/node/src/async.h"
#include "filbertspar/node/src/owner_watch.h"
#include "filbertspar/scheduler/scheduler.h"

namespace filbertspar {

/// \brief Persists accepted jobs and their progress. Rows are written in
/// batches, one transaction at a time, each conditional on the version of the
/// owner's row.
///
/// Each transaction also rewrites the owner's row with its own write number. A
/// transaction without a response is retried unchanged: if it had taken effect,
/// the retry fails its condition and the owner's row shows the write number.
class Journal : public std::enable_shared_from_this<Journal> {
 public:
  struct Hooks {
    /// A job's row was stored.
    std::function<void(JobSpec)> m_accepted;
    /// Progress was stored.
    std::function<void()> m_stored;
    /// Another VM has become the owner.
    std::function<void()> m_ownership_lost;
    /// Highest processor capacity among the VMs that could own the jobs.
    std::function<Millicores()> m_highest_cpu_capacity;
  };

  struct Limits {
    std::int64_t m_transactions_per_s = 0;
    /// Bytes of a row's value as the store counts them.
    std::int64_t m_row_bytes = 0;
  };

  Journal(asio::io_context& context, StoreClient& store,
          const TrafficMeter& traffic, EventLog& log,
          scheduler::Scheduler& scheduler, WonClaim won, const Limits& limits,
          Hooks hooks);

  /// \brief Writes until Stop, until the ownership is released or until another
  /// VM becomes the owner.
  asio::awaitable<void> Run();

  /// \brief Stores a job. kOk: its row is stored. kNotLeaseHolder: this VM is
  /// no longer the owner. kJournalStoreDown: the row was not sent within 1.2 s
  /// or the wait, whichever is shorter, and is not stored. kOutcomeUnknown: no
  /// response within the wait; the row may be stored. kInternal: the store
  /// rejected the row.
  asio::awaitable<Code> Accept(JobSpec spec, Duration wait);

  /// \brief Number of rows that a stored job, or its progress, takes.
  void SetJobParts(const JobId& job, std::size_t parts);
  void SetProgressParts(const JobId& job, std::size_t parts);

  /// \brief Deletes the progress rows of expired jobs with the next writes.
  void RemoveJobs(const std::vector<JobId>& jobs);

  /// \brief Stores a row with the next write. A later value for the same key
  /// replaces one that is not sent yet.
  void Put(const StoreKey& key, std::string value);

  /// \brief Stores a row. True: it is stored. False: the store rejected it, or
  /// there is no confirmation within 1 s; then it may still be stored.
  asio::awaitable<bool> PutAndWait(const StoreKey& key, std::string value);

  /// \brief Wakes the writer when there may be rows to write.
  void NotifyWork() { m_work_signal.Notify(); }

  /// \brief When the last transaction that took effect was sent.
  TimePoint ConfirmedAt() const { return m_confirmation.m_confirmed_at; }
  /// \brief Whether the current write has been without a response for more than
  /// 1.5 s.
  bool IsStalled(TimePoint now) const;
  /// \brief Whether the ownership is being given up.
  bool IsReleasing() const { return m_releasing; }
  /// \brief Whether a job is being stored.
  bool IsStoring(const JobId& id) const { return m_pending_jobs.contains(id); }

  /// \brief The job that is being stored under this id, until the next
  /// suspension; nullptr when there is none.
  const JobSpec* FindStoring(const JobId& id) const;

  /// \brief Writes pending rows and marks the owner's row as released, within 2
  /// s.
  asio::awaitable<void> Release();
  void Stop();

 private:
  struct PendingJob {
    explicit PendingJob(asio::io_context& context) : m_done(context) {}
    JobSpec m_spec;
    Signal m_done;
    Code m_code = Code::kOutcomeUnknown;
    bool m_is_over = false;
  };
  struct PendingPut {
    std::string m_value;
    /// Numbers of the calls of Put whose value it is or replaces.
    std::vector<std::uint64_t> m_numbers;
  };
  struct Batch {
    StoreTransaction m_change;
    std::vector<std::shared_ptr<PendingJob>> m_jobs;
    /// Number of rows of each of them.
    std::vector<std::size_t> m_job_parts;
    std::vector<scheduler::JobWrite> m_progress;
    std::vector<JobId> m_removed_jobs;
    std::map<StoreKey, PendingPut> m_puts;
    /// Bytes of all values.
    std::size_t m_bytes = 0;

    std::size_t CountItems() const {
      return m_jobs.size() + m_progress.size() + m_removed_jobs.size() +
             m_puts.size();
    }
  };
  enum class Outcome : std::uint8_t { kStored, kRejected, kNotOwner };

  Batch NextBatch();
  bool HasRoom(const Batch& batch) const;
  void AddJobs(Batch& batch);
  void AddProgress(Batch& batch);
  void AddRemovals(Batch& batch);
  void AddPuts(Batch& batch);
  void HandleStored(const Batch& batch);
  /// \brief Takes back what the store rejected, to be sent again in smaller
  /// batches, without the item that is found to be at fault.
  void HandleRejected(Batch batch);
  void DropRejectedItem(const Batch& batch);
  void SettlePut(const PendingPut& put, bool stored);
  asio::awaitable<Outcome> Write(const StoreTransaction& change);
  asio::awaitable<Outcome> ResolveConflict();
  void Finish(const std::shared_ptr<PendingJob>& job, Code code);
  void FailUnsentJobs(Code code);
  bool HasWork() const;

  asio::io_context& m_context;
  StoreClient& m_store;
  const TrafficMeter& m_traffic;
  EventLog& m_log;
  scheduler::Scheduler& m_scheduler;
  OwnerRecord m_record;
  RowVersion m_version;
  Hooks m_hooks;
  /// Minimum time between the starts of two writes; rows that arrive in between
  /// are batched.
  Duration m_write_interval;
  /// The same for the bytes of the last write on this VM's link.
  Duration m_link_interval{0};
  /// The same for the time that it took to encode the last batch.
  Duration m_encode_interval{0};
  /// Bytes of rows after which a batch takes no further row.
  std::size_t m_max_bytes;
  /// Largest value of a row, before its encoding for the store.
  std::size_t m_max_part_bytes;
  RejectionSearch m_rejections;
  /// Number of stored rows of each job, and of its progress, if there are
  /// several.
  absl::flat_hash_map<JobId, std::size_t> m_job_parts;
  absl::flat_hash_map<JobId, std::size_t> m_progress_parts;
  /// Large progress found no room in the last batch and goes first in the next.
  bool m_progress_goes_first = false;
  Signal m_work_signal;
  std::deque<std::shared_ptr<PendingJob>> m_unsent_jobs;
  absl::flat_hash_map<JobId, std::shared_ptr<PendingJob>> m_pending_jobs;
  std::deque<JobId> m_removed_jobs;
  std::map<StoreKey, PendingPut> m_puts;
  std::uint64_t m_last_put_number = 0;
  /// Numbers of the puts that are neither stored nor rejected.
  std::set<std::uint64_t> m_unsettled_puts;
  std::set<std::uint64_t> m_rejected_puts;
  Signal m_put_settled_signal;
  OwnerConfirmation m_confirmation;
  TimePoint m_write_began_at = TimePoint::min();
  bool m_is_writing = false;
  /// Whether the last write took longer than a start may be delayed.
  bool m_writes_are_slow = false;
  /// Whether the stored progress recorded all runs when the term began.
  bool m_all_recorded_at_start = false;
  bool m_running = true;
  bool m_releasing = false;
  bool m_released = false;
};

}  // namespace filbertspar
