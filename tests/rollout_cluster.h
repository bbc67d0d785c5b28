#pragma once

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "filbertspar/rollout/rollout.h"
#include "tests/fake_store.h"

namespace filbertspar::testing {

inline Catalogue SmallCatalogue() {
  Catalogue catalogue;
  catalogue.m_workspaces.push_back({.m_name = WorkspaceName("sales")});
  catalogue.m_teams.push_back({.m_name = TeamName("desk"),
                               .m_workspace = WorkspaceName("sales"),
                               .m_weight = 2,
                               .m_ceiling = 40});
  catalogue.m_keys.push_back({.m_name = KeyName("k"),
                              .m_team = TeamName("desk"),
                              .m_hash = std::string(64, 'a')});
  return catalogue;
}

struct PeerFaults {
  double m_lose = 0;
  double m_duplicate = 0;
  Duration m_min_delay = Milliseconds(1);
  Duration m_max_delay = Milliseconds(3);
};

/// \brief Faults that the checks must find.
enum class PlantedFault : std::uint8_t {
  kNone,
  /// Applies whatever record arrives, without comparing versions.
  kAnyRecord,
  /// Takes the time of receipt for the time of a peer's statement.
  kTimeOfReceipt,
  /// Takes an unsettled write for a committed one.
  kGuessCommit,
};

/// \brief One process of the cluster; a restart makes a new one in its place.
struct ClusterNode {
  Rollout m_rollout;
  int m_incarnation = 0;
  bool m_up = false;
  TimePoint m_paused_until{};
  /// Send time of the last heartbeat of each peer that arrived here.
  std::map<int, std::pair<int, TimePoint>> m_heard;
};

/// \brief Entries that share a store and talk to each other, with faults.
struct RolloutCluster {
  explicit RolloutCluster(int nodes, std::uint64_t seed)
      : m_rng(seed), m_store{m_time, Rng(seed + 1), {}, {}, false, {}, 0} {
    m_nodes.resize(static_cast<std::size_t>(nodes));
  }

  VirtualTime m_time;
  Rng m_rng;
  FakeStore m_store;
  PeerFaults m_faults;
  std::vector<ClusterNode> m_nodes;
  /// Pairs of nodes that do not hear each other.
  std::function<bool(int, int)> m_separated = [](int, int) { return false; };
  /// When each version was first in force anywhere.
  std::map<ConfigVersion, TimePoint> m_first_in_force;
  /// When each node had a version or a newer one in force.
  std::map<ConfigVersion, std::map<int, TimePoint>> m_applied;
  std::vector<ProposalReply> m_replies;
  int m_violations = 0;
  std::uint64_t m_last_proposal = 0;
  PlantedFault m_planted = PlantedFault::kNone;
};

inline NodeName NodeOf(const RolloutCluster& cluster, int node) {
  return NodeName(
      "vm" + std::to_string(node) + "#" +
      std::to_string(
          cluster.m_nodes[static_cast<std::size_t>(node)].m_incarnation));
}

/// \brief Runs an action in a process when it is up and not paused; an action
/// meant for an earlier incarnation is dropped.
inline void InNode(RolloutCluster& cluster, int node, int incarnation,
                   const std::function<void(Rollout&, RolloutEffects&)>& act);

inline void CarryOut(RolloutCluster& cluster, int node, int incarnation,
                     const RolloutEffects& effects);

inline void InNode(RolloutCluster& cluster, int node, int incarnation,
                   const std::function<void(Rollout&, RolloutEffects&)>& act) {
  ClusterNode& target = cluster.m_nodes[static_cast<std::size_t>(node)];
  if (!target.m_up || target.m_incarnation != incarnation) {
    return;
  }
  if (target.m_paused_until > cluster.m_time.Now()) {
    cluster.m_time.At(target.m_paused_until,
                      [&cluster, node, incarnation, act] {
                        InNode(cluster, node, incarnation, act);
                      });
    return;
  }
  RolloutEffects effects;
  act(target.m_rollout, effects);
  CarryOut(cluster, node, incarnation, effects);
}

inline void SendToPeer(
    RolloutCluster& cluster, int from, int to,
    const std::function<void(Rollout&, RolloutEffects&)>& act) {
  const int copies = cluster.m_rng.Chance(cluster.m_faults.m_duplicate) ? 2 : 1;
  for (int copy = 0; copy < copies; ++copy) {
    if (cluster.m_separated(from, to) ||
        cluster.m_rng.Chance(cluster.m_faults.m_lose)) {
      continue;
    }
    const int incarnation =
        cluster.m_nodes[static_cast<std::size_t>(to)].m_incarnation;
    cluster.m_time.After(
        RandomDuration(cluster.m_rng, cluster.m_faults.m_min_delay,
                       cluster.m_faults.m_max_delay),
        [&cluster, to, incarnation, act] {
          InNode(cluster, to, incarnation, act);
        });
  }
}

inline int FindNode(const RolloutCluster& cluster, const NodeName& name) {
  for (int node = 0; node < static_cast<int>(cluster.m_nodes.size()); ++node) {
    if (NodeOf(cluster, node) == name) {
      return node;
    }
  }
  return -1;
}

inline void NoteApplied(RolloutCluster& cluster, int node,
                        const ConfigRecordPtr& record) {
  const ConfigVersion version = record->m_catalogue.m_version;
  cluster.m_first_in_force.try_emplace(version, cluster.m_time.Now());
  for (std::uint64_t v = version.Value(); v > 0; --v) {
    if (!cluster.m_applied[ConfigVersion(v)]
             .try_emplace(node, cluster.m_time.Now())
             .second) {
      break;
    }
  }
  // Whatever is in force anywhere is what the table holds for that version.
  const Row row = ReadRow(cluster.m_store.m_table, VersionRowKey(version));
  if (!row.m_value || *row.m_value != RecordToJson(*record)) {
    ++cluster.m_violations;
  }
}

inline void CarryOut(RolloutCluster& cluster, int node, int incarnation,
                     const RolloutEffects& effects) {
  const auto in_node =
      [&cluster, node,
       incarnation](const std::function<void(Rollout&, RolloutEffects&)>& act) {
        InNode(cluster, node, incarnation, act);
      };
  for (const RolloutEffect& effect : effects) {
    if (const auto* head = std::get_if<ReadHead>(&effect)) {
      SendRead(
          cluster.m_store, node, HeadRowKey(),
          [&cluster, in_node, read = head->m_read](Code code, const Row& row) {
            in_node([&cluster, read, code, row](Rollout& rollout,
                                                RolloutEffects& out) {
              HeadRead(rollout, cluster.m_time.Now(), read, code, row, out);
            });
          });
    } else if (const auto* version = std::get_if<ReadVersion>(&effect)) {
      SendRead(cluster.m_store, node, VersionRowKey(version->m_version),
               [&cluster, in_node, read = version->m_read](Code code,
                                                           const Row& row) {
                 in_node([&cluster, read, code, row](Rollout& rollout,
                                                     RolloutEffects& out) {
                   VersionRead(rollout, cluster.m_time.Now(), read, code, row,
                               out);
                 });
               });
    } else if (const auto* write = std::get_if<WriteConfig>(&effect)) {
      const auto alive = [&cluster, node, incarnation] {
        const ClusterNode& writer =
            cluster.m_nodes[static_cast<std::size_t>(node)];
        return writer.m_up && writer.m_incarnation == incarnation;
      };
      SendWrite(cluster.m_store, node, write->m_rows, write->m_deadline, alive,
                [&cluster, in_node,
                 id = write->m_proposal](const WriteReport& report) {
                  in_node([&cluster, id, report](Rollout& rollout,
                                                 RolloutEffects& out) {
                    WriteReport told = report;
                    if (cluster.m_planted == PlantedFault::kGuessCommit &&
                        !told.IsFinal()) {
                      told.m_outcome = WriteOutcome::kCommitted;
                    }
                    ConfigWriteEnded(rollout, cluster.m_time.Now(), id, told,
                                     out);
                  });
                });
    } else if (const auto* offer = std::get_if<SendOffer>(&effect)) {
      const int to = FindNode(cluster, offer->m_peer);
      if (to >= 0) {
        SendToPeer(cluster, node, to,
                   [&cluster, from = NodeOf(cluster, node), offer = *offer](
                       Rollout& rollout, RolloutEffects& out) {
                     if (cluster.m_planted == PlantedFault::kAnyRecord &&
                         offer.m_record != nullptr) {
                       rollout.m_in_force = nullptr;
                     }
                     OfferReceived(rollout, cluster.m_time.Now(), from,
                                   offer.m_version, offer.m_record, out);
                   });
      }
    } else if (const auto* fetch = std::get_if<SendFetch>(&effect)) {
      const int to = FindNode(cluster, fetch->m_peer);
      if (to >= 0) {
        SendToPeer(cluster, node, to,
                   [from = NodeOf(cluster, node)](Rollout& rollout,
                                                  RolloutEffects& out) {
                     FetchReceived(rollout, from, out);
                   });
      }
    } else if (const auto* apply = std::get_if<ApplyConfig>(&effect)) {
      NoteApplied(cluster, node, apply->m_record);
    } else if (const auto* reply = std::get_if<ProposalReply>(&effect)) {
      cluster.m_replies.push_back(*reply);
    }
  }
}

inline void StartTicks(RolloutCluster& cluster, int node, int incarnation) {
  InNode(cluster, node, incarnation,
         [&cluster](Rollout& rollout, RolloutEffects& out) {
           Tick(rollout, cluster.m_time.Now(), out);
         });
  cluster.m_time.After(Milliseconds(50), [&cluster, node, incarnation] {
    const ClusterNode& target = cluster.m_nodes[static_cast<std::size_t>(node)];
    if (target.m_up && target.m_incarnation == incarnation) {
      StartTicks(cluster, node, incarnation);
    }
  });
}

/// \brief Sends a heartbeat to every peer, with the echo of its last one.
inline void Heartbeats(RolloutCluster& cluster, int node, int incarnation) {
  ClusterNode& sender = cluster.m_nodes[static_cast<std::size_t>(node)];
  if (!sender.m_up || sender.m_incarnation != incarnation) {
    return;
  }
  const TimePoint now = cluster.m_time.Now();
  if (sender.m_paused_until <= now) {
    for (int to = 0; to < static_cast<int>(cluster.m_nodes.size()); ++to) {
      if (to == node) {
        continue;
      }
      const auto heard = sender.m_heard.find(to);
      const int known =
          heard == sender.m_heard.end() ? -1 : heard->second.first;
      PeerReport report;
      report.m_peer = NodeOf(cluster, node);
      report.m_version = VersionInForce(sender.m_rollout);
      report.m_reaches_store = sender.m_rollout.m_reaches_store;
      report.m_as_of =
          heard == sender.m_heard.end() ? TimePoint() : heard->second.second;
      SendToPeer(cluster, node, to,
                 [&cluster, node, to, report, now, incarnation, known](
                     Rollout& rollout, RolloutEffects& out) {
                   ClusterNode& receiver =
                       cluster.m_nodes[static_cast<std::size_t>(to)];
                   auto& last = receiver.m_heard[node];
                   last = std::max(last, std::pair(incarnation, now));
                   PeerReport echoed = report;
                   if (known != receiver.m_incarnation) {
                     // The echo is of an earlier process of this VM.
                     echoed.m_as_of = TimePoint();
                   }
                   if (cluster.m_planted == PlantedFault::kTimeOfReceipt) {
                     echoed.m_as_of = cluster.m_time.Now();
                   }
                   PeerReported(rollout, cluster.m_time.Now(), echoed, out);
                 });
    }
  }
  cluster.m_time.After(Milliseconds(500), [&cluster, node, incarnation] {
    Heartbeats(cluster, node, incarnation);
  });
}

/// \brief Starts a process that keeps nothing of its predecessor.
inline void StartNode(RolloutCluster& cluster, int node) {
  ClusterNode& started = cluster.m_nodes[static_cast<std::size_t>(node)];
  const NodeName before = NodeOf(cluster, node);
  const int incarnation = started.m_incarnation + 1;
  started = ClusterNode();
  started.m_incarnation = incarnation;
  started.m_up = true;
  started.m_rollout = MakeRollout(NodeOf(cluster, node), cluster.m_time.Now());
  for (auto& [version, nodes] : cluster.m_applied) {
    nodes.erase(node);
  }
  for (int peer = 0; peer < static_cast<int>(cluster.m_nodes.size()); ++peer) {
    Rollout& other = cluster.m_nodes[static_cast<std::size_t>(peer)].m_rollout;
    if (peer != node) {
      PeerLeft(other, cluster.m_time.Now(), before);
      PeerKnown(other, NodeOf(cluster, node));
      PeerKnown(started.m_rollout, NodeOf(cluster, peer));
    }
  }
  StartTicks(cluster, node, incarnation);
  Heartbeats(cluster, node, incarnation);
}

inline void StopNode(RolloutCluster& cluster, int node) {
  cluster.m_nodes[static_cast<std::size_t>(node)].m_up = false;
}

/// \brief Proposes a change of the document in force at a node.
inline ProposalId ProposeAt(RolloutCluster& cluster, int node,
                            const std::function<void(Catalogue&)>& change) {
  const ProposalId id(++cluster.m_last_proposal);
  InNode(cluster, node,
         cluster.m_nodes[static_cast<std::size_t>(node)].m_incarnation,
         [&cluster, id, change](Rollout& rollout, RolloutEffects& out) {
           Proposal proposal;
           proposal.m_base = VersionInForce(rollout);
           proposal.m_document = rollout.m_in_force == nullptr
                                     ? SmallCatalogue()
                                     : rollout.m_in_force->m_catalogue;
           proposal.m_author = "op" + std::to_string(id.Value());
           change(proposal.m_document);
           Propose(rollout, cluster.m_time.Now(), id, std::move(proposal), out);
         });
  return id;
}

/// \brief Counts nodes that claim to be fresh at a moment although a version
/// was in force elsewhere before it, and versions that went back.
inline void CheckNodes(RolloutCluster& cluster,
                       std::map<std::pair<int, int>, ConfigVersion>& newest) {
  for (int node = 0; node < static_cast<int>(cluster.m_nodes.size()); ++node) {
    const ClusterNode& checked =
        cluster.m_nodes[static_cast<std::size_t>(node)];
    if (!checked.m_up || checked.m_paused_until > cluster.m_time.Now()) {
      continue;
    }
    const ConfigVersion version = VersionInForce(checked.m_rollout);
    ConfigVersion& seen = newest[{node, checked.m_incarnation}];
    cluster.m_violations += version < seen ? 1 : 0;
    seen = std::max(seen, version);
    const auto fresh = FreshAsOf(checked.m_rollout, cluster.m_time.Now());
    const auto missed =
        cluster.m_first_in_force.find(ConfigVersion(version.Value() + 1));
    if (fresh && missed != cluster.m_first_in_force.end() &&
        missed->second < *fresh) {
      ++cluster.m_violations;
    }
  }
}

struct HistoryResult {
  int m_violations = 0;
  int m_accepted = 0;
  int m_conflicts = 0;
  int m_unconfirmed = 0;
  bool m_converged = false;
};

/// \brief One seeded history: `faults` names up to two kinds of fault (bits 0
/// to 5: loss, delay, duplication, pause, crash, partition).
inline HistoryResult RunRolloutHistory(
    std::uint64_t seed, unsigned faults,
    PlantedFault planted = PlantedFault::kNone) {
  RolloutCluster cluster(4, seed);
  cluster.m_planted = planted;
  Rng rng(seed + 7);
  const bool loss = (faults & 1U) != 0;
  const bool delay = (faults & 2U) != 0;
  if (loss) {
    cluster.m_faults.m_lose = 0.3;
    cluster.m_store.m_faults.m_lose_request = 0.2;
    cluster.m_store.m_faults.m_lose_answer = 0.2;
  }
  if (delay) {
    cluster.m_faults.m_max_delay = Milliseconds(3000);
    cluster.m_store.m_faults.m_max_delay = Milliseconds(400);
  }
  cluster.m_faults.m_duplicate = (faults & 4U) != 0 ? 0.5 : 0;
  for (int node = 0; node < 4; ++node) {
    StartNode(cluster, node);
  }
  std::map<std::pair<int, int>, ConfigVersion> newest;
  for (int step = 0; step < 40; ++step) {
    const int node = static_cast<int>(rng.Below(4));
    ClusterNode& chosen = cluster.m_nodes[static_cast<std::size_t>(node)];
    if (rng.Chance(0.5)) {
      ProposeAt(cluster, node, [&](Catalogue& catalogue) {
        catalogue.m_teams[0].m_ceiling =
            static_cast<std::int64_t>(rng.Below(99));
      });
    }
    if ((faults & 8U) != 0 && rng.Chance(0.3)) {
      chosen.m_paused_until =
          cluster.m_time.Now() +
          RandomDuration(rng, Milliseconds(100), Seconds(8));
    }
    if ((faults & 16U) != 0 && rng.Chance(0.2)) {
      StopNode(cluster, node);
      StartNode(cluster, node);
    }
    if ((faults & 32U) != 0 && rng.Chance(0.3)) {
      cluster.m_store.m_down = rng.Chance(0.3);
      cluster.m_store.m_cut.clear();
      const unsigned side = static_cast<unsigned>(rng.Below(16));
      for (int n = 0; n < 4; ++n) {
        if (rng.Chance(0.4)) {
          cluster.m_store.m_cut.insert(n);
        }
      }
      cluster.m_separated = [side](int a, int b) {
        return ((side >> a) & 1U) != ((side >> b) & 1U);
      };
    }
    for (int k = 0; k < 4; ++k) {
      cluster.m_time.RunUntil(
          cluster.m_time.Now() +
          RandomDuration(rng, Milliseconds(1), Milliseconds(500)));
      CheckNodes(cluster, newest);
    }
  }
  cluster.m_store.m_down = false;
  cluster.m_store.m_cut.clear();
  cluster.m_store.m_faults = {};
  cluster.m_faults = {};
  cluster.m_separated = [](int, int) { return false; };
  cluster.m_time.RunUntil(cluster.m_time.Now() + Seconds(20));
  CheckNodes(cluster, newest);
  HistoryResult result;
  const Row head = ReadRow(cluster.m_store.m_table, HeadRowKey());
  const ConfigVersion last =
      head.m_value ? *HeadFromJson(*head.m_value) : ConfigVersion();
  result.m_converged = true;
  for (const ClusterNode& checked : cluster.m_nodes) {
    result.m_converged &= VersionInForce(checked.m_rollout) == last;
  }
  std::map<ConfigVersion, std::string> accepted;
  for (const ProposalReply& reply : cluster.m_replies) {
    const std::string author = "op" + std::to_string(reply.m_proposal.Value());
    result.m_conflicts += reply.m_code == Code::kConfigConflict ? 1 : 0;
    result.m_unconfirmed += reply.m_code == Code::kChangeUnconfirmed ? 1 : 0;
    bool in_table = false;
    for (std::uint64_t v = 1; v <= last.Value(); ++v) {
      const Row row =
          ReadRow(cluster.m_store.m_table, VersionRowKey(ConfigVersion(v)));
      in_table |=
          row.m_value && (*RecordFromJson(*row.m_value))->m_author == author;
    }
    const bool ok = reply.m_code == Code::kOk;
    result.m_accepted += ok ? 1 : 0;
    // An accepted change is in the table; one refused as not written is not.
    if (reply.m_code != Code::kChangeUnconfirmed && ok != in_table) {
      ++cluster.m_violations;
    }
    if (ok && !accepted.try_emplace(reply.m_version, author).second) {
      ++cluster.m_violations;
    }
  }
  result.m_violations = cluster.m_violations;
  return result;
}

}  // namespace filbertspar::testing
