#include <algorithm>

#include "filbertspar/membership/src/internal.h"

namespace filbertspar::internal {
namespace {

std::uint64_t SendProbe(Membership& state, const Member& to, NodeName subject,
                        MembershipEffects& effects) {
  const std::uint64_t number = state.m_next_number++;
  effects.push_back(OpenProbe{VmOf(to.m_node), to.m_endpoint,
                              Probe{number, std::move(subject)}});
  return number;
}

/// Nodes to ask about a suspect: its other neighbours in the ring, then the
/// peers of this node that were heard last.
std::vector<const Member*> Observers(const Membership& state,
                                     const VmName& subject) {
  std::vector<const Member*> observers;
  const auto add = [&](const VmName& vm) {
    const auto found = state.m_members.find(vm);
    if (observers.size() >= state.m_options.m_observers || vm == subject ||
        found == state.m_members.end() || !IsPresent(found->second) ||
        found->second.m_suspicion.has_value() || !found->second.m_reachable ||
        std::find(observers.begin(), observers.end(), &found->second) !=
            observers.end()) {
      return false;
    }
    observers.push_back(&found->second);
    return true;
  };
  for (const VmName& vm :
       RingNeighbours(state.m_ring, subject, state.m_options.m_reach)) {
    // One place only: if the neighbours died together, peers must answer.
    if (add(vm)) {
      break;
    }
  }
  std::vector<const Member*> peers;
  for (const VmName& vm : state.m_active) {
    const Member& member = state.m_members.at(vm);
    if (member.m_link.has_value() && member.m_reported.has_value()) {
      peers.push_back(&member);
    }
  }
  std::stable_sort(peers.begin(), peers.end(),
                   [](const auto* a, const auto* b) {
                     return a->m_link->m_heard > b->m_link->m_heard;
                   });
  for (const Member* peer : peers) {
    add(VmOf(peer->m_node));
  }
  return observers;
}

void AskObservers(Membership& state, Member& member,
                  MembershipEffects& effects) {
  for (const Member* observer : Observers(state, VmOf(member.m_node))) {
    member.m_suspicion->m_questions.push_back(
        SendProbe(state, *observer, member.m_node, effects));
  }
}

/// Nodes besides this one and the suspect that could give an opinion.
bool HasOthers(const Membership& state, const Member& suspect) {
  return std::any_of(
      state.m_members.begin(), state.m_members.end(), [&](const auto& each) {
        return &each.second != &suspect && IsPresent(each.second);
      });
}

}  // namespace

void StartSuspicion(Membership& state, TimePoint now, Member& member,
                    MembershipEffects& effects) {
  if (member.m_suspicion.has_value()) {
    return;
  }
  ++state.m_counters.m_suspicions;
  state.m_tick_due = true;
  state.m_active.insert(VmOf(member.m_node));
  member.m_suspicion.emplace();
  member.m_suspicion->m_since = now;
  member.m_suspicion->m_next_step = now + state.m_options.m_second_probe;
  member.m_suspicion->m_probes.push_back(
      SendProbe(state, member, NodeName(), effects));
  AskObservers(state, member, effects);
}

void EndSuspicion(Membership& state, Member& member,
                  MembershipEffects& effects) {
  if (!member.m_suspicion.has_value()) {
    return;
  }
  for (const std::uint64_t number : member.m_suspicion->m_probes) {
    effects.push_back(DropProbe{number});
  }
  for (const std::uint64_t number : member.m_suspicion->m_questions) {
    effects.push_back(DropProbe{number});
  }
  member.m_suspicion.reset();
  if (!member.m_link.has_value()) {
    state.m_active.erase(VmOf(member.m_node));
  }
}

void StepSuspicion(Membership& state, TimePoint now, Member& member,
                   MembershipEffects& effects) {
  Suspicion& suspicion = *member.m_suspicion;
  const Duration age = now - suspicion.m_since;
  if (age >= state.m_options.m_confirm) {
    member.m_reachable = false;
    // A node that nobody else can vouch against may itself be cut off, so
    // its view must not spread.
    if (!suspicion.m_vetoed &&
        (suspicion.m_agreed || !HasOthers(state, member))) {
      ++state.m_counters.m_deaths_declared;
      MemberUpdate update = UpdateOf(member);
      update.m_state = member.m_state == MemberState::kLeaving
                           ? MemberState::kLeft
                           : MemberState::kDead;
      ApplyUpdate(state, now, update, VmName(), effects);
      return;
    }
  }
  if (now < suspicion.m_next_step) {
    return;
  }
  if (suspicion.m_probes.size() < 2) {
    suspicion.m_probes.push_back(SendProbe(state, member, NodeName(), effects));
    suspicion.m_next_step = suspicion.m_since + state.m_options.m_confirm;
    return;
  }
  // Not declared in this round: no observer answered, or one contradicted.
  for (const auto* numbers : {&suspicion.m_probes, &suspicion.m_questions}) {
    for (const std::uint64_t number : *numbers) {
      effects.push_back(DropProbe{number});
    }
  }
  suspicion.m_probes = {SendProbe(state, member, NodeName(), effects)};
  suspicion.m_probes.push_back(SendProbe(state, member, NodeName(), effects));
  suspicion.m_questions.clear();
  suspicion.m_agreed = suspicion.m_vetoed = false;
  AskObservers(state, member, effects);
  suspicion.m_next_step = now + state.m_options.m_confirm;
}

void SuspicionAnswered(Membership& state, TimePoint now, Member& member,
                       const ProbeReply& reply, MembershipEffects& effects) {
  Suspicion& suspicion = *member.m_suspicion;
  if (reply.m_subject.Empty()) {
    ++state.m_counters.m_silent_connections;
    std::erase(suspicion.m_probes, reply.m_number);
    effects.push_back(AdoptProbe{VmOf(member.m_node), reply.m_number});
    member.m_reachable = true;
    EndSuspicion(state, member, effects);
    LinkState& link = EnsureLink(state, now, member);
    link.m_heard = now;
    link.m_next_send = now;
    state.m_tick_due = true;
    return;
  }
  std::erase(suspicion.m_questions, reply.m_number);
  effects.push_back(DropProbe{reply.m_number});
  if (!reply.m_reachable) {
    suspicion.m_agreed = true;
    StepSuspicion(state, now, member, effects);
    return;
  }
  // The node lives. If it is still not reached here after the time to
  // confirm, it stays live and is not used; the round starts again.
  ++state.m_counters.m_contradicted;
  suspicion.m_vetoed = true;
}

void AnswerProbe(Membership& state, TimePoint now, const MessageSource& source,
                 const Probe& probe, MembershipEffects& effects) {
  if (probe.m_subject.Empty()) {
    effects.push_back(
        ReplyProbe{source.m_connection, ProbeReply{probe.m_number, {}, true}});
    return;
  }
  const Member* subject = Find(state, VmOf(probe.m_subject));
  ProbeReply reply{probe.m_number, probe.m_subject, false};
  const bool known = subject != nullptr && subject->m_node == probe.m_subject &&
                     IsPresent(*subject);
  if (known && subject->m_link.has_value() && !subject->m_suspicion &&
      subject->m_reported.has_value() &&
      now - subject->m_link->m_heard <= state.m_options.m_watch_interval) {
    reply.m_reachable = true;
  } else if (known && state.m_questions.size() < kMaxQuestions) {
    const std::uint64_t number =
        SendProbe(state, *subject, NodeName(), effects);
    state.m_tick_due = true;
    state.m_questions[number] = {source.m_connection, probe.m_number,
                                 probe.m_subject,
                                 now + state.m_options.m_opinion};
    return;
  }
  effects.push_back(ReplyProbe{source.m_connection, reply});
}

void ExpireQuestions(Membership& state, TimePoint now,
                     MembershipEffects& effects) {
  for (auto it = state.m_questions.begin(); it != state.m_questions.end();) {
    const auto& [number, question] = *it;
    if (question.m_until > now) {
      ++it;
      continue;
    }
    effects.push_back(DropProbe{number});
    effects.push_back(
        ReplyProbe{question.m_connection,
                   ProbeReply{question.m_number, question.m_subject, false}});
    it = state.m_questions.erase(it);
  }
}

}  // namespace filbertspar::internal
