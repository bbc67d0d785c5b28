#pragma once

#include <functional>
#include <string>

#include "filbertspar/node/src/async.h"
#include "filbertspar/node/src/event_log.h"
#include "filbertspar/node/src/store_client.h"
#include "filbertspar/ownership/ownership.h"

namespace filbertspar {

/// \brief Rows of the jobs, all in one part, so that each change can be
/// conditional on the owner's row.
namespace job_table {
inline constexpr const char* kOwner = "filbertspar_owner";
inline constexpr const char* kJobs = "filbertspar_jobs";
inline constexpr const char* kProgress = "filbertspar_progress";
inline constexpr const char* kPartition = "0";
inline constexpr const char* kOwnerKey = "owner";
}  // namespace job_table

StoreKey OwnerRowKey();

/// \brief Follows the owner's row and claims it when its holder is gone.
class OwnerWatch {
 public:
  /// \brief Ownership that was won, with the version of its row.
  struct WonClaim {
    OwnerRecord m_record;
    RowVersion m_version;
    /// The holder before wrote nothing after this time.
    TimePoint m_previous_silent_since{};
    /// Whether the stored progress lists every run that may go on.
    bool m_all_runs_recorded = false;
  };

  OwnerWatch(asio::io_context& context, StoreClient& store, EventLog& log,
             Candidate self, OwnerRecord mine);

  /// \brief Begins to follow. `won` is called when this process became the
  /// owner; it stays so until Resigned is called.
  void Start(std::function<void(WonClaim)> won);

  /// \brief This process is no longer the owner.
  void Resigned();
  /// \brief Whether this process may claim; a stopping one may not.
  void SetWilling(bool willing) { m_willing = willing; }
  bool IsWilling() const { return m_willing; }

  void LinkChanged(LinkHealth health);

  /// \brief The owner as last read, unless that is this process.
  const OwnerView& View() const { return m_view; }
  bool IsOwner() const { return m_is_owner; }

  /// \brief Woken whenever the view changed.
  Signal& Changed() { return m_changed; }

 private:
  asio::awaitable<void> Follow();
  asio::awaitable<void> ReadRow();
  asio::awaitable<void> Claim();
  void TakeView(const std::optional<OwnerRecord>& record, RowVersion version,
                TimePoint sent);

  asio::io_context& m_context;
  StoreClient& m_store;
  EventLog& m_log;
  Candidate m_self;
  OwnerRecord m_mine;
  std::function<void(WonClaim)> m_won;
  OwnerView m_view;
  Signal m_changed;
  Signal m_wake;
  bool m_is_owner = false;
  bool m_willing = true;
};

}  // namespace filbertspar
