#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "filbertspar/node/src/async.h"
#include "filbertspar/node/src/event_log.h"
#include "filbertspar/node/src/traffic_meter.h"
#include "filbertspar/ownership/ownership.h"
#include "filbertspar/routing/routing.h"
#include "filbertspar/wire/wire.h"

namespace filbertspar {

/// \brief Connection to the owner of the jobs, reopened when it fails or when
/// nothing is received within the silence timeout.
class LinkClient {
 public:
  /// Sends a start for the owner.
  using StartHandler =
      std::function<asio::awaitable<RelayedStartReply>(RelayedStart)>;

  LinkClient(asio::io_context& context, EventLog& log, TrafficMeter& traffic,
             Hello self, StartHandler starts);
  ~LinkClient();
  LinkClient(const LinkClient&) = delete;
  LinkClient& operator=(const LinkClient&) = delete;

  /// \brief Sets the callback for changes of the link's health.
  void SetHealthCallback(std::function<void(LinkHealth)> changed);
  /// \brief Sets the callback for answers to pings: the incarnation that
  /// answered, and when the ping was sent.
  void SetAnswerCallback(
      std::function<void(std::uint64_t incarnation, TimePoint sent)> answered);
  /// \brief Sets the function that fills each ping with the status of this VM.
  void SetPingSource(std::function<LinkPing()> describe);

  /// \brief Connects to this owner, or disconnects when there is none.
  void SetOwner(const std::optional<OwnerRecord>& owner);

  /// \brief Whether the owner has answered on this connection.
  bool IsReady() const;
  /// \brief Whether the owner wants jobs to be offered before they are
  /// submitted.
  bool ShouldOfferJobs() const;

  /// \brief Result of a call forwarded to the owner.
  struct Result {
    /// Empty when no reply came; the call may still have taken effect.
    std::optional<JobReply> m_reply;
    /// Whether the call was sent at all.
    bool m_sent = false;
  };
  /// \brief Forwards a call that this VM received at `received_at`.
  asio::awaitable<Result> Call(JobCall call, TimePoint received_at,
                               Duration timeout);

 private:
  struct State;
  std::shared_ptr<State> m_state;
};

}  // namespace filbertspar
