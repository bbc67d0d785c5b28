#include <algorithm>
#include <tuple>

#include "filbertspar/membership/src/internal.h"
#include "xxhash.h"

namespace filbertspar::internal {
namespace {

auto Precedence(const MemberUpdate& update) {
  return std::make_tuple(IncarnationOf(update.m_node), update.m_round,
                         update.m_state);
}

std::uint64_t HashOf(const MemberUpdate& update) {
  const std::string& name = update.m_node.Value();
  return XXH64(name.data(), name.size(),
               std::uint64_t{4} * update.m_round +
                   static_cast<std::uint64_t>(update.m_state));
}

/// This node was reported dead or left: a higher round contradicts.
void Contradict(Membership& state, TimePoint now, const MemberUpdate& update) {
  if (update.m_node != state.m_self.m_node ||
      update.m_state <= state.m_self.m_state ||
      update.m_round < state.m_self.m_round) {
    return;
  }
  state.m_self.m_round = update.m_round + 1;
  state.m_plan_due = true;
  ++state.m_counters.m_own_death_contradicted;
  Spread(state, now, VmOf(state.m_self.m_node), VmName());
}

/// True when a heartbeat arrived within the time for which the probes of
/// those who declared the node dead went without an answer.
bool IsHeard(const Membership& state, TimePoint now, const Member& member) {
  return member.m_link.has_value() && member.m_reported.has_value() &&
         now - *member.m_reported < state.m_options.m_confirm;
}

}  // namespace

Member* Find(Membership& state, const VmName& vm) {
  const auto found = state.m_members.find(vm);
  return found == state.m_members.end() ? nullptr : &found->second;
}

MemberUpdate UpdateOf(const Member& member) {
  return {member.m_node, member.m_zone, member.m_endpoint, member.m_state,
          member.m_round};
}

bool IsPresent(const Member& member) {
  return member.m_state <= MemberState::kLeaving;
}

Duration IntervalOf(const Membership& state, const LinkState& link) {
  const MembershipOptions& options = state.m_options;
  if (!link.m_planned) {
    return link.m_promised > Duration{0} ? link.m_promised
                                         : options.m_zone_interval;
  }
  if (link.m_duty == LinkDuty::kWatch) {
    return options.m_watch_interval;
  }
  const bool in_zone = link.m_duty == LinkDuty::kZone;
  const std::size_t links =
      std::max(in_zone ? state.m_zone_links : state.m_cross_links,
               options.m_links_at_interval);
  const Duration interval = !state.m_reaches_store ? options.m_outage_interval
                            : in_zone              ? options.m_zone_interval
                                                   : options.m_cross_interval;
  return interval * static_cast<std::int64_t>(links) /
         static_cast<std::int64_t>(options.m_links_at_interval);
}

Duration SilenceLimit(const Membership& state, const LinkState& link) {
  const Duration interval =
      link.m_promised > Duration{0} ? link.m_promised : IntervalOf(state, link);
  return state.m_options.m_silent_intervals *
         std::max(interval, state.m_options.m_watch_interval);
}

LinkState& EnsureLink(Membership& state, TimePoint now, Member& member) {
  if (!member.m_link.has_value()) {
    LinkState link;
    link.m_planned = false;
    link.m_opened = link.m_heard = link.m_next_send = now;
    link.m_last_sync = now - state.m_options.m_sync_interval;
    member.m_link = std::move(link);
    state.m_active.insert(VmOf(member.m_node));
  }
  return *member.m_link;
}

void RemoveLink(Membership& state, Member& member, MembershipEffects& effects) {
  EndSuspicion(state, member, effects);
  if (member.m_link.has_value()) {
    member.m_link.reset();
    effects.push_back(CloseLink{VmOf(member.m_node)});
  }
  member.m_reported.reset();
  state.m_active.erase(VmOf(member.m_node));
}

void Spread(Membership& state, TimePoint now, const VmName& vm,
            const VmName& source) {
  state.m_tick_due = true;
  for (const VmName& peer : state.m_active) {
    Member& member = state.m_members.at(peer);
    if (member.m_link.has_value() && peer != source && peer != vm) {
      member.m_link->m_news.insert(vm);
      member.m_link->m_next_send = std::min(member.m_link->m_next_send, now);
    }
  }
}

void ApplyUpdate(Membership& state, TimePoint now, const MemberUpdate& update,
                 const VmName& source, MembershipEffects& effects) {
  const VmName vm = VmOf(update.m_node);
  if (vm == VmOf(state.m_self.m_node)) {
    Contradict(state, now, update);
    return;
  }
  Member* member = Find(state, vm);
  if (member == nullptr) {
    if (update.m_state > MemberState::kLeaving) {
      return;
    }
    if (state.m_members.size() >= kMaxMembers) {
      ++state.m_counters.m_table_full;
      return;
    }
    member = &state.m_members[vm];
  } else {
    const MemberUpdate known = UpdateOf(*member);
    if (Precedence(update) <= Precedence(known)) {
      return;
    }
    if (update.m_state == MemberState::kDead &&
        update.m_node == member->m_node && !source.Empty() &&
        IsHeard(state, now, *member)) {
      // The report is false here. The node must learn of it, because only its
      // own higher round convinces those who hold the report.
      Heartbeat heartbeat = MakeHeartbeat(state, now, *member);
      heartbeat.m_updates = {update};
      effects.push_back(SendTo{vm, std::move(heartbeat)});
      return;
    }
    if (update.m_node != member->m_node ||
        update.m_state > MemberState::kLeaving) {
      RemoveLink(state, *member, effects);
      member->m_reachable = true;
    }
  }
  member->m_node = update.m_node;
  member->m_zone = update.m_zone;
  member->m_endpoint = update.m_endpoint;
  member->m_state = update.m_state;
  member->m_round = update.m_round;
  member->m_state_since = now;
  state.m_plan_due = true;
  effects.push_back(MemberChanged{update});
  Spread(state, now, vm, source);
}

std::vector<MemberUpdate> WholeTable(const Membership& state) {
  std::vector<MemberUpdate> updates = {state.m_self};
  for (const auto& [vm, member] : state.m_members) {
    updates.push_back(UpdateOf(member));
  }
  return updates;
}

Heartbeat MakeHeartbeat(Membership& state, TimePoint now, const Member& peer) {
  Heartbeat heartbeat;
  // The Hello of the connection names the node, so its heartbeats need not.
  heartbeat.m_incarnation = IncarnationOf(state.m_self.m_node);
  heartbeat.m_config_version = state.m_version;
  heartbeat.m_reaches_store = state.m_reaches_store;
  heartbeat.m_leaving = state.m_self.m_state == MemberState::kLeaving;
  heartbeat.m_table_hash = state.m_table_hash;
  if (peer.m_link.has_value()) {
    heartbeat.m_interval = IntervalOf(state, *peer.m_link);
    heartbeat.m_wanted = peer.m_link->m_planned;
  }
  heartbeat.m_zones = DigestsFor(state, now, peer);
  return heartbeat;
}

void Replan(Membership& state, TimePoint now, MembershipEffects& effects) {
  state.m_plan_due = false;
  const PlanNode self{VmOf(state.m_self.m_node), state.m_self.m_zone};
  std::vector<PlanNode> nodes = {self};
  state.m_table_hash = HashOf(state.m_self);
  state.m_zone_peers.clear();
  state.m_known_in.clear();
  for (const auto& [vm, member] : state.m_members) {
    if (member.m_state != MemberState::kLeft) {
      ++state.m_known_in[member.m_zone];
      if (member.m_zone == self.m_zone) {
        state.m_zone_peers.push_back(vm);
      }
    }
    if (IsPresent(member)) {
      nodes.push_back({vm, member.m_zone});
      state.m_table_hash ^= HashOf(UpdateOf(member));
    }
  }
  // Zones without members are forgotten, which bounds the map.
  std::erase_if(state.m_zones, [&state](const auto& each) {
    return !state.m_known_in.contains(each.first);
  });
  state.m_ring = RingOrder(std::move(nodes));
  for (const VmName& vm : state.m_active) {
    Member& member = state.m_members.at(vm);
    if (member.m_link.has_value()) {
      member.m_link->m_planned = false;
    }
  }
  const std::vector<PlannedLink> plans =
      PlanLinks(state.m_ring, self, state.m_options.m_reach);
  const auto count = [&plans](LinkDuty duty) {
    return static_cast<std::size_t>(std::count_if(
        plans.begin(), plans.end(),
        [duty](const auto& plan) { return plan.m_duty == duty; }));
  };
  state.m_zone_links = count(LinkDuty::kZone);
  state.m_cross_links = count(LinkDuty::kCross);
  for (const PlannedLink& plan : plans) {
    Member& member = state.m_members.at(plan.m_vm);
    if (!member.m_link.has_value()) {
      effects.push_back(OpenLink{plan.m_vm, member.m_endpoint});
    }
    LinkState& link = EnsureLink(state, now, member);
    const bool closer = !link.m_planned || plan.m_duty < link.m_duty;
    link.m_planned = true;
    link.m_duty = plan.m_duty;
    if (closer) {
      link.m_next_send =
          std::min(link.m_next_send, now + IntervalOf(state, link));
    }
  }
}

}  // namespace filbertspar::internal
