#pragma once

#include "filbertspar/membership/src/core.h"

namespace filbertspar::internal {

/// A link is kept this long without either side planning it, so that a
/// contact can exchange tables before it closes.
inline constexpr Duration kUnplannedLinkAge = Seconds(3);

Member* Find(Membership& state, const VmName& vm);

MemberUpdate UpdateOf(const Member& member);

bool IsPresent(const Member& member);

/// Interval of this node's heartbeats on the link.
Duration IntervalOf(const Membership& state, const LinkState& link);

/// Time without a heartbeat after which the link is silent.
Duration SilenceLimit(const Membership& state, const LinkState& link);

LinkState& EnsureLink(Membership& state, TimePoint now, Member& member);

void RemoveLink(Membership& state, Member& member, MembershipEffects& effects);

/// Takes a report into the table if it is newer, and passes it on to all
/// links but that of `source`.
void ApplyUpdate(Membership& state, TimePoint now, const MemberUpdate& update,
                 const VmName& source, MembershipEffects& effects);

/// Reports `vm` in the next heartbeat of every link but that of `source`.
void Spread(Membership& state, TimePoint now, const VmName& vm,
            const VmName& source);

Heartbeat MakeHeartbeat(Membership& state, TimePoint now, const Member& peer);

/// The whole table, for a peer whose table differs.
std::vector<MemberUpdate> WholeTable(const Membership& state);

void Replan(Membership& state, TimePoint now, MembershipEffects& effects);

void StartSuspicion(Membership& state, TimePoint now, Member& member,
                    MembershipEffects& effects);

void EndSuspicion(Membership& state, Member& member,
                  MembershipEffects& effects);

void StepSuspicion(Membership& state, TimePoint now, Member& member,
                   MembershipEffects& effects);

/// Answer of an observer, or of the suspect itself when `reply` has no subject.
void SuspicionAnswered(Membership& state, TimePoint now, Member& member,
                       const ProbeReply& reply, MembershipEffects& effects);

void AnswerProbe(Membership& state, TimePoint now, const MessageSource& source,
                 const Probe& probe, MembershipEffects& effects);

void ExpireQuestions(Membership& state, TimePoint now,
                     MembershipEffects& effects);

/// Digests for a heartbeat to `peer`.
std::vector<ZoneDigest> DigestsFor(Membership& state, TimePoint now,
                                   const Member& peer);

void TakeDigests(Membership& state, TimePoint now, const Member& peer,
                 const Heartbeat& heartbeat);

}  // namespace filbertspar::internal
