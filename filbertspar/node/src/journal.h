#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "filbertspar/node/src/async.h"
#include "filbertspar/node/src/owner_watch.h"
#include "filbertspar/scheduler/scheduler.h"

namespace filbertspar {

/// \brief Writes what must last: accepted jobs and their progress, in batches
/// that are conditional on the owner's row, one write at a time.
///
/// Each write rewrites the owner's row with its own number. A write without an
/// answer is repeated as it is: when it took effect before, its condition
/// fails and the row shows its number.
class Journal {
 public:
  struct Hooks {
    /// A job's row is stored.
    std::function<void(JobSpec)> m_accepted;
    /// Progress was stored.
    std::function<void()> m_stored;
    /// Another VM owns the jobs.
    std::function<void()> m_deposed;
    /// Processor of the strongest VM that could own the jobs.
    std::function<Millicores()> m_strongest;
  };

  Journal(asio::io_context& context, StoreClient& store, EventLog& log,
          scheduler::Scheduler& scheduler, OwnerWatch::WonClaim won,
          std::int64_t changes_per_s, Hooks hooks);

  /// \brief Writes until Stop or until another VM owns the jobs.
  asio::awaitable<void> Run();

  /// \brief Stores a job. kOk once its row is stored; kNotLeaseHolder when
  /// this VM no longer owns the jobs; kOutcomeUnknown after the wait;
  /// kInternal when the store will not take the row.
  asio::awaitable<Code> Accept(JobSpec spec, Duration wait);

  /// \brief Removes the rows of jobs that are forgotten.
  void Remove(const std::vector<JobId>& jobs);

  /// \brief Stores a row with the next write; a later value replaces it.
  void Put(const StoreKey& key, std::string value);

  /// \brief Stores a row; true once it is stored, false when that is not sure.
  asio::awaitable<bool> PutAndWait(const StoreKey& key, std::string value);

  /// \brief There may be something to write.
  void Kick() { m_wake.Notify(); }

  /// \brief When the last write that took effect was sent.
  TimePoint ConfirmedAt() const { return m_confirmed_at; }
  /// \brief Whether writes have not been answered for a while.
  bool IsStuck(TimePoint now) const;
  /// \brief Whether a job waits to be stored.
  bool IsAccepting(const JobId& id) const { return m_accepting.contains(id); }

  /// \brief Writes what waits and gives up the ownership.
  asio::awaitable<void> Release();
  void Stop();

 private:
  struct Accepting {
    explicit Accepting(asio::io_context& context) : m_done(context) {}
    JobSpec m_spec;
    Signal m_done;
    Code m_code = Code::kOutcomeUnknown;
    bool m_is_over = false;
  };
  struct Batch {
    StoreTransaction m_change;
    std::vector<std::shared_ptr<Accepting>> m_jobs;
    std::vector<scheduler::JobWrite> m_progress;
    /// Number of the last put that the batch holds.
    std::uint64_t m_puts = 0;
  };
  enum class Outcome : std::uint8_t { kStored, kRejected, kDeposed };

  Batch NextBatch();
  asio::awaitable<Outcome> Write(const StoreTransaction& change);
  asio::awaitable<Outcome> ReadBack(TimePoint sent);
  void Finish(const std::shared_ptr<Accepting>& job, Code code);
  void FailAll(Code code);
  bool HasWork() const;

  asio::io_context& m_context;
  StoreClient& m_store;
  EventLog& m_log;
  scheduler::Scheduler& m_scheduler;
  OwnerRecord m_record;
  RowVersion m_version;
  Hooks m_hooks;
  /// Least time between the begins of two writes; batches what comes meanwhile.
  Duration m_write_gap;
  Signal m_wake;
  std::deque<std::shared_ptr<Accepting>> m_waiting;
  absl::flat_hash_map<JobId, std::shared_ptr<Accepting>> m_accepting;
  std::deque<JobId> m_removals;
  std::map<StoreKey, std::string> m_puts;
  std::uint64_t m_last_put = 0;
  std::uint64_t m_stored_put = 0;
  Signal m_put_stored;
  TimePoint m_confirmed_at;
  TimePoint m_write_began = TimePoint::min();
  bool m_is_writing = false;
  /// Whether the last write took longer than starts should wait.
  bool m_is_slow = false;
  /// Whether the stored progress listed all runs when the term began.
  bool m_began_listed = false;
  bool m_running = true;
  bool m_releasing = false;
  bool m_released = false;
};

}  // namespace filbertspar
