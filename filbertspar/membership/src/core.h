#pragma once

#include <cstdint>
#include <vector>

#include "filbertspar/membership/src/effects.h"
#include "filbertspar/membership/src/state.h"

namespace filbertspar {

/// \brief Where a message came from; the Hello of its connection says who.
struct MessageSource {
  /// Names the connection in ReplyProbe.
  std::uint64_t m_connection = 0;
  NodeName m_node;
  ZoneName m_zone;
  Endpoint m_endpoint;
};

/// \brief A heartbeat or probe arrived; other messages are ignored.
void Heard(Membership& state, TimePoint now, const MessageSource& source,
           const Message& message, MembershipEffects& effects);

/// \brief The answer to an OpenProbe arrived.
void ProbeAnswered(Membership& state, TimePoint now,
                   const MessageSource& source, const ProbeReply& reply,
                   MembershipEffects& effects);

/// \brief The connection in use with a peer was closed or reset by the other
/// side: the peer is checked at once instead of after its silence.
void LinkBroken(Membership& state, TimePoint now, const VmName& vm,
                MembershipEffects& effects);

/// \brief What this node reports of itself; a change is sent at once.
void SetStatus(Membership& state, TimePoint now, ConfigVersion version,
               bool reaches_store, MembershipEffects& effects);

/// \brief Announces that this node leaves.
void Leave(Membership& state, TimePoint now, MembershipEffects& effects);

/// \brief The platform's lagging list of VMs: says whom to try and which dead
/// nodes may be forgotten.
void SetListed(Membership& state, TimePoint now,
               const std::vector<ListedVm>& listed);

/// \brief Sends what is due and checks silences. Call at NextTick.
void Tick(Membership& state, TimePoint now, MembershipEffects& effects);

/// \brief Time of the next Tick that has something to do.
TimePoint NextTick(const Membership& state);

}  // namespace filbertspar
