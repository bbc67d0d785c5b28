#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "filbertspar/base/base.h"
#include "filbertspar/settings/settings.h"

namespace filbertspar {

/// \brief First message in each direction of a connection.
struct Hello {
  NodeName m_node;
  /// VM that the sender believes it talks to; empty when not known.
  VmName m_to;
  ZoneName m_zone;
  /// Where the sender accepts connections.
  Endpoint m_endpoint;
  /// Chosen at random by the sender; every later frame to it carries it.
  std::uint64_t m_nonce = 0;
  std::uint32_t m_protocol = 1;

  friend bool operator==(const Hello&, const Hello&) = default;
};

/// \brief What a node knows about the entry VMs of one zone.
struct ZoneDigest {
  ZoneName m_zone;
  std::uint32_t m_live = 0;
  /// Lowest and highest configuration version in force at the live nodes.
  ConfigVersion m_oldest;
  ConfigVersion m_newest;
  /// True when at least one live node reaches the store.
  bool m_reaches_store = false;
  /// True when every known node of the zone is included.
  bool m_complete = false;
  /// Age of the oldest report that the digest includes.
  Duration m_age{0};

  friend bool operator==(const ZoneDigest&, const ZoneDigest&) = default;
};

/// \brief Ordered: of two reports of one round the later state holds.
enum class MemberState : std::uint8_t {
  kLive,
  kLeaving,
  /// Declared dead; it may come back in a higher round.
  kDead,
  /// Gone after it announced that it leaves.
  kLeft,
};

/// \brief News about one node, passed on from node to node.
struct MemberUpdate {
  NodeName m_node;
  ZoneName m_zone;
  Endpoint m_endpoint;
  MemberState m_state = MemberState::kLive;
  /// Raised only by the node itself, to contradict a report of its death.
  std::uint32_t m_round = 0;

  friend bool operator==(const MemberUpdate&, const MemberUpdate&) = default;
};

struct Heartbeat {
  NodeName m_node;
  std::uint64_t m_incarnation = 0;
  ConfigVersion m_config_version;
  bool m_reaches_store = false;
  bool m_leaving = false;
  /// The sender's next heartbeat on this connection follows within this time.
  Duration m_interval{0};
  /// Whether the sender plans this link, or only serves the peer's.
  bool m_wanted = false;
  /// Hash of the sender's member table; unequal tables are exchanged.
  std::uint64_t m_table_hash = 0;
  std::vector<ZoneDigest> m_zones;
  std::vector<MemberUpdate> m_updates;

  friend bool operator==(const Heartbeat&, const Heartbeat&) = default;
};

/// \brief Asks for a reply, or, with a subject, for an opinion on that node.
struct Probe {
  std::uint64_t m_number = 0;
  NodeName m_subject;

  friend bool operator==(const Probe&, const Probe&) = default;
};

struct ProbeReply {
  std::uint64_t m_number = 0;
  NodeName m_subject;
  /// Whether the subject answered the replier; true without a subject.
  bool m_reachable = true;

  friend bool operator==(const ProbeReply&, const ProbeReply&) = default;
};

/// \brief Announces a configuration; the document is empty when it is only
/// announced, and present in the answer to a ConfigFetch.
struct ConfigOffer {
  ConfigVersion m_version;
  std::string m_document;

  friend bool operator==(const ConfigOffer&, const ConfigOffer&) = default;
};

struct ConfigFetch {
  ConfigVersion m_version;

  friend bool operator==(const ConfigFetch&, const ConfigFetch&) = default;
};

/// \brief Use and demand of one team in one pool at the sender.
struct UseLine {
  PoolName m_pool;
  TeamName m_team;
  std::int64_t m_running = 0;
  std::int64_t m_waiting = 0;
  std::int64_t m_free_grant = 0;

  friend bool operator==(const UseLine&, const UseLine&) = default;
};

struct UseSummary {
  NodeName m_node;
  std::vector<UseLine> m_lines;

  friend bool operator==(const UseSummary&, const UseSummary&) = default;
};

/// \brief A request handed to a peer that has a free grant unit.
struct Forward {
  RequestId m_request;
  EntryName m_entry;
  TeamName m_team;
  std::string m_request_key;
  Duration m_deadline{0};
  std::string m_body;

  friend bool operator==(const Forward&, const Forward&) = default;
};

struct ForwardReply {
  RequestId m_request;
  Code m_code = Code::kOk;
  std::string m_body;

  friend bool operator==(const ForwardReply&, const ForwardReply&) = default;
};

/// \brief Units of a team's ceiling that the sender wants and holds unused.
struct GrantHint {
  NodeName m_node;
  TeamName m_team;
  std::int64_t m_wanted = 0;
  std::int64_t m_free = 0;

  friend bool operator==(const GrantHint&, const GrantHint&) = default;
};

enum class JobVerb : std::uint8_t {
  kSubmit,
  kState,
  kCancel,
  kQueueLength,
  /// Asks whether a job would be admitted now; has no effect.
  kOffer,
};

/// \brief A caller's call, passed on to the VM that owns the jobs.
struct JobCall {
  std::uint64_t m_number = 0;
  JobVerb m_verb = JobVerb::kState;
  std::string m_queue;
  /// Workspace that the caller's key belongs to; empty without a key.
  std::string m_workspace;
  std::string m_job;
  /// Bytes of the job row; only with a submit and, without the payload, with an
  /// offer.
  std::string m_body;
  /// Time in which the answer is of use to the caller.
  Duration m_wait{0};
  /// Times on the clock of the VM that executes the call, in milliseconds; -1
  /// when the sender does not know that clock. Earliest time at which the
  /// caller's request may have been received.
  std::int64_t m_received_ms = -1;
  /// Latest time at which the sender may still wait for the reply.
  std::int64_t m_expires_ms = -1;

  friend bool operator==(const JobCall&, const JobCall&) = default;
};

struct JobReply {
  std::uint64_t m_number = 0;
  Code m_code = Code::kOk;
  /// State of the job, as its number in JobState.
  std::uint8_t m_state = 0;
  /// Jobs of the queue that have not begun. For an offer: 1 when the job was
  /// accepted before, else 0.
  std::int64_t m_count = 0;
  /// When a caller that was refused should come back; 0: not stated.
  Duration m_retry_after{0};

  friend bool operator==(const JobReply&, const JobReply&) = default;
};

/// \brief Sent to the owner regularly, so that both ends notice silence.
struct LinkPing {
  std::uint64_t m_number = 0;
  /// Time since the sender last reached the store.
  Duration m_store_age{0};
  /// Processor of the sender's VM.
  Millicores m_cpu_capacity;
  /// Whether the sender may become the owner.
  bool m_willing = false;
  /// Whether the sender can be asked to send starts; releases before
  /// RelayedStart close the link when they are asked.
  bool m_relays_starts = false;
  /// Whether starts that it relays reach no other incarnation of the worker
  /// than theirs; false from releases without it.
  bool m_relays_to_incarnation = false;
  /// Earliest reading of the owner's clock, in milliseconds, when the fields
  /// above were true; -1 when it is not known, and from releases without it.
  std::int64_t m_stated_ms = -1;

  friend bool operator==(const LinkPing&, const LinkPing&) = default;
};

struct LinkPong {
  std::uint64_t m_number = 0;
  /// Whether the owner's last write to the store is recent.
  bool m_confirmed = false;
  /// Whether jobs should be offered before they are submitted.
  bool m_ask_first = false;
  /// Clock of the sender, in milliseconds; -1 from releases without it.
  std::int64_t m_clock_ms = -1;

  friend bool operator==(const LinkPong&, const LinkPong&) = default;
};

/// \brief Asks another VM to send a start. The VM that forwarded a job has its
/// payload.
struct RelayedStart {
  std::uint64_t m_number = 0;
  std::string m_worker;
  Endpoint m_endpoint;
  std::string m_job;
  std::uint32_t m_occurrence = 0;
  std::uint32_t m_step = 0;
  std::uint32_t m_task = 0;
  std::uint64_t m_run = 0;
  /// Milliseconds on the worker's clock; the worker refuses the order after it.
  std::int64_t m_deadline_ms = 0;
  FencingNumber m_fencing;
  std::string m_checkpoint;
  std::string m_ticket;
  /// SHA-256 hash of the payload to send.
  std::string m_digest;
  /// Empty when the receiver has the payload.
  std::string m_payload;
  /// Time in which the reply is of use to the owner.
  Duration m_wait{0};
  /// Incarnation of the worker for which the order is; 0 from releases without
  /// it, whose starts may reach any.
  std::int64_t m_incarnation = 0;

  friend bool operator==(const RelayedStart&, const RelayedStart&) = default;
};

enum class RelayOutcome : std::uint8_t {
  /// The worker answered.
  kAnswered,
  /// The order may have reached the worker; there was no answer.
  kUnanswered,
  /// The order was not sent to the worker and will not be.
  kNotSent,
  /// Not sent: this VM does not have the payload.
  kNoPayload,
};

struct RelayedStartReply {
  std::uint64_t m_number = 0;
  RelayOutcome m_outcome = RelayOutcome::kNotSent;
  /// With kAnswered, the worker's answer as its number in OrderResult.
  std::uint8_t m_result = 0;
  /// Milliseconds on the worker's clock; -1 when not stated.
  std::int64_t m_clock_ms = -1;

  friend bool operator==(const RelayedStartReply&,
                         const RelayedStartReply&) = default;
};

using Message =
    std::variant<Hello, Heartbeat, Probe, ProbeReply, ConfigOffer, ConfigFetch,
                 UseSummary, Forward, ForwardReply, GrantHint, JobCall,
                 JobReply, LinkPing, LinkPong, RelayedStart, RelayedStartReply>;

/// \brief Payload of one frame.
struct Envelope {
  /// Nonce of the receiver's Hello; 0 in the Hello that opens a connection.
  std::uint64_t m_session = 0;
  /// 0, 1, 2 ... in each direction of a connection.
  std::uint64_t m_sequence = 0;
  Message m_message;

  friend bool operator==(const Envelope&, const Envelope&) = default;
};

}  // namespace filbertspar
