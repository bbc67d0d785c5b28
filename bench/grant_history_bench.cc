#include <cstdint>

#include "bench/state_figures.h"
#include "tests/grant_cluster.h"

namespace filbertspar {
namespace {

using testing::GrantCluster;
using testing::GrantFault;

// Number of tasks started in ten minutes, with the store down or up. Each
// entry's demand changes every five seconds; no request is forwarded to a peer.
double TasksStarted(std::uint64_t seed, bool down, std::int64_t ceiling) {
  Rng rng(seed);
  GrantCluster cluster(6, ceiling, seed);
  StartAllNodes(cluster);
  for (auto& node : cluster.m_nodes) {
    node.m_demand = 5;
  }
  cluster.m_time.RunUntil(cluster.m_time.Now() + Seconds(20));
  cluster.m_store.m_down = down;
  const std::int64_t before = cluster.m_started;
  for (int step = 0; step < 120; ++step) {
    for (auto& node : cluster.m_nodes) {
      node.m_demand = 4 + static_cast<std::int64_t>(rng.Below(3));
    }
    cluster.m_time.RunUntil(cluster.m_time.Now() + Seconds(5));
  }
  return static_cast<double>(cluster.m_started - before);
}

void Run(std::uint64_t count) {
  const auto count_violating_histories = [count](GrantFault injected_fault) {
    return static_cast<double>(bench::SumOverSeeds(
        count, [injected_fault](std::uint64_t seed) -> std::int64_t {
          const unsigned faults = (1U << (seed % 6)) | (1U << (seed / 6 % 6));
          return testing::RunGrantHistory(seed, faults, injected_fault)
                             .m_violations > 0
                     ? 1
                     : 0;
        }));
  };
  bench::Print("grant_histories", static_cast<double>(count), "histories",
               static_cast<double>(count), 1);
  // In the baseline a new incarnation uses the units of the previous one.
  bench::Print("grant_broken_histories",
               count_violating_histories(GrantFault::kNone), "histories",
               count_violating_histories(GrantFault::kInheritUnits), 1);
  constexpr std::uint64_t kSeed = 21;
  // The baseline asks the store at each start, so it serves nothing.
  bench::Print("grant_served_share_in_outage",
               TasksStarted(kSeed, true, 60) / TasksStarted(kSeed, false, 60),
               "share", 0, kSeed);
  bench::Print("grant_served_share_in_outage_at_ceiling",
               TasksStarted(kSeed, true, 20) / TasksStarted(kSeed, false, 20),
               "share", 0, kSeed);
}

}  // namespace
}  // namespace filbertspar

int main(int argc, char** argv) {
  filbertspar::Run(filbertspar::bench::Histories(argc, argv));
  return 0;
}
