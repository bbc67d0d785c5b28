#include <algorithm>
#include <utility>
#include <vector>

#include "filbertspar/rollout/src/rollout.h"

namespace filbertspar {
namespace {

using internal::PeerState;

// A poll without answer for this long is forgotten.
constexpr Duration kHeadReadLife = Seconds(10);

void Confirm(Rollout& rollout, TimePoint sent) {
  if (!rollout.m_confirmed || *rollout.m_confirmed < sent) {
    rollout.m_confirmed = sent;
  }
  std::erase_if(rollout.m_peers, [&](const auto& peer) {
    return peer.second.m_left && *peer.second.m_left <= sent;
  });
}

void TakeHead(Rollout& rollout, TimePoint now, ConfigVersion version,
              const Row& row, TimePoint sent, RolloutEffects& effects) {
  if (!rollout.m_head_known || row.m_version > rollout.m_head_row) {
    rollout.m_head = version;
    rollout.m_head_row = row.m_version;
    rollout.m_head_known = true;
  }
  internal::NoteVersion(rollout, now, version, effects);
  if (version <= VersionInForce(rollout)) {
    Confirm(rollout, sent);
  } else {
    rollout.m_unapplied = internal::Confirmation{version, sent};
  }
}

}  // namespace

Rollout MakeRollout(const NodeName& self, TimePoint now) {
  Rollout rollout;
  rollout.m_self = self;
  rollout.m_next_poll = now;
  return rollout;
}

namespace internal {

ConfigReadId NextRead(Rollout& rollout) {
  return ConfigReadId(++rollout.m_last_read);
}

void SendHeadRead(Rollout& rollout, TimePoint now, RolloutEffects& effects) {
  std::erase_if(rollout.m_head_reads, [&](const auto& read) {
    return now - read.second > kHeadReadLife;
  });
  const ConfigReadId read = NextRead(rollout);
  rollout.m_head_reads.emplace(read, now);
  effects.push_back(ReadHead{read});
}

void ApplyRecord(Rollout& rollout, TimePoint now, const ConfigRecordPtr& record,
                 bool push, RolloutEffects& effects) {
  const ConfigVersion version = record->m_catalogue.m_version;
  // Deliveries come late, twice and out of order; only a newer one counts.
  if (version <= VersionInForce(rollout)) {
    return;
  }
  rollout.m_in_force = record;
  rollout.m_newest = std::max(rollout.m_newest, version);
  effects.push_back(ApplyConfig{record});
  if (rollout.m_unapplied && rollout.m_unapplied->m_version <= version) {
    Confirm(rollout, rollout.m_unapplied->m_sent);
    rollout.m_unapplied.reset();
  }
  for (const auto& [peer, state] : rollout.m_peers) {
    if (!state.m_left && state.m_version < version) {
      effects.push_back(SendOffer{peer, version, push ? record : nullptr});
    }
  }
  if (rollout.m_newest > version) {
    Fetch(rollout, now, effects);
  }
}

void NoteVersion(Rollout& rollout, TimePoint now, ConfigVersion version,
                 RolloutEffects& effects) {
  if (version <= rollout.m_newest) {
    return;
  }
  rollout.m_newest = version;
  if (version > VersionInForce(rollout)) {
    rollout.m_next_fetch = now;
    Fetch(rollout, now, effects);
  }
}

void Fetch(Rollout& rollout, TimePoint now, RolloutEffects& effects) {
  const ConfigVersion in_force = VersionInForce(rollout);
  if (rollout.m_newest <= in_force || now < rollout.m_next_fetch) {
    return;
  }
  rollout.m_next_fetch = now + kFetchTimeout;
  std::vector<NodeName> sources;
  for (const auto& [peer, state] : rollout.m_peers) {
    if (!state.m_left && state.m_version > in_force) {
      sources.push_back(peer);
    }
  }
  // The empty name stands for the store.
  if (rollout.m_reaches_store || sources.empty()) {
    sources.insert(sources.begin(), NodeName());
  }
  const NodeName& source = sources[rollout.m_fetches++ % sources.size()];
  if (source.Empty()) {
    effects.push_back(ReadVersion{NextRead(rollout), rollout.m_newest});
  } else {
    effects.push_back(SendFetch{source});
  }
}

}  // namespace internal

void HeadRead(Rollout& rollout, TimePoint now, ConfigReadId read, Code code,
              const Row& row, RolloutEffects& effects) {
  const auto found = rollout.m_head_reads.find(read);
  if (found == rollout.m_head_reads.end()) {
    return;
  }
  const TimePoint sent = found->second;
  rollout.m_head_reads.erase(found);
  if (code == Code::kOk) {
    absl::StatusOr<ConfigVersion> version = ConfigVersion();
    if (row.m_value) {
      version = HeadFromJson(*row.m_value);
    }
    code = CodeOf(version.status());
    if (version.ok()) {
      rollout.m_reaches_store = true;
      TakeHead(rollout, now, *version, row, sent, effects);
    }
  }
  if (code != Code::kOk) {
    rollout.m_reaches_store = false;
  }
  internal::ProposalHeadRead(rollout, now, read, code, effects);
}

void VersionRead(Rollout& rollout, TimePoint now, ConfigReadId read, Code code,
                 const Row& row, RolloutEffects& effects) {
  ConfigRecordPtr record;
  if (code == Code::kOk) {
    if (!row.m_value) {
      code = Code::kNotFound;
    } else {
      absl::StatusOr<ConfigRecordPtr> parsed = RecordFromJson(*row.m_value);
      code = CodeOf(parsed.status());
      if (parsed.ok() &&
          VersionRowKey((*parsed)->m_catalogue.m_version) == row.m_row) {
        record = *std::move(parsed);
      } else if (parsed.ok()) {
        code = Code::kPlatformBadAnswer;
      }
    }
  }
  if (record != nullptr) {
    internal::ApplyRecord(rollout, now, record, false, effects);
  }
  if (!internal::ProposalVersionRead(rollout, now, read, code, record,
                                     effects)) {
    internal::QueryVersionRead(rollout, read, code, record, effects);
  }
}

void OfferReceived(Rollout& rollout, TimePoint now, const NodeName& peer,
                   ConfigVersion version, const ConfigRecordPtr& record,
                   RolloutEffects& effects) {
  const auto found = rollout.m_peers.find(peer);
  if (found != rollout.m_peers.end()) {
    found->second.m_version = std::max(found->second.m_version, version);
  }
  if (version <= VersionInForce(rollout)) {
    return;
  }
  if (record != nullptr && record->m_catalogue.m_version == version &&
      Validate(record->m_catalogue).ok()) {
    internal::ApplyRecord(rollout, now, record, false, effects);
    return;
  }
  if (version > rollout.m_newest) {
    rollout.m_newest = version;
    // The peer that has the version is asked first, the others after that.
    rollout.m_next_fetch = now + kFetchTimeout;
    effects.push_back(SendFetch{peer});
  }
}

void FetchReceived(const Rollout& rollout, const NodeName& peer,
                   RolloutEffects& effects) {
  if (rollout.m_in_force != nullptr) {
    effects.push_back(
        SendOffer{peer, VersionInForce(rollout), rollout.m_in_force});
  }
}

void PeerKnown(Rollout& rollout, const NodeName& peer) {
  if (peer == rollout.m_self || rollout.m_peers.contains(peer)) {
    return;
  }
  if (rollout.m_peers.size() >= kMaxConfigPeers) {
    rollout.m_too_many_peers = true;
    return;
  }
  rollout.m_peers.try_emplace(peer);
}

void PeerReported(Rollout& rollout, TimePoint now, const PeerReport& report,
                  RolloutEffects& effects) {
  PeerKnown(rollout, report.m_peer);
  const auto found = rollout.m_peers.find(report.m_peer);
  if (found == rollout.m_peers.end()) {
    return;
  }
  PeerState& state = found->second;
  if (!state.m_reported || report.m_as_of >= state.m_as_of) {
    state.m_reported = true;
    state.m_reaches_store = report.m_reaches_store;
    state.m_as_of = report.m_as_of;
    state.m_stopping |= report.m_stopping;
  }
  OfferReceived(rollout, now, report.m_peer, report.m_version, nullptr,
                effects);
}

void PeerLeft(Rollout& rollout, TimePoint now, const NodeName& peer) {
  const auto found = rollout.m_peers.find(peer);
  if (found == rollout.m_peers.end()) {
    return;
  }
  if (found->second.m_stopping && !found->second.m_reaches_store) {
    rollout.m_peers.erase(found);
  } else if (!found->second.m_left) {
    found->second.m_left = now;
  }
}

void Tick(Rollout& rollout, TimePoint now, RolloutEffects& effects) {
  if (now >= rollout.m_next_poll) {
    rollout.m_next_poll = now + kHeadPollInterval;
    internal::SendHeadRead(rollout, now, effects);
  }
  internal::Fetch(rollout, now, effects);
  internal::StepProposals(rollout, now, effects);
}

TimePoint NextTick(const Rollout& rollout) {
  TimePoint next = rollout.m_next_poll;
  if (rollout.m_newest > VersionInForce(rollout)) {
    next = std::min(next, rollout.m_next_fetch);
  }
  for (const internal::PendingProposal& proposal : rollout.m_proposals) {
    if (!proposal.m_replied &&
        proposal.m_step != internal::ProposalStep::kWriting) {
      next = std::min(next, proposal.m_deadline);
    }
  }
  return next;
}

}  // namespace filbertspar
