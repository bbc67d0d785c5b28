// Cost of one queue and share decision at 50 teams against 5, and of one
// cancellation at 10,000 waiting; beside one global first-come queue.

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <string>
#include <vector>

#include "filbertspar/queue/queue.h"

namespace filbertspar::bench {
namespace {

constexpr Resources kOne{Slots(1), Megabytes(512), Accelerators(0)};

double NanosecondsSince(std::chrono::steady_clock::time_point start) {
  return std::chrono::duration<double, std::nano>(
             std::chrono::steady_clock::now() - start)
      .count();
}

struct Fleet {
  Share m_share;
  Queue m_queue;
};

Fleet MakeFleet(std::size_t teams, std::size_t pools) {
  Fleet fleet;
  ShareConfig config;
  for (std::size_t t = 0; t < teams; ++t) {
    config.m_teams.push_back({.m_name = TeamName("t" + std::to_string(t)),
                              .m_weight = 1.0 + static_cast<double>(t % 3)});
  }
  for (std::size_t p = 0; p < pools; ++p) {
    config.m_pools.emplace_back("p" + std::to_string(p));
  }
  Configure(fleet.m_share, TimePoint(), config);
  for (std::size_t p = 0; p < pools; ++p) {
    SetCapacity(fleet.m_share, TimePoint(), PoolIndex(p),
                {Slots(63 * 8), Megabytes(63 * 32'000), Accelerators(0)});
  }
  fleet.m_queue.m_settings.m_max_per_class = 20'000;
  Reserve(fleet.m_queue, pools, teams, pools, 1);
  Settle(fleet.m_share, TimePoint());
  return fleet;
}

Arrival RandomArrival(Fleet& fleet, Rng& rng, TimePoint now, std::size_t teams,
                      std::size_t pools, std::uint64_t id) {
  const PoolIndex pool(rng.Below(pools));
  return {.m_request = RequestId(id),
          .m_pool = pool,
          .m_team = TeamIndex(rng.Below(teams)),
          .m_class = static_cast<WorkClass>(rng.Below(kWorkClasses)),
          .m_entry = EntryIndex(pool.Value()),
          .m_deadline = now + Seconds(100'000 + rng.Below(1000)),
          .m_work = WorkOf(fleet.m_share, pool, kOne, Milliseconds(1)),
          .m_size = kOne,
          .m_max_queue = 1'000'000};
}

Ticket Enter(Fleet& fleet, TimePoint now, const Arrival& arrival) {
  const Admission admission =
      Admit(fleet.m_queue, now, arrival,
            ExpectedShare(fleet.m_share, arrival.m_pool, arrival.m_team));
  FS_ASSERT(admission.m_code == Code::kOk, "the bench refuses nothing");
  AddWaiting(fleet.m_share, arrival.m_pool, arrival.m_team, arrival.m_size,
             arrival.m_class);
  return admission.m_ticket;
}

// Median cost in nanoseconds of one admission, one choice and start, and one
// end, with `waiting` requests waiting and pools nearly full. The periodic
// settlement is timed apart.
struct DecisionCost {
  double m_decision_ns = 0;
  double m_settle_ns = 0;
};

DecisionCost TimeDecision(std::uint64_t seed, std::size_t teams,
                          std::size_t pools, std::size_t waiting) {
  constexpr int kRounds = 400;
  constexpr std::size_t kPerRound = 200;
  Rng rng(seed);
  Fleet fleet = MakeFleet(teams, pools);
  TimePoint now{};
  std::uint64_t id = 0;
  for (std::size_t i = 0; i < waiting; ++i) {
    Enter(fleet, now, RandomArrival(fleet, rng, now, teams, pools, ++id));
  }
  std::deque<Arrival> running;
  std::vector<double> decisions;
  std::vector<double> settlements;
  std::vector<Arrival> arrivals;
  for (int round = 0; round < kRounds; ++round) {
    arrivals.clear();
    for (std::size_t i = 0; i < kPerRound; ++i) {
      arrivals.push_back(RandomArrival(fleet, rng, now, teams, pools, ++id));
    }
    const auto start = std::chrono::steady_clock::now();
    for (const Arrival& arrival : arrivals) {
      now += Duration(50);
      Enter(fleet, now, arrival);
      const std::optional<TeamIndex> team =
          NextTeam(fleet.m_share, arrival.m_pool);
      const Arrival taken =
          TakeForStart(fleet.m_queue, now,
                       *NextRequest(fleet.m_queue, now, arrival.m_pool, *team));
      RemoveWaiting(fleet.m_share, taken.m_pool, taken.m_team, taken.m_size,
                    taken.m_class);
      TaskStarted(fleet.m_share, now, taken.m_pool, taken.m_team, taken.m_size);
      running.push_back(taken);
      if (running.size() > 400 * pools) {
        const Arrival& ended = running.front();
        TaskEnded(fleet.m_share, now, ended.m_pool, ended.m_team, ended.m_size);
        running.pop_front();
      }
    }
    decisions.push_back(NanosecondsSince(start) / kPerRound);
    now += Milliseconds(100);
    const auto settle = std::chrono::steady_clock::now();
    Settle(fleet.m_share, now);
    settlements.push_back(NanosecondsSince(settle));
  }
  const auto median = [](std::vector<double>& values) {
    std::nth_element(
        values.begin(),
        values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2),
        values.end());
    return values[values.size() / 2];
  };
  return {median(decisions), median(settlements)};
}

// The naive decision: enter the one queue at its end, start its head.
double TimeFirstCome(std::uint64_t seed, std::size_t waiting) {
  constexpr std::size_t kSteps = 80'000;
  Rng rng(seed);
  Fleet fleet = MakeFleet(50, 41);
  std::deque<Arrival> line;
  for (std::size_t i = 0; i < waiting + kSteps; ++i) {
    line.push_back(RandomArrival(fleet, rng, TimePoint(), 50, 41, i + 1));
  }
  std::vector<Arrival> arrivals(
      line.begin() + static_cast<std::ptrdiff_t>(waiting), line.end());
  line.resize(waiting);
  std::uint64_t sum = 0;
  const auto start = std::chrono::steady_clock::now();
  for (const Arrival& arrival : arrivals) {
    line.push_back(arrival);
    sum += line.front().m_request.Value();
    line.pop_front();
  }
  const double cost = NanosecondsSince(start) / kSteps;
  FS_ASSERT(sum > 0, "the bench takes what it put in");
  return cost;
}

// Cost in nanoseconds of one cancellation in a wave of 1,000 in random order.
double TimeCancellation(std::uint64_t seed, std::size_t waiting, bool naive) {
  constexpr std::size_t kWave = 1000;
  Rng rng(seed);
  Fleet fleet = MakeFleet(50, 41);
  std::vector<Ticket> tickets;
  std::vector<RequestId> ids;
  std::deque<Arrival> line;
  for (std::size_t i = 0; i < waiting; ++i) {
    const Arrival arrival =
        RandomArrival(fleet, rng, TimePoint(), 50, 41, i + 1);
    tickets.push_back(Enter(fleet, TimePoint(), arrival));
    ids.push_back(arrival.m_request);
    line.push_back(arrival);
  }
  for (std::size_t i = 0; i < kWave; ++i) {
    const std::size_t j = i + rng.Below(waiting - i);
    std::swap(tickets[i], tickets[j]);
    std::swap(ids[i], ids[j]);
  }
  const auto start = std::chrono::steady_clock::now();
  for (std::size_t i = 0; i < kWave; ++i) {
    if (naive) {
      line.erase(std::find_if(
          line.begin(), line.end(),
          [&](const Arrival& arrival) { return arrival.m_request == ids[i]; }));
    } else {
      const std::optional<Arrival> removed = Remove(fleet.m_queue, tickets[i]);
      RemoveWaiting(fleet.m_share, removed->m_pool, removed->m_team,
                    removed->m_size, removed->m_class);
    }
  }
  return NanosecondsSince(start) / kWave;
}

void Print(const char* name, double figure, const char* unit, double baseline,
           std::uint64_t seed) {
  std::printf("%s figure=%.1f unit=%s baseline=%.1f ratio=%.4f seed=%llu\n",
              name, figure, unit, baseline, figure / baseline,
              static_cast<unsigned long long>(seed));
}

}  // namespace
}  // namespace filbertspar::bench

// Argument: seed.
int main(int argc, char** argv) {
  using namespace filbertspar::bench;
  const std::uint64_t seed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
  const DecisionCost large = TimeDecision(seed, 50, 41, 10'000);
  const DecisionCost small = TimeDecision(seed, 5, 41, 10'000);
  const double first_come = TimeFirstCome(seed, 10'000);
  Print("decision_50_teams_to_5_teams", large.m_decision_ns, "ns",
        small.m_decision_ns, seed);
  Print("decision_to_first_come", large.m_decision_ns, "ns", first_come, seed);
  Print("settle_50_teams_to_5_teams", large.m_settle_ns, "ns",
        small.m_settle_ns, seed);
  Print("cancel_at_10000", TimeCancellation(seed, 10'000, false), "ns",
        TimeCancellation(seed, 10'000, true), seed);
  Print("cancel_at_10000_to_1000", TimeCancellation(seed, 10'000, false), "ns",
        TimeCancellation(seed, 1'000, false), seed);
}
