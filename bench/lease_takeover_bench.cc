#include <cstdint>
#include <vector>

#include "bench/state_figures.h"
#include "tests/lease_cluster.h"

namespace filbertspar {
namespace {

using testing::LeaseCluster;
using testing::LeaseFault;

// Seconds from the crash of the holder until another process holds the role; 20
// if none does in that time. Half of `loss` hits requests, half responses.
std::vector<double> MeasureTakeovers(double loss) {
  std::vector<double> times;
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    LeaseCluster cluster(24, seed);
    cluster.m_store.m_faults.m_lose_request = loss / 2;
    cluster.m_store.m_faults.m_lose_answer = loss / 2;
    for (int node = 0; node < 24; ++node) {
      StartLeaseNode(cluster, node);
    }
    cluster.m_time.RunUntil(cluster.m_time.Now() + Seconds(5) +
                            Milliseconds(static_cast<std::int64_t>(seed * 7)));
    const int holder = HolderIndex(cluster);
    if (holder < 0) {
      continue;
    }
    const std::size_t before = cluster.m_acquisitions.size();
    const TimePoint crash = cluster.m_time.Now();
    StartLeaseNode(cluster, holder);
    cluster.m_time.RunUntil(crash + Seconds(20));
    times.push_back(
        cluster.m_acquisitions.size() > before
            ? ToSeconds(cluster.m_acquisitions[before].first - crash)
            : 20);
  }
  return times;
}

void Run(std::uint64_t count) {
  const auto count_violating_histories = [count](LeaseFault injected_fault) {
    return static_cast<double>(bench::SumOverSeeds(
        count, [injected_fault](std::uint64_t seed) -> std::int64_t {
          const unsigned faults = (1U << (seed % 5)) | (1U << (seed / 5 % 5));
          return testing::RunLeaseHistory(seed, faults, injected_fault)
                             .m_violations > 0
                     ? 1
                     : 0;
        }));
  };
  // The baseline sends fenced writes without the lease row.
  bench::Print("lease_broken_histories",
               count_violating_histories(LeaseFault::kNone), "histories",
               count_violating_histories(LeaseFault::kNoFence), 1);
  const std::vector<double> without_loss = MeasureTakeovers(0);
  const std::vector<double> with_loss = MeasureTakeovers(0.01);
  // The baseline is the 6 s bound given at kLeaseTimeout.
  bench::Print("lease_takeover_max", bench::Quantile(without_loss, 1), "s", 6,
               1);
  bench::Print("lease_takeover_loss_p99", bench::Quantile(with_loss, 0.99), "s",
               6, 1);
}

}  // namespace
}  // namespace filbertspar

int main(int argc, char** argv) {
  filbertspar::Run(filbertspar::bench::Histories(argc, argv));
  return 0;
}
