#pragma once

#include <cstdint>
#include <optional>

#include "absl/status/status.h"
#include "filbertspar/wire/src/messages.h"

namespace filbertspar {

/// \brief Incarnation of a process that starts at this Unix time: above those
/// of the VM's earlier processes, since peers ignore lower ones, and below
/// 2^63. `random` keeps processes apart that start at one moment.
std::uint64_t MakeIncarnation(std::int64_t unix_ms, std::uint64_t random);
/// \brief "vm#incarnation".
NodeName MakeNodeName(const VmName& vm, std::uint64_t incarnation);
/// \brief Part of a node name before the last '#'; the whole without one.
VmName VmOf(const NodeName& node);
/// \brief Number after the last '#'; 0 when there is none.
std::uint64_t IncarnationOf(const NodeName& node);

/// \brief One connection's protection against replay and reflection.
///
/// Each side opens with a Hello that carries a fresh random nonce, and every
/// other frame carries the receiver's nonce and the next sequence number.
/// Frames recorded on another connection, repeated, reordered or left out
/// within one, or sent back to their sender are refused. The MAC covers all of
/// these fields. Payloads are not encrypted: an observer can read them.
class Session {
 public:
  /// \brief `self.m_nonce` must be fresh and random, and not 0. The initiator
  /// names in `self.m_to` the VM it connects to.
  Session(Hello self, bool initiator);

  /// \brief Whether this side may send its Hello: the initiator at once, the
  /// other side only after an authentic Hello arrived.
  bool CanSendHello() const;
  Envelope WrapHello();
  /// \brief Whether other messages may be sent.
  bool CanSend() const { return m_sent_hello && m_peer.has_value(); }
  Envelope Wrap(Message message);

  /// \brief Checks an incoming frame; kPeerUnknown closes the connection.
  absl::Status Accept(const Envelope& envelope);

  /// \brief The peer's Hello once it arrived.
  const std::optional<Hello>& Peer() const { return m_peer; }
  /// \brief True once the peer proved that it is connected now: a frame with
  /// this side's nonce arrived.
  bool Established() const { return m_established; }

 private:
  absl::Status AcceptHello(const Envelope& envelope, const Hello& hello);

  Hello m_self;
  bool m_initiator;
  bool m_sent_hello = false;
  bool m_established = false;
  std::uint64_t m_next_sent = 0;
  std::uint64_t m_next_received = 0;
  std::optional<Hello> m_peer;
};

}  // namespace filbertspar
