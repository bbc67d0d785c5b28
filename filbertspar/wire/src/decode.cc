#include <cstdint>
#include <cstring>
#include <vector>

#include "filbertspar/wire/src/codec.h"
#include "filbertspar/wire/src/peer_generated.h"

namespace filbertspar {
namespace {

/// Envelope, message, list item: no valid payload nests deeper.
constexpr flatbuffers::uoffset_t kMaxDepth = 4;
constexpr flatbuffers::uoffset_t kMaxTables = 2 * kMaxListItems + 2;

/// Reads fields of one payload and notes a broken bound.
class Reader {
 public:
  bool m_in_bounds = true;

  std::string Text(const flatbuffers::String* text) {
    return text == nullptr ? std::string() : text->str();
  }
  std::string ShortText(const flatbuffers::String* text) {
    if (text != nullptr && text->size() > kMaxNameBytes) {
      m_in_bounds = false;
      return {};
    }
    return Text(text);
  }
  template <typename T>
  void Get(T& name, const flatbuffers::String* text) {
    name = T(ShortText(text));
  }
  void Get(Endpoint& endpoint, const flatbuffers::String* address,
           std::uint16_t port) {
    endpoint.m_address = ShortText(address);
    endpoint.m_port = port;
  }
  template <typename Item, typename Table>
  void GetList(std::vector<Item>& items,
               const flatbuffers::Vector<flatbuffers::Offset<Table>>* list);
};

void Read(Reader& r, const fbs::Hello& t, Hello& m) {
  r.Get(m.m_node, t.node());
  r.Get(m.m_to, t.to());
  r.Get(m.m_zone, t.zone());
  r.Get(m.m_endpoint, t.address(), t.port());
  m.m_nonce = t.nonce();
  m.m_protocol = t.protocol();
}

void Read(Reader& r, const fbs::ZoneDigest& t, ZoneDigest& m) {
  r.Get(m.m_zone, t.zone());
  m.m_live = t.live();
  m.m_oldest = ConfigVersion(t.oldest());
  m.m_newest = ConfigVersion(t.newest());
  m.m_reaches_store = t.reaches_store();
  m.m_complete = t.complete();
  m.m_age = Milliseconds(t.age_ms());
}

void Read(Reader& r, const fbs::MemberUpdate& t, MemberUpdate& m) {
  r.Get(m.m_node, t.node());
  r.Get(m.m_zone, t.zone());
  r.Get(m.m_endpoint, t.address(), t.port());
  m.m_state = static_cast<MemberState>(t.state());
  r.m_in_bounds = r.m_in_bounds && m.m_state <= MemberState::kLeft;
  m.m_round = t.round();
}

void Read(Reader& r, const fbs::UseLine& t, UseLine& m) {
  r.Get(m.m_pool, t.pool());
  r.Get(m.m_team, t.team());
  m.m_running = t.running();
  m.m_waiting = t.waiting();
  m.m_free_grant = t.free_grant();
}

template <typename Item, typename Table>
void Reader::GetList(
    std::vector<Item>& items,
    const flatbuffers::Vector<flatbuffers::Offset<Table>>* list) {
  if (list == nullptr) {
    return;
  }
  if (list->size() > kMaxListItems) {
    m_in_bounds = false;
    return;
  }
  items.reserve(list->size());
  for (const Table* table : *list) {
    Read(*this, *table, items.emplace_back());
  }
}

void Read(Reader& r, const fbs::Heartbeat& t, Heartbeat& m) {
  r.Get(m.m_node, t.node());
  m.m_incarnation = t.incarnation();
  m.m_config_version = ConfigVersion(t.config_version());
  m.m_reaches_store = t.reaches_store();
  m.m_leaving = t.leaving();
  m.m_interval = Milliseconds(t.interval_ms());
  m.m_wanted = t.wanted();
  m.m_table_hash = t.table_hash();
  r.GetList(m.m_zones, t.zones());
  r.GetList(m.m_updates, t.updates());
}

void Read(Reader& r, const fbs::Probe& t, Probe& m) {
  m.m_number = t.number();
  r.Get(m.m_subject, t.subject());
}

void Read(Reader& r, const fbs::ProbeReply& t, ProbeReply& m) {
  m.m_number = t.number();
  r.Get(m.m_subject, t.subject());
  m.m_reachable = t.reachable();
}

void Read(Reader& r, const fbs::ConfigOffer& t, ConfigOffer& m) {
  m.m_version = ConfigVersion(t.version());
  m.m_document = r.Text(t.document());
}

void Read(Reader& /*r*/, const fbs::ConfigFetch& t, ConfigFetch& m) {
  m.m_version = ConfigVersion(t.version());
}

void Read(Reader& r, const fbs::UseSummary& t, UseSummary& m) {
  r.Get(m.m_node, t.node());
  r.GetList(m.m_lines, t.lines());
}

void Read(Reader& r, const fbs::Forward& t, Forward& m) {
  m.m_request = RequestId(t.request());
  r.Get(m.m_entry, t.entry());
  r.Get(m.m_team, t.team());
  m.m_request_key = r.Text(t.request_key());
  m.m_deadline = Duration(t.deadline_us());
  m.m_body = r.Text(t.body());
}

void Read(Reader& r, const fbs::ForwardReply& t, ForwardReply& m) {
  m.m_request = RequestId(t.request());
  const std::optional<Code> code = CodeFromNumber(t.code());
  r.m_in_bounds = r.m_in_bounds && code.has_value();
  m.m_code = code.value_or(Code::kInternal);
  m.m_body = r.Text(t.body());
}

void Read(Reader& r, const fbs::GrantHint& t, GrantHint& m) {
  r.Get(m.m_node, t.node());
  r.Get(m.m_team, t.team());
  m.m_wanted = t.wanted();
  m.m_free = t.free();
}

void Read(Reader& r, const fbs::JobCall& t, JobCall& m) {
  m.m_number = t.number();
  m.m_verb = static_cast<JobVerb>(t.verb());
  r.m_in_bounds = r.m_in_bounds && m.m_verb <= JobVerb::kOffer;
  m.m_queue = r.Text(t.queue());
  m.m_workspace = r.Text(t.workspace());
  m.m_job = r.Text(t.job());
  m.m_body = r.Text(t.body());
  m.m_wait = Milliseconds(t.wait_ms());
  m.m_received_ms = t.received_ms();
  m.m_expires_ms = t.expires_ms();
}

void Read(Reader& r, const fbs::JobReply& t, JobReply& m) {
  m.m_number = t.number();
  const std::optional<Code> code = CodeFromNumber(t.code());
  r.m_in_bounds = r.m_in_bounds && code.has_value();
  m.m_code = code.value_or(Code::kInternal);
  m.m_state = t.state();
  m.m_count = t.count();
  m.m_retry_after = Milliseconds(t.retry_after_ms());
}

void Read(Reader& /*r*/, const fbs::LinkPing& t, LinkPing& m) {
  m.m_number = t.number();
  m.m_store_age = Milliseconds(t.store_age_ms());
  m.m_cpu_capacity = Millicores(t.strength());
  m.m_willing = t.willing();
  m.m_relays_starts = t.relays_starts();
  m.m_relays_to_incarnation = t.relays_to_incarnation();
  m.m_stated_ms = t.stated_ms();
}

void Read(Reader& /*r*/, const fbs::LinkPong& t, LinkPong& m) {
  m.m_number = t.number();
  m.m_confirmed = t.confirmed();
  m.m_ask_first = t.ask_first();
  m.m_clock_ms = t.clock_ms();
}

void Read(Reader& r, const fbs::RelayedStart& t, RelayedStart& m) {
  m.m_number = t.number();
  m.m_worker = r.Text(t.worker());
  r.Get(m.m_endpoint, t.address(), t.port());
  m.m_job = r.Text(t.job());
  m.m_occurrence = t.occurrence();
  m.m_step = t.step();
  m.m_task = t.task();
  m.m_run = t.run();
  m.m_deadline_ms = t.deadline_ms();
  m.m_fencing = FencingNumber(t.fencing());
  m.m_checkpoint = r.Text(t.checkpoint());
  m.m_ticket = r.Text(t.ticket());
  m.m_digest = r.Text(t.digest());
  m.m_payload = r.Text(t.payload());
  m.m_wait = Milliseconds(t.wait_ms());
  m.m_incarnation = t.incarnation();
}

void Read(Reader& r, const fbs::RelayedStartReply& t, RelayedStartReply& m) {
  m.m_number = t.number();
  m.m_outcome = static_cast<RelayOutcome>(t.outcome());
  r.m_in_bounds = r.m_in_bounds && m.m_outcome <= RelayOutcome::kNoPayload;
  m.m_result = t.result();
  m.m_clock_ms = t.clock_ms();
}

template <typename M, typename Table>
bool ReadKind(Reader& reader, const Table* table, Message& message) {
  if (table == nullptr) {
    return false;
  }
  Read(reader, *table, message.emplace<M>());
  return reader.m_in_bounds;
}

bool ReadMessage(Reader& r, const fbs::Envelope& t, Message& message) {
  switch (t.message_type()) {
    case fbs::Message::Hello:
      return ReadKind<Hello>(r, t.message_as_Hello(), message);
    case fbs::Message::Heartbeat:
      return ReadKind<Heartbeat>(r, t.message_as_Heartbeat(), message);
    case fbs::Message::Probe:
      return ReadKind<Probe>(r, t.message_as_Probe(), message);
    case fbs::Message::ProbeReply:
      return ReadKind<ProbeReply>(r, t.message_as_ProbeReply(), message);
    case fbs::Message::ConfigOffer:
      return ReadKind<ConfigOffer>(r, t.message_as_ConfigOffer(), message);
    case fbs::Message::ConfigFetch:
      return ReadKind<ConfigFetch>(r, t.message_as_ConfigFetch(), message);
    case fbs::Message::UseSummary:
      return ReadKind<UseSummary>(r, t.message_as_UseSummary(), message);
    case fbs::Message::Forward:
      return ReadKind<Forward>(r, t.message_as_Forward(), message);
    case fbs::Message::ForwardReply:
      return ReadKind<ForwardReply>(r, t.message_as_ForwardReply(), message);
    case fbs::Message::GrantHint:
      return ReadKind<GrantHint>(r, t.message_as_GrantHint(), message);
    case fbs::Message::JobCall:
      return ReadKind<JobCall>(r, t.message_as_JobCall(), message);
    case fbs::Message::JobReply:
      return ReadKind<JobReply>(r, t.message_as_JobReply(), message);
    case fbs::Message::LinkPing:
      return ReadKind<LinkPing>(r, t.message_as_LinkPing(), message);
    case fbs::Message::LinkPong:
      return ReadKind<LinkPong>(r, t.message_as_LinkPong(), message);
    case fbs::Message::RelayedStart:
      return ReadKind<RelayedStart>(r, t.message_as_RelayedStart(), message);
    case fbs::Message::RelayedStartReply:
      return ReadKind<RelayedStartReply>(r, t.message_as_RelayedStartReply(),
                                         message);
    case fbs::Message::NONE:
      return false;
  }
  return false;
}

}  // namespace

absl::StatusOr<Envelope> DecodePayload(std::string_view payload) {
  // FlatBuffers reads need 8-byte alignment, which a receive buffer lacks.
  std::vector<std::uint64_t> aligned(payload.size() / 8 + 1);
  std::memcpy(aligned.data(), payload.data(), payload.size());
  const auto* bytes = reinterpret_cast<const std::uint8_t*>(aligned.data());
  flatbuffers::Verifier verifier(bytes, payload.size(), kMaxDepth, kMaxTables);
  if (!fbs::VerifyEnvelopeBuffer(verifier)) {
    return Error(Code::kFrameBadPayload, "wire: malformed payload");
  }
  const fbs::Envelope* table = fbs::GetEnvelope(bytes);
  Envelope envelope;
  envelope.m_session = table->session();
  envelope.m_sequence = table->sequence();
  Reader reader;
  if (!ReadMessage(reader, *table, envelope.m_message)) {
    return Error(Code::kFrameBadPayload, "wire: unknown kind or out of bounds");
  }
  return envelope;
}

}  // namespace filbertspar
