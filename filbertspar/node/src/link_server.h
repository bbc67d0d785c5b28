#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "filbertspar/node/src/async.h"
#include "filbertspar/node/src/event_log.h"
#include "filbertspar/node/src/traffic_meter.h"
#include "filbertspar/ownership/ownership.h"
#include "filbertspar/settings/settings.h"
#include "filbertspar/wire/wire.h"

namespace filbertspar {

/// \brief State of another VM that forwards calls to this one.
struct LinkPeer {
  /// The process of which the other fields are known.
  std::uint64_t m_incarnation = 0;
  bool m_connected = false;
  TimePoint m_last_ping_at = TimePoint::min();
  /// Time since the VM last reached the store, as of its last ping.
  Duration m_store_age{0};
  /// Earliest time at which it may have sent that ping; min() when not known.
  TimePoint m_stated_at = TimePoint::min();
  Millicores m_cpu_capacity;
  bool m_willing = false;
  /// Whether it can be asked to send starts to one incarnation of a worker.
  bool m_relays_starts = false;
  /// When its last link was closed.
  TimePoint m_disconnected_at = TimePoint::min();
};

/// \brief Accepts links from other VMs and answers the calls they forward.
class LinkServer {
 public:
  /// Answers a call that another VM forwarded.
  using Handler =
      std::function<asio::awaitable<JobReply>(const VmName& from, JobCall)>;

  LinkServer(asio::io_context& context, EventLog& log, TrafficMeter& traffic,
             Hello self, std::string secret);
  ~LinkServer();
  LinkServer(const LinkServer&) = delete;
  LinkServer& operator=(const LinkServer&) = delete;

  absl::Status Listen(const Endpoint& endpoint);
  /// \brief Passes calls to `handler`; without one, new links are refused.
  /// `confirmed` tells in each pong whether this VM is confirmed as the owner.
  void SetHandler(Handler handler, std::function<bool()> confirmed);
  /// \brief Closes all links and refuses new ones.
  void Disable();

  /// \brief Whether a VM is linked, answers and can be asked to send starts.
  bool CanRelay(const VmName& vm) const;
  /// \brief The VM that can be asked and sends the fewest starts now; empty
  /// when there is none.
  VmName LeastBusyRelay() const;
  /// \brief Asks a VM to send a start. Empty: no reply within the wait; the
  /// start may have been sent.
  asio::awaitable<std::optional<RelayedStartReply>> Relay(VmName vm,
                                                          RelayedStart start);

  const std::map<VmName, LinkPeer>& Peers() const;
  std::vector<PeerStatement> Statements() const;
  void RemovePeer(const VmName& vm);

 private:
  struct State;
  std::shared_ptr<State> m_state;
};

}  // namespace filbertspar
