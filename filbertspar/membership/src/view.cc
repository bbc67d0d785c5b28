#include "filbertspar/membership/src/view.h"

#include <algorithm>

#include "filbertspar/membership/src/internal.h"

namespace filbertspar {
namespace {

std::size_t KnownIn(const Membership& state, const ZoneName& zone) {
  const auto known = state.m_known_in.find(zone);
  return known == state.m_known_in.end() ? 0 : known->second;
}

/// True unless the digest only says what a heartbeat without digest says.
bool Deviates(const Membership& state, const ZoneDigest& digest) {
  return digest.m_oldest != digest.m_newest ||
         digest.m_newest != state.m_version || !digest.m_reaches_store ||
         !digest.m_complete;
}

}  // namespace

std::vector<MemberUpdate> LiveMembers(const Membership& state) {
  std::vector<MemberUpdate> live;
  for (const auto& [vm, member] : state.m_members) {
    if (member.m_state == MemberState::kLive) {
      live.push_back(internal::UpdateOf(member));
    }
  }
  return live;
}

bool IsUsable(const Membership& state, const NodeName& node) {
  const auto found = state.m_members.find(VmOf(node));
  return found != state.m_members.end() && found->second.m_node == node &&
         found->second.m_state == MemberState::kLive &&
         found->second.m_reachable;
}

ZoneDigest OwnZoneDigest(const Membership& state, TimePoint now) {
  ZoneDigest digest;
  digest.m_zone = state.m_self.m_zone;
  digest.m_live = 1;
  digest.m_oldest = digest.m_newest = state.m_version;
  digest.m_reaches_store = state.m_reaches_store;
  // A change of the table that is not planned for yet may add nodes.
  digest.m_complete = !state.m_plan_due;
  for (const VmName& vm : state.m_zone_peers) {
    const auto found = state.m_members.find(vm);
    if (found == state.m_members.end()) {
      continue;
    }
    const Member& member = found->second;
    if (!internal::IsPresent(member) || !member.m_reachable ||
        member.m_suspicion.has_value() || !member.m_reported.has_value()) {
      digest.m_complete = false;
      continue;
    }
    ++digest.m_live;
    digest.m_oldest = std::min(digest.m_oldest, member.m_version);
    digest.m_newest = std::max(digest.m_newest, member.m_version);
    digest.m_reaches_store |= member.m_reaches_store;
    digest.m_age = std::max(digest.m_age, now - *member.m_reported);
  }
  return digest;
}

std::vector<ZoneDigest> ZoneDigests(const Membership& state, TimePoint now) {
  std::vector<ZoneDigest> digests = {OwnZoneDigest(state, now)};
  for (const auto& [zone, report] : state.m_zones) {
    digests.push_back(report.m_digest);
    digests.back().m_age = now - report.m_as_of;
  }
  return digests;
}

std::optional<TimePoint> NoStoreAnywhereAt(const Membership& state,
                                           TimePoint now) {
  const ZoneDigest own = OwnZoneDigest(state, now);
  if (own.m_reaches_store || !own.m_complete) {
    return std::nullopt;
  }
  TimePoint at = now - own.m_age;
  for (const auto& [vm, member] : state.m_members) {
    if (member.m_state == MemberState::kLeft) {
      continue;
    }
    if (!internal::IsPresent(member) || !member.m_reachable ||
        member.m_suspicion.has_value()) {
      return std::nullopt;
    }
    if (member.m_zone == state.m_self.m_zone) {
      continue;
    }
    const auto report = state.m_zones.find(member.m_zone);
    if (report == state.m_zones.end()) {
      return std::nullopt;
    }
    const ZoneDigest& digest = report->second.m_digest;
    // A zone that does not count a node known here cannot speak for it.
    if (digest.m_reaches_store || !digest.m_complete ||
        digest.m_live < KnownIn(state, member.m_zone)) {
      return std::nullopt;
    }
    at = std::min(at, report->second.m_as_of);
  }
  return at;
}

namespace internal {

std::vector<ZoneDigest> DigestsFor(Membership& state, TimePoint now,
                                   const Member& peer) {
  std::vector<ZoneDigest> digests;
  if (peer.m_zone != state.m_self.m_zone) {
    ZoneDigest own = OwnZoneDigest(state, now);
    if (Deviates(state, own)) {
      digests.push_back(std::move(own));
    }
    return digests;
  }
  // Within the zone a node passes on what its own links to other zones say:
  // what deviates always, the rest in turn.
  std::vector<const ZoneReport*> plain;
  for (const VmName& vm : state.m_active) {
    const Member& member = state.m_members.at(vm);
    const auto report = state.m_zones.find(member.m_zone);
    if (member.m_zone == state.m_self.m_zone || !member.m_reported ||
        report == state.m_zones.end() ||
        std::any_of(digests.begin(), digests.end(), [&](const auto& each) {
          return each.m_zone == member.m_zone;
        })) {
      continue;
    }
    if (Deviates(state, report->second.m_digest)) {
      digests.push_back(report->second.m_digest);
      digests.back().m_age = now - report->second.m_as_of;
    } else {
      plain.push_back(&report->second);
    }
  }
  if (!plain.empty()) {
    const ZoneReport& report = *plain[state.m_rotation++ % plain.size()];
    digests.push_back(report.m_digest);
    digests.back().m_age = now - report.m_as_of;
  }
  return digests;
}

void TakeDigests(Membership& state, TimePoint now, const Member& peer,
                 const Heartbeat& heartbeat) {
  bool own_zone_reported = false;
  for (const ZoneDigest& digest : heartbeat.m_zones) {
    own_zone_reported |= digest.m_zone == peer.m_zone;
    if (digest.m_zone == state.m_self.m_zone || digest.m_zone.Empty()) {
      continue;
    }
    ZoneReport& report = state.m_zones[digest.m_zone];
    const TimePoint as_of = now - digest.m_age;
    if (as_of >= report.m_as_of) {
      report = {digest, as_of};
    }
  }
  if (peer.m_zone != state.m_self.m_zone && !own_zone_reported) {
    ZoneDigest digest;
    digest.m_zone = peer.m_zone;
    digest.m_live = static_cast<std::uint32_t>(KnownIn(state, peer.m_zone));
    digest.m_oldest = digest.m_newest = heartbeat.m_config_version;
    digest.m_reaches_store = true;
    digest.m_complete = true;
    state.m_zones[peer.m_zone] = {std::move(digest), now};
  }
}

}  // namespace internal
}  // namespace filbertspar
