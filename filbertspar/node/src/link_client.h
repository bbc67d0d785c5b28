#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "filbertspar/node/src/async.h"
#include "filbertspar/node/src/event_log.h"
#include "filbertspar/ownership/ownership.h"
#include "filbertspar/wire/wire.h"

namespace filbertspar {

/// \brief One link to the owner of the jobs, opened again when it breaks or
/// goes silent.
class LinkClient {
 public:
  LinkClient(asio::io_context& context, EventLog& log, Hello self);
  ~LinkClient();
  LinkClient(const LinkClient&) = delete;
  LinkClient& operator=(const LinkClient&) = delete;

  /// \brief Called whenever the link's health changes.
  void OnHealth(std::function<void(LinkHealth)> changed);
  /// \brief Gives what the owner is told of this VM with each ping.
  void DescribeSelf(std::function<LinkPing()> describe);

  /// \brief Links to this owner, or to none.
  void SetOwner(const std::optional<OwnerRecord>& owner);

  bool IsReady() const;

  /// \brief Result of a call that was passed on.
  struct Result {
    /// Nothing when no answer came; the call may have had its effect.
    std::optional<JobReply> m_reply;
    /// Whether the call was sent at all.
    bool m_sent = false;
  };
  asio::awaitable<Result> Call(JobCall call, Duration timeout);

 private:
  struct State;
  std::shared_ptr<State> m_state;
};

}  // namespace filbertspar
