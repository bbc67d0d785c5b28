/// \file
/// \brief Seeded histories of planners, operators, failures and take-overs in
/// virtual time. Usage: fleet_history_bench [HISTORIES [THREADS]]. The baseline
/// of each count is the number of drains that were checked.

#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <thread>
#include <vector>

#include "tests/fleet_world.h"

namespace filbertspar {
namespace {

/// \brief Three shapes that differ in which budget is tight.
world::Shape ShapeOf(std::uint64_t seed) {
  world::Shape shape;
  if (seed % 3 == 1) {
    shape.m_pools = 2;
    shape.m_pool_size = 8;
    shape.m_pool_max_out = 2;
    shape.m_min_available = 6;
    shape.m_zone_max_out = 1;
  } else if (seed % 3 == 2) {
    shape.m_pools = 4;
    shape.m_pool_size = 4;
    shape.m_rack_max_out = 2;
    shape.m_min_available = 2;
    shape.m_pool_max_out = 2;
  }
  return shape;
}

struct Sum {
  std::int64_t m_histories = 0;
  std::int64_t m_unfinished = 0;
  world::Verdict m_verdict;
};

void Add(Sum& sum, const world::Verdict& verdict) {
  ++sum.m_histories;
  sum.m_unfinished += verdict.m_done_at < 0 ? 1 : 0;
  world::Verdict& all = sum.m_verdict;
  all.m_broken_budgets += verdict.m_broken_budgets;
  all.m_cut_requests += verdict.m_cut_requests;
  all.m_two_pools += verdict.m_two_pools;
  all.m_wrong_counts += verdict.m_wrong_counts;
  all.m_drains += verdict.m_drains;
  all.m_maintained += verdict.m_maintained;
  all.m_moved += verdict.m_moved;
  all.m_conflicts += verdict.m_conflicts;
  all.m_replaced += verdict.m_replaced;
}

void Print(const char* name, std::int64_t value, std::int64_t baseline) {
  std::printf("%s figure=%lld unit=count baseline=%lld ratio=%.6f seed=1\n",
              name, static_cast<long long>(value),
              static_cast<long long>(baseline),
              baseline == 0
                  ? 0.0
                  : static_cast<double>(value) / static_cast<double>(baseline));
}

void Run(std::uint64_t histories, unsigned threads) {
  std::vector<Sum> sums(threads);
  std::vector<std::thread> workers;
  for (unsigned thread = 0; thread < threads; ++thread) {
    workers.emplace_back([&, thread] {
      for (std::uint64_t seed = 1 + thread; seed <= histories;
           seed += threads) {
        world::World world(seed, ShapeOf(seed), {});
        const world::Verdict verdict = world.Run(1500, 300);
        if (!verdict.m_first.empty()) {
          std::fprintf(stderr, "seed %llu: %s\n",
                       static_cast<unsigned long long>(seed),
                       verdict.m_first.c_str());
        }
        if (verdict.m_done_at < 0) {
          std::fprintf(stderr, "seed %llu: wave not done\n",
                       static_cast<unsigned long long>(seed));
        }
        Add(sums[thread], verdict);
      }
    });
  }
  Sum total;
  for (unsigned thread = 0; thread < threads; ++thread) {
    workers[thread].join();
    Sum& sum = sums[thread];
    total.m_histories += sum.m_histories - 1;
    total.m_unfinished += sum.m_unfinished;
    Add(total, sum.m_verdict);
    // Add counts a sum as one history without an end.
    --total.m_unfinished;
  }
  const world::Verdict& all = total.m_verdict;
  Print("fleet_histories", total.m_histories, total.m_histories);
  Print("fleet_broken_budgets", all.m_broken_budgets, all.m_drains);
  Print("fleet_cut_requests", all.m_cut_requests, all.m_maintained);
  Print("fleet_vms_in_two_pools", all.m_two_pools, all.m_moved);
  Print("fleet_wrong_counts", all.m_wrong_counts, all.m_drains);
  Print("fleet_write_conflicts", all.m_conflicts, all.m_drains);
  Print("fleet_rows_deleted", all.m_replaced, total.m_histories);
  Print("fleet_waves_unfinished", total.m_unfinished, total.m_histories);
}

}  // namespace
}  // namespace filbertspar

int main(int argc, char** argv) {
  const std::uint64_t histories =
      argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 10'000;
  const auto threads =
      static_cast<unsigned>(argc > 2 ? std::strtoul(argv[2], nullptr, 10) : 4);
  filbertspar::Run(histories, threads);
}
