/// \file
/// \brief Roll-out time against its lower bound and against one VM at a time,
/// and the time and memory of a planning round. Usage: fleet_rollout_bench
/// [SEED].

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <fstream>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "filbertspar/fleet/fleet.h"

namespace filbertspar {
namespace {

struct Size {
  const char* m_name;
  int m_vms;
  int m_pools;
  int m_zones;
  std::int64_t m_pool_max_out;
  std::int64_t m_zone_max_out;
  std::int64_t m_min_available_less;
  Duration m_work;
  Duration m_reboot;
};

struct Host {
  bool m_cordoned = false;
  int m_boot = 1;
  std::int64_t m_work_s = 0;
  std::int64_t m_reboot_s = 0;
  std::int64_t m_idle_at = 0;
  std::int64_t m_up_at = 0;
  std::int64_t m_token = -1;
};

TimePoint At(std::int64_t second) {
  return TimePoint(Seconds(1'780'000'000 + second));
}

std::int64_t ResidentKb() {
  std::ifstream statm("/proc/self/statm");
  std::int64_t pages = 0;
  std::int64_t resident = 0;
  statm >> pages >> resident;
  return resident * 4;
}

constexpr std::int64_t kLastSecond = 200'000;

class Bench {
 public:
  Bench(const Size& size, std::uint64_t seed) : m_rng(seed) {
    const std::int64_t before_kb = ResidentKb();
    auto catalogue = std::make_shared<Catalogue>();
    catalogue->m_domains = {1, size.m_zone_max_out};
    for (int pool = 0; pool < size.m_pools; ++pool) {
      const std::string name = "pool-" + std::to_string(pool);
      catalogue->m_pools.push_back({PoolName(name), size.m_pool_max_out, 2});
    }
    m_planner.m_catalogue = catalogue;
    m_planner.m_settings.m_maintain_cycle = false;
    RowsRead rows;
    std::vector<std::int64_t> pool_sizes(static_cast<std::size_t>(size.m_pools),
                                         0);
    for (int vm = 0; vm < size.m_vms; ++vm) {
      // Pools differ by up to a fifth from their mean size, as 8 to 12 do.
      auto pool = static_cast<std::uint64_t>(vm % size.m_pools);
      if (m_rng.Chance(0.2)) {
        pool = m_rng.Below(static_cast<std::uint64_t>(size.m_pools));
      }
      ++pool_sizes[pool];
      VmRow row;
      row.m_name = VmName("vm-" + std::to_string(vm));
      row.m_address = "10.0." + std::to_string(vm / 250) + "." +
                      std::to_string(vm % 250) + ":7000";
      row.m_pool = PoolName("pool-" + std::to_string(pool));
      row.m_zone = ZoneName("zone-" + std::to_string(vm % size.m_zones));
      row.m_rack = RackName("rack-" + std::to_string(vm % size.m_zones) + "-" +
                            std::to_string(vm / size.m_zones / 4));
      row.m_capacity = {Slots(8), Megabytes(32768), Accelerators(0)};
      row.m_last_maintained_ms = UtcMilliseconds(At(-86'400));
      rows.m_vms.push_back({row.m_name.Value(), RowVersion(++m_version), row});
      Host& host = m_hosts[row.m_name];
      const auto spread = [this](Duration mean) {
        return static_cast<std::int64_t>(ToSeconds(mean) *
                                         (0.5 + m_rng.Uniform()));
      };
      host.m_work_s = spread(size.m_work);
      host.m_reboot_s = spread(size.m_reboot);
    }
    for (int pool = 0; pool < size.m_pools; ++pool) {
      CatalogueEntry entry;
      entry.m_name = EntryName("entry-" + std::to_string(pool));
      entry.m_pool = PoolName("pool-" + std::to_string(pool));
      entry.m_min_available = pool_sizes[static_cast<std::size_t>(pool)] -
                              size.m_min_available_less;
      catalogue->m_entries.push_back(entry);
    }
    rows.m_waves.push_back(
        {"w", RowVersion(++m_version),
         WaveRow{.m_name = "w", .m_started_ms = UtcMilliseconds(At(0))}});
    ReadRows(m_planner, rows);
    m_memory_kb = ResidentKb() - before_kb;
  }

  /// \brief Runs the wave; seconds until it is done.
  std::int64_t Run() {
    for (m_second = 0; m_second < kLastSecond; ++m_second) {
      m_planner.m_view_is_fresh = true;
      FleetEffects effects;
      const auto start = std::chrono::steady_clock::now();
      Tick(m_planner, At(m_second), effects);
      const double took = std::chrono::duration<double, std::milli>(
                              std::chrono::steady_clock::now() - start)
                              .count();
      m_worst_ms = std::max(m_worst_ms, took);
      m_total_ms += took;
      for (const FleetEffect& effect : effects) {
        std::visit([this](const auto& item) { Carry(item); }, effect);
      }
      if (m_planner.m_view.m_waves.at("w").m_row.m_state == WaveState::kDone) {
        break;
      }
    }
    return m_second;
  }

  /// \brief Seconds that the tightest budget needs with no gap at all.
  double LowerBound() const {
    std::map<std::string, double> work;
    for (const auto& [name, vm] : m_planner.m_view.m_vms) {
      for (const std::string& key : BudgetsOf(m_planner.m_view, vm.m_row)) {
        work[key] += Cost(name);
      }
    }
    double bound = 0;
    for (const auto& [key, seconds] : work) {
      const BudgetRow& row = m_planner.m_view.m_budgets.at(key).m_row;
      const std::int64_t limit =
          std::min(row.m_max_out, row.m_size - row.m_min_available);
      bound = std::max(bound, seconds / static_cast<double>(limit));
    }
    return bound;
  }

  double OneAtATime() const {
    double sum = 0;
    for (const auto& [name, host] : m_hosts) {
      sum += Cost(name);
    }
    return sum;
  }

  /// \brief One naive round: counts all budgets anew for each of `vms` VMs.
  double NaiveRoundMs(std::size_t vms) {
    const auto start = std::chrono::steady_clock::now();
    std::size_t allowed = 0;
    std::size_t done = 0;
    for (auto& [name, vm] : m_planner.m_view.m_vms) {
      if (done++ == vms) {
        break;
      }
      vm.m_row.m_state = VmState::kCordoned;
      bool holds = true;
      for (const auto& [key, row] :
           CountBudgets(m_planner.m_view, *m_planner.m_catalogue)) {
        holds = holds && Holds(row);
      }
      vm.m_row.m_state = VmState::kInService;
      allowed += holds ? 1 : 0;
    }
    m_allowed = allowed;
    return std::chrono::duration<double, std::milli>(
               std::chrono::steady_clock::now() - start)
        .count();
  }

  double m_worst_ms = 0;
  double m_total_ms = 0;
  std::int64_t m_second = 0;
  std::int64_t m_memory_kb = 0;
  std::size_t m_allowed = 0;

 private:
  double Cost(const VmName& name) const {
    const Host& host = m_hosts.at(name);
    return static_cast<double>(host.m_work_s + host.m_reboot_s);
  }

  void Carry(const WriteRows& write) {
    std::vector<RowVersion> versions;
    for (std::size_t row = 0; row < write.Size(); ++row) {
      versions.emplace_back(++m_version);
    }
    WriteSettled(m_planner, {write.m_id, WriteResult::kCommitted, versions});
  }
  void Carry(const CordonWorker& call) {
    Host& host = m_hosts[call.m_vm];
    host.m_idle_at = m_second + (call.m_cordon ? host.m_work_s : 0);
    host.m_cordoned = call.m_cordon;
  }
  void Carry(const RebootVm& call) {
    Host& host = m_hosts[call.m_vm];
    if (m_second >= host.m_up_at && host.m_token < host.m_boot) {
      host.m_token = host.m_boot;
      host.m_up_at = m_second + host.m_reboot_s;
    }
  }
  void Carry(const ProbeWorker& probe) {
    Host& host = m_hosts[probe.m_vm];
    if (host.m_token == host.m_boot && m_second >= host.m_up_at) {
      ++host.m_boot;
      host.m_cordoned = false;
    }
    WorkerReport report;
    report.m_vm = probe.m_vm;
    report.m_asked = At(m_second);
    report.m_reachable = m_second >= host.m_up_at;
    report.m_healthy = true;
    report.m_cordoned = host.m_cordoned;
    report.m_boot = std::to_string(host.m_boot);
    report.m_running = host.m_cordoned && m_second >= host.m_idle_at ? 0 : 2;
    WorkerReported(m_planner, At(m_second), report);
  }
  void Carry(const CheckpointTask& /*call*/) {}
  void Carry(const StopTask& /*call*/) {}
  void Carry(const ReportWave& /*report*/) {}
  void Carry(const Notice& notice) {
    if (++m_notices < 4) {
      std::fprintf(stderr, "notice: %s %s\n", notice.m_vm.Value().c_str(),
                   notice.m_text.c_str());
    }
  }

  Rng m_rng;
  Planner m_planner;
  std::map<VmName, Host> m_hosts;
  std::uint64_t m_version = 0;
  int m_notices = 0;
};

void Print(const std::string& name, double figure, const char* unit,
           double baseline, std::uint64_t seed) {
  std::printf("%s figure=%.3f unit=%s baseline=%.3f ratio=%.4f seed=%llu\n",
              name.c_str(), figure, unit, baseline,
              baseline > 0 ? figure / baseline : 0.0,
              static_cast<unsigned long long>(seed));
  std::fflush(stdout);
}

void Measure(const Size& size, std::uint64_t seed) {
  Bench bench(size, seed);
  const std::string name = size.m_name;
  const auto seconds = static_cast<double>(bench.Run());
  Print("rollout_over_lower_bound_" + name, seconds, "s", bench.LowerBound(),
        seed);
  Print("rollout_over_one_at_a_time_" + name, seconds, "s", bench.OneAtATime(),
        seed);
  const double mean = bench.m_total_ms / std::max(1.0, seconds);
  constexpr std::size_t kNaiveVms = 100;
  const std::size_t vms =
      std::min(kNaiveVms, static_cast<std::size_t>(size.m_vms));
  // The naive round is measured over at most 100 VMs of the fleet.
  const double naive = bench.NaiveRoundMs(vms);
  Print("round_mean_over_naive_for_" + std::to_string(vms) + "_vms_" + name,
        mean, "ms", naive, seed);
  Print("round_worst_over_100ms_" + name, bench.m_worst_ms, "ms", 100, seed);
  Print("planner_memory_" + name, static_cast<double>(bench.m_memory_kb), "KB",
        65'536, seed);
}

}  // namespace
}  // namespace filbertspar

int main(int argc, char** argv) try {
  using filbertspar::Seconds;
  const std::uint64_t seed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
  filbertspar::Measure(
      {"flowline", 50, 5, 3, 1, 2, 1, Seconds(30), Seconds(120)}, seed);
  filbertspar::Measure({"agency", 50, 5, 3, 2, 3, 1, Seconds(60), Seconds(180)},
                       seed);
  filbertspar::Measure(
      {"design", 2600, 41, 22, 2, 4, 2, Seconds(30), Seconds(120)}, seed);
} catch (const std::exception& error) {
  std::fprintf(stderr, "bench: %s\n", error.what());
  return 1;
}
