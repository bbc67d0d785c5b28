#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "filbertspar/node/src/async.h"
#include "filbertspar/node/src/event_log.h"
#include "filbertspar/settings/settings.h"
#include "filbertspar/wire/wire.h"

namespace filbertspar {

/// \brief State of another VM that forwards calls to this one.
struct LinkPeer {
  bool m_connected = false;
  TimePoint m_last_ping_at = TimePoint::min();
  /// Time since the VM last reached the store, as of its last ping.
  Duration m_store_age{0};
  Millicores m_cpu_capacity;
  bool m_willing = false;
  /// When its last link was closed.
  TimePoint m_disconnected_at = TimePoint::min();
};

/// \brief Accepts links from other VMs and answers the calls they forward.
class LinkServer {
 public:
  using Handler = std::function<asio::awaitable<JobReply>(JobCall)>;

  LinkServer(asio::io_context& context, EventLog& log, Hello self,
             std::string secret);
  ~LinkServer();
  LinkServer(const LinkServer&) = delete;
  LinkServer& operator=(const LinkServer&) = delete;

  absl::Status Listen(const Endpoint& endpoint);
  /// \brief Passes calls to `handler`; without one, new links are refused.
  /// `confirmed` tells in each pong whether this VM is confirmed as the owner.
  void SetHandler(Handler handler, std::function<bool()> confirmed);
  /// \brief Closes all links and refuses new ones.
  void Disable();

  const std::map<VmName, LinkPeer>& Peers() const;
  void RemovePeer(const VmName& vm);

 private:
  struct State;
  std::shared_ptr<State> m_state;
};

}  // namespace filbertspar
