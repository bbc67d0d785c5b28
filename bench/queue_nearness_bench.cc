// Nearness of what teams receive to their due share, in a full fleet and while
// one team surges fivefold; beside one global first-come queue.

#include <cstdio>
#include <cstdlib>
#include <string>

#include "bench/pool_trace.h"

namespace filbertspar::bench {
namespace {

// Every team has work in every pool. The load is 1.3 times the capacity: one
// third of the teams ask for less than their share, the others for more.
// Declared run times are wrong by up to four times either way.
Trace MakeTrace(std::uint64_t seed, std::size_t teams, std::size_t pools,
                std::int64_t slots, double surge) {
  Rng rng(seed * 7919);
  Trace trace{.m_seed = seed};
  double total = 0;
  for (std::size_t t = 0; t < teams; ++t) {
    trace.m_weights.push_back(1.0 + static_cast<double>(t % 3));
    total += trace.m_weights.back();
  }
  trace.m_slots.assign(pools, slots);
  for (std::size_t t = 0; t < teams; ++t) {
    for (std::size_t p = 0; p < pools; ++p) {
      const double share =
          trace.m_weights[t] / total * static_cast<double>(slots);
      const double load = t % 3 == 2 ? 0.6 : 1.6 + rng.Uniform();
      const Duration run_time =
          Milliseconds(200 + static_cast<std::int64_t>(rng.Below(600)));
      trace.m_flows.push_back(
          {.m_team = t,
           .m_pool = p,
           .m_class = WorkClass::kStandard,
           .m_per_second = load * share / ToSeconds(run_time),
           .m_run_time = run_time,
           .m_declared_ratio = std::exp2(4.0 * rng.Uniform() - 2.0),
           .m_deadline = Seconds(8),
           .m_surge = t == 2 ? surge : 1.0});
    }
  }
  return trace;
}

void Report(const std::string& name, const Trace& trace, bool surge) {
  const std::vector<TraceRequest> requests = Requests(trace);
  FairPolicy fair(trace, requests);
  FirstComePolicy first_come(trace, requests);
  const auto others = [surge](std::size_t team) { return !surge || team != 2; };
  const double figure =
      100 * WorstNearness(trace, Play(trace, requests, fair), others);
  const double baseline =
      100 * WorstNearness(trace, Play(trace, requests, first_come), others);
  std::printf(
      "%s figure=%.3f unit=percent baseline=%.3f ratio=%.4f seed=%llu\n",
      name.c_str(), figure, baseline, figure / baseline,
      static_cast<unsigned long long>(trace.m_seed));
}

}  // namespace
}  // namespace filbertspar::bench

int main(int argc, char** argv) {
  using namespace filbertspar::bench;
  const std::uint64_t first =
      argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
  for (std::uint64_t seed = first; seed < first + 3; ++seed) {
    Report("nearness_full_6_teams", MakeTrace(seed, 6, 5, 80, 1.0), false);
    Report("nearness_surge_6_teams", MakeTrace(seed, 6, 5, 80, 5.0), true);
    Report("nearness_full_50_teams", MakeTrace(seed, 50, 2, 512, 1.0), false);
    Report("nearness_surge_50_teams", MakeTrace(seed, 50, 2, 512, 5.0), true);
  }
}
