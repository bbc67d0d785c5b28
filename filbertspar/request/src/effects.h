#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "filbertspar/base/base.h"
#include "filbertspar/request/src/events.h"

namespace filbertspar {

/// \brief Final answer to the caller of a request; exactly one per request.
struct Reply {
  RequestId m_request;
  Code m_code = Code::kOk;
  Body m_body;
};

/// \brief Send the request to a worker.
struct StartAttempt {
  RequestId m_request;
  AttemptId m_attempt;
  VmName m_worker;
  EntryName m_entry;
  TeamName m_team;
  Body m_body;
  Resources m_resources;
  /// Lease of the task; the shell renews it while the attempt runs.
  Duration m_lease = Seconds(10);
  /// The shell reports kLost when no answer came within this time.
  Duration m_timeout = Seconds(10);
};

/// \brief Ask a worker to stop a task; its end is still reported.
struct StopAttempt {
  AttemptId m_attempt;
  VmName m_worker;
};

/// \brief Ask a worker what became of an attempt whose answer was lost.
struct QueryAttempt {
  AttemptId m_attempt;
  VmName m_worker;
};

/// \brief Insert the claim row of a non-repeatable request.
struct WriteClaim {
  RequestId m_request;
  TeamName m_team;
  std::string m_request_key;
};

/// \brief Record the answer of a claimed request in its claim row.
struct FinishClaim {
  RequestId m_request;
  TeamName m_team;
  std::string m_request_key;
  Code m_code = Code::kOk;
  Body m_body;
};

/// \brief Delete the claim of a request that certainly did not run.
struct ReleaseClaim {
  RequestId m_request;
  TeamName m_team;
  std::string m_request_key;
};

/// \brief Hand the request to a peer that has a free grant unit.
struct ForwardRequest {
  RequestId m_request;
  NodeName m_peer;
  Submission m_submission;
};

/// \brief Tell the grant library how many units a team could use here.
struct WantGrant {
  TeamName m_team;
  std::int64_t m_units = 0;
};

using Effect =
    std::variant<Reply, StartAttempt, StopAttempt, QueryAttempt, WriteClaim,
                 FinishClaim, ReleaseClaim, ForwardRequest, WantGrant>;
using Effects = std::vector<Effect>;

}  // namespace filbertspar
