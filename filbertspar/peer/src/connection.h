#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "boost/asio/ip/tcp.hpp"
#include "boost/asio/steady_timer.hpp"
#include "filbertspar/wire/wire.h"

namespace filbertspar {

namespace asio = boost::asio;

/// \brief Bytes waiting to be sent on one connection; beyond it messages are
/// dropped and counted. One largest frame fits.
inline constexpr std::size_t kMaxQueuedBytes = std::size_t{8} << 20;
/// \brief Time from connecting or accepting to the peer's Hello.
inline constexpr Duration kHelloTimeout = Seconds(3);

struct PeerCounters {
  std::uint64_t m_accepted = 0;
  std::uint64_t m_connected = 0;
  /// Connections closed because of a bad frame, a stranger or a replay.
  std::uint64_t m_refused = 0;
  std::uint64_t m_dropped_messages = 0;
  std::uint64_t m_too_many_connections = 0;
};

/// \brief One TCP connection with a peer: handshake, frames, bounded sending.
/// Runs on one thread.
class PeerConnection : public std::enable_shared_from_this<PeerConnection> {
 public:
  struct Handlers {
    /// Both Hellos passed; messages may be sent.
    std::function<void(PeerConnection&)> m_ready;
    std::function<void(PeerConnection&, Message)> m_message;
    /// Called once, unless Close was called first.
    std::function<void(PeerConnection&)> m_closed;
  };

  PeerConnection(std::uint64_t id, asio::ip::tcp::socket socket, Hello self,
                 bool initiator, std::shared_ptr<const Secrets> secrets,
                 PeerCounters& counters, Handlers handlers);

  void Connect(const Endpoint& endpoint);
  /// \brief Starts reading on an accepted socket.
  void Accept();
  /// \brief False when the message was dropped: no session or queue full.
  bool Send(const Message& message);
  /// \brief Closes without calling m_closed.
  void Close();
  /// \brief For tests: stays open but passes nothing in either direction.
  void Mute() { m_mute = true; }

  std::uint64_t Id() const { return m_id; }
  const std::optional<Hello>& Peer() const { return m_session.Peer(); }
  bool IsReady() const { return !m_closed && m_session.CanSend(); }
  TimePoint LastReceived() const { return m_last_received; }

 private:
  void Read();
  void Received(std::size_t size);
  /// False when the connection was closed.
  bool Handle(const Envelope& envelope);
  void Write(const Envelope& envelope);
  void Flush();
  void Fail(bool refused);

  std::uint64_t m_id;
  asio::ip::tcp::socket m_socket;
  asio::steady_timer m_hello_timer;
  Session m_session;
  bool m_initiator;
  std::shared_ptr<const Secrets> m_secrets;
  FrameDecoder m_decoder;
  PeerCounters& m_counters;
  Handlers m_handlers;
  std::array<char, 16384> m_buffer{};
  std::deque<std::string> m_queue;
  std::size_t m_queued_bytes = 0;
  bool m_writing = false;
  bool m_mute = false;
  bool m_closed = false;
  TimePoint m_last_received{};
};

}  // namespace filbertspar
