#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <vector>

#include "boost/asio/write.hpp"
#include "filbertspar/peer/peer.h"

namespace filbertspar {
namespace {

/// Three nodes of two zones on loopback, each on a port the system chose.
class Trio {
 public:
  Trio() {
    m_secrets =
        std::make_shared<Secrets>(Secrets{std::string(32, 's'), std::nullopt});
    for (int i = 0; i < 3; ++i) {
      const MemberUpdate self{
          MakeNodeName(VmName("entry-" + std::to_string(i)), 5),
          ZoneName(i == 0 ? "a" : "b"),
          {"127.0.0.1", 0}};
      m_links.push_back(std::make_unique<PeerLinks>(
          m_context, self, MembershipOptions{}, m_secrets, i + 1,
          [this](const NodeName& from, const Message& message) {
            m_messages.emplace_back(from, message);
          },
          [](const MemberUpdate&) {}));
      REQUIRE(m_links.back()->Start().ok());
    }
    std::vector<ListedVm> listed;
    for (const auto& links : m_links) {
      const MemberUpdate& self = links->State().m_self;
      listed.push_back(
          {VmOf(self.m_node), self.m_zone, links->LocalEndpoint()});
    }
    for (const auto& links : m_links) {
      links->SetListed(listed);
    }
  }

  /// Runs until the condition holds; the bound only ends a hanging test.
  template <typename Condition>
  bool Await(Condition condition) {
    const auto guard =
        std::chrono::steady_clock::now() + std::chrono::seconds(120);
    while (!condition() && std::chrono::steady_clock::now() < guard) {
      m_context.run_for(std::chrono::milliseconds(10));
    }
    return condition();
  }
  bool AllConnected() {
    return Await([this] {
      for (const auto& links : m_links) {
        if (links && (LiveMembers(links->State()).size() != 2 ||
                      links->Connected().size() != 2)) {
          return false;
        }
      }
      return true;
    });
  }
  NodeName NameOf(std::size_t i) { return m_links[i]->State().m_self.m_node; }

  asio::io_context m_context;
  std::shared_ptr<const Secrets> m_secrets;
  std::vector<std::pair<NodeName, Message>> m_messages;
  std::vector<std::unique_ptr<PeerLinks>> m_links;
};

// Guards against nodes that do not find each other over real sockets,
// messages that go to the wrong node, and a mute connection that stays.
TEST_CASE("nodes connect, exchange messages and replace a mute connection") {
  Trio trio;
  REQUIRE(trio.AllConnected());
  const GrantHint hint{trio.NameOf(0), TeamName("sales"), 3, 1};
  REQUIRE(trio.m_links[0]->Send(trio.NameOf(1), hint));
  CHECK_FALSE(trio.m_links[0]->Send(NodeName("entry-1#4"), hint));
  REQUIRE(trio.Await([&] { return !trio.m_messages.empty(); }));
  CHECK(trio.m_messages[0].first == trio.NameOf(0));
  CHECK(std::get<GrantHint>(trio.m_messages[0].second) == hint);

  const auto replaced = [&] {
    return trio.m_links[0]->State().m_counters.m_silent_connections +
           trio.m_links[1]->State().m_counters.m_silent_connections;
  };
  const auto before = replaced();
  REQUIRE(trio.m_links[0]->MuteForTest(VmOf(trio.NameOf(1))));
  REQUIRE(trio.Await([&] { return replaced() > before; }));
  trio.m_messages.clear();
  REQUIRE(trio.Await([&] {
    trio.m_links[0]->Send(trio.NameOf(1), hint);
    return !trio.m_messages.empty();
  }));
}

// Guards against a dead process that stays in the view, and against a
// stranger whose bytes are read or answered.
TEST_CASE("a stopped node is found dead and a stranger is refused") {
  Trio trio;
  REQUIRE(trio.AllConnected());
  asio::ip::tcp::socket stranger(trio.m_context);
  const Endpoint at = trio.m_links[0]->LocalEndpoint();
  stranger.connect({asio::ip::make_address(at.m_address), at.m_port});
  const std::string frame =
      *EncodeFrame({0, 0, Hello{NodeName("entry-9#1"), {}, {}, {}, 7}},
                   Secrets{std::string(32, 'x'), std::nullopt});
  asio::write(stranger, asio::buffer(frame));
  REQUIRE(
      trio.Await([&] { return trio.m_links[0]->Counters().m_refused == 1; }));
  char byte = 0;
  boost::system::error_code error;
  CHECK(stranger.read_some(asio::buffer(&byte, 1), error) == 0);
  CHECK(error);
  CHECK(LiveMembers(trio.m_links[0]->State()).size() == 2);

  const VmName dead = VmOf(trio.NameOf(2));
  trio.m_links[2].reset();
  REQUIRE(trio.Await([&] {
    return trio.m_links[0]->State().m_members.at(dead).m_state ==
               MemberState::kDead &&
           trio.m_links[1]->State().m_members.at(dead).m_state ==
               MemberState::kDead;
  }));
}

}  // namespace
}  // namespace filbertspar
