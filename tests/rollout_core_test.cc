#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "filbertspar/rollout/rollout.h"
#include "tests/rollout_cluster.h"

namespace filbertspar {
namespace {

using testing::SmallCatalogue;

const TimePoint kStart{Seconds(1000)};

ConfigRecordPtr Record(std::uint64_t version) {
  ConfigRecord record{SmallCatalogue(), "op", ""};
  record.m_catalogue.m_version = ConfigVersion(version);
  record.m_catalogue.m_teams[0].m_ceiling = static_cast<std::int64_t>(version);
  return std::make_shared<const ConfigRecord>(record);
}

Row VersionRow(std::uint64_t version) {
  return {VersionRowKey(ConfigVersion(version)), RowVersion(1), "a", 0,
          RecordToJson(*Record(version))};
}

Row HeadRow(std::uint64_t version, std::uint64_t row_version) {
  return {HeadRowKey(), RowVersion(row_version), "a", 0,
          HeadToJson(ConfigVersion(version))};
}

template <typename T>
std::vector<T> Only(const RolloutEffects& effects) {
  std::vector<T> found;
  for (const RolloutEffect& effect : effects) {
    if (const T* one = std::get_if<T>(&effect)) {
      found.push_back(*one);
    }
  }
  return found;
}

// A node that has confirmed the head and has the version in force.
Rollout NodeWith(std::uint64_t version) {
  Rollout rollout = MakeRollout(NodeName("a#1"), kStart);
  RolloutEffects effects;
  Tick(rollout, kStart, effects);
  HeadRead(rollout, kStart, Only<ReadHead>(effects).at(0).m_read, Code::kOk,
           HeadRow(version, version + 10), effects);
  VersionRead(rollout, kStart, Only<ReadVersion>(effects).at(0).m_read,
              Code::kOk, VersionRow(version), effects);
  return rollout;
}

// Guards against a change made against an old version, and against a conflict
// that does not say which version is newer.
TEST_CASE("a conflict names the newer version") {
  Rollout rollout = NodeWith(4);
  RolloutEffects effects;
  Propose(rollout, kStart, ProposalId(1),
          {ConfigVersion(3), SmallCatalogue(), "op"}, effects);
  REQUIRE(Only<ProposalReply>(effects).size() == 1);
  CHECK(Only<ProposalReply>(effects)[0].m_code == Code::kConfigConflict);
  CHECK(Only<ProposalReply>(effects)[0].m_version == ConfigVersion(4));

  effects.clear();
  Propose(rollout, kStart, ProposalId(2),
          {ConfigVersion(4), SmallCatalogue(), "op"}, effects);
  const auto writes = Only<WriteConfig>(effects);
  REQUIRE(writes.size() == 1);
  REQUIRE(writes[0].m_rows.size() == 2);
  CHECK(writes[0].m_rows[0].m_row == VersionRowKey(ConfigVersion(5)));
  CHECK(writes[0].m_rows[1].m_expect == RowVersion(14));
  ConfigWriteEnded(rollout, kStart, ProposalId(2),
                   {.m_operation = {},
                    .m_outcome = WriteOutcome::kConflict,
                    .m_code = Code::kPlatformConflict},
                   effects);
  CHECK(Only<ProposalReply>(effects).empty());
  HeadRead(rollout, kStart, Only<ReadHead>(effects).back().m_read, Code::kOk,
           HeadRow(7, 21), effects);
  REQUIRE(Only<ProposalReply>(effects).size() == 1);
  CHECK(Only<ProposalReply>(effects)[0].m_version == ConfigVersion(7));
}

// Guards against a document that is invalid as a whole being written.
TEST_CASE("an invalid document is refused before any write") {
  Rollout rollout = NodeWith(4);
  RolloutEffects effects;
  Proposal proposal{ConfigVersion(4), SmallCatalogue(), "op"};
  proposal.m_document.m_teams[0].m_workspace = WorkspaceName("none");
  Propose(rollout, kStart, ProposalId(1), proposal, effects);
  REQUIRE(effects.size() == 1);
  CHECK(std::get<ProposalReply>(effects[0]).m_code == Code::kConfigInvalid);
}

// Guards against a change reported as accepted before its commit is known, and
// against one that never takes force when its commit is known late.
TEST_CASE("an unconfirmed change takes force when it proves committed") {
  Rollout rollout = NodeWith(4);
  RolloutEffects effects;
  Propose(rollout, kStart, ProposalId(1),
          {ConfigVersion(4), SmallCatalogue(), "op"}, effects);
  ConfigWriteEnded(rollout, kStart, ProposalId(1), {}, effects);
  CHECK(Only<ProposalReply>(effects).at(0).m_code == Code::kChangeUnconfirmed);
  CHECK(VersionInForce(rollout) == ConfigVersion(4));
  ConfigWriteEnded(rollout, kStart, ProposalId(1),
                   {.m_operation = {},
                    .m_outcome = WriteOutcome::kCommitted,
                    .m_versions = {RowVersion(1), RowVersion(15)}},
                   effects);
  CHECK(VersionInForce(rollout) == ConfigVersion(5));
  CHECK(Only<ProposalReply>(effects).size() == 1);
}

// Guards against a new node that waits for a store that is down, or that takes
// an older version than some peer has.
TEST_CASE("a new node without the store takes the newest version of any peer") {
  Rollout rollout = MakeRollout(NodeName("new#1"), kStart);
  RolloutEffects effects;
  for (const std::uint64_t version : {3, 5, 4}) {
    const NodeName peer("p" + std::to_string(version) + "#1");
    PeerKnown(rollout, peer);
    PeerReported(rollout, kStart,
                 {.m_peer = peer,
                  .m_version = ConfigVersion(version),
                  .m_reaches_store = false,
                  .m_as_of = kStart},
                 effects);
  }
  const auto fetches = Only<SendFetch>(effects);
  REQUIRE_FALSE(fetches.empty());
  CHECK(fetches.back().m_peer == NodeName("p5#1"));
  // Answers come in any order and twice.
  for (const std::uint64_t version : {4, 5, 3, 5}) {
    OfferReceived(rollout, kStart, NodeName("p" + std::to_string(version)),
                  ConfigVersion(version), Record(version), effects);
  }
  CHECK(VersionInForce(rollout) == ConfigVersion(5));
  CHECK(Only<ApplyConfig>(effects).size() == 2);
  CHECK(CheckFresh(rollout, kStart + Seconds(4), WorkspaceName("sales")) ==
        Code::kOk);
}

// Guards against keyed work taken on a configuration older than the bound, and
// against a dead entry that no longer counts as unreachable.
TEST_CASE("freshness ends when the store and one known entry are silent") {
  Rollout rollout = NodeWith(4);
  const WorkspaceName sales("sales");
  RolloutEffects effects;
  const NodeName peer("b#1");
  PeerKnown(rollout, peer);
  CHECK(CheckFresh(rollout, kStart + Seconds(4), sales) == Code::kOk);
  CHECK(CheckFresh(rollout, kStart + Seconds(4) + Duration(1), sales) ==
        Code::kConfigStale);
  TimePoint now = kStart + Seconds(5);
  Tick(rollout, now, effects);
  HeadRead(rollout, now, Only<ReadHead>(effects).back().m_read,
           Code::kPlatformTimeout, {}, effects);
  PeerReport report{.m_peer = peer,
                    .m_version = ConfigVersion(4),
                    .m_reaches_store = false,
                    .m_as_of = now};
  PeerReported(rollout, now, report, effects);
  CHECK(CheckFresh(rollout, now + Seconds(4), sales) == Code::kOk);
  PeerLeft(rollout, now, peer);
  CHECK(CheckFresh(rollout, now + Seconds(5), sales) == Code::kConfigStale);
  // A peer that said that it is stopping is not waited for.
  PeerKnown(rollout, NodeName("c#1"));
  report.m_stopping = true;
  PeerReported(rollout, now, report, effects);
  PeerLeft(rollout, now, peer);
  report.m_peer = NodeName("c#1");
  report.m_stopping = false;
  report.m_as_of = now + Seconds(4);
  PeerReported(rollout, now, report, effects);
  CHECK(CheckFresh(rollout, now + Seconds(5), sales) == Code::kOk);
}

// Guards against a restore that goes back instead of forward.
TEST_CASE("an accepted version is restored as a new version") {
  Rollout rollout = NodeWith(4);
  RolloutEffects effects;
  Restore(rollout, kStart, ProposalId(1), ConfigVersion(2), ConfigVersion(4),
          "op", effects);
  const auto reads = Only<ReadVersion>(effects);
  REQUIRE(reads.size() == 1);
  VersionRead(rollout, kStart, reads[0].m_read, Code::kOk, VersionRow(2),
              effects);
  const auto writes = Only<WriteConfig>(effects);
  REQUIRE(writes.size() == 1);
  CHECK(writes[0].m_rows[0].m_row == VersionRowKey(ConfigVersion(5)));
  const ConfigRecordPtr record =
      RecordFromJson(*writes[0].m_rows[0].m_value).value();
  CHECK(record->m_catalogue.m_teams[0].m_ceiling == 2);
  CHECK(record->m_note == "restored from version 2");
}

// Guards against a difference that the list leaves out.
TEST_CASE("two versions are compared line by line") {
  Rollout rollout = NodeWith(4);
  RolloutEffects effects;
  Compare(rollout, ConfigQueryId(1), ConfigVersion(2), ConfigVersion(),
          effects);
  VersionRead(rollout, kStart, Only<ReadVersion>(effects).at(0).m_read,
              Code::kOk, VersionRow(2), effects);
  REQUIRE(Only<CompareReply>(effects).size() == 1);
  CHECK(Only<CompareReply>(effects)[0].m_lines ==
        std::vector<std::string>{"teams/desk/ceiling: 2 -> 4"});
  Catalogue to = SmallCatalogue();
  to.m_teams.push_back(to.m_teams[0]);
  to.m_teams[1].m_name = TeamName("night");
  to.m_keys[0].m_hash = std::string(64, 'b');
  to.m_keys[0].m_revoked = true;
  to.m_workspaces.clear();
  to.m_weights.m_moves = 2;
  CHECK(DiffCatalogues(SmallCatalogue(), to) ==
        std::vector<std::string>{"workspaces/sales: removed",
                                 "teams/night: added", "keys/k/hash: changed",
                                 "keys/k/revoked: false -> true",
                                 "weights/moves: 1E0 -> 2E0"});
  CHECK(DiffCatalogues(to, to).empty());
}

}  // namespace
}  // namespace filbertspar
