#include <catch2/catch.hpp>
#include <cstdlib>
#include <string>

#include "filbertspar/wire/wire.h"

namespace filbertspar {
namespace {

constexpr std::uint64_t kSeed = 20;
constexpr int kRounds = 20000;

std::vector<Envelope> Samples() {
  const NodeName node("entry-1#77");
  const ZoneDigest zone{ZoneName("z1"),   6,    ConfigVersion(3),
                        ConfigVersion(4), true, true,
                        Milliseconds(40)};
  const MemberUpdate update{
      node, ZoneName("z1"), {"10.0.0.1", 80}, MemberState::kLeaving, 2};
  return {
      {0, 0, Hello{node, VmName("entry-2"), ZoneName("z"), {"10.0.0.1", 1}, 9}},
      {1, 1,
       Heartbeat{node,
                 77,
                 ConfigVersion(4),
                 true,
                 false,
                 Seconds(1),
                 true,
                 3,
                 {zone, zone},
                 {update}}},
      {1, 2, Probe{4, node}},
      {1, 3, ProbeReply{4, node, false}},
      {1, 4, ConfigOffer{ConfigVersion(8), "{\"a\":1}"}},
      {1, 5, ConfigFetch{ConfigVersion(8)}},
      {1, 6,
       UseSummary{node,
                  {{PoolName("p"), TeamName("t"), 1, 2, 3},
                   {PoolName("q"), TeamName("u"), 4, 5, 6}}}},
      {1, 7,
       Forward{RequestId(6), EntryName("e"), TeamName("t"), "k", Seconds(1),
               "body"}},
      {1, 8, ForwardReply{RequestId(6), Code::kTaskFailed, "body"}},
      {1, 9, GrantHint{node, TeamName("t"), 3, 1}},
      {1, 10,
       JobCall{1, JobVerb::kSubmit, "q", "w", "j", "body", Seconds(1), 2, 3}},
      {1, 11, JobReply{1, Code::kOk, 2, 3, Seconds(1)}},
      {1, 12, LinkPing{4, Seconds(1), Millicores(250), true, true}},
      {1, 13, LinkPong{4, true, true, 5}},
      {1, 14,
       RelayedStart{1, "w", Endpoint{"10.0.0.1", 80}, "j", 0, 1, 2, 3, 4,
                    FencingNumber(5), "c", "t", "d", "p", Seconds(1)}},
      {1, 15, RelayedStartReply{1, RelayOutcome::kAnswered, 2, 3}},
  };
}

void Mutate(Rng& rng, std::string& bytes) {
  const auto edits = 1 + rng.Below(4);
  for (std::uint64_t i = 0; i < edits && !bytes.empty(); ++i) {
    const std::size_t at = rng.Below(bytes.size());
    switch (rng.Below(6)) {
      case 0:
        bytes[at] = static_cast<char>(bytes[at] ^ (1 << rng.Below(8)));
        break;
      case 1:
        bytes[at] = static_cast<char>(rng.Below(256));
        break;
      case 2:
        bytes.resize(at);
        break;
      case 3:
        bytes.insert(at, 1 + rng.Below(9), static_cast<char>(rng.Below(256)));
        break;
      case 4:
        bytes.erase(at, 1 + rng.Below(9));
        break;
      default:
        bytes[at] = static_cast<char>(rng.Chance(0.5) ? 0xff : 0);
    }
  }
}

// Guards against reads outside the buffer and endless or huge decoding when a
// payload is malformed. Run under the sanitizer build to see bad reads.
TEST_CASE("mutated payloads decode within bounds or are refused") {
  Rng rng(kSeed);
  std::vector<std::string> payloads;
  for (const Envelope& envelope : Samples()) {
    payloads.push_back(*EncodePayload(envelope));
  }
  int refused = 0;
  int accepted = 0;
  for (int round = 0; round < kRounds; ++round) {
    std::string bytes = payloads[rng.Below(payloads.size())];
    Mutate(rng, bytes);
    const absl::StatusOr<Envelope> envelope = DecodePayload(bytes);
    ++(envelope.ok() ? accepted : refused);
    if (!envelope.ok()) {
      REQUIRE(CodeOf(envelope.status()) == Code::kFrameBadPayload);
    } else {
      REQUIRE(EncodePayload(*envelope).ok());
    }
  }
  // Both paths must be exercised for the test to mean anything.
  CHECK(refused > kRounds / 10);
  CHECK(accepted > kRounds / 10);
}

// Guards against any changed byte of a frame that passes the MAC, and against
// a mutation check that would not notice an absent MAC: the same mutations
// without verification are accepted above.
TEST_CASE("mutated frames never yield a message that was not sent") {
  Rng rng(kSeed + 1);
  const auto secrets =
      std::make_shared<Secrets>(Secrets{std::string(32, 's'), std::nullopt});
  const std::vector<Envelope> samples = Samples();
  for (int round = 0; round < kRounds; ++round) {
    std::string stream;
    for (int i = 0; i < 3; ++i) {
      stream += *EncodeFrame(samples[rng.Below(samples.size())], *secrets);
    }
    Mutate(rng, stream);
    FrameDecoder decoder(secrets);
    std::vector<Envelope> out;
    for (std::size_t at = 0; at < stream.size();) {
      const std::string_view part =
          std::string_view(stream).substr(at, 1 + rng.Below(64));
      at += part.size();
      if (!decoder.Feed(part, out).ok()) {
        break;
      }
    }
    for (const Envelope& envelope : out) {
      REQUIRE(std::find(samples.begin(), samples.end(), envelope) !=
              samples.end());
    }
  }
}

// Guards against strangers that send noise: no message, little memory.
TEST_CASE("random bytes yield no message and bounded memory") {
  Rng rng(kSeed + 2);
  const auto secrets =
      std::make_shared<Secrets>(Secrets{std::string(32, 's'), std::nullopt});
  for (int round = 0; round < kRounds; ++round) {
    FrameDecoder decoder(secrets);
    std::vector<Envelope> out;
    std::string bytes(1 + rng.Below(300), '\0');
    for (char& c : bytes) {
      c = static_cast<char>(rng.Below(256));
    }
    if (rng.Chance(0.5)) {
      bytes[0] = bytes[bytes.size() > 1 ? 1 : 0] = 0;
    }
    static_cast<void>(decoder.Feed(bytes, out));
    REQUIRE(out.empty());
    REQUIRE(decoder.Buffered() <= kFrameHeaderBytes + kMaxFirstPayloadBytes);
    static_cast<void>(DecodePayload(bytes));
  }
}

}  // namespace
}  // namespace filbertspar
