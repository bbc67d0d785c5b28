/// \file
/// \brief Buffers sized from surge history beside pools sized for their peak,
/// and moves that pay beside reactive moves. Usage: sizing_buffer_bench [SEED].

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <queue>
#include <string>
#include <vector>

#include "filbertspar/sizing/sizing.h"

namespace filbertspar {
namespace {

constexpr std::int64_t kSlotsPerVm = 8;
constexpr double kStep = 0.05;

struct Size {
  const char* m_name;
  int m_pools;
  double m_mean_vms;
  int m_test_seconds;
};

/// \brief Load factor of one queue: about 1, surges to 5 for some seconds,
/// then a twentieth.
class Surge {
 public:
  double Next(Rng& rng) {
    if (--m_left <= 0) {
      if (m_factor == 5.0) {
        m_factor = 0.05;
        m_left = 10 + static_cast<int>(rng.Below(25));
      } else if (rng.Chance(0.3)) {
        m_factor = 5.0;
        m_left = 3 + static_cast<int>(rng.Below(6));
      } else {
        m_factor = 1.0;
        m_left = 10 + static_cast<int>(rng.Below(60));
      }
    }
    return m_factor * (0.9 + 0.2 * rng.Uniform());
  }

 private:
  double m_factor = 1.0;
  int m_left = 20;
};

/// \brief Two queues of a pool: urgent work and other work, surging apart.
struct Load {
  Surge m_urgent;
  Surge m_other;
  double m_urgent_mean = 0;
  double m_other_mean = 0;
};

double Exponential(Rng& rng, double mean) {
  return -mean * std::log(1.0 - rng.Uniform());
}

/// \brief A pool of slots without preemption, urgent tasks first.
class PoolRun {
 public:
  explicit PoolRun(std::int64_t slots) : m_slots(slots) {}

  void Arrive(double now, bool urgent, double run_time) {
    (urgent ? m_urgent : m_other).push_back({now, run_time});
  }

  /// \brief Starts tasks up to `now`, each at the moment its slot is free.
  void Serve(double now) {
    while (static_cast<std::int64_t>(m_ends.size()) < m_slots && Start(now)) {
    }
    while (!m_ends.empty() && m_ends.top() <= now) {
      const double free_at = m_ends.top();
      m_ends.pop();
      Start(free_at);
    }
    while (static_cast<std::int64_t>(m_ends.size()) < m_slots && Start(now)) {
    }
  }

  std::int64_t m_started = 0;
  std::int64_t m_in_time = 0;

 private:
  bool Start(double now) {
    auto& queue = m_urgent.empty() ? m_other : m_urgent;
    if (queue.empty()) {
      return false;
    }
    const auto [since, run_time] = queue.front();
    const double start = std::max(now, since);
    m_ends.push(start + run_time);
    if (&queue == &m_urgent) {
      ++m_started;
      m_in_time += start - since <= 1.3 ? 1 : 0;
    }
    queue.pop_front();
    return true;
  }

  std::int64_t m_slots;
  std::deque<std::pair<double, double>> m_urgent;
  std::deque<std::pair<double, double>> m_other;
  std::priority_queue<double, std::vector<double>, std::greater<>> m_ends;
};

/// \brief Offers the load for some seconds to pools and adds it to a history.
void Offer(Rng& rng, Load& load, int seconds, SurgeHistory* history,
           const std::vector<PoolRun*>& pools) {
  constexpr double kUrgentRun = 0.2;
  constexpr double kOtherRun = 0.5;
  double owed_urgent = 0;
  double owed_other = 0;
  for (int second = 0; second < seconds; ++second) {
    const double urgent = load.m_urgent_mean * load.m_urgent.Next(rng);
    const double other = load.m_other_mean * load.m_other.Next(rng);
    LoadSample sample;
    for (double at = second; at < second + 1 - kStep / 2; at += kStep) {
      owed_urgent += urgent * kStep;
      owed_other += other * kStep;
      for (const bool is_urgent : {true, false}) {
        double& owed = is_urgent ? owed_urgent : owed_other;
        while (owed > 0) {
          const double run =
              Exponential(rng, is_urgent ? kUrgentRun : kOtherRun);
          owed -= run;
          (is_urgent ? sample.m_urgent : sample.m_other) +=
              static_cast<float>(run);
          for (PoolRun* pool : pools) {
            pool->Arrive(at, is_urgent, run);
          }
        }
      }
      for (PoolRun* pool : pools) {
        pool->Serve(at);
      }
    }
    if (history != nullptr) {
      Observe(*history, sample);
    }
  }
}

void Print(const std::string& name, double figure, const char* unit,
           double baseline, std::uint64_t seed) {
  std::printf("%s figure=%.6f unit=%s baseline=%.6f ratio=%.4f seed=%llu\n",
              name.c_str(), figure, unit, baseline,
              baseline > 0 ? figure / baseline : 0.0,
              static_cast<unsigned long long>(seed));
  std::fflush(stdout);
}

Load MakeLoad(Rng& rng, const Size& size) {
  Load load;
  const double mean =
      size.m_mean_vms * kSlotsPerVm * (0.8 + 0.4 * rng.Uniform());
  load.m_urgent_mean = 0.4 * mean;
  load.m_other_mean = 0.6 * mean;
  return load;
}

void MeasureBuffers(const Size& size, std::uint64_t seed) {
  Rng rng(seed);
  double buffer = 0;
  double peak_buffer = 0;
  std::int64_t started = 0;
  std::int64_t in_time = 0;
  std::int64_t out_started = 0;
  std::int64_t out_in_time = 0;
  std::int64_t peak_started = 0;
  std::int64_t peak_in_time = 0;
  for (int pool = 0; pool < size.m_pools; ++pool) {
    Load load = MakeLoad(rng, size);
    SurgeHistory history;
    Offer(rng, load, static_cast<int>(kSurgeSamples), &history, {});
    const PoolNeed need = SizePool(history, kSlotsPerVm, {});
    PoolRun sized(need.m_vms * kSlotsPerVm);
    PoolRun one_out((need.m_vms - 1) * kSlotsPerVm);
    PoolRun peak(need.m_peak_vms * kSlotsPerVm);
    Offer(rng, load, size.m_test_seconds, nullptr, {&sized, &one_out, &peak});
    buffer += static_cast<double>(need.Buffer());
    peak_buffer += static_cast<double>(need.m_peak_vms - need.m_mean_vms);
    started += sized.m_started;
    in_time += sized.m_in_time;
    out_started += one_out.m_started;
    out_in_time += one_out.m_in_time;
    peak_started += peak.m_started;
    peak_in_time += peak.m_in_time;
  }
  const auto share = [](std::int64_t count, std::int64_t all) {
    return static_cast<double>(count) / static_cast<double>(all);
  };
  const std::string name = size.m_name;
  Print("buffer_over_peak_" + name, buffer, "VM", peak_buffer, seed);
  Print("urgent_in_time_over_peak_" + name, share(in_time, started), "share",
        share(peak_in_time, peak_started), seed);
  Print("urgent_in_time_one_vm_out_over_peak_" + name,
        share(out_in_time, out_started), "share",
        share(peak_in_time, peak_started), seed);
}

/// \brief Pools served as a fluid, with VMs that move between them.
struct FluidPool {
  Load m_load;
  double m_phase = 0;
  SurgeHistory m_history;
  std::int64_t m_vms = 0;
  double m_urgent = 0;
  double m_other = 0;
  double m_late = 0;
};

struct Fluid {
  std::vector<FluidPool> m_pools;
  /// Arrival second and pool of each VM that moves.
  std::deque<std::pair<int, std::size_t>> m_moving;
  std::vector<PastMove> m_past;
  std::int64_t m_moves = 0;

  void Move(int second, std::size_t from, std::size_t to) {
    --m_pools[from].m_vms;
    m_moving.emplace_back(second + 120, to);
    ++m_moves;
    m_past.push_back({PoolName(std::to_string(from)),
                      PoolName(std::to_string(to)),
                      TimePoint(Seconds(second))});
  }
};

void StepFluid(Fluid& fluid, int second,
               const std::vector<LoadSample>& offered) {
  while (!fluid.m_moving.empty() && fluid.m_moving.front().first <= second) {
    ++fluid.m_pools[fluid.m_moving.front().second].m_vms;
    fluid.m_moving.pop_front();
  }
  for (std::size_t at = 0; at < fluid.m_pools.size(); ++at) {
    FluidPool& pool = fluid.m_pools[at];
    const auto capacity = static_cast<double>(pool.m_vms * kSlotsPerVm);
    const double urgent = offered[at].m_urgent;
    const double other = offered[at].m_other;
    Observe(pool.m_history, offered[at]);
    pool.m_late +=
        std::clamp(pool.m_urgent + urgent - 2 * capacity, 0.0, urgent);
    pool.m_urgent += urgent;
    const double served = std::min(pool.m_urgent, capacity);
    pool.m_urgent -= served;
    pool.m_late +=
        0.25 * std::clamp(pool.m_urgent + pool.m_other + other - 30 * capacity,
                          0.0, other);
    pool.m_other += other;
    pool.m_other -= std::min(pool.m_other, capacity - served);
  }
}

/// \brief Moves a VM from the idlest pool to one that has work waiting.
void ReactiveMoves(Fluid& fluid, int second) {
  if (second % 10 != 0) {
    return;
  }
  for (std::size_t to = 0; to < fluid.m_pools.size(); ++to) {
    const FluidPool& needy = fluid.m_pools[to];
    if (needy.m_urgent + needy.m_other <
        static_cast<double>(needy.m_vms * kSlotsPerVm)) {
      continue;
    }
    for (std::size_t from = 0; from < fluid.m_pools.size(); ++from) {
      const FluidPool& idle = fluid.m_pools[from];
      if (from != to && idle.m_vms > 2 && idle.m_urgent + idle.m_other < 1.0) {
        fluid.Move(second, from, to);
        break;
      }
    }
  }
}

void PaidMoves(Fluid& fluid, int second, double& worst_ms) {
  if (second % 60 != 0 || second < 600) {
    return;
  }
  const auto start = std::chrono::steady_clock::now();
  std::vector<PoolCapacity> pools;
  for (std::size_t at = 0; at < fluid.m_pools.size(); ++at) {
    std::int64_t arriving = 0;
    for (const auto& [when, to] : fluid.m_moving) {
      arriving += to == at ? 1 : 0;
    }
    const FluidPool& pool = fluid.m_pools[at];
    pools.push_back({PoolName(std::to_string(at)), &pool.m_history, kSlotsPerVm,
                     pool.m_vms + arriving,
                     std::min<std::int64_t>(1, pool.m_vms - 2)});
  }
  std::erase_if(fluid.m_past, [second](const PastMove& move) {
    return TimePoint(Seconds(second)) - move.m_when > Seconds(600);
  });
  const auto move =
      BestMove(pools, fluid.m_past, {}, TimePoint(Seconds(second)));
  if (move) {
    fluid.Move(second, std::stoul(move->m_from.Value()),
               std::stoul(move->m_to.Value()));
  }
  worst_ms = std::max(worst_ms, std::chrono::duration<double, std::milli>(
                                    std::chrono::steady_clock::now() - start)
                                    .count());
}

double Late(const Fluid& fluid) {
  double late = 0;
  for (const FluidPool& pool : fluid.m_pools) {
    late += pool.m_late;
  }
  return late;
}

void MeasureMoves(const Size& size, std::uint64_t seed) {
  constexpr int kSeconds = 8 * 3600;
  Rng rng(seed);
  Fluid paid;
  for (int pool = 0; pool < size.m_pools; ++pool) {
    FluidPool fluid;
    fluid.m_load = MakeLoad(rng, size);
    fluid.m_phase = 6.283 * rng.Uniform();
    // About twice the mean load, as pools of 8 to 12 with 4 to 6 busy are.
    fluid.m_vms = static_cast<std::int64_t>(std::lround(2.0 * size.m_mean_vms));
    paid.m_pools.push_back(fluid);
  }
  Fluid reactive = paid;
  Fluid fixed = paid;
  double worst_ms = 0;
  for (int second = 0; second < kSeconds; ++second) {
    std::vector<LoadSample> offered;
    for (FluidPool& pool : paid.m_pools) {
      // The mean load of a pool drifts over the hours.
      const double drift =
          1.0 + 0.6 * std::sin(6.283 * second / kSeconds + pool.m_phase);
      offered.push_back({static_cast<float>(drift * pool.m_load.m_urgent_mean *
                                            pool.m_load.m_urgent.Next(rng)),
                         static_cast<float>(drift * pool.m_load.m_other_mean *
                                            pool.m_load.m_other.Next(rng))});
    }
    StepFluid(paid, second, offered);
    StepFluid(reactive, second, offered);
    StepFluid(fixed, second, offered);
    PaidMoves(paid, second, worst_ms);
    ReactiveMoves(reactive, second);
  }
  const std::string name = size.m_name;
  Print("moves_over_reactive_" + name, static_cast<double>(paid.m_moves),
        "moves", static_cast<double>(reactive.m_moves), seed);
  Print("late_over_reactive_" + name, Late(paid), "slot_s", Late(reactive),
        seed);
  Print("late_over_fixed_pools_" + name, Late(paid), "slot_s", Late(fixed),
        seed);
  Print("move_choice_worst_over_100ms_" + name, worst_ms, "ms", 100, seed);
}

}  // namespace
}  // namespace filbertspar

int main(int argc, char** argv) {
  const std::uint64_t seed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
  for (const filbertspar::Size& size :
       {filbertspar::Size{"flowline", 5, 5, 3600},
        filbertspar::Size{"agency", 5, 6, 3600},
        filbertspar::Size{"design", 41, 31, 600}}) {
    filbertspar::MeasureBuffers(size, seed);
    filbertspar::MeasureMoves(size, seed);
  }
}
