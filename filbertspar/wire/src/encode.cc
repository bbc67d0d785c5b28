#include <vector>

#include "filbertspar/wire/src/codec.h"
#include "filbertspar/wire/src/peer_generated.h"

namespace filbertspar {
namespace {

using flatbuffers::FlatBufferBuilder;
using flatbuffers::Offset;
using flatbuffers::String;

/// Writes the strings and lists of one payload and notes a broken bound.
class Writer {
 public:
  FlatBufferBuilder m_builder;
  bool m_in_bounds = true;

  Offset<String> Text(const std::string& text) {
    return text.empty() ? Offset<String>() : m_builder.CreateString(text);
  }
  template <typename T>
  Offset<String> Put(const T& name) {
    m_in_bounds = m_in_bounds && name.Value().size() <= kMaxNameBytes;
    return Text(name.Value());
  }
  Offset<String> Put(const Endpoint& endpoint) {
    m_in_bounds = m_in_bounds && endpoint.m_address.size() <= kMaxNameBytes;
    return Text(endpoint.m_address);
  }
  template <typename Items, typename Write>
  auto List(const Items& items, Write write) {
    using Item = decltype(write(items.front()));
    m_in_bounds = m_in_bounds && items.size() <= kMaxListItems;
    if (items.empty() || !m_in_bounds) {
      return Offset<flatbuffers::Vector<Item>>();
    }
    std::vector<Item> offsets;
    offsets.reserve(items.size());
    for (const auto& item : items) {
      offsets.push_back(write(item));
    }
    return m_builder.CreateVector(offsets);
  }
};

Offset<void> Write(Writer& w, const Hello& m) {
  const auto node = w.Put(m.m_node);
  const auto to = w.Put(m.m_to);
  const auto zone = w.Put(m.m_zone);
  const auto address = w.Put(m.m_endpoint);
  return fbs::CreateHello(w.m_builder, node, to, zone, address,
                          m.m_endpoint.m_port, m.m_nonce, m.m_protocol)
      .Union();
}

Offset<fbs::ZoneDigest> WriteItem(Writer& w, const ZoneDigest& m) {
  const auto zone = w.Put(m.m_zone);
  return fbs::CreateZoneDigest(
      w.m_builder, zone, m.m_live, m.m_oldest.Value(), m.m_newest.Value(),
      m.m_reaches_store, m.m_complete,
      static_cast<std::uint32_t>(ToMilliseconds(m.m_age)));
}

Offset<fbs::MemberUpdate> WriteItem(Writer& w, const MemberUpdate& m) {
  const auto node = w.Put(m.m_node);
  const auto zone = w.Put(m.m_zone);
  const auto address = w.Put(m.m_endpoint);
  return fbs::CreateMemberUpdate(
      w.m_builder, node, zone, address, m.m_endpoint.m_port,
      static_cast<fbs::MemberState>(m.m_state), m.m_round);
}

Offset<fbs::UseLine> WriteItem(Writer& w, const UseLine& m) {
  const auto pool = w.Put(m.m_pool);
  const auto team = w.Put(m.m_team);
  return fbs::CreateUseLine(w.m_builder, pool, team, m.m_running, m.m_waiting,
                            m.m_free_grant);
}

Offset<void> Write(Writer& w, const Heartbeat& m) {
  const auto item = [&w](const auto& each) { return WriteItem(w, each); };
  const auto node = w.Put(m.m_node);
  const auto zones = w.List(m.m_zones, item);
  const auto updates = w.List(m.m_updates, item);
  return fbs::CreateHeartbeat(
             w.m_builder, node, m.m_incarnation, m.m_config_version.Value(),
             m.m_reaches_store, m.m_leaving,
             static_cast<std::uint32_t>(ToMilliseconds(m.m_interval)),
             m.m_wanted, m.m_table_hash, zones, updates)
      .Union();
}

Offset<void> Write(Writer& w, const Probe& m) {
  const auto subject = w.Put(m.m_subject);
  return fbs::CreateProbe(w.m_builder, m.m_number, subject).Union();
}

Offset<void> Write(Writer& w, const ProbeReply& m) {
  const auto subject = w.Put(m.m_subject);
  return fbs::CreateProbeReply(w.m_builder, m.m_number, subject, m.m_reachable)
      .Union();
}

Offset<void> Write(Writer& w, const ConfigOffer& m) {
  const auto document = w.Text(m.m_document);
  return fbs::CreateConfigOffer(w.m_builder, m.m_version.Value(), document)
      .Union();
}

Offset<void> Write(Writer& w, const ConfigFetch& m) {
  return fbs::CreateConfigFetch(w.m_builder, m.m_version.Value()).Union();
}

Offset<void> Write(Writer& w, const UseSummary& m) {
  const auto node = w.Put(m.m_node);
  const auto lines = w.List(
      m.m_lines, [&w](const UseLine& line) { return WriteItem(w, line); });
  return fbs::CreateUseSummary(w.m_builder, node, lines).Union();
}

Offset<void> Write(Writer& w, const Forward& m) {
  const auto entry = w.Put(m.m_entry);
  const auto team = w.Put(m.m_team);
  const auto key = w.Text(m.m_request_key);
  const auto body = w.Text(m.m_body);
  return fbs::CreateForward(w.m_builder, m.m_request.Value(), entry, team, key,
                            m.m_deadline.count(), body)
      .Union();
}

Offset<void> Write(Writer& w, const ForwardReply& m) {
  const auto body = w.Text(m.m_body);
  return fbs::CreateForwardReply(w.m_builder, m.m_request.Value(),
                                 static_cast<std::uint16_t>(m.m_code), body)
      .Union();
}

Offset<void> Write(Writer& w, const GrantHint& m) {
  const auto node = w.Put(m.m_node);
  const auto team = w.Put(m.m_team);
  return fbs::CreateGrantHint(w.m_builder, node, team, m.m_wanted, m.m_free)
      .Union();
}

std::uint32_t WholeMilliseconds(Duration duration) {
  return static_cast<std::uint32_t>(ToMilliseconds(duration));
}

Offset<void> Write(Writer& w, const JobCall& m) {
  const auto queue = w.Text(m.m_queue);
  const auto workspace = w.Text(m.m_workspace);
  const auto job = w.Text(m.m_job);
  const auto body = w.Text(m.m_body);
  return fbs::CreateJobCall(w.m_builder, m.m_number,
                            static_cast<std::uint8_t>(m.m_verb), queue,
                            workspace, job, body, WholeMilliseconds(m.m_wait),
                            m.m_received_ms, m.m_expires_ms)
      .Union();
}

Offset<void> Write(Writer& w, const JobReply& m) {
  return fbs::CreateJobReply(w.m_builder, m.m_number,
                             static_cast<std::uint16_t>(m.m_code), m.m_state,
                             m.m_count, WholeMilliseconds(m.m_retry_after))
      .Union();
}

Offset<void> Write(Writer& w, const LinkPing& m) {
  return fbs::CreateLinkPing(
             w.m_builder, m.m_number, WholeMilliseconds(m.m_store_age),
             m.m_cpu_capacity.Count(), m.m_willing, m.m_relays_starts,
             m.m_relays_to_incarnation, m.m_stated_ms)
      .Union();
}

Offset<void> Write(Writer& w, const LinkPong& m) {
  return fbs::CreateLinkPong(w.m_builder, m.m_number, m.m_confirmed,
                             m.m_ask_first, m.m_clock_ms)
      .Union();
}

Offset<void> Write(Writer& w, const RelayedStart& m) {
  const auto worker = w.Text(m.m_worker);
  const auto address = w.Put(m.m_endpoint);
  const auto job = w.Text(m.m_job);
  const auto checkpoint = w.Text(m.m_checkpoint);
  const auto ticket = w.Text(m.m_ticket);
  const auto digest = w.Text(m.m_digest);
  const auto payload = w.Text(m.m_payload);
  return fbs::CreateRelayedStart(
             w.m_builder, m.m_number, worker, address, m.m_endpoint.m_port, job,
             m.m_occurrence, m.m_step, m.m_task, m.m_run, m.m_deadline_ms,
             m.m_fencing.Value(), checkpoint, ticket, digest, payload,
             WholeMilliseconds(m.m_wait), m.m_incarnation)
      .Union();
}

Offset<void> Write(Writer& w, const RelayedStartReply& m) {
  return fbs::CreateRelayedStartReply(w.m_builder, m.m_number,
                                      static_cast<std::uint8_t>(m.m_outcome),
                                      m.m_result, m.m_clock_ms)
      .Union();
}

}  // namespace

absl::StatusOr<std::string> EncodePayload(const Envelope& envelope) {
  Writer writer;
  const Offset<void> message =
      std::visit([&writer](const auto& m) { return Write(writer, m); },
                 envelope.m_message);
  if (!writer.m_in_bounds) {
    return Error(Code::kFrameBadPayload, "wire: name or list out of bounds");
  }
  // The schema lists the kinds in the order of the variant, after NONE.
  const auto kind = static_cast<fbs::Message>(envelope.m_message.index() + 1);
  writer.m_builder.Finish(
      fbs::CreateEnvelope(writer.m_builder, envelope.m_session,
                          envelope.m_sequence, kind, message));
  const auto* bytes = writer.m_builder.GetBufferPointer();
  return std::string(bytes, bytes + writer.m_builder.GetSize());
}

}  // namespace filbertspar
