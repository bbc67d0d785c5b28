#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "filbertspar/base/base.h"
#include "filbertspar/catalogue/catalogue.h"
#include "filbertspar/placement/src/worker.h"  // IWYU pragma: export

namespace filbertspar {

/// \brief Request and answer bodies are shared, never copied per attempt.
using Body = std::shared_ptr<const std::string>;

/// \brief A request whose key has been checked.
struct Submission {
  EntryName m_entry;
  /// Team that is charged: the key's, or the owner's for an open entry.
  TeamName m_team;
  /// Key that came with the request; empty for an open entry without a key.
  KeyName m_key;
  Body m_body;
  /// Names a non-repeatable request within its team; empty for others.
  std::string m_request_key;
  /// Time the caller is willing to wait.
  Duration m_deadline = Seconds(10);
  /// True when a peer forwarded the request; it is not forwarded again.
  bool m_forwarded = false;
  /// Id given by the peer that forwarded it, or none.
  RequestId m_forwarded_id;
};

/// \brief How one attempt ended, as the shell saw it.
enum class AttemptResult : std::uint8_t {
  /// A whole answer arrived.
  kDone,
  /// The task ran and reported a failure.
  kFailed,
  /// The worker said that it did not start the task.
  kRefused,
  /// No byte of the attempt left this process.
  kNotSent,
  /// Connection lost, timed out, or the answer was cut short or not ours.
  kLost,
  /// The worker stopped the task on our demand or because its lease lapsed.
  kStopped,
};

/// \brief End of an attempt. The shell passes on what the worker's answer
/// echoed; the engine checks that it belongs to the attempt and is complete.
struct AttemptReport {
  AttemptId m_attempt;
  AttemptResult m_result = AttemptResult::kLost;
  /// Of a lost attempt: the worker's machine closed the connection, as it does
  /// when the worker's process ends.
  bool m_worker_closed = false;
  /// Request id echoed by the worker; none when there was no answer.
  RequestId m_echoed_request;
  AttemptId m_echoed_attempt;
  /// Length of the result that the worker declared.
  std::uint64_t m_declared_length = 0;
  Body m_body;
  /// Reason given by a refusing or failing worker.
  std::string m_reason;
};

/// \brief What a worker answered when asked what became of an attempt.
enum class AttemptState : std::uint8_t {
  kUnknown,
  kRunning,
  kDone,
  kFailed,
  kStopped,
  /// The worker could not be asked.
  kUnreachable,
};

struct QueryReport {
  AttemptId m_attempt;
  AttemptState m_state = AttemptState::kUnreachable;
  Body m_body;
};

/// \brief What became of writing a claim row.
enum class ClaimResult : std::uint8_t {
  kClaimed,
  /// Another request holds the claim and has finished; its answer is given.
  kFinishedBefore,
  /// Another request holds the claim and its answer is not known yet.
  kHeldByOther,
  /// The store is down and the claim is certainly not written.
  kStoreDown,
  /// The write may have taken effect; the shell goes on settling it.
  kUnsettled,
};

struct ClaimReport {
  RequestId m_request;
  ClaimResult m_result = ClaimResult::kStoreDown;
  Code m_code = Code::kOk;
  Body m_body;
};

/// \brief What became of a forwarded request.
enum class ForwardResult : std::uint8_t {
  /// The peer answered with a code and a body.
  kAnswered,
  /// No byte of the request left for the peer.
  kNotSent,
  /// The connection was lost or timed out before the answer.
  kLost,
};

struct ForwardReport {
  RequestId m_request;
  ForwardResult m_result = ForwardResult::kLost;
  Code m_code = Code::kOk;
  Body m_body;
};

/// \brief Use and demand of one team in one pool at a peer.
struct PeerUse {
  NodeName m_peer;
  PoolName m_pool;
  TeamName m_team;
  std::int64_t m_running = 0;
  std::int64_t m_waiting = 0;
  /// Units of the team's ceiling that the peer holds and does not use.
  std::int64_t m_free_grant = 0;
};

}  // namespace filbertspar
