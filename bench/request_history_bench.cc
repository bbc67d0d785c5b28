// Runs seeded fault histories of the request engine in virtual time and counts
// the violations that the history checker finds, beside the naive version in
// the first hundredth of the same histories.
//
//   request_history_bench [HISTORIES [FIRST_SEED]]

#include <cstdio>
#include <string>

#include "bench/figure.h"
#include "bench/naive_engine.h"
#include "tests/world/scenario.h"

namespace filbertspar {
namespace {

struct Totals {
  std::uint64_t m_histories = 0;
  std::uint64_t m_calls = 0;
  std::uint64_t m_started = 0;
  std::array<std::uint64_t, kHistoryRules> m_violations{};
  std::uint64_t m_false_settlements = 0;
  std::uint64_t m_settled = 0;
  std::uint64_t m_unknown = 0;

  std::uint64_t Violations() const {
    std::uint64_t sum = m_false_settlements;
    for (const std::uint64_t count : m_violations) {
      sum += count;
    }
    return sum;
  }
};

void RunOne(std::uint64_t seed, bool naive, Totals& totals) {
  const world::WorldOptions options = world::RandomFaults(seed);
  const std::unique_ptr<world::World> world =
      naive ? world::MixedWorld(options,
                                [](std::uint32_t node) {
                                  return std::make_unique<NaiveEngine>(node);
                                })
            : world::MixedWorld(options);
  world->Run();
  // A configuration arrives within 1 s, and a task at its worker within 3 s of
  // its start by the engine.
  CheckOptions check;
  check.m_spread_bound = Milliseconds(4'100);
  const CheckResult result = CheckHistory(world->History(), check);
  ++totals.m_histories;
  totals.m_calls += result.m_calls;
  totals.m_started += result.m_started;
  for (std::size_t rule = 0; rule < kHistoryRules; ++rule) {
    totals.m_violations[rule] += result.m_counts[rule];
  }
  totals.m_false_settlements += world->Counts().m_false_settlements;
  totals.m_settled += world->Counts().m_settled;
  const auto unknown = world->Counts().m_replies.find(Code::kOutcomeUnknown);
  if (unknown != world->Counts().m_replies.end()) {
    totals.m_unknown += unknown->second;
  }
  if (!naive && (result.Total() > 0 || world->Counts().m_false_settlements)) {
    std::printf("violation in history with seed %llu\n",
                static_cast<unsigned long long>(seed));
  }
}

double PerThousand(std::uint64_t count, std::uint64_t histories) {
  return 1000.0 * static_cast<double>(count) / static_cast<double>(histories);
}

int Run(std::uint64_t histories, std::uint64_t first) {
  Totals real;
  Totals naive;
  for (std::uint64_t i = 0; i < histories; ++i) {
    RunOne(first + i, false, real);
    if (i <= histories / 100) {
      RunOne(first + i, true, naive);
    }
  }
  std::printf(
      "histories=%llu calls=%llu starts=%llu unknown=%llu settled=%llu\n",
      static_cast<unsigned long long>(real.m_histories),
      static_cast<unsigned long long>(real.m_calls),
      static_cast<unsigned long long>(real.m_started),
      static_cast<unsigned long long>(real.m_unknown),
      static_cast<unsigned long long>(real.m_settled));
  for (std::size_t rule = 0; rule < kHistoryRules; ++rule) {
    PrintFigure("request_history_" +
                    std::string(ToString(static_cast<HistoryRule>(rule))),
                PerThousand(real.m_violations[rule], real.m_histories),
                "violations/1000_histories",
                PerThousand(naive.m_violations[rule], naive.m_histories),
                first);
  }
  PrintFigure("request_history_all",
              PerThousand(real.Violations(), real.m_histories),
              "violations/1000_histories",
              PerThousand(naive.Violations(), naive.m_histories), first);
  return real.Violations() == 0 ? 0 : 1;
}

}  // namespace
}  // namespace filbertspar

int main(int argc, char** argv) {
  const std::uint64_t histories = argc > 1 ? std::stoull(argv[1]) : 10'000;
  const std::uint64_t first = argc > 2 ? std::stoull(argv[2]) : 1;
  return filbertspar::Run(histories, first);
}
