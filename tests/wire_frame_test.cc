#include <catch2/catch.hpp>
#include <string>

#include "tests/wire_messages.h"

namespace filbertspar {
namespace {

using testing::TestSecrets;

Envelope Sample() {
  return {5, 6,
          Forward{RequestId(1), EntryName("quote"), TeamName("sales"), "key",
                  Seconds(2), "body"}};
}

// Guards against a field that is lost, exchanged or truncated on the way.
TEST_CASE("every message survives encoding and decoding") {
  for (std::size_t kind = 0; kind < std::variant_size_v<Message>; ++kind) {
    CHECK(rc::check("kind " + std::to_string(kind), [kind] {
      const Envelope sent{testing::AnyNumber(), testing::AnyNumber(),
                          testing::AnyMessage(kind)};
      const absl::StatusOr<std::string> payload = EncodePayload(sent);
      RC_ASSERT(payload.ok());
      const absl::StatusOr<Envelope> received = DecodePayload(*payload);
      RC_ASSERT(received.ok());
      RC_ASSERT(*received == sent);
    }));
  }
}

// Guards against frames that depend on how TCP splits or merges the bytes.
TEST_CASE("frames decode alike in any split") {
  CHECK(rc::check([] {
    const auto secrets = TestSecrets();
    std::vector<Envelope> sent(*rc::gen::inRange<std::size_t>(1, 5));
    std::string stream;
    for (Envelope& envelope : sent) {
      envelope = testing::AnyEnvelope();
      stream += *EncodeFrame(envelope, *secrets);
    }
    FrameDecoder decoder(secrets);
    std::vector<Envelope> received;
    for (std::size_t at = 0; at < stream.size();) {
      const auto size = *rc::gen::inRange<std::size_t>(1, 200);
      const std::string_view part = std::string_view(stream).substr(at, size);
      RC_ASSERT(decoder.Feed(part, received).ok());
      at += part.size();
    }
    RC_ASSERT(received == sent);
    RC_ASSERT(decoder.Buffered() == 0U);
  }));
}

// Guards against a frame of a stranger that is read, or that keeps costing
// memory after it was recognised.
TEST_CASE("a frame with another secret closes the connection") {
  const std::string frame = *EncodeFrame(Sample(), *TestSecrets('b'));
  FrameDecoder decoder(TestSecrets('a'));
  std::vector<Envelope> out;
  CHECK(CodeOf(decoder.Feed(frame, out)) == Code::kFrameBadMac);
  const std::string valid = *EncodeFrame(Sample(), *TestSecrets('a'));
  CHECK(CodeOf(decoder.Feed(valid, out)) == Code::kFrameBadMac);
  CHECK(out.empty());
  CHECK(decoder.Buffered() == 0);
  CHECK(decoder.Counters().m_bad_mac == 1);
}

// Guards against a rotation that rejects frames while secrets differ.
TEST_CASE("secrets rotate through the previous secret without a loss") {
  const Secrets a{std::string(32, 'a'), std::nullopt};
  const Secrets a_then_b{std::string(32, 'a'), std::string(32, 'b')};
  const Secrets b_then_a{std::string(32, 'b'), std::string(32, 'a')};
  const Secrets b{std::string(32, 'b'), std::nullopt};
  const std::vector<Secrets> steps = {a, a_then_b, b_then_a, b};
  const auto accepts = [](const Secrets& from, const Secrets& to) {
    FrameDecoder decoder(std::make_shared<Secrets>(to));
    std::vector<Envelope> out;
    return decoder.Feed(*EncodeFrame(Sample(), from), out).ok();
  };
  for (std::size_t i = 0; i + 1 < steps.size(); ++i) {
    CHECK(accepts(steps[i], steps[i + 1]));
    CHECK(accepts(steps[i + 1], steps[i]));
  }
  CHECK_FALSE(accepts(a, b));
}

// Guards against a declared length that makes the process buffer without end.
TEST_CASE("lengths beyond the bound are refused at once") {
  const auto secrets = TestSecrets();
  std::vector<Envelope> out;
  FrameDecoder first(secrets);
  CHECK(CodeOf(first.Feed(std::string("\0\0\x08\x01", 4), out)) ==
        Code::kFrameTooLarge);
  FrameDecoder later(secrets, 10000);
  REQUIRE(later.Feed(*EncodeFrame(Sample(), *secrets), out).ok());
  CHECK(later.Feed(std::string("\0\0\x27\x10", 4), out).ok());
  FrameDecoder beyond(secrets, 10000);
  REQUIRE(beyond.Feed(*EncodeFrame(Sample(), *secrets), out).ok());
  CHECK(CodeOf(beyond.Feed(std::string("\0\0\x27\x11", 4), out)) ==
        Code::kFrameTooLarge);
  CHECK(beyond.Counters().m_too_large == 1);
  const Envelope large{1, 1,
                       ConfigOffer{ConfigVersion(1), std::string(10000, 'x')}};
  CHECK(CodeOf(EncodeFrame(large, *secrets, 10000).status()) ==
        Code::kFrameTooLarge);
  Envelope name = Sample();
  std::get<Forward>(name.m_message).m_team =
      TeamName(std::string(kMaxNameBytes + 1, 'x'));
  CHECK(CodeOf(EncodeFrame(name, *secrets).status()) == Code::kFrameBadPayload);
  UseSummary list;
  list.m_lines.resize(kMaxListItems + 1);
  CHECK_FALSE(EncodePayload({1, 1, list}).ok());
  list.m_lines.resize(kMaxListItems);
  CHECK(DecodePayload(*EncodePayload({1, 1, list})).ok());
}

// Guards against weak or mistyped secrets and against their values in logs.
TEST_CASE("the key file is checked and its values stay out of messages") {
  const std::string hex(64, 'a');
  const auto good = ParseSecrets(
      "peer.key", "[secrets]\ncurrent = " + hex +
                      "\nprevious = " + std::string(64, 'B') + "\n");
  REQUIRE(good.ok());
  CHECK(good->m_current == std::string(32, '\xaa'));
  CHECK(good->m_previous == std::string(32, '\xbb'));
  for (const std::string& bad :
       {std::string(62, 'a'), std::string(65, 'a'), std::string(64, 'x')}) {
    const auto status =
        ParseSecrets("peer.key", "[secrets]\ncurrent = " + bad + "\n").status();
    CHECK(CodeOf(status) == Code::kSettingsBadValue);
    CHECK(std::string(status.message()).find(bad) == std::string::npos);
  }
  CHECK(CodeOf(ParseSecrets("peer.key", "[secrets]\n").status()) ==
        Code::kSettingsKeyMissing);
}

}  // namespace
}  // namespace filbertspar
