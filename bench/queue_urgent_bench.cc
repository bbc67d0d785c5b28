// Urgent work started within 1.3 s while one team's urgent work surges
// fivefold in a full fleet, of what there is room for; beside one global
// first-come queue. The room is what an ideal fluid schedule starts in time.

#include <cstdio>
#include <cstdlib>
#include <string>

#include "bench/pool_fluid.h"
#include "bench/pool_play.h"

namespace filbertspar::bench {
namespace {

constexpr Duration kUrgentStart = Milliseconds(1300);

// Every team offers 1.3 times its share: urgent work, overnight work for a
// tenth of the share, and standard work for the rest. Declared run times are
// wrong by up to four times either way.
Trace MakeTrace(std::uint64_t seed, double urgent_load, std::size_t processes,
                bool one_urgent_team = false) {
  Rng rng(seed * 104729);
  Trace trace{.m_seed = seed, .m_processes = processes};
  trace.m_weights = {1, 2, 3, 1, 2, 3};
  trace.m_slots.assign(5, 80);
  for (std::size_t t = 0; t < trace.m_weights.size(); ++t) {
    for (std::size_t p = 0; p < trace.m_slots.size(); ++p) {
      const double share = trace.m_weights[t] / 12.0 * 80.0;
      const auto add = [&](WorkClass c, double load, Duration run_time,
                           Duration deadline, double surge) {
        trace.m_flows.push_back(
            {.m_team = t,
             .m_pool = p,
             .m_class = c,
             .m_per_second = load * share / ToSeconds(run_time),
             .m_run_time = run_time,
             .m_declared_ratio = std::exp2(4.0 * rng.Uniform() - 2.0),
             .m_deadline = deadline,
             .m_surge = surge});
      };
      const double urgent = t == 2 || !one_urgent_team ? urgent_load : 0.0;
      if (urgent > 0) {
        add(WorkClass::kUrgent, urgent, Milliseconds(150), kUrgentStart,
            t == 2 ? 5.0 : 1.0);
      }
      add(WorkClass::kStandard, 1.2 - urgent, Milliseconds(400), Seconds(8),
          1.0);
      add(WorkClass::kOvernight, 0.1, Seconds(2), Seconds(3600), 1.0);
    }
  }
  return trace;
}

struct Counts {
  double m_offered = 0;
  double m_admitted = 0;
  double m_in_time = 0;
};

Counts CountUrgent(const Trace& trace,
                   const std::vector<TraceRequest>& requests,
                   const Record& record) {
  Counts counts;
  const TimePoint begin = TimePoint() + trace.m_surge_start;
  for (std::size_t r = 0; r < requests.size(); ++r) {
    if (trace.m_flows[requests[r].m_flow].m_class == WorkClass::kUrgent &&
        requests[r].m_at >= begin &&
        requests[r].m_at < begin + trace.m_surge_length) {
      ++counts.m_offered;
      counts.m_admitted += record.m_code[r] == Code::kOk;
      counts.m_in_time += record.m_start[r] != TimePoint::max() &&
                          record.m_start[r] - requests[r].m_at <= kUrgentStart;
    }
  }
  return counts;
}

void Report(const std::string& name, const Trace& trace) {
  const std::vector<TraceRequest> requests = Requests(trace);
  Record ideal;
  const Fluid fluid = PlayFluid(trace, requests);
  ideal.m_code.assign(requests.size(), Code::kOk);
  for (std::size_t r = 0; r < requests.size(); ++r) {
    ideal.m_start.push_back(fluid.m_started[r] ? requests[r].m_at
                                               : TimePoint::max());
  }
  const Counts room = CountUrgent(trace, requests, ideal);
  const Record fair_record = PlayFair(trace, requests);
  const Record naive_record = PlayFirstCome(trace, requests);
  const Counts fair = CountUrgent(trace, requests, fair_record);
  const Counts naive = CountUrgent(trace, requests, naive_record);
  const auto print = [&](const char* figure_name, double figure,
                         double baseline) {
    std::printf(
        "%s_%s figure=%.3f unit=percent baseline=%.3f ratio=%.4f seed=%llu\n",
        name.c_str(), figure_name, 100 * figure, 100 * baseline,
        figure / baseline, static_cast<unsigned long long>(trace.m_seed));
  };
  const auto missed = [](double in_time, double of) {
    return 1.0 - std::min(1.0, in_time / of);
  };
  print("missed_of_room", missed(fair.m_in_time, room.m_in_time),
        missed(naive.m_in_time, room.m_in_time));
  // What the urgent surge costs the other teams of their due share.
  const auto nearness = [&](const Record& record) {
    return WorstNearness(trace, record.m_received, fluid.m_due,
                         [](std::size_t team) { return team != 2; });
  };
  print("nearness_of_others", nearness(fair_record), nearness(naive_record));
  print("missed_of_admitted", missed(fair.m_in_time, fair.m_admitted),
        missed(naive.m_in_time, naive.m_admitted));
}

}  // namespace
}  // namespace filbertspar::bench

// Arguments: first seed, number of seeds.
int main(int argc, char** argv) {
  using namespace filbertspar::bench;
  const std::uint64_t first =
      argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
  const std::uint64_t count =
      argc > 2 ? std::strtoull(argv[2], nullptr, 10) : 1;
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    Report("urgent_within_share", MakeTrace(seed, 0.15, 1));
    Report("urgent_within_share_6_processes", MakeTrace(seed, 0.15, 6));
    Report("urgent_beyond_share", MakeTrace(seed, 0.4, 1));
    Report("urgent_beyond_share_6_processes", MakeTrace(seed, 0.4, 6));
    Report("urgent_of_one_team", MakeTrace(seed, 0.8, 1, true));
    Report("urgent_of_one_team_6_processes", MakeTrace(seed, 0.8, 6, true));
  }
}
