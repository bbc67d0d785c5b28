// One worker in ten fails everything it starts, and half of a pool is out:
// answers that failed, time to ejection and attempts per request in virtual
// time, beside the naive version.
//
//   request_outage_bench [SEED]

#include <cstdio>
#include <string>

#include "bench/figure.h"
#include "bench/naive_engine.h"
#include "tests/world/scenario.h"

namespace filbertspar {
namespace {

constexpr int kWorkers = 10;
constexpr Duration kFaultAt = Seconds(10);
constexpr Duration kEjectionBound = Seconds(3);

world::WorldOptions Load(std::uint64_t seed, Duration gap) {
  world::WorldOptions options;
  options.m_seed = seed;
  options.m_load_time = Seconds(70);
  options.m_mean_gap = gap;
  options.m_min_deadline = Seconds(2);
  options.m_max_deadline = Seconds(5);
  options.m_min_run = Milliseconds(50);
  options.m_max_run = Milliseconds(150);
  options.m_settled_after = kFaultAt + kEjectionBound;
  return options;
}

std::unique_ptr<world::EngineApi> MakeOne(bool naive, std::uint64_t seed) {
  if (naive) {
    return std::make_unique<NaiveEngine>(1);
  }
  EngineOptions options;
  options.m_zone = ZoneName("a");
  options.m_seed = seed;
  return std::make_unique<world::RealEngine>(options);
}

struct FailAllResult {
  double m_failed_percent = 0;
  /// Last second, counted from the fault, in which the failing worker got more
  /// than a probe.
  double m_ejection_seconds = 0;
};

FailAllResult FailAll(bool naive, std::uint64_t seed) {
  const world::WorldOptions options = Load(seed, Milliseconds(3));
  const auto world = world::PoolWorld(options, kWorkers, MakeOne(naive, seed));
  world->FailAll(VmName("quotes4"), kFaultAt);
  world->Run();
  const world::WorldCounts& counts = world->Counts();
  FailAllResult result;
  result.m_failed_percent = 100.0 *
                            static_cast<double>(counts.m_late_failures) /
                            static_cast<double>(counts.m_late_replies);
  for (const auto& [second, attempts] : counts.m_on_failing) {
    if (attempts > 1) {
      result.m_ejection_seconds =
          static_cast<double>(second) + 1 - ToSeconds(kFaultAt);
    }
  }
  return result;
}

struct HalfOutResult {
  double m_attempts_per_request = 0;
  double m_failed_percent = 0;
};

// The load is 40% of the whole pool, which the remaining half can carry.
HalfOutResult HalfOut(bool naive, std::uint64_t seed) {
  const world::WorldOptions options = Load(seed, Milliseconds(3));
  const auto world = world::PoolWorld(options, kWorkers, MakeOne(naive, seed));
  for (int i = 0; i < kWorkers / 2; ++i) {
    world->TakeDown(VmName("quotes" + std::to_string(i)), kFaultAt);
  }
  world->Run();
  const world::WorldCounts& counts = world->Counts();
  return {.m_attempts_per_request = static_cast<double>(counts.m_attempts) /
                                    static_cast<double>(counts.m_calls),
          .m_failed_percent = 100.0 *
                              static_cast<double>(counts.m_late_failures) /
                              static_cast<double>(counts.m_late_replies)};
}

int Run(std::uint64_t seed) {
  const FailAllResult real = FailAll(false, seed);
  const FailAllResult naive = FailAll(true, seed);
  PrintFigure("request_fail_all_failed_answers", real.m_failed_percent, "%",
              naive.m_failed_percent, seed);
  PrintFigure("request_fail_all_ejection", real.m_ejection_seconds, "s",
              naive.m_ejection_seconds, seed);
  const HalfOutResult half = HalfOut(false, seed);
  const HalfOutResult naive_half = HalfOut(true, seed);
  PrintFigure("request_half_out_attempts", half.m_attempts_per_request,
              "attempts/request", naive_half.m_attempts_per_request, seed);
  PrintFigure("request_half_out_failed_answers", half.m_failed_percent, "%",
              naive_half.m_failed_percent, seed);
  const bool met = real.m_failed_percent <= 1.0 &&
                   real.m_ejection_seconds <= ToSeconds(kEjectionBound) &&
                   half.m_attempts_per_request <= 1.1;
  return met ? 0 : 1;
}

}  // namespace
}  // namespace filbertspar

int main(int argc, char** argv) {
  return filbertspar::Run(argc > 1 ? std::stoull(argv[1]) : 1);
}
