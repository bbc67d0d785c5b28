#include "filbertspar/wire/src/session.h"

#include <string>
#include <utility>
#include <variant>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace filbertspar {
namespace {

constexpr std::uint32_t kProtocol = 1;

absl::Status Refuse(absl::string_view reason) {
  return Error(Code::kPeerUnknown, absl::StrCat("wire: ", reason));
}

}  // namespace

std::uint64_t MakeIncarnation(std::int64_t unix_ms, std::uint64_t random) {
  constexpr int kRandomBits = 24;
  constexpr std::int64_t kTickMs = 10;
  return (static_cast<std::uint64_t>(unix_ms / kTickMs) << kRandomBits) |
         (random & ((std::uint64_t{1} << kRandomBits) - 1));
}

NodeName MakeNodeName(const VmName& vm, std::uint64_t incarnation) {
  return NodeName(absl::StrCat(vm.Value(), "#", incarnation));
}

VmName VmOf(const NodeName& node) {
  return VmName(node.Value().substr(0, node.Value().rfind('#')));
}

std::uint64_t IncarnationOf(const NodeName& node) {
  const std::size_t mark = node.Value().rfind('#');
  std::uint64_t incarnation = 0;
  if (mark == std::string::npos ||
      !absl::SimpleAtoi(node.Value().substr(mark + 1), &incarnation)) {
    return 0;
  }
  return incarnation;
}

Session::Session(Hello self, bool initiator)
    : m_self(std::move(self)), m_initiator(initiator) {
  FS_ASSERT(m_self.m_nonce != 0, "a session nonce is not 0");
  m_self.m_protocol = kProtocol;
}

bool Session::CanSendHello() const {
  return !m_sent_hello && (m_initiator || m_peer.has_value());
}

Envelope Session::WrapHello() {
  FS_ASSERT(CanSendHello(), "a stranger gets no Hello");
  m_sent_hello = true;
  const std::uint64_t session = m_peer ? m_peer->m_nonce : 0;
  return {session, m_next_sent++, m_self};
}

Envelope Session::Wrap(Message message) {
  FS_ASSERT(CanSend(), "messages follow the Hello of both sides");
  return {m_peer->m_nonce, m_next_sent++, std::move(message)};
}

absl::Status Session::AcceptHello(const Envelope& envelope,
                                  const Hello& hello) {
  if (m_peer.has_value()) {
    return Refuse("second Hello");
  }
  // The two directions expect different session values, so that the Hello of
  // an accepting side is of no use to one that attacks another accepting side.
  if (envelope.m_session != (m_initiator ? m_self.m_nonce : 0)) {
    return Refuse("Hello of another connection");
  }
  if (hello.m_node.Empty() || hello.m_nonce == 0 ||
      hello.m_protocol != kProtocol) {
    return Refuse("incomplete Hello");
  }
  if (VmOf(hello.m_node) == VmOf(m_self.m_node)) {
    return Refuse("Hello of this VM");
  }
  if (!hello.m_to.Empty() && hello.m_to != VmOf(m_self.m_node)) {
    return Refuse("Hello for another VM");
  }
  if (m_initiator && !m_self.m_to.Empty() &&
      VmOf(hello.m_node) != m_self.m_to) {
    return Refuse("another VM answered");
  }
  m_peer = hello;
  m_established = m_initiator;
  return absl::OkStatus();
}

absl::Status Session::Accept(const Envelope& envelope) {
  if (envelope.m_sequence != m_next_received) {
    return Refuse("frame repeated or missing");
  }
  ++m_next_received;
  if (const auto* hello = std::get_if<Hello>(&envelope.m_message)) {
    return AcceptHello(envelope, *hello);
  }
  if (!m_peer.has_value() || envelope.m_session != m_self.m_nonce) {
    return Refuse("frame of another connection");
  }
  m_established = true;
  return absl::OkStatus();
}

}  // namespace filbertspar
