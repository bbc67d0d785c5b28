#pragma once

#include <cstdint>
#include <variant>
#include <vector>

#include "filbertspar/wire/wire.h"

namespace filbertspar {

/// \brief Keep a connection to the peer; either side may have opened it.
struct OpenLink {
  VmName m_vm;
  Endpoint m_endpoint;
};

/// \brief No connection to the peer is needed any more, or it is broken.
struct CloseLink {
  VmName m_vm;
};

/// \brief Send on the connection in use with the peer; dropped without one.
struct SendTo {
  VmName m_vm;
  Message m_message;
};

/// \brief Open a new connection to the VM and send the probe on it. The answer
/// comes back as ProbeAnswered; the core keeps the time.
struct OpenProbe {
  VmName m_vm;
  Endpoint m_endpoint;
  Probe m_probe;
};

/// \brief The probe's connection replaces the one in use with the VM.
struct AdoptProbe {
  VmName m_vm;
  std::uint64_t m_number = 0;
};

/// \brief Close the probe's connection.
struct DropProbe {
  std::uint64_t m_number = 0;
};

/// \brief Answer a probe on the connection on which it came.
struct ReplyProbe {
  std::uint64_t m_connection = 0;
  ProbeReply m_reply;
};

/// \brief A node became live, leaving, dead or left in this node's view.
struct MemberChanged {
  MemberUpdate m_update;
};

using MembershipEffect =
    std::variant<OpenLink, CloseLink, SendTo, OpenProbe, AdoptProbe, DropProbe,
                 ReplyProbe, MemberChanged>;
using MembershipEffects = std::vector<MembershipEffect>;

}  // namespace filbertspar
