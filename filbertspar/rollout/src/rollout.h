#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "filbertspar/rollout/src/effects.h"

namespace filbertspar {

inline constexpr Duration kHeadPollInterval = Seconds(1);
/// \brief A version not delivered within this time is asked for elsewhere.
inline constexpr Duration kFetchTimeout = Milliseconds(300);
inline constexpr Duration kProposalDeadline = Seconds(3);
/// \brief Changes that wait here; one more is refused with kRateBudgetSpent.
inline constexpr std::size_t kMaxProposals = 16;
/// \brief Questions about versions that wait for the store.
inline constexpr std::size_t kMaxConfigQueries = 64;

/// \brief Known peers; with one more this node relies on the store alone for
/// its freshness.
inline constexpr std::size_t kMaxConfigPeers = 1024;

/// \brief A whole document, changed against the version it states.
struct Proposal {
  ConfigVersion m_base;
  /// Its version field is ignored.
  Catalogue m_document;
  std::string m_author;
  std::string m_note{};
};

/// \brief What a peer said of itself.
struct PeerReport {
  NodeName m_peer;
  ConfigVersion m_version;
  bool m_reaches_store = true;
  /// The peer is stopping and accepts no change any more.
  bool m_stopping = false;
  /// A time of this node's clock not after the peer made the statement: when
  /// this node sent the message that the peer's message echoes. The time of
  /// receipt will not do, since a message may wait long in a paused process.
  TimePoint m_as_of{};
};

namespace internal {

struct PeerState {
  /// 0 until the peer has reported.
  ConfigVersion m_version;
  bool m_reported = false;
  bool m_reaches_store = true;
  bool m_stopping = false;
  TimePoint m_as_of{};
  /// When it left, if it has; kept until the head is confirmed after that.
  std::optional<TimePoint> m_left;
};

enum class ProposalStep : std::uint8_t {
  kWaiting,
  /// Reads the version to restore.
  kReadingDocument,
  kReadingHead,
  kWriting,
  /// The write met a conflict; the head is read to name the newer version.
  kNamingConflict,
};

struct PendingProposal {
  ProposalId m_id;
  Proposal m_proposal;
  ProposalStep m_step = ProposalStep::kWaiting;
  TimePoint m_deadline{};
  ConfigReadId m_read;
  ConfigRecordPtr m_record;
  bool m_replied = false;
  /// Version to restore: the document is read first.
  ConfigVersion m_restore;
};

struct PendingQuery {
  ConfigQueryId m_id;
  bool m_is_compare = false;
  ConfigVersion m_from;
  ConfigVersion m_to;
  ConfigReadId m_from_read;
  ConfigReadId m_to_read;
  ConfigRecordPtr m_from_record;
  ConfigRecordPtr m_to_record;
};

struct Confirmation {
  ConfigVersion m_version;
  TimePoint m_sent{};
};

}  // namespace internal

/// \brief State of one process's part in the configuration.
struct Rollout {
  NodeName m_self;
  /// The version in force here; null before the first.
  ConfigRecordPtr m_in_force;
  /// Newest version known to be accepted, in force here or not.
  ConfigVersion m_newest;
  /// The head row as last read or written.
  ConfigVersion m_head;
  RowVersion m_head_row;
  bool m_head_known = false;
  /// Whether the last read of the head was answered.
  bool m_reaches_store = false;
  TimePoint m_next_poll{};
  std::map<ConfigReadId, TimePoint> m_head_reads;
  /// When the head was last confirmed with no newer version than in force.
  std::optional<TimePoint> m_confirmed;
  std::optional<internal::Confirmation> m_unapplied;
  TimePoint m_next_fetch{};
  std::uint64_t m_fetches = 0;
  ConfigReadId m_fetch_read;
  std::uint64_t m_last_read = 0;
  std::map<NodeName, internal::PeerState> m_peers;
  bool m_too_many_peers = false;
  std::deque<internal::PendingProposal> m_proposals;
  std::deque<internal::PendingQuery> m_queries;
};

Rollout MakeRollout(const NodeName& self, TimePoint now);

/// \brief Proposes a changed document; one ProposalReply follows.
void Propose(Rollout& rollout, TimePoint now, ProposalId id, Proposal proposal,
             RolloutEffects& effects);
/// \brief Proposes the document of an accepted version as a new version.
void Restore(Rollout& rollout, TimePoint now, ProposalId id,
             ConfigVersion version, ConfigVersion base,
             const std::string& author, RolloutEffects& effects);
/// \brief Asks for an accepted version (0: the one in force); one ExportReply.
void Export(Rollout& rollout, ConfigQueryId id, ConfigVersion version,
            RolloutEffects& effects);
/// \brief Asks for the differences of two accepted versions (0: the one in
/// force); one CompareReply follows.
void Compare(Rollout& rollout, ConfigQueryId id, ConfigVersion from,
             ConfigVersion to, RolloutEffects& effects);

/// \brief Answer of ReadHead: kOk with the row (version 0 when absent), or the
/// code of the failure. Reads that never end are not needed to be reported.
void HeadRead(Rollout& rollout, TimePoint now, ConfigReadId read, Code code,
              const Row& row, RolloutEffects& effects);
/// \brief Answer of ReadVersion, as for HeadRead; must come for every read.
void VersionRead(Rollout& rollout, TimePoint now, ConfigReadId read, Code code,
                 const Row& row, RolloutEffects& effects);
/// \brief Report of WriteConfig; an unsettled one is followed by a final one.
void ConfigWriteEnded(Rollout& rollout, TimePoint now, ProposalId id,
                      const WriteReport& report, RolloutEffects& effects);

/// \brief A peer's offer; `record` is null when only the version came.
void OfferReceived(Rollout& rollout, TimePoint now, const NodeName& peer,
                   ConfigVersion version, const ConfigRecordPtr& record,
                   RolloutEffects& effects);
/// \brief A peer asks for the record in force.
void FetchReceived(const Rollout& rollout, const NodeName& peer,
                   RolloutEffects& effects);
/// \brief A peer is known from now on, be it reachable or not.
void PeerKnown(Rollout& rollout, const NodeName& peer);
/// \brief A peer's report of itself, received or relayed.
void PeerReported(Rollout& rollout, TimePoint now, const PeerReport& report,
                  RolloutEffects& effects);
/// \brief A peer has left for good. A peer that left without having reported
/// that it is stopping may have accepted a change that nobody else knows of, so
/// it counts as unreachable until this node confirms the head.
void PeerLeft(Rollout& rollout, TimePoint now, const NodeName& peer);

void Tick(Rollout& rollout, TimePoint now, RolloutEffects& effects);
TimePoint NextTick(const Rollout& rollout);

/// \brief Version in force here; 0 before the first.
ConfigVersion VersionInForce(const Rollout& rollout);
/// \brief Which process has which version in force, this one included; 0 for a
/// peer that has not reported.
std::map<NodeName, ConfigVersion> VersionsInForce(const Rollout& rollout);

/// \brief Time up to which this node knows that it missed no accepted version:
/// the later of the last confirmation of the head and of the last moment at
/// which every known peer was heard to be without the store, as this node is.
/// Nothing before the first such moment.
std::optional<TimePoint> FreshAsOf(const Rollout& rollout, TimePoint now);

/// \brief kOk when new keyed work of the workspace may be taken; kNoConfig,
/// or kConfigStale when freshness is older than the workspace's bound.
Code CheckFresh(const Rollout& rollout, TimePoint now,
                const WorkspaceName& workspace);

namespace internal {

ConfigReadId NextRead(Rollout& rollout);
void SendHeadRead(Rollout& rollout, TimePoint now, RolloutEffects& effects);
/// Puts a record in force when it is newer, and offers it to peers behind.
/// With `push`, the offers carry the record.
void ApplyRecord(Rollout& rollout, TimePoint now, const ConfigRecordPtr& record,
                 bool push, RolloutEffects& effects);
/// Remembers that a version is accepted and fetches it when it is newer.
void NoteVersion(Rollout& rollout, TimePoint now, ConfigVersion version,
                 RolloutEffects& effects);
/// Asks the store or a peer for the newest version, each in turn.
void Fetch(Rollout& rollout, TimePoint now, RolloutEffects& effects);
/// Goes on with the first proposal; ends those whose time is up.
void StepProposals(Rollout& rollout, TimePoint now, RolloutEffects& effects);
void ProposalHeadRead(Rollout& rollout, TimePoint now, ConfigReadId read,
                      Code code, RolloutEffects& effects);
bool ProposalVersionRead(Rollout& rollout, TimePoint now, ConfigReadId read,
                         Code code, const ConfigRecordPtr& record,
                         RolloutEffects& effects);
bool QueryVersionRead(Rollout& rollout, ConfigReadId read, Code code,
                      const ConfigRecordPtr& record, RolloutEffects& effects);

}  // namespace internal

}  // namespace filbertspar
