#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "filbertspar/rollout/src/versions.h"

namespace filbertspar {

/// \brief A change that an operator asked for.
using ProposalId = Id<struct ProposalTag>;
/// \brief A read of the store that this library asked for.
using ConfigReadId = Id<struct ConfigReadTag>;
/// \brief An operator's question about accepted versions.
using ConfigQueryId = Id<struct ConfigQueryTag>;

/// \brief Read the head row; the answer goes to HeadRead.
struct ReadHead {
  ConfigReadId m_read;
};

/// \brief Read the row of a version; the answer goes to VersionRead.
struct ReadVersion {
  ConfigReadId m_read;
  ConfigVersion m_version;
};

/// \brief Send this table write; every report goes to ConfigWriteEnded.
struct WriteConfig {
  ProposalId m_proposal;
  std::vector<RowWrite> m_rows;
  /// When an outcome is wanted, be it unsettled.
  Duration m_deadline{};
};

/// \brief Send a peer the version in force, with its record unless null. The
/// peer's shell hands it to OfferReceived.
struct SendOffer {
  NodeName m_peer;
  ConfigVersion m_version;
  ConfigRecordPtr m_record;
};

/// \brief Ask a peer for the record it has in force (OfferReceived answers).
struct SendFetch {
  NodeName m_peer;
};

/// \brief A new version is in force in this process from now on.
struct ApplyConfig {
  ConfigRecordPtr m_record;
};

/// \brief Tell the operator what became of a change; exactly one per proposal.
/// kOk: committed as m_version. kConfigConflict: m_version is the newer version
/// (0 when it could not be read). kChangeUnconfirmed: it may be committed.
/// Other codes: certainly not written.
struct ProposalReply {
  ProposalId m_proposal;
  Code m_code = Code::kOk;
  ConfigVersion m_version;
  std::string m_message;
};

/// \brief Answer to Export.
struct ExportReply {
  ConfigQueryId m_query;
  Code m_code = Code::kOk;
  ConfigRecordPtr m_record;
};

/// \brief Answer to Compare.
struct CompareReply {
  ConfigQueryId m_query;
  Code m_code = Code::kOk;
  std::vector<std::string> m_lines;
};

using RolloutEffect =
    std::variant<ReadHead, ReadVersion, WriteConfig, SendOffer, SendFetch,
                 ApplyConfig, ProposalReply, ExportReply, CompareReply>;
using RolloutEffects = std::vector<RolloutEffect>;

}  // namespace filbertspar
