#include <catch2/catch.hpp>

#include "filbertspar/wire/wire.h"

namespace filbertspar {
namespace {

Hello HelloOf(const char* vm, std::uint64_t nonce, const char* to = "") {
  return {MakeNodeName(VmName(vm), 1), VmName(to), ZoneName("z"), {}, nonce};
}

struct Pair {
  Session m_a{HelloOf("a", 11, "b"), true};
  Session m_b{HelloOf("b", 22), false};
  std::vector<Envelope> m_from_a;
  std::vector<Envelope> m_from_b;

  Pair() = default;
  Pair(std::uint64_t nonce_a, std::uint64_t nonce_b)
      : m_a(HelloOf("a", nonce_a, "b"), true),
        m_b(HelloOf("b", nonce_b), false) {}

  void Open() {
    m_from_a.push_back(m_a.WrapHello());
    REQUIRE(m_b.Accept(m_from_a.back()).ok());
    m_from_b.push_back(m_b.WrapHello());
    REQUIRE(m_a.Accept(m_from_b.back()).ok());
  }
  void SendToB(Message message) {
    m_from_a.push_back(m_a.Wrap(std::move(message)));
  }
};

// Guards against a restarted process that its peers take for an earlier one.
TEST_CASE("a process that starts later has the higher incarnation") {
  const std::int64_t now_ms = 1'796'000'000'000;
  const std::uint64_t first = MakeIncarnation(now_ms, ~std::uint64_t{0});
  CHECK(MakeIncarnation(now_ms + 10, 0) > first);
  CHECK(MakeIncarnation(now_ms, 1) != MakeIncarnation(now_ms, 2));
  const std::int64_t year_2100_ms = 4'102'444'800'000;
  CHECK(MakeIncarnation(year_2100_ms, 0) < std::uint64_t{1} << 63U);
  CHECK(IncarnationOf(MakeNodeName(VmName("a"), first)) == first);
}

// Guards against a stranger that learns anything, and against a peer taken
// for connected before it answered this connection's nonce.
TEST_CASE("a session opens only with fresh frames of both sides") {
  Pair pair;
  CHECK(pair.m_a.CanSendHello());
  CHECK_FALSE(pair.m_b.CanSendHello());
  pair.Open();
  CHECK(pair.m_a.Established());
  CHECK_FALSE(pair.m_b.Established());
  pair.SendToB(Probe{1, {}});
  CHECK(pair.m_b.Accept(pair.m_from_a.back()).ok());
  CHECK(pair.m_b.Established());
  CHECK(VmOf(pair.m_b.Peer()->m_node) == VmName("a"));
}

// Guards against a recorded Forward that runs twice.
TEST_CASE("replayed, repeated, reordered and left out frames are refused") {
  Pair old(11, 22);
  old.Open();
  old.SendToB(Forward{RequestId(1), EntryName("payout"), TeamName("t"), "k",
                      Seconds(1), "b"});
  SECTION("on a new connection") {
    Session fresh(HelloOf("b", 33), false);
    CHECK(fresh.Accept(old.m_from_a[0]).ok());
    CHECK_FALSE(fresh.Established());
    CHECK(CodeOf(fresh.Accept(old.m_from_a[1])) == Code::kPeerUnknown);
    CHECK_FALSE(fresh.Established());
  }
  SECTION("twice on one connection") {
    CHECK(old.m_b.Accept(old.m_from_a[1]).ok());
    CHECK_FALSE(old.m_b.Accept(old.m_from_a[1]).ok());
  }
  SECTION("out of order") {
    old.SendToB(Probe{2, {}});
    CHECK_FALSE(old.m_b.Accept(old.m_from_a[2]).ok());
  }
  SECTION("the Hello of the accepting side") {
    Session initiator(HelloOf("a", 44, "b"), true);
    CHECK(initiator.WrapHello().m_session == 0);
    CHECK_FALSE(initiator.Accept(old.m_from_b[0]).ok());
    Session accepting(HelloOf("c", 55), false);
    CHECK_FALSE(accepting.Accept(old.m_from_b[0]).ok());
  }
}

// Guards against frames sent back to their sender and against an address
// that now belongs to another VM.
TEST_CASE("reflected and misdirected frames are refused") {
  Pair pair;
  const Envelope hello = pair.m_a.WrapHello();
  CHECK_FALSE(pair.m_a.Accept(hello).ok());
  Session same(HelloOf("a", 66), false);
  CHECK_FALSE(same.Accept(hello).ok());
  Session other(HelloOf("c", 77), false);
  CHECK_FALSE(other.Accept(hello).ok());
  Pair open;
  open.Open();
  open.SendToB(Probe{1, {}});
  CHECK_FALSE(open.m_a.Accept(open.m_from_a.back()).ok());
  CHECK_FALSE(
      open.m_b.Accept({open.m_from_a.back().m_session, 1, HelloOf("d", 88)})
          .ok());
}

// Guards against a node name that is read as another VM or incarnation.
TEST_CASE("node names split into VM and incarnation") {
  const NodeName node = MakeNodeName(VmName("entry#3"), 42);
  CHECK(node.Value() == "entry#3#42");
  CHECK(VmOf(node) == VmName("entry#3"));
  CHECK(IncarnationOf(node) == 42);
  CHECK(VmOf(NodeName("bare")) == VmName("bare"));
  CHECK(IncarnationOf(NodeName("bare")) == 0);
  CHECK(IncarnationOf(NodeName("x#y")) == 0);
}

}  // namespace
}  // namespace filbertspar
