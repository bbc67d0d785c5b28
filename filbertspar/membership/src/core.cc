#include "filbertspar/membership/src/core.h"

#include <algorithm>
#include <variant>

#include "filbertspar/membership/src/internal.h"

namespace filbertspar {

using internal::ApplyUpdate;
using internal::EnsureLink;
using internal::Find;
using internal::IsPresent;

namespace {

constexpr Duration kTableDiffers = Seconds(2);
constexpr Duration kTellInterval = Milliseconds(500);
constexpr Duration kJoinInterval = Seconds(1);
constexpr Duration kContactTimeout = Seconds(3);

/// The sender's own report, or what its Hello says when it is new here.
void TakeSender(Membership& state, TimePoint now, const MessageSource& source,
                const Heartbeat& heartbeat, MembershipEffects& effects) {
  for (const MemberUpdate& update : heartbeat.m_updates) {
    if (update.m_node == source.m_node) {
      ApplyUpdate(state, now, update, VmOf(source.m_node), effects);
    }
  }
  const Member* known = Find(state, VmOf(source.m_node));
  if (known == nullptr || known->m_node != source.m_node) {
    const MemberUpdate update{
        source.m_node, source.m_zone, source.m_endpoint,
        heartbeat.m_leaving ? MemberState::kLeaving : MemberState::kLive, 0};
    ApplyUpdate(state, now, update, VmOf(source.m_node), effects);
    Member* added = Find(state, VmOf(source.m_node));
    if (added != nullptr) {
      EnsureLink(state, now, *added).m_send_table = true;
      state.m_tick_due = true;
    }
  }
}

void CompareTables(Membership& state, TimePoint now, LinkState& link,
                   std::uint64_t hash) {
  if (hash == state.m_table_hash) {
    link.m_differs_since.reset();
    return;
  }
  if (!link.m_differs_since.has_value()) {
    link.m_differs_since = now;
  }
  if (now - *link.m_differs_since >= kTableDiffers &&
      now - link.m_last_sync >= state.m_options.m_sync_interval) {
    link.m_send_table = true;
    link.m_next_send = now;
    state.m_tick_due = true;
  }
}

void HeardHeartbeat(Membership& state, TimePoint now,
                    const MessageSource& source, const Heartbeat& heartbeat,
                    MembershipEffects& effects) {
  const VmName vm = VmOf(source.m_node);
  TakeSender(state, now, source, heartbeat, effects);
  Member* member = Find(state, vm);
  if (member == nullptr) {
    return;
  }
  for (const MemberUpdate& update : heartbeat.m_updates) {
    if (VmOf(update.m_node) == VmOf(state.m_self.m_node)) {
      ApplyUpdate(state, now, update, vm, effects);
    }
  }
  if (!IsPresent(*member)) {
    // A node that was declared dead must hear of it to contradict. When both
    // hold each other dead, the bound keeps them from answering without end.
    if (now - member->m_told_at < kTellInterval) {
      return;
    }
    member->m_told_at = now;
    Heartbeat reply = internal::MakeHeartbeat(state, now, *member);
    reply.m_updates = {internal::UpdateOf(*member), state.m_self};
    effects.push_back(SendTo{vm, std::move(reply)});
    return;
  }
  state.m_tick_due = state.m_tick_due || !member->m_link.has_value();
  LinkState& link = EnsureLink(state, now, *member);
  link.m_heard = now;
  link.m_promised = heartbeat.m_interval;
  link.m_wanted = heartbeat.m_wanted;
  member->m_reachable = true;
  internal::EndSuspicion(state, *member, effects);
  member->m_reported = now;
  member->m_version = heartbeat.m_config_version;
  member->m_reaches_store = heartbeat.m_reaches_store;
  for (const MemberUpdate& update : heartbeat.m_updates) {
    ApplyUpdate(state, now, update, vm, effects);
  }
  internal::TakeDigests(state, now, *member, heartbeat);
  if (member->m_link.has_value()) {
    CompareTables(state, now, *member->m_link, heartbeat.m_table_hash);
  }
}

void SendHeartbeat(Membership& state, TimePoint now, Member& member,
                   MembershipEffects& effects) {
  LinkState& link = *member.m_link;
  Heartbeat heartbeat = internal::MakeHeartbeat(state, now, member);
  if (link.m_send_table) {
    link.m_send_table = false;
    link.m_last_sync = now;
    heartbeat.m_updates = internal::WholeTable(state);
  } else {
    for (const VmName& vm : link.m_news) {
      const Member* subject = Find(state, vm);
      if (subject != nullptr) {
        heartbeat.m_updates.push_back(internal::UpdateOf(*subject));
      } else if (vm == VmOf(state.m_self.m_node)) {
        heartbeat.m_updates.push_back(state.m_self);
      }
    }
  }
  link.m_news.clear();
  const double early = state.m_options.m_jitter * state.m_rng.Uniform();
  const Duration interval = internal::IntervalOf(state, link);
  link.m_next_send = now + interval -
                     Duration(static_cast<std::int64_t>(
                         early * static_cast<double>(interval.count())));
  effects.push_back(SendTo{VmOf(member.m_node), std::move(heartbeat)});
}

/// Probes dead and merely listed VMs, so that partitions heal and a new node
/// finds the others.
void Contact(Membership& state, TimePoint now, MembershipEffects& effects) {
  bool alone = true;
  std::vector<ListedVm> candidates;
  for (const auto& [vm, member] : state.m_members) {
    alone = alone && !IsPresent(member);
    if (member.m_state == MemberState::kDead) {
      candidates.push_back({vm, member.m_zone, member.m_endpoint});
    }
  }
  for (const auto& [vm, listed] : state.m_listed) {
    if (Find(state, vm) == nullptr && vm != VmOf(state.m_self.m_node)) {
      candidates.push_back(listed);
    }
  }
  state.m_next_retry =
      now + (alone ? kJoinInterval : state.m_options.m_retry_interval);
  const std::size_t count =
      std::min(alone ? kJoinProbes : 1, candidates.size());
  for (std::size_t i = 0; i < count; ++i) {
    std::swap(candidates[i],
              candidates[i + state.m_rng.Below(candidates.size() - i)]);
    const std::uint64_t number = state.m_next_number++;
    state.m_contacts[number] = now + kContactTimeout;
    effects.push_back(OpenProbe{candidates[i].m_vm, candidates[i].m_endpoint,
                                Probe{number, NodeName()}});
  }
}

void PushAll(Membership& state, TimePoint now) {
  state.m_tick_due = true;
  for (const VmName& vm : state.m_active) {
    Member& member = state.m_members.at(vm);
    if (member.m_link.has_value()) {
      member.m_link->m_next_send = now;
    }
  }
}

void TickMember(Membership& state, TimePoint now, Member& member,
                MembershipEffects& effects) {
  if (member.m_suspicion.has_value()) {
    internal::StepSuspicion(state, now, member, effects);
  }
  if (!member.m_link.has_value()) {
    return;
  }
  LinkState& link = *member.m_link;
  const bool used = link.m_planned || link.m_wanted;
  if (!used && now - link.m_opened >= internal::kUnplannedLinkAge) {
    internal::RemoveLink(state, member, effects);
    return;
  }
  if (used && !member.m_suspicion.has_value() &&
      now - link.m_heard >= internal::SilenceLimit(state, link)) {
    internal::StartSuspicion(state, now, member, effects);
  }
  if (link.m_next_send <= now) {
    SendHeartbeat(state, now, member, effects);
  }
}

}  // namespace

void Heard(Membership& state, TimePoint now, const MessageSource& source,
           const Message& message, MembershipEffects& effects) {
  const Member* known = Find(state, VmOf(source.m_node));
  if (known != nullptr &&
      IncarnationOf(source.m_node) < IncarnationOf(known->m_node)) {
    ++state.m_counters.m_stale_incarnations;
    return;
  }
  if (const auto* heartbeat = std::get_if<Heartbeat>(&message)) {
    HeardHeartbeat(state, now, source, *heartbeat, effects);
  } else if (const auto* probe = std::get_if<Probe>(&message)) {
    internal::AnswerProbe(state, now, source, *probe, effects);
  }
}

void ProbeAnswered(Membership& state, TimePoint now,
                   const MessageSource& source, const ProbeReply& reply,
                   MembershipEffects& effects) {
  const std::uint64_t number = reply.m_number;
  if (const auto found = state.m_questions.find(number);
      found != state.m_questions.end()) {
    const Question question = found->second;
    state.m_questions.erase(found);
    effects.push_back(DropProbe{number});
    effects.push_back(
        ReplyProbe{question.m_connection,
                   ProbeReply{question.m_number, question.m_subject,
                              source.m_node == question.m_subject}});
    return;
  }
  if (state.m_contacts.erase(number) > 0) {
    effects.push_back(AdoptProbe{VmOf(source.m_node), number});
    TakeSender(state, now, source, Heartbeat{}, effects);
    Member* member = Find(state, VmOf(source.m_node));
    if (member != nullptr && member->m_node == source.m_node) {
      Heartbeat heartbeat = internal::MakeHeartbeat(state, now, *member);
      heartbeat.m_updates = internal::WholeTable(state);
      effects.push_back(SendTo{VmOf(source.m_node), std::move(heartbeat)});
    }
    return;
  }
  for (const VmName& vm : state.m_active) {
    Member& member = state.m_members.at(vm);
    if (!member.m_suspicion.has_value()) {
      continue;
    }
    const Suspicion& suspicion = *member.m_suspicion;
    const auto& numbers =
        reply.m_subject.Empty() ? suspicion.m_probes : suspicion.m_questions;
    if (std::find(numbers.begin(), numbers.end(), number) == numbers.end()) {
      continue;
    }
    if (reply.m_subject.Empty() && source.m_node != member.m_node) {
      // Another incarnation answers at the address: the suspect is gone.
      TakeSender(state, now, source, Heartbeat{}, effects);
      return;
    }
    internal::SuspicionAnswered(state, now, member, reply, effects);
    return;
  }
  effects.push_back(DropProbe{number});
}

void LinkBroken(Membership& state, TimePoint now, const VmName& vm,
                MembershipEffects& effects) {
  Member* member = Find(state, vm);
  if (member == nullptr || !member->m_link.has_value()) {
    return;
  }
  if (member->m_link->m_planned || member->m_link->m_wanted) {
    internal::StartSuspicion(state, now, *member, effects);
  } else {
    internal::RemoveLink(state, *member, effects);
  }
}

void SetStatus(Membership& state, TimePoint now, ConfigVersion version,
               bool reaches_store, MembershipEffects& /*effects*/) {
  if (state.m_version == version && state.m_reaches_store == reaches_store) {
    return;
  }
  state.m_version = version;
  state.m_reaches_store = reaches_store;
  PushAll(state, now);
}

void Leave(Membership& state, TimePoint now, MembershipEffects& /*effects*/) {
  state.m_self.m_state = MemberState::kLeaving;
  state.m_plan_due = true;
  internal::Spread(state, now, VmOf(state.m_self.m_node), VmName());
}

void SetListed(Membership& state, TimePoint now,
               const std::vector<ListedVm>& listed) {
  state.m_listed.clear();
  for (const ListedVm& vm : listed) {
    if (state.m_listed.size() < kMaxMembers) {
      state.m_listed[vm.m_vm] = vm;
    }
  }
  const auto forgotten = std::erase_if(state.m_members, [&](const auto& each) {
    const Member& member = each.second;
    return !IsPresent(member) &&
           now - member.m_state_since >= state.m_options.m_forget_after &&
           (member.m_state == MemberState::kLeft ||
            !state.m_listed.contains(each.first));
  });
  state.m_plan_due = state.m_plan_due || forgotten > 0;
}

void Tick(Membership& state, TimePoint now, MembershipEffects& effects) {
  state.m_tick_due = false;
  if (state.m_plan_due) {
    internal::Replan(state, now, effects);
  }
  const std::vector<VmName> active(state.m_active.begin(),
                                   state.m_active.end());
  for (const VmName& vm : active) {
    TickMember(state, now, state.m_members.at(vm), effects);
  }
  internal::ExpireQuestions(state, now, effects);
  if (now >= state.m_next_retry) {
    Contact(state, now, effects);
  }
  std::erase_if(state.m_contacts, [&](const auto& each) {
    if (each.second > now) {
      return false;
    }
    effects.push_back(DropProbe{each.first});
    return true;
  });
}

TimePoint NextTick(const Membership& state) {
  if (state.m_plan_due || state.m_tick_due) {
    return TimePoint::min();
  }
  TimePoint next = state.m_next_retry;
  for (const auto& [number, until] : state.m_contacts) {
    next = std::min(next, until);
  }
  for (const auto& [number, question] : state.m_questions) {
    next = std::min(next, question.m_until);
  }
  for (const VmName& vm : state.m_active) {
    const Member& member = state.m_members.at(vm);
    if (member.m_suspicion.has_value()) {
      next = std::min(next, member.m_suspicion->m_next_step);
    }
    if (!member.m_link.has_value()) {
      continue;
    }
    const LinkState& link = *member.m_link;
    next = std::min(next, link.m_next_send);
    if (!link.m_planned && !link.m_wanted) {
      next = std::min(next, link.m_opened + internal::kUnplannedLinkAge);
    } else if (!member.m_suspicion.has_value()) {
      next = std::min(next, link.m_heard + internal::SilenceLimit(state, link));
    }
  }
  return next;
}

}  // namespace filbertspar
