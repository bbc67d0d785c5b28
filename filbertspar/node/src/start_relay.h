#pragma once

#include <optional>

#include "filbertspar/http/http.h"
#include "filbertspar/node/src/async.h"
#include "filbertspar/node/src/event_log.h"
#include "filbertspar/node/src/traffic_meter.h"
#include "filbertspar/scheduler/scheduler.h"
#include "filbertspar/wire/wire.h"

namespace filbertspar {

/// \brief The relayed form of a start, without its payload.
RelayedStart MakeRelayedStart(const StartOrder& order, const WorkerName& worker,
                              const Endpoint& endpoint);

/// \brief Sends starts for the owner, of jobs that this VM forwarded to it.
class StartRelay {
 public:
  StartRelay(HttpClient& client, TrafficMeter& traffic, EventLog& log);

  /// \brief Keeps the payload of a job that is forwarded to the owner.
  void Keep(const JobId& job, const std::string& payload) {
    KeepPayload(m_payloads, job, payload);
  }

  /// \brief Sends a start within the time in which its reply is of use.
  asio::awaitable<RelayedStartReply> Send(RelayedStart start);

 private:
  /// Opens a connection to the incarnation that the start is for unless there
  /// is one. Returns the reply to the owner when that can't be reached.
  asio::awaitable<std::optional<RelayedStartReply>> Connect(
      const RelayedStart& start, TimePoint deadline);

  HttpClient& m_client;
  TrafficMeter& m_traffic;
  EventLog& m_log;
  PayloadCache m_payloads;
};

}  // namespace filbertspar
