#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <string>

#include "bench/membership_core_scheme.h"
#include "bench/membership_random_scheme.h"

namespace filbertspar::bench {
namespace {

constexpr double kTargetSeconds = 3.0;
constexpr double kTargetBytes = 2000.0;

struct Scheme {
  std::string m_name;
  /// Ring neighbours watched on each side; 0 means randomized probing.
  std::size_t m_reach = 0;
};

class Printer {
 public:
  Printer(std::string prefix, std::uint64_t seed)
      : m_prefix(std::move(prefix)), m_seed(seed) {}

  void Print(const std::string& name, double figure, const char* unit,
             double baseline) const {
    std::printf(
        "%s_%s figure=%.3f unit=%s baseline=%.3f ratio=%.3f seed=%llu\n",
        m_prefix.c_str(), name.c_str(), figure, unit, baseline,
        baseline > 0 ? figure / baseline : 0.0,
        static_cast<unsigned long long>(m_seed));
    std::fflush(stdout);
  }

 private:
  std::string m_prefix;
  std::uint64_t m_seed;
};

Result RunScheme(const Scheme& scheme, const Scenario& scenario) {
  return scheme.m_reach == 0 ? RunRandom(scenario)
                             : RunCore(scenario, scheme.m_reach);
}

double Quantile(std::vector<double> values, double q) {
  if (values.empty()) {
    return 0;
  }
  std::sort(values.begin(), values.end());
  const double at = q * static_cast<double>(values.size() - 1);
  return values[static_cast<std::size_t>(at)];
}

void Crashes(const Scheme& scheme, Scenario scenario, int rounds,
             const Printer& printer) {
  for (const auto& [fault, name] : {std::pair{Fault::kCrash, "crash"},
                                    {Fault::kPair, "pair"},
                                    {Fault::kZone, "zone"}}) {
    scenario.m_fault = fault;
    Result total;
    for (int round = 0; round < rounds; ++round) {
      Scenario one = scenario;
      one.m_seed += static_cast<std::uint64_t>(round);
      const Result result = RunScheme(scheme, one);
      total.m_first_s.insert(total.m_first_s.end(), result.m_first_s.begin(),
                             result.m_first_s.end());
      total.m_all_s.insert(total.m_all_s.end(), result.m_all_s.begin(),
                           result.m_all_s.end());
      total.m_missed += result.m_missed;
      total.m_crashes += result.m_crashes;
      total.m_false += result.m_false;
    }
    const std::string prefix = name;
    printer.Print(prefix + "_count", total.m_crashes, "crashes", 0);
    printer.Print(prefix + "_first_p50", Quantile(total.m_first_s, 0.5), "s",
                  kTargetSeconds);
    printer.Print(prefix + "_first_max", Quantile(total.m_first_s, 1), "s",
                  kTargetSeconds);
    printer.Print(prefix + "_all_p50", Quantile(total.m_all_s, 0.5), "s",
                  kTargetSeconds);
    printer.Print(prefix + "_all_max", Quantile(total.m_all_s, 1), "s",
                  kTargetSeconds);
    printer.Print(prefix + "_missed", total.m_missed, "nodes", 0);
    printer.Print(prefix + "_false", total.m_false, "reports", 0);
  }
}

void Compare(const Scheme& scheme, int nodes, int zones, Duration calm,
             int rounds, std::uint64_t seed) {
  const Printer printer(
      "membership_" + scheme.m_name + "_n" + std::to_string(nodes), seed);
  Scenario scenario;
  scenario.m_nodes = nodes;
  scenario.m_zones = zones;
  scenario.m_seed = seed;
  scenario.m_loss = 0.01;
  if (rounds > 0) {
    Crashes(scheme, scenario, rounds, printer);
  }
  for (const auto& [fault, name] :
       {std::pair{Fault::kPause, "pause_1s"}, {Fault::kSilent, "silent"}}) {
    if (rounds == 0) {
      break;
    }
    scenario.m_fault = fault;
    scenario.m_time = Seconds(30);
    const Result result = RunScheme(scheme, scenario);
    const std::string prefix = name;
    printer.Print(prefix + "_false", result.m_false, "reports", 0);
    printer.Print(prefix + "_replaced", static_cast<double>(result.m_replaced),
                  "connections", scenario.m_faults);
  }
  scenario.m_fault = Fault::kNone;
  scenario.m_time = calm;
  const Result result = RunScheme(scheme, scenario);
  printer.Print("calm_time", ToSeconds(calm), "s", 3600);
  printer.Print("calm_false", result.m_false, "reports", 0);
  printer.Print("calm_suspicions", static_cast<double>(result.m_suspicions),
                "suspicions", 0);
  printer.Print("calm_sent_mean", result.m_mean_bytes, "B/s", kTargetBytes);
  printer.Print("calm_sent_max", result.m_max_bytes, "B/s", kTargetBytes);
  printer.Print("calm_frames_mean", result.m_frames, "1/s", 0);
}

}  // namespace
}  // namespace filbertspar::bench

/// membership_detection_bench [SCHEME NODES ZONES CALM_SECONDS ROUNDS SEED]
int main(int argc, char** argv) {
  using filbertspar::Seconds;
  using filbertspar::bench::Compare;
  if (argc == 7) {
    const std::string name = argv[1];
    const int nodes = std::atoi(argv[2]);
    const std::size_t reach = name == "ring"     ? 1
                              : name == "ring2"  ? 2
                              : name == "direct" ? nodes / 2
                                                 : 0;
    Compare({name, reach}, nodes, std::atoi(argv[3]),
            Seconds(std::atoi(argv[4])), std::atoi(argv[5]),
            std::strtoull(argv[6], nullptr, 10));
    return 0;
  }
  for (const auto& [nodes, zones] : {std::pair{7, 3}, {132, 22}}) {
    const int rounds = nodes < 100 ? 20 : 3;
    const auto reach = static_cast<std::size_t>(nodes / 2);
    Compare({"ring", 1}, nodes, zones, Seconds(120), rounds, 1);
    Compare({"direct", reach}, nodes, zones, Seconds(nodes < 100 ? 120 : 10),
            nodes < 100 ? rounds : 1, 1);
    Compare({"random", 0}, nodes, zones, Seconds(120), rounds, 1);
  }
  return 0;
}
