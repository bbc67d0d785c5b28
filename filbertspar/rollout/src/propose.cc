#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "filbertspar/rollout/src/rollout.h"

namespace filbertspar {

using internal::PendingProposal;
using internal::ProposalStep;

namespace {

std::string ConflictText(ConfigVersion newer) {
  return newer.IsNone()
             ? "a newer version is in force"
             : absl::StrCat("version ", newer.Value(), " is in force");
}

// Ends the first proposal; without a reply when it had one before.
void EndFirst(Rollout& rollout, Code code, ConfigVersion version,
              std::string message, RolloutEffects& effects) {
  const PendingProposal& first = rollout.m_proposals.front();
  if (!first.m_replied) {
    effects.push_back(
        ProposalReply{first.m_id, code, version, std::move(message)});
  }
  rollout.m_proposals.pop_front();
}

void EndWithConflict(Rollout& rollout, ConfigVersion newer,
                     RolloutEffects& effects) {
  EndFirst(rollout, Code::kConfigConflict, newer, ConflictText(newer), effects);
}

void AskHead(Rollout& rollout, TimePoint now, PendingProposal& proposal,
             ProposalStep step, RolloutEffects& effects) {
  internal::SendHeadRead(rollout, now, effects);
  proposal.m_step = step;
  proposal.m_read = ConfigReadId(rollout.m_last_read);
}

void Write(Rollout& rollout, TimePoint now, PendingProposal& proposal,
           RolloutEffects& effects) {
  ConfigRecord record{proposal.m_proposal.m_document,
                      proposal.m_proposal.m_author, proposal.m_proposal.m_note};
  const ConfigVersion version(proposal.m_proposal.m_base.Value() + 1);
  record.m_catalogue.m_version = version;
  proposal.m_record = std::make_shared<const ConfigRecord>(std::move(record));
  proposal.m_step = ProposalStep::kWriting;
  WriteConfig write{proposal.m_id, {}, proposal.m_deadline - now};
  write.m_rows.push_back(
      {VersionRowKey(version), RowVersion(), RecordToJson(*proposal.m_record)});
  write.m_rows.push_back(
      {HeadRowKey(), rollout.m_head_row, HeadToJson(version)});
  effects.push_back(std::move(write));
}

// Starts the first proposal. False when it was ended.
bool StartFirst(Rollout& rollout, TimePoint now, RolloutEffects& effects) {
  PendingProposal& first = rollout.m_proposals.front();
  const ConfigVersion base = first.m_proposal.m_base;
  if (rollout.m_newest > base) {
    EndWithConflict(rollout, rollout.m_newest, effects);
    return false;
  }
  if (!first.m_restore.IsNone()) {
    first.m_step = ProposalStep::kReadingDocument;
    first.m_read = internal::NextRead(rollout);
    effects.push_back(ReadVersion{first.m_read, first.m_restore});
  } else if (rollout.m_head_known && rollout.m_head == base) {
    Write(rollout, now, first, effects);
  } else {
    AskHead(rollout, now, first, ProposalStep::kReadingHead, effects);
  }
  return true;
}

void Enqueue(Rollout& rollout, TimePoint now, PendingProposal proposal,
             RolloutEffects& effects) {
  if (rollout.m_proposals.size() >= kMaxProposals) {
    effects.push_back(ProposalReply{
        proposal.m_id, Code::kRateBudgetSpent, {}, "too many changes wait"});
    return;
  }
  proposal.m_deadline = now + kProposalDeadline;
  rollout.m_proposals.push_back(std::move(proposal));
  internal::StepProposals(rollout, now, effects);
}

// Ends proposals whose deadline passed before their write was sent.
void ExpireProposals(Rollout& rollout, TimePoint now, RolloutEffects& effects) {
  std::erase_if(rollout.m_proposals, [&](const PendingProposal& proposal) {
    if (proposal.m_replied || now < proposal.m_deadline ||
        proposal.m_step == ProposalStep::kWriting) {
      return false;
    }
    if (proposal.m_step == ProposalStep::kNamingConflict) {
      const bool known = rollout.m_newest > proposal.m_proposal.m_base;
      const ConfigVersion newer = known ? rollout.m_newest : ConfigVersion();
      effects.push_back(ProposalReply{proposal.m_id, Code::kConfigConflict,
                                      newer, ConflictText(newer)});
    } else {
      effects.push_back(ProposalReply{proposal.m_id,
                                      Code::kPlatformTimeout,
                                      {},
                                      "the change was not written"});
    }
    return true;
  });
}

}  // namespace

void Propose(Rollout& rollout, TimePoint now, ProposalId id, Proposal proposal,
             RolloutEffects& effects) {
  const absl::Status valid = Validate(proposal.m_document);
  if (!valid.ok()) {
    effects.push_back(
        ProposalReply{id, CodeOf(valid), {}, std::string(valid.message())});
    return;
  }
  PendingProposal pending;
  pending.m_id = id;
  pending.m_proposal = std::move(proposal);
  Enqueue(rollout, now, std::move(pending), effects);
}

void Restore(Rollout& rollout, TimePoint now, ProposalId id,
             ConfigVersion version, ConfigVersion base,
             const std::string& author, RolloutEffects& effects) {
  PendingProposal pending;
  pending.m_id = id;
  pending.m_restore = version;
  pending.m_proposal.m_base = base;
  pending.m_proposal.m_author = author;
  pending.m_proposal.m_note =
      absl::StrCat("restored from version ", version.Value());
  if (version.IsNone()) {
    effects.push_back(
        ProposalReply{id, Code::kNotFound, {}, "expected a version above 0"});
    return;
  }
  Enqueue(rollout, now, std::move(pending), effects);
}

void ConfigWriteEnded(Rollout& rollout, TimePoint now, ProposalId id,
                      const WriteReport& report, RolloutEffects& effects) {
  if (rollout.m_proposals.empty() || rollout.m_proposals.front().m_id != id ||
      rollout.m_proposals.front().m_step != ProposalStep::kWriting) {
    return;
  }
  PendingProposal& first = rollout.m_proposals.front();
  switch (report.m_outcome) {
    case WriteOutcome::kUnsettled:
      // The proposal stays until it is settled; if it was committed after all,
      // it takes force then.
      if (!first.m_replied) {
        first.m_replied = true;
        effects.push_back(ProposalReply{
            id, Code::kChangeUnconfirmed, {}, "the change may be committed"});
      }
      return;
    case WriteOutcome::kNotWritten:
      EndFirst(rollout, report.m_code, {}, "the change was not written",
               effects);
      break;
    case WriteOutcome::kConflict:
      if (first.m_replied) {
        rollout.m_proposals.pop_front();
      } else {
        AskHead(rollout, now, first, ProposalStep::kNamingConflict, effects);
      }
      break;
    case WriteOutcome::kCommitted: {
      const ConfigRecordPtr record = first.m_record;
      const ConfigVersion version = record->m_catalogue.m_version;
      if (report.m_versions.size() == 2 &&
          report.m_versions[1] > rollout.m_head_row) {
        rollout.m_head = version;
        rollout.m_head_row = report.m_versions[1];
      }
      EndFirst(rollout, Code::kOk, version, "", effects);
      internal::ApplyRecord(rollout, now, record, true, effects);
      break;
    }
  }
  internal::StepProposals(rollout, now, effects);
}

namespace internal {

void StepProposals(Rollout& rollout, TimePoint now, RolloutEffects& effects) {
  ExpireProposals(rollout, now, effects);
  while (!rollout.m_proposals.empty() &&
         rollout.m_proposals.front().m_step == ProposalStep::kWaiting &&
         !StartFirst(rollout, now, effects)) {
  }
}

void ProposalHeadRead(Rollout& rollout, TimePoint now, ConfigReadId read,
                      Code code, RolloutEffects& effects) {
  if (rollout.m_proposals.empty() ||
      rollout.m_proposals.front().m_read != read) {
    return;
  }
  PendingProposal& first = rollout.m_proposals.front();
  const ConfigVersion base = first.m_proposal.m_base;
  if (first.m_step == ProposalStep::kNamingConflict) {
    EndWithConflict(
        rollout, rollout.m_newest > base ? rollout.m_newest : ConfigVersion(),
        effects);
  } else if (first.m_step != ProposalStep::kReadingHead) {
    return;
  } else if (code != Code::kOk) {
    EndFirst(rollout, code, {}, "the change was not written", effects);
  } else if (rollout.m_head != base) {
    EndWithConflict(rollout, rollout.m_head, effects);
  } else {
    Write(rollout, now, first, effects);
  }
  StepProposals(rollout, now, effects);
}

bool ProposalVersionRead(Rollout& rollout, TimePoint now, ConfigReadId read,
                         Code code, const ConfigRecordPtr& record,
                         RolloutEffects& effects) {
  if (rollout.m_proposals.empty() ||
      rollout.m_proposals.front().m_read != read ||
      rollout.m_proposals.front().m_step != ProposalStep::kReadingDocument) {
    return false;
  }
  PendingProposal& first = rollout.m_proposals.front();
  if (record == nullptr) {
    EndFirst(rollout, code, {}, "the version to restore was not read", effects);
  } else {
    first.m_proposal.m_document = record->m_catalogue;
    first.m_restore = ConfigVersion();
    first.m_step = ProposalStep::kWaiting;
  }
  StepProposals(rollout, now, effects);
  return true;
}

}  // namespace internal

}  // namespace filbertspar
