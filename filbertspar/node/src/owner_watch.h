#pragma once

#include <functional>
#include <string>

#include "filbertspar/node/src/async.h"
#include "filbertspar/node/src/event_log.h"
#include "filbertspar/node/src/store_client.h"
#include "filbertspar/ownership/ownership.h"

namespace filbertspar {

/// \brief Tables of the jobs, all in one partition, so that each transaction
/// can be conditional on the owner's row.
namespace job_table {
inline constexpr const char* kOwner = "filbertspar_owner";
inline constexpr const char* kJobs = "filbertspar_jobs";
inline constexpr const char* kProgress = "filbertspar_progress";
inline constexpr const char* kPartition = "0";
inline constexpr const char* kOwnerKey = "owner";
inline constexpr const char* kSoleTermKey = "sole";
}  // namespace job_table

StoreKey OwnerRowKey();
/// \brief Key of the row which states that no owner before a term can send
/// orders any more.
StoreKey SoleTermRowKey();

/// \brief Watches the owner's row and claims the ownership when the owner has
/// failed or released it.
class OwnerWatch {
 public:
  OwnerWatch(asio::io_context& context, StoreClient& store, EventLog& log,
             Candidate self, OwnerRecord own_record);

  /// \brief Starts to watch the row. `won` is called when this process has
  /// become the owner, which it remains until HandleOwnershipLost is called.
  void Start(std::function<void(WonClaim)> won);

  /// \brief To be called when this process is no longer the owner; watching
  /// resumes.
  void HandleOwnershipLost();
  /// \brief Whether this process may claim the ownership; a process that is
  /// stopping may not.
  void SetWilling(bool willing) { m_willing = willing; }
  bool IsWilling() const { return m_willing; }

  void UpdateLinkHealth(LinkHealth health);
  /// \brief To be called when the process that owns the jobs answered a ping.
  void HandlePingAnswered(std::uint64_t incarnation, TimePoint ping_sent_at);

  /// \brief The owner as last read, unless that is this process.
  const OwnerView& View() const { return m_view; }
  bool IsOwner() const { return m_is_owner; }

  /// \brief Notified whenever the view changes.
  Signal& Changed() { return m_changed; }

 private:
  asio::awaitable<void> Follow();
  asio::awaitable<void> ReadOwnerRow();
  asio::awaitable<void> Claim();
  void BeginTerm(RowVersion version, bool is_answered);
  /// \brief Begins the term of a claim whose answer was lost, if there is one.
  void BeginUnansweredTerm();
  void UpdateView(const std::optional<OwnerRecord>& record, RowVersion version,
                  TimePoint sent);

  asio::io_context& m_context;
  StoreClient& m_store;
  EventLog& m_log;
  Candidate m_self;
  OwnerRecord m_own_record;
  std::function<void(WonClaim)> m_on_claim_won;
  OwnerView m_view;
  Signal m_changed;
  Signal m_wake;
  bool m_is_owner = false;
  ClaimAttempt m_last_claim;
  /// The claim of the last term that this process has begun.
  WonClaim m_last_won;
  bool m_willing = true;
};

}  // namespace filbertspar
