#pragma once

#include <cstdint>
#include <optional>

#include "filbertspar/fleetview/fleetview.h"
#include "filbertspar/http/http.h"
#include "filbertspar/node/src/async.h"

namespace filbertspar {

/// \file
/// \brief Calls to one incarnation of a worker.
///
/// A worker may start again under its name and at its address, and no order
/// names the incarnation that it is for. Orders are sent on connections on
/// which the known incarnation has answered, which as a rule lead to no other.
/// What excludes harm where that does not hold stands in
/// filbertspar/scheduler/src/unanswered.h.

/// \brief A worker that is asked which incarnation it is.
struct WorkerTarget {
  WorkerName m_name;
  Endpoint m_endpoint;
  /// Of the owner of the jobs.
  FencingNumber m_fencing;
};

/// \brief What HttpClient calls the process of an incarnation (see
/// WorkerStatus).
PeerId PeerOf(std::int64_t incarnation);

/// \brief The peer that sent the answer to a poll.
std::optional<PeerId> IdentifyWorker(const HttpResponse& response);

/// \brief Answer to the first request on a new connection.
struct Introduction {
  CallResult m_result;
  /// When the request was sent.
  TimePoint m_sent_at{};
  /// Empty when there was no answer, or the worker refused the poll.
  std::optional<WorkerStatus> m_status;
};

/// \brief Opens a connection to whatever incarnation of the worker is at its
/// address and polls it. The poll grants no lease and acknowledges nothing, so
/// that any incarnation may get it. HttpClient keeps the connection as one to
/// the peer that answered.
asio::awaitable<Introduction> Introduce(HttpClient& client, WorkerTarget target,
                                        Duration timeout);

}  // namespace filbertspar
