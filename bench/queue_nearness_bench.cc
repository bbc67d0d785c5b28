// Nearness of what teams receive to their due share, in a full fleet and while
// one team surges fivefold; beside one global first-come queue.

#include <cstdio>
#include <cstdlib>
#include <string>

#include "bench/pool_fluid.h"
#include "bench/pool_play.h"

namespace filbertspar::bench {
namespace {

// Every team has work in every pool. The load is 1.3 times the capacity: one
// third of the teams ask for less than their share, the others for more.
// Declared run times are wrong by up to four times either way.
Trace MakeTrace(std::uint64_t seed, std::size_t teams, std::size_t pools,
                std::int64_t slots, double surge, std::size_t processes = 1) {
  Rng rng(seed * 7919);
  Trace trace{.m_seed = seed, .m_processes = processes};
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

// The due share is taken twice: from the demand that the policy itself leaves
// (running and waiting, so that waiting counts as a shortage at once), and from
// an ideal fluid schedule of the same requests.
void Report(const std::string& name, const Trace& trace, bool surge) {
  const std::vector<TraceRequest> requests = Requests(trace);
  const Record fair = PlayFair(trace, requests);
  const Record first_come = PlayFirstCome(trace, requests);
  const Fluid fluid = PlayFluid(trace, requests);
  const auto others = [surge](std::size_t team) { return !surge || team != 2; };
  const auto print = [&](const char* measure, double figure, double baseline) {
    std::printf(
        "%s_%s figure=%.3f unit=percent baseline=%.3f ratio=%.4f seed=%llu\n",
        name.c_str(), measure, 100 * figure, 100 * baseline, figure / baseline,
        static_cast<unsigned long long>(trace.m_seed));
  };
  const auto worst = [&](const Record& record, const auto& due) {
    return WorstNearness(trace, record.m_received, due, others);
  };
  print("demand", worst(fair, fair.m_due), worst(first_come, first_come.m_due));
  print("fluid", worst(fair, fluid.m_due), worst(first_come, fluid.m_due));
}

}  // namespace
}  // namespace filbertspar::bench

// Arguments: first seed, number of seeds. One process, today's 6, and 13 with
// as many slots each (157) as the 132 processes of the design size have.
int main(int argc, char** argv) {
  using namespace filbertspar::bench;
  const std::uint64_t first =
      argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
  const std::uint64_t count =
      argc > 2 ? std::strtoull(argv[2], nullptr, 10) : 1;
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    Report("nearness_full_6_teams", MakeTrace(seed, 6, 5, 80, 1.0), false);
    Report("nearness_surge_6_teams", MakeTrace(seed, 6, 5, 80, 5.0), true);
    Report("nearness_full_6_teams_6_processes",
           MakeTrace(seed, 6, 5, 80, 1.0, 6), false);
    Report("nearness_surge_6_teams_6_processes",
           MakeTrace(seed, 6, 5, 80, 5.0, 6), true);
    Report("nearness_full_50_teams_13_processes",
           MakeTrace(seed, 50, 4, 512, 1.0, 13), false);
    Report("nearness_surge_50_teams_13_processes",
           MakeTrace(seed, 50, 4, 512, 5.0, 13), true);
  }
}
