#include <cstdint>

#include "bench/state_figures.h"
#include "tests/rollout_cluster.h"

// Seeded histories of the roll-out under every pair of faults. The baseline
// takes whatever record arrives last, as gossip with last writer wins does.
int main(int argc, char** argv) {
  using filbertspar::testing::PlantedFault;
  using filbertspar::testing::RunRolloutHistory;
  const std::uint64_t count = filbertspar::bench::Histories(argc, argv);
  const auto broken = [&](PlantedFault planted) {
    return static_cast<double>(filbertspar::bench::SumOverSeeds(
        count, [planted](std::uint64_t seed) -> std::int64_t {
          const unsigned faults = (1U << (seed % 6)) | (1U << (seed / 6 % 6));
          const auto result = RunRolloutHistory(seed, faults, planted);
          return result.m_violations > 0 || !result.m_converged ? 1 : 0;
        }));
  };
  filbertspar::bench::Print("rollout_histories", static_cast<double>(count),
                            "histories", static_cast<double>(count), 1);
  filbertspar::bench::Print("rollout_broken_histories",
                            broken(PlantedFault::kNone), "histories",
                            broken(PlantedFault::kAnyRecord), 1);
  return 0;
}
