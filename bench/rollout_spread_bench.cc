#include <cstdint>
#include <map>
#include <vector>

#include "bench/state_figures.h"
#include "tests/rollout_cluster.h"

namespace filbertspar {
namespace {

using testing::ClusterNode;
using testing::RolloutCluster;

constexpr int kNodes = 24;
constexpr int kChanges = 400;
// The node whose connections to peers are silent; it reaches the store.
constexpr int kSilent = 7;

struct Spread {
  std::vector<double> m_all;
  std::vector<double> m_connected;
  double m_reads = 0;
  /// Reads of a node beyond the poll each second.
  double m_reads_per_change = 0;
};

void StartAll(RolloutCluster& cluster) {
  for (int node = 0; node < kNodes; ++node) {
    StartNode(cluster, node);
  }
  cluster.m_time.RunUntil(cluster.m_time.Now() + Seconds(2));
}

// Seconds from acceptance until the version is in force, on every node and on
// every node that hears its peers.
Spread MeasureSpread(std::uint64_t seed, bool offers) {
  RolloutCluster cluster(kNodes, seed);
  cluster.m_faults.m_lose = 0.01;
  cluster.m_store.m_faults.m_lose_request = 0.005;
  cluster.m_store.m_faults.m_lose_answer = 0.005;
  cluster.m_separated = [offers](int a, int b) {
    return !offers || a == kSilent || b == kSilent;
  };
  StartAll(cluster);
  const TimePoint start = cluster.m_time.Now();
  const std::uint64_t reads = cluster.m_store.m_table.m_reads;
  Rng rng(seed);
  for (int change = 0; change < kChanges; ++change) {
    ProposeAt(
        cluster, static_cast<int>(rng.Below(kNodes)),
        [&](Catalogue& catalogue) { catalogue.m_teams[0].m_ceiling = change; });
    cluster.m_time.RunUntil(
        cluster.m_time.Now() +
        testing::RandomDuration(rng, Seconds(3), Seconds(5)));
  }
  Spread spread;
  for (const auto& [version, nodes] : cluster.m_applied) {
    double all = 0;
    double connected = 0;
    for (const auto& [node, time] : nodes) {
      const double took =
          ToSeconds(time - cluster.m_first_in_force.at(version));
      all = std::max(all, took);
      connected = node == kSilent ? connected : std::max(connected, took);
    }
    spread.m_all.push_back(all);
    spread.m_connected.push_back(connected);
  }
  spread.m_reads_per_change =
      (static_cast<double>(cluster.m_store.m_table.m_reads - reads) / kNodes -
       ToSeconds(cluster.m_time.Now() - start)) /
      static_cast<double>(cluster.m_applied.size());
  spread.m_reads =
      static_cast<double>(cluster.m_store.m_table.m_reads - reads) / kNodes /
      ToSeconds(cluster.m_time.Now() - start);
  return spread;
}

// Longest time in seconds after an accepted revocation in which a node cut off
// from the store and from its peers still takes keyed work.
double MeasureCutOff(std::uint64_t seed) {
  RolloutCluster cluster(kNodes, seed);
  StartAll(cluster);
  testing::ProposeAt(cluster, 0, [](Catalogue&) {});
  cluster.m_time.RunUntil(cluster.m_time.Now() + Seconds(3));
  cluster.m_separated = [](int a, int b) {
    return a == kSilent || b == kSilent;
  };
  cluster.m_store.m_cut = {kSilent};
  testing::ProposeAt(cluster, 0, [](Catalogue& catalogue) {
    catalogue.m_keys[0].m_revoked = true;
  });
  const TimePoint start = cluster.m_time.Now();
  const WorkspaceName sales("sales");
  const ClusterNode& cut = cluster.m_nodes[kSilent];
  while (CheckFresh(cut.m_rollout, cluster.m_time.Now(), sales) == Code::kOk &&
         cluster.m_time.Now() - start < Seconds(60)) {
    cluster.m_time.RunUntil(cluster.m_time.Now() + Milliseconds(10));
  }
  return ToSeconds(cluster.m_time.Now() - start);
}

// Share of moments in a 10 minute store outage at which an entry takes keyed
// work; `crash` ends one process in the middle.
double MeasureOutage(std::uint64_t seed, bool crash) {
  RolloutCluster cluster(kNodes, seed);
  cluster.m_faults.m_lose = 0.01;
  StartAll(cluster);
  testing::ProposeAt(cluster, 0, [](Catalogue&) {});
  cluster.m_time.RunUntil(cluster.m_time.Now() + Seconds(3));
  cluster.m_store.m_down = true;
  const WorkspaceName sales("sales");
  double fresh = 0;
  double samples = 0;
  for (int second = 0; second < 600; ++second) {
    cluster.m_time.RunUntil(cluster.m_time.Now() + Seconds(1));
    if (crash && second == 300) {
      StopNode(cluster, kSilent);
      StartNode(cluster, kSilent);
    }
    for (const ClusterNode& node : cluster.m_nodes) {
      fresh +=
          CheckFresh(node.m_rollout, cluster.m_time.Now(), sales) == Code::kOk
              ? 1
              : 0;
      samples += 1;
    }
  }
  return fresh / samples;
}

void Run() {
  constexpr std::uint64_t kSeed = 11;
  const Spread offered = MeasureSpread(kSeed, true);
  const Spread polled = MeasureSpread(kSeed, false);
  bench::Print("rollout_in_force_all_p50", bench::Quantile(offered.m_all, 0.5),
               "s", bench::Quantile(polled.m_all, 0.5), kSeed);
  bench::Print("rollout_in_force_all_p99", bench::Quantile(offered.m_all, 0.99),
               "s", bench::Quantile(polled.m_all, 0.99), kSeed);
  bench::Print("rollout_in_force_connected_p99",
               bench::Quantile(offered.m_connected, 0.99), "s",
               bench::Quantile(polled.m_connected, 0.99), kSeed);
  // A revoked key is refused from the moment its revocation is in force.
  bench::Print("rollout_revoked_key_refused_max",
               bench::Quantile(offered.m_all, 1), "s",
               bench::Quantile(polled.m_all, 1), kSeed);
  std::vector<double> cut;
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    cut.push_back(MeasureCutOff(seed));
  }
  bench::Print("rollout_cut_off_entry_refuses_max", bench::Quantile(cut, 1),
               "s", 60, 1);
  // The naive version asks the store for the key at each request.
  bench::Print("rollout_fresh_share_in_outage", MeasureOutage(kSeed, false),
               "share", 0, kSeed);
  bench::Print("rollout_fresh_share_in_outage_with_crash",
               MeasureOutage(kSeed, true), "share", 0, kSeed);
  bench::Print("rollout_reads_per_node", offered.m_reads, "reads/s",
               polled.m_reads, kSeed);
  bench::Print("rollout_reads_per_change", offered.m_reads_per_change,
               "reads/change", polled.m_reads_per_change, kSeed);
}

}  // namespace
}  // namespace filbertspar

int main() {
  filbertspar::Run();
  return 0;
}
