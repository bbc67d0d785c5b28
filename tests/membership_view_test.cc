#include <rapidcheck.h>

#include <catch2/catch.hpp>

#include "tests/membership_net.h"

namespace filbertspar {
namespace {

using testing::MakeCluster;
using testing::Net;
using testing::NodeOf;
using testing::VmAt;

void SetStore(Net& net, const VmName& vm, bool reaches) {
  net.Do(vm, [reaches](Membership& state, TimePoint now,
                       MembershipEffects& effects) {
    SetStatus(state, now, state.m_version, reaches, effects);
  });
}

std::vector<PlanNode> Nodes(int count, int zones) {
  std::vector<PlanNode> nodes;
  nodes.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) {
    nodes.push_back({VmAt(i), NodeOf(i, zones).m_zone});
  }
  return nodes;
}

// Guards against a link that only one side plans, a zone that is not fully
// meshed, and zone pairs with other than two links.
TEST_CASE("both ends plan the same links") {
  CHECK(rc::check([] {
    const int zones = *rc::gen::inRange(1, 6);
    const int count = zones * *rc::gen::inRange(2, 6);
    const std::vector<PlanNode> ring = RingOrder(Nodes(count, zones));
    std::map<std::pair<VmName, VmName>, LinkDuty> links;
    for (const PlanNode& node : ring) {
      for (const PlannedLink& link : PlanLinks(ring, node, 1)) {
        links[{node.m_vm, link.m_vm}] = link.m_duty;
      }
    }
    std::map<VmName, ZoneName> zone_of;
    for (const PlanNode& node : ring) {
      zone_of[node.m_vm] = node.m_zone;
    }
    std::map<std::pair<ZoneName, ZoneName>, int> between;
    for (const auto& [ends, duty] : links) {
      const auto back = links.find({ends.second, ends.first});
      RC_ASSERT(back != links.end() && back->second == duty);
      ++between[{zone_of[ends.first], zone_of[ends.second]}];
      RC_ASSERT(duty != LinkDuty::kZone ||
                zone_of[ends.first] == zone_of[ends.second]);
    }
    const int per_zone = count / zones;
    for (const PlanNode& a : ring) {
      RC_ASSERT((between[{a.m_zone, a.m_zone}] == per_zone * (per_zone - 1)));
      for (const PlanNode& b : ring) {
        // Ring links come on top of the two links of a pair.
        RC_ASSERT((a.m_zone == b.m_zone || between[{a.m_zone, b.m_zone}] >= 2));
      }
    }
  }));
}

// Guards against neighbours that die together when a zone is lost.
TEST_CASE("ring neighbours are of different zones") {
  const std::vector<PlanNode> ring = RingOrder(Nodes(132, 22));
  for (std::size_t i = 0; i < ring.size(); ++i) {
    CHECK(ring[i].m_zone != ring[(i + 1) % ring.size()].m_zone);
  }
}

// Guards against a list entry that is taken for a live node, a live node that
// the lagging list omits, and a joining node that stays alone.
TEST_CASE("the platform's list is only a hint") {
  auto net = MakeCluster({.m_seed = 8}, 7, 3);
  net->RunFor(Seconds(5));
  const MemberUpdate joining = NodeOf(7, 3);
  net->Add(joining, {});
  const std::vector<ListedVm> listed = {
      {VmAt(0), ZoneName("zone-0"), {"10.0.0.1", 1}},
      {VmAt(50), ZoneName("zone-1"), {"10.0.0.1", 2}}};
  SetListed(net->At(VmAt(7)).m_state, net->Now(), listed);
  SetListed(net->At(VmAt(0)).m_state, net->Now(), listed);
  net->RunFor(Seconds(10));
  for (const auto& [vm, node] : net->Nodes()) {
    INFO(vm);
    CHECK(LiveMembers(node->m_state).size() == 7);
    CHECK_FALSE(node->m_state.m_members.contains(VmAt(50)));
  }
  net->Crash(VmAt(7));
  net->RunFor(Seconds(70));
  Membership& state = net->At(VmAt(0)).m_state;
  CHECK(LiveMembers(state).size() == 6);
  std::vector<ListedVm> still = listed;
  still.push_back({VmAt(7), joining.m_zone, joining.m_endpoint});
  SetListed(state, net->Now(), still);
  CHECK(state.m_members.contains(VmAt(7)));
  SetListed(state, net->Now(), listed);
  CHECK_FALSE(state.m_members.contains(VmAt(7)));
  CHECK(LiveMembers(state).size() == 6);
}

// Guards against a leaving node that is reported as a failure, and against a
// restarted process that is confused with its predecessor.
TEST_CASE("leaving nodes leave and a new incarnation replaces the old one") {
  auto net = MakeCluster({.m_seed = 9}, 7, 3);
  net->RunFor(Seconds(5));
  net->Do(VmAt(2),
          [](Membership& state, TimePoint now, MembershipEffects& effects) {
            Leave(state, now, effects);
          });
  net->RunFor(Seconds(1));
  const Membership& state = net->At(VmAt(0)).m_state;
  CHECK(state.m_members.at(VmAt(2)).m_state == MemberState::kLeaving);
  CHECK_FALSE(IsUsable(state, NodeOf(2, 3).m_node));
  net->Crash(VmAt(2));
  net->RunFor(Seconds(4));
  CHECK(state.m_members.at(VmAt(2)).m_state == MemberState::kLeft);
  net->Nodes().erase(VmAt(2));
  net->Add(NodeOf(2, 3, 2), {});
  SetListed(net->At(VmAt(2)).m_state, net->Now(),
            {{VmAt(5), ZoneName("zone-2"), {"10.0.0.1", 1}}});
  net->RunFor(Seconds(10));
  for (const auto& [vm, node] : net->Nodes()) {
    CHECK(LiveMembers(node->m_state).size() == 6);
  }
  CHECK(IsUsable(state, NodeOf(2, 3, 2).m_node));
  CHECK_FALSE(IsUsable(state, NodeOf(2, 3, 1).m_node));
}

// Guards against decision Q3 being met while some entry VM may have accepted
// a revocation, and against never being met in a store outage.
TEST_CASE("no store anywhere holds only when every node says so") {
  for (const auto& [nodes, zones] : {std::pair{7, 3}, {40, 8}}) {
    auto net = MakeCluster({.m_seed = 10}, nodes, zones);
    net->RunFor(Seconds(20));
    const auto met = [&net, nodes = nodes](Duration bound) {
      int count = 0;
      for (int i = 0; i < nodes; ++i) {
        const auto at = NoStoreAnywhereAt(net->At(VmAt(i)).m_state, net->Now());
        count += at.has_value() && net->Now() - *at <= bound ? 1 : 0;
      }
      return count;
    };
    CHECK(met(Seconds(1000)) == 0);
    for (int i = 0; i < nodes; ++i) {
      SetStore(*net, VmAt(i), false);
    }
    net->RunFor(Seconds(20));
    for (int i = 0; i < 20; ++i) {
      net->RunFor(Milliseconds(333));
      CHECK(met(Seconds(4)) == nodes);
    }
    SetStore(*net, VmAt(1), true);
    net->RunFor(Seconds(3));
    CHECK(met(Seconds(1000)) == 0);
    SetStore(*net, VmAt(1), false);
    net->RunFor(Seconds(5));
    CHECK(met(Seconds(4)) == nodes);
    const TimePoint cut = net->Now();
    net->Partition({VmAt(1)});
    net->RunFor(Seconds(8));
    CHECK(met(Seconds(4)) == 0);
    const auto at = NoStoreAnywhereAt(net->At(VmAt(1)).m_state, net->Now());
    CHECK((!at.has_value() || *at <= cut));
  }
}

// Guards against a node with an old configuration that nobody notices.
TEST_CASE("digests show the zone that has an old version") {
  auto net = MakeCluster({.m_seed = 11}, 12, 3);
  net->RunFor(Seconds(20));
  for (int i = 0; i < 12; ++i) {
    net->Do(VmAt(i), [i](Membership& state, TimePoint now,
                         MembershipEffects& effects) {
      SetStatus(state, now, ConfigVersion(i == 4 ? 7 : 8), true, effects);
    });
  }
  net->RunFor(Seconds(20));
  for (int i = 0; i < 12; ++i) {
    const auto digests = ZoneDigests(net->At(VmAt(i)).m_state, net->Now());
    CHECK(digests.size() == 3);
    for (const ZoneDigest& digest : digests) {
      INFO(i << " " << digest.m_zone);
      CHECK(digest.m_live == 4);
      CHECK(digest.m_newest == ConfigVersion(8));
      CHECK(digest.m_oldest ==
            ConfigVersion(digest.m_zone == ZoneName("zone-1") ? 7 : 8));
    }
  }
}

}  // namespace
}  // namespace filbertspar
