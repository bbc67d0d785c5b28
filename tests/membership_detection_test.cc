#include <catch2/catch.hpp>
#include <set>

#include "tests/membership_net.h"

namespace filbertspar {
namespace {

using testing::MakeCluster;
using testing::Net;
using testing::NetOptions;
using testing::VmAt;

constexpr Duration kDetectionTarget = Seconds(3);

/// What one run showed; each count is a broken promise.
struct Findings {
  int m_false_deaths = 0;
  int m_late_deaths = 0;
  int m_wrong_views = 0;
  int m_silent_links = 0;

  int Total() const {
    return m_false_deaths + m_late_deaths + m_wrong_views + m_silent_links;
  }
};

struct Faults {
  bool m_crash = false;
  bool m_mute = false;
  bool m_pause = false;
  bool m_partition = false;
  double m_loss = 0;
  double m_duplicate = 0;
  double m_reorder = 0;
};

/// Runs 9 nodes in 3 zones with seeded faults, each fault twice, and checks
/// deaths on the way and views at the end.
class Schedule {
 public:
  Schedule(std::uint64_t seed, const Faults& faults,
           const MembershipOptions& options = {})
      : m_faults(faults), m_rng(seed * 7919), m_options(options) {
    NetOptions net;
    net.m_seed = seed;
    net.m_loss = faults.m_loss;
    net.m_duplicate = faults.m_duplicate;
    net.m_reorder = faults.m_reorder;
    m_net = MakeCluster(net, kNodes, kZones, options);
    m_net->SetObserver(
        [this](TimePoint at, const VmName& by, const MemberUpdate& update) {
          const VmName vm = VmOf(update.m_node);
          if (update.m_state != MemberState::kDead || m_crashed.contains(by)) {
            return;
          }
          if (m_crashed.contains(vm)) {
            m_deaths.try_emplace({by, vm}, at);
          } else if (!m_partitioned) {
            ++m_findings.m_false_deaths;
          }
        });
  }

  Findings Run() {
    m_net->RunFor(Seconds(10));
    for (int round = 0; round < 2; ++round) {
      Inject();
      m_net->RunFor(Seconds(20));
    }
    m_net->RunFor(Seconds(60));
    Check();
    return m_findings;
  }

 private:
  static constexpr int kNodes = 9;
  static constexpr int kZones = 3;

  VmName Any() {
    VmName vm;
    do {
      vm = VmAt(static_cast<int>(m_rng.Below(kNodes)));
    } while (m_crashed.contains(vm));
    return vm;
  }

  void Inject() {
    if (m_faults.m_mute) {
      const VmName vm = Any();
      const auto links = m_net->At(vm).m_links;
      for (const auto& [peer, id] : links) {
        if (m_rng.Chance(0.5)) {
          m_net->Mute(vm, peer);
        }
      }
    }
    if (m_faults.m_pause) {
      m_net->Pause(Any(), Milliseconds(800));
    }
    if (m_faults.m_partition) {
      m_partitioned = true;
      std::set<VmName> group;
      for (int i = 0; i < kNodes; i += kZones) {
        group.insert(VmAt(i));
      }
      m_net->Partition(group);
      m_net->At(m_net->Now() + Seconds(9), [this] { m_net->Heal(); });
    }
    if (m_faults.m_crash) {
      const VmName vm = Any();
      m_crashed.insert(vm);
      m_crash_times[vm] = m_net->Now();
      m_net->Crash(vm);
    }
  }

  void Check() {
    for (auto& [vm, node] : m_net->Nodes()) {
      if (m_crashed.contains(vm)) {
        continue;
      }
      for (const auto& [peer, at] : m_crash_times) {
        const auto death = m_deaths.find({vm, peer});
        const bool late =
            death == m_deaths.end() || death->second - at > kDetectionTarget;
        // While the zones are cut off from each other news cannot pass.
        m_findings.m_late_deaths += late && !m_faults.m_partition ? 1 : 0;
      }
      std::set<VmName> live;
      for (const MemberUpdate& member : LiveMembers(node->m_state)) {
        live.insert(VmOf(member.m_node));
      }
      m_findings.m_wrong_views +=
          live.size() + m_crashed.size() + 1 == kNodes ? 0 : 1;
      for (const VmName& peer : live) {
        m_findings.m_wrong_views += m_crashed.contains(peer) ? 1 : 0;
      }
      for (const auto& [peer, member] : node->m_state.m_members) {
        const bool silent = member.m_link.has_value() &&
                            member.m_link->m_planned &&
                            m_net->Now() - member.m_link->m_heard >
                                MembershipOptions().m_silent_intervals *
                                        MembershipOptions().m_cross_interval +
                                    Seconds(2);
        m_findings.m_silent_links += silent ? 1 : 0;
      }
    }
  }

  Faults m_faults;
  Rng m_rng;
  MembershipOptions m_options;
  std::unique_ptr<Net> m_net;
  std::set<VmName> m_crashed;
  bool m_partitioned = false;
  std::map<VmName, TimePoint> m_crash_times;
  std::map<std::pair<VmName, VmName>, TimePoint> m_deaths;
  Findings m_findings;
};

Findings RunSeeds(const Faults& faults, int seeds,
                  const MembershipOptions& options = {}) {
  Findings all;
  for (int seed = 1; seed <= seeds; ++seed) {
    const Findings one =
        Schedule(static_cast<std::uint64_t>(seed), faults, options).Run();
    INFO("seed " << seed);
    all.m_false_deaths += one.m_false_deaths;
    all.m_late_deaths += one.m_late_deaths;
    all.m_wrong_views += one.m_wrong_views;
    all.m_silent_links += one.m_silent_links;
  }
  return all;
}

void CheckClean(const Findings& findings) {
  CHECK(findings.m_false_deaths == 0);
  CHECK(findings.m_late_deaths == 0);
  CHECK(findings.m_wrong_views == 0);
  CHECK(findings.m_silent_links == 0);
}

// Guards against false, late and missed deaths and against connections that
// stay silent, under each fault alone and in pairs, each twice in a run.
TEST_CASE("faults alone and in pairs are detected in time and nothing else") {
  const std::vector<Faults> singles = {
      {.m_crash = true},     {.m_mute = true}, {.m_pause = true},
      {.m_partition = true}, {.m_loss = 0.01}, {.m_duplicate = 0.2},
      {.m_reorder = 0.2},
  };
  for (std::size_t i = 0; i < singles.size(); ++i) {
    for (std::size_t j = i; j < singles.size(); ++j) {
      const Faults& a = singles[i];
      const Faults& b = singles[j];
      const Faults both{a.m_crash || b.m_crash,
                        a.m_mute || b.m_mute,
                        a.m_pause || b.m_pause,
                        a.m_partition || b.m_partition,
                        std::max(a.m_loss, b.m_loss),
                        std::max(a.m_duplicate, b.m_duplicate),
                        std::max(a.m_reorder, b.m_reorder)};
      INFO("faults " << i << " and " << j);
      CheckClean(RunSeeds(both, 4));
    }
  }
}

// Guards against checks that cannot fail: each planted fault must be found.
TEST_CASE("planted faults are found") {
  MembershipOptions slow;
  slow.m_confirm = Seconds(3);
  CHECK(RunSeeds({.m_crash = true}, 2, slow).m_late_deaths > 0);
  MembershipOptions deaf;
  deaf.m_silent_intervals = 100000;
  CHECK(RunSeeds({.m_mute = true}, 2, deaf).m_silent_links > 0);
  CHECK(RunSeeds({.m_crash = true}, 2, deaf).m_wrong_views > 0);
  MembershipOptions hasty;
  hasty.m_silent_intervals = 1;
  hasty.m_confirm = Duration(1);
  hasty.m_opinion = Duration(0);
  CHECK(RunSeeds({.m_pause = true}, 4, hasty).m_false_deaths > 0);
  MembershipOptions unhealing;
  unhealing.m_retry_interval = Seconds(100000);
  CHECK(RunSeeds({.m_partition = true}, 2, unhealing).m_wrong_views > 0);
}

// Guards against a node that is cut off alone and then spreads the deaths of
// all the others.
TEST_CASE("a node cut off alone declares nobody dead") {
  auto net = MakeCluster({.m_seed = 5}, 9, 3);
  net->RunFor(Seconds(10));
  int deaths_of_others = 0;
  net->SetObserver([&](TimePoint, const VmName&, const MemberUpdate& update) {
    deaths_of_others +=
        update.m_state == MemberState::kDead && VmOf(update.m_node) != VmAt(4)
            ? 1
            : 0;
  });
  net->Partition({VmAt(4)});
  net->RunFor(Seconds(20));
  const Membership& cut_off = net->At(VmAt(4)).m_state;
  const VmName neighbour = RingNeighbours(cut_off.m_ring, VmAt(4), 1)[0];
  CHECK_FALSE(IsUsable(cut_off, net->At(neighbour).m_state.m_self.m_node));
  CHECK(LiveMembers(net->At(VmAt(0)).m_state).size() == 7);
  net->Heal();
  net->RunFor(Seconds(15));
  CHECK(deaths_of_others == 0);
  for (const auto& [vm, node] : net->Nodes()) {
    CHECK(LiveMembers(node->m_state).size() == 8);
  }
}

// Guards against a paused process that stays dead for the others, and against
// its return under the old round.
TEST_CASE("a process paused beyond the limit returns with a higher round") {
  auto net = MakeCluster({.m_seed = 6}, 7, 3);
  net->RunFor(Seconds(10));
  net->Pause(VmAt(3), Seconds(8));
  net->RunFor(Seconds(5));
  CHECK(LiveMembers(net->At(VmAt(0)).m_state).size() == 5);
  net->RunFor(Seconds(10));
  CHECK(net->At(VmAt(3)).m_state.m_self.m_round >= 1);
  for (const auto& [vm, node] : net->Nodes()) {
    CHECK(LiveMembers(node->m_state).size() == 6);
  }
}

}  // namespace
}  // namespace filbertspar
