#pragma once

#include <rapidcheck.h>

#include <string>

#include "filbertspar/wire/wire.h"

/// \file
/// \brief Arbitrary messages for the tests of `wire`.

namespace filbertspar::testing {

inline rc::Gen<std::string> Bytes(int max) {
  return rc::gen::mapcat(rc::gen::inRange(0, max + 1), [](int size) {
    return rc::gen::container<std::string>(
        static_cast<std::size_t>(size),
        rc::gen::cast<char>(rc::gen::inRange(-128, 128)));
  });
}

template <typename T>
T AnyName() {
  return T(*Bytes(30));
}

inline std::uint64_t AnyNumber() {
  return *rc::gen::arbitrary<std::uint64_t>();
}

inline std::int64_t AnyInt() { return *rc::gen::arbitrary<std::int64_t>(); }

inline Endpoint AnyEndpoint() {
  return {*Bytes(15), *rc::gen::arbitrary<std::uint16_t>()};
}

inline bool AnyBool() { return *rc::gen::arbitrary<bool>(); }

template <typename Item>
std::vector<Item> AnyList(Item (*make)()) {
  std::vector<Item> items(*rc::gen::inRange<std::size_t>(0, 5));
  for (Item& item : items) {
    item = make();
  }
  return items;
}

inline ZoneDigest AnyZoneDigest() {
  return {AnyName<ZoneName>(),
          *rc::gen::arbitrary<std::uint32_t>(),
          ConfigVersion(AnyNumber()),
          ConfigVersion(AnyNumber()),
          AnyBool(),
          AnyBool(),
          Milliseconds(*rc::gen::arbitrary<std::uint32_t>())};
}

inline MemberUpdate AnyUpdate() {
  return {AnyName<NodeName>(), AnyName<ZoneName>(), AnyEndpoint(),
          static_cast<MemberState>(*rc::gen::inRange(0, 4)),
          *rc::gen::arbitrary<std::uint32_t>()};
}

inline UseLine AnyUseLine() {
  return {AnyName<PoolName>(), AnyName<TeamName>(), AnyInt(), AnyInt(),
          AnyInt()};
}

/// One message of the kind at `index` of the variant.
inline Message AnyMessage(std::size_t index) {
  static_assert(std::variant_size_v<Message> == 16);
  switch (index) {
    case 0:
      return Hello{AnyName<NodeName>(), AnyName<VmName>(),
                   AnyName<ZoneName>(), AnyEndpoint(),
                   AnyNumber(),         *rc::gen::arbitrary<std::uint32_t>()};
    case 1:
      return Heartbeat{AnyName<NodeName>(),
                       AnyNumber(),
                       ConfigVersion(AnyNumber()),
                       AnyBool(),
                       AnyBool(),
                       Milliseconds(*rc::gen::arbitrary<std::uint32_t>()),
                       AnyBool(),
                       AnyNumber(),
                       AnyList(AnyZoneDigest),
                       AnyList(AnyUpdate)};
    case 2:
      return Probe{AnyNumber(), AnyName<NodeName>()};
    case 3:
      return ProbeReply{AnyNumber(), AnyName<NodeName>(), AnyBool()};
    case 4:
      return ConfigOffer{ConfigVersion(AnyNumber()), *Bytes(400)};
    case 5:
      return ConfigFetch{ConfigVersion(AnyNumber())};
    case 6:
      return UseSummary{AnyName<NodeName>(), AnyList(AnyUseLine)};
    case 7:
      return Forward{RequestId(AnyNumber()), AnyName<EntryName>(),
                     AnyName<TeamName>(),    *Bytes(40),
                     Duration(AnyInt()),     *Bytes(400)};
    case 8: {
      const auto table = CodeTable();
      const auto at = *rc::gen::inRange<std::size_t>(0, table.size());
      return ForwardReply{RequestId(AnyNumber()), table[at].m_code,
                          *Bytes(400)};
    }
    case 9:
      return GrantHint{AnyName<NodeName>(), AnyName<TeamName>(), AnyInt(),
                       AnyInt()};
    case 10:
      return JobCall{AnyNumber(),
                     static_cast<JobVerb>(*rc::gen::inRange(0, 5)),
                     *Bytes(40),
                     *Bytes(40),
                     *Bytes(40),
                     *Bytes(400),
                     Milliseconds(*rc::gen::arbitrary<std::uint32_t>()),
                     AnyInt(),
                     AnyInt()};
    case 11: {
      const auto table = CodeTable();
      const auto at = *rc::gen::inRange<std::size_t>(0, table.size());
      return JobReply{AnyNumber(), table[at].m_code,
                      *rc::gen::arbitrary<std::uint8_t>(), AnyInt(),
                      Milliseconds(*rc::gen::arbitrary<std::uint32_t>())};
    }
    case 12:
      return LinkPing{AnyNumber(),
                      Milliseconds(*rc::gen::arbitrary<std::uint32_t>()),
                      Millicores(AnyInt()),
                      AnyBool(),
                      AnyBool(),
                      AnyBool()};
    case 13:
      return LinkPong{AnyNumber(), AnyBool(), AnyBool(), AnyInt()};
    case 14: {
      RelayedStart start;
      start.m_number = AnyNumber();
      start.m_worker = *Bytes(40);
      start.m_endpoint = {*Bytes(40), *rc::gen::arbitrary<std::uint16_t>()};
      start.m_job = *Bytes(40);
      start.m_occurrence = *rc::gen::arbitrary<std::uint32_t>();
      start.m_step = *rc::gen::arbitrary<std::uint32_t>();
      start.m_task = *rc::gen::arbitrary<std::uint32_t>();
      start.m_run = AnyNumber();
      start.m_deadline_ms = AnyInt();
      start.m_fencing = FencingNumber(AnyNumber());
      start.m_checkpoint = *Bytes(40);
      start.m_ticket = *Bytes(40);
      start.m_digest = *Bytes(40);
      start.m_payload = *Bytes(400);
      start.m_wait = Milliseconds(*rc::gen::arbitrary<std::uint32_t>());
      start.m_incarnation = AnyInt();
      return start;
    }
    default:
      return RelayedStartReply{
          AnyNumber(), static_cast<RelayOutcome>(*rc::gen::inRange(0, 4)),
          *rc::gen::arbitrary<std::uint8_t>(), AnyInt()};
  }
}

inline Envelope AnyEnvelope() {
  return {AnyNumber(), AnyNumber(),
          AnyMessage(
              *rc::gen::inRange<std::size_t>(0, std::variant_size_v<Message>))};
}

inline std::shared_ptr<const Secrets> TestSecrets(char fill = 'a') {
  return std::make_shared<Secrets>(
      Secrets{std::string(32, fill), std::nullopt});
}

}  // namespace filbertspar::testing
