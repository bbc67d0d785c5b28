#pragma once

#include <algorithm>
#include <memory>
#include <set>

#include "bench/membership_schemes.h"
#include "tests/membership_net.h"

namespace filbertspar::bench {

/// One run of the membership cores over the fake connections.
class CoreRun {
 public:
  CoreRun(const Scenario& scenario, std::size_t reach) : m_scenario(scenario) {
    MembershipOptions options;
    options.m_reach = reach;
    testing::NetOptions net;
    net.m_seed = scenario.m_seed;
    net.m_loss = scenario.m_loss;
    m_net =
        testing::MakeCluster(net, scenario.m_nodes, scenario.m_zones, options);
    m_net->SetObserver(
        [this](TimePoint at, const VmName& by, const MemberUpdate& update) {
          if (update.m_state != MemberState::kDead) {
            return;
          }
          const VmName vm = VmOf(update.m_node);
          if (!m_crashed.contains(vm)) {
            ++m_result.m_false;
          } else if (!m_crashed.contains(by)) {
            m_knew[vm].push_back(at);
          }
        });
  }

  Result Run() {
    // Connections open and heartbeats find their rhythm first.
    Rng phase(m_scenario.m_seed * 31);
    m_net->RunFor(Seconds(15) +
                  Duration(static_cast<std::int64_t>(phase.Below(1000000))));
    for (auto& [vm, node] : m_net->Nodes()) {
      node->m_sent_bytes = node->m_sent_frames = 0;
    }
    const std::uint64_t replaced = Replaced();
    m_start = m_net->Now();
    Rng rng(m_scenario.m_seed * 977);
    Inject(rng);
    m_net->Run(m_start + m_scenario.m_time);
    Collect();
    m_result.m_replaced = Replaced() - replaced;
    return m_result;
  }

 private:
  void Crash(const VmName& vm) {
    m_crashed.insert(vm);
    m_net->Crash(vm);
  }

  void Inject(Rng& rng) {
    const auto any = [&] {
      return testing::VmAt(static_cast<int>(
          rng.Below(static_cast<std::uint64_t>(m_scenario.m_nodes))));
    };
    if (m_scenario.m_fault == Fault::kCrash) {
      Crash(any());
    } else if (m_scenario.m_fault == Fault::kPair) {
      // The worst pair: a node and the neighbour that watches it.
      const auto& ring = m_net->At(testing::VmAt(0)).m_state.m_ring;
      const std::size_t at = rng.Below(ring.size());
      const VmName one = ring[at].m_vm;
      const VmName other = ring[(at + 1) % ring.size()].m_vm;
      Crash(one);
      Crash(other);
    } else if (m_scenario.m_fault == Fault::kZone) {
      const auto zone = static_cast<int>(
          rng.Below(static_cast<std::uint64_t>(m_scenario.m_zones)));
      for (int i = zone; i < m_scenario.m_nodes; i += m_scenario.m_zones) {
        Crash(testing::VmAt(i));
      }
    } else if (m_scenario.m_fault != Fault::kNone) {
      Repeat(rng);
    }
  }

  /// Pauses or mutes at random times in the first half of the run.
  void Repeat(Rng& rng) {
    for (int i = 0; i < m_scenario.m_faults; ++i) {
      const VmName vm = testing::VmAt(static_cast<int>(
          rng.Below(static_cast<std::uint64_t>(m_scenario.m_nodes))));
      const std::uint64_t choice = rng();
      const auto half =
          static_cast<std::uint64_t>(m_scenario.m_time.count() / 2);
      m_net->At(m_start + Duration(static_cast<std::int64_t>(rng.Below(half))),
                [this, vm, choice] {
                  if (m_scenario.m_fault == Fault::kPause) {
                    m_net->Pause(vm, Seconds(1));
                    return;
                  }
                  const auto& links = m_net->At(vm).m_links;
                  if (!links.empty()) {
                    const auto at = std::next(
                        links.begin(),
                        static_cast<std::ptrdiff_t>(choice % links.size()));
                    m_net->Mute(vm, at->first);
                  }
                });
    }
  }

  std::uint64_t Replaced() {
    std::uint64_t replaced = 0;
    for (const auto& [vm, node] : m_net->Nodes()) {
      replaced += node->m_state.m_counters.m_silent_connections;
    }
    return replaced;
  }

  void Collect() {
    const auto live =
        static_cast<std::size_t>(m_scenario.m_nodes) - m_crashed.size();
    m_result.m_crashes = static_cast<int>(m_crashed.size());
    for (const VmName& vm : m_crashed) {
      std::vector<TimePoint>& knew = m_knew[vm];
      if (knew.size() < live) {
        ++m_result.m_missed;
      }
      if (!knew.empty()) {
        m_result.m_first_s.push_back(
            ToSeconds(*std::min_element(knew.begin(), knew.end()) - m_start));
        m_result.m_all_s.push_back(
            ToSeconds(*std::max_element(knew.begin(), knew.end()) - m_start));
      }
    }
    const double seconds = ToSeconds(m_scenario.m_time);
    for (const auto& [vm, node] : m_net->Nodes()) {
      const double bytes = static_cast<double>(node->m_sent_bytes) / seconds;
      m_result.m_mean_bytes += bytes / m_scenario.m_nodes;
      m_result.m_max_bytes = std::max(m_result.m_max_bytes, bytes);
      m_result.m_frames += static_cast<double>(node->m_sent_frames) / seconds /
                           m_scenario.m_nodes;
      m_result.m_suspicions += node->m_state.m_counters.m_suspicions;
    }
  }

  Scenario m_scenario;
  std::unique_ptr<testing::Net> m_net;
  TimePoint m_start;
  std::set<VmName> m_crashed;
  std::map<VmName, std::vector<TimePoint>> m_knew;
  Result m_result;
};

inline Result RunCore(const Scenario& scenario, std::size_t reach) {
  return CoreRun(scenario, reach).Run();
}

}  // namespace filbertspar::bench
