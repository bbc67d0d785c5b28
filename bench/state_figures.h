#pragma once

#include <algorithm>
#include <atomic>
#include <cmath>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <thread>
#include <vector>

namespace filbertspar::bench {

/// \brief Prints one figure beside its baseline.
inline void Print(const char* name, double figure, const char* unit,
                  double baseline, std::uint64_t seed) {
  std::printf("%s figure=%.6g unit=%s baseline=%.6g ratio=%.6g seed=%llu\n",
              name, figure, unit, baseline,
              baseline == 0 && figure == 0 ? 1 : figure / baseline,
              static_cast<unsigned long long>(seed));
  std::fflush(stdout);
}

/// \brief Value below which the given share of the samples lies.
inline double Quantile(std::vector<double> samples, double share) {
  if (samples.empty()) {
    return 0;
  }
  std::sort(samples.begin(), samples.end());
  const auto index = static_cast<std::size_t>(
      std::lround(share * static_cast<double>(samples.size() - 1)));
  return samples[index];
}

/// \brief Sum of `run(seed)` for seeds 1 to `count`, on four threads.
inline std::int64_t SumOverSeeds(
    std::uint64_t count,
    const std::function<std::int64_t(std::uint64_t)>& run) {
  std::atomic<std::uint64_t> next{1};
  std::atomic<std::int64_t> sum{0};
  std::vector<std::thread> threads;
  threads.reserve(4);
  for (int i = 0; i < 4; ++i) {
    threads.emplace_back([&] {
      for (std::uint64_t seed = next++; seed <= count; seed = next++) {
        sum += run(seed);
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  return sum;
}

/// \brief Number of histories: the first argument, or 10,000.
inline std::uint64_t Histories(int argc, char** argv) {
  return argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 10'000;
}

}  // namespace filbertspar::bench
