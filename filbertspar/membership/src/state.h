#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "filbertspar/membership/src/plan.h"
#include "filbertspar/wire/wire.h"

namespace filbertspar {

/// \brief Times and counts; docs/membership.md has the figures behind them.
struct MembershipOptions {
  /// Places in the ring, on each side, whose nodes are watched.
  std::size_t m_reach = 1;
  Duration m_watch_interval = Milliseconds(500);
  Duration m_zone_interval = Seconds(3);
  Duration m_cross_interval = Seconds(6);
  /// Interval of all other links while the store is not reached, because the
  /// freshness rule needs reports from every node within 4 s.
  Duration m_outage_interval = Seconds(1);
  /// The three intervals above hold for up to this many links of a kind; with
  /// more links they grow in proportion, so that the bytes stay bounded.
  std::size_t m_links_at_interval = 7;
  /// Part of an interval by which heartbeats come early at random, so that
  /// changes, which all nodes send at once, do not keep them in step.
  double m_jitter = 0.1;
  /// A connection is silent after this many intervals without a heartbeat.
  int m_silent_intervals = 3;
  /// Time from suspicion to death without an answer to any probe.
  Duration m_confirm = Seconds(1);
  /// A second connection is tried after this time, because the first repeat
  /// of a lost SYN comes only after 1 s.
  Duration m_second_probe = Milliseconds(300);
  /// Time an observer takes at most to form an opinion on a subject.
  Duration m_opinion = Milliseconds(700);
  /// One is the subject's other neighbour, the others are peers of the asker,
  /// so that the loss of any two nodes leaves one that answers.
  std::size_t m_observers = 3;
  /// One dead or merely listed VM is probed in this interval, to heal
  /// partitions and to find nodes that joined elsewhere.
  Duration m_retry_interval = Seconds(5);
  /// Least time between two exchanges of the whole table with one peer.
  Duration m_sync_interval = Seconds(5);
  /// A dead node that the platform no longer lists is forgotten after this.
  Duration m_forget_after = Seconds(60);
};

/// \brief Bound of the member table; further nodes are ignored and counted.
inline constexpr std::size_t kMaxMembers = 2048;
/// \brief Bound of opinions being formed at one time; more are refused.
inline constexpr std::size_t kMaxQuestions = 64;
/// \brief Joining nodes probe this many listed VMs at a time.
inline constexpr std::size_t kJoinProbes = 3;

/// \brief Open check of a node whose connection is silent or broken.
struct Suspicion {
  TimePoint m_since;
  std::vector<std::uint64_t> m_probes;
  /// Questions to observers, numbered like probes.
  std::vector<std::uint64_t> m_questions;
  TimePoint m_next_step;
  /// In this round an observer did not reach the node either.
  bool m_agreed = false;
  /// In this round an observer reached the node, which outweighs the others.
  bool m_vetoed = false;
};

/// \brief Connection with a peer as the core wants and sees it.
struct LinkState {
  LinkDuty m_duty = LinkDuty::kWatch;
  /// False when only the peer plans the link.
  bool m_planned = false;
  /// What the peer's last heartbeat said of the link.
  bool m_wanted = false;
  /// The interval that the peer promised; 0 before its first heartbeat.
  Duration m_promised{0};
  TimePoint m_opened;
  TimePoint m_heard;
  TimePoint m_next_send;
  /// What the next heartbeat reports besides this node.
  std::set<VmName> m_news;
  bool m_send_table = false;
  TimePoint m_last_sync;
  std::optional<TimePoint> m_differs_since;
};

struct Member {
  NodeName m_node;
  ZoneName m_zone;
  Endpoint m_endpoint;
  MemberState m_state = MemberState::kLive;
  std::uint32_t m_round = 0;
  TimePoint m_state_since{};
  /// Last time the node was told that it counts as dead.
  TimePoint m_told_at{};

  /// From the node's own heartbeats; only nodes with a link have a report.
  std::optional<TimePoint> m_reported = std::nullopt;
  ConfigVersion m_version{};
  bool m_reaches_store = false;
  /// False while other nodes reach the node and this one does not.
  bool m_reachable = true;

  std::optional<LinkState> m_link = std::nullopt;
  std::optional<Suspicion> m_suspicion = std::nullopt;
};

/// \brief Opinion on a subject that this node forms for another one.
struct Question {
  std::uint64_t m_connection = 0;
  std::uint64_t m_number = 0;
  NodeName m_subject;
  TimePoint m_until;
};

/// \brief Digest of another zone and the time for which it speaks.
struct ZoneReport {
  ZoneDigest m_digest;
  TimePoint m_as_of;
};

/// \brief VM as the platform's list describes it: never proof of life.
struct ListedVm {
  VmName m_vm;
  ZoneName m_zone;
  Endpoint m_endpoint;
};

struct MembershipCounters {
  std::uint64_t m_suspicions = 0;
  std::uint64_t m_silent_connections = 0;
  std::uint64_t m_contradicted = 0;
  std::uint64_t m_deaths_declared = 0;
  std::uint64_t m_own_death_contradicted = 0;
  std::uint64_t m_stale_incarnations = 0;
  std::uint64_t m_table_full = 0;
};

/// \brief State of one node's membership; all behaviour is in core.h, view.h.
struct Membership {
  Membership(MemberUpdate self, MembershipOptions options, std::uint64_t seed)
      : m_self(std::move(self)), m_options(options), m_rng(seed) {}

  MemberUpdate m_self;
  MembershipOptions m_options;
  Rng m_rng;
  ConfigVersion m_version;
  bool m_reaches_store = false;

  /// Every known VM but this one.
  std::map<VmName, Member> m_members;
  std::map<ZoneName, ZoneReport> m_zones;
  std::map<VmName, ListedVm> m_listed;
  TimePoint m_listed_at{};

  /// Members with a link or a suspicion, the only ones that Tick visits.
  std::set<VmName> m_active;
  std::vector<PlanNode> m_ring;
  /// Nodes of the own zone, and nodes that have not left by zone.
  std::vector<VmName> m_zone_peers;
  std::map<ZoneName, std::size_t> m_known_in;
  std::size_t m_zone_links = 0;
  std::size_t m_cross_links = 0;
  bool m_plan_due = true;
  /// Something is to be sent or timed that the last NextTick did not include.
  bool m_tick_due = true;
  std::uint64_t m_table_hash = 0;
  TimePoint m_next_retry{};
  std::size_t m_rotation = 0;

  std::uint64_t m_next_number = 1;
  std::map<std::uint64_t, Question> m_questions;
  /// Probes of dead or listed VMs, with the time until which they wait.
  std::map<std::uint64_t, TimePoint> m_contacts;
  MembershipCounters m_counters;
};

}  // namespace filbertspar
