#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <vector>

#include "filbertspar/queue/queue.h"

/// \file
/// \brief Seeded traces of requests to a few pools.

namespace filbertspar::bench {

/// \brief Requests of one team to one pool; arrivals are Poisson, run times
/// exponential.
struct Flow {
  std::size_t m_team = 0;
  std::size_t m_pool = 0;
  WorkClass m_class = WorkClass::kStandard;
  double m_per_second = 0;
  Duration m_run_time = Milliseconds(400);
  /// Declared run time over the true mean.
  double m_declared_ratio = 1.0;
  Duration m_deadline = Seconds(10);
  /// Rate factor during the surge.
  double m_surge = 1.0;
};

struct Trace {
  std::uint64_t m_seed = 0;
  std::vector<double> m_weights{};
  std::vector<std::int64_t> m_slots{};
  std::vector<Flow> m_flows{};
  /// Processes that admit; each request comes to a random one.
  std::size_t m_processes = 1;
  Duration m_length = Seconds(240);
  Duration m_warm_up = Seconds(40);
  Duration m_surge_start = Seconds(120);
  Duration m_surge_length = Seconds(20);
};

struct TraceRequest {
  std::size_t m_flow = 0;
  std::size_t m_process = 0;
  TimePoint m_at{};
  Duration m_run_time{};
};

/// \brief What came out, with samples each second per team and pool.
struct Record {
  /// [second][pool * teams + team], share-seconds since the start.
  std::vector<std::vector<double>> m_received;
  std::vector<std::vector<double>> m_due;
  /// Start of each request; max when it did not start.
  std::vector<TimePoint> m_start;
  std::vector<Code> m_code;
};

inline std::vector<TraceRequest> Requests(const Trace& trace) {
  Rng rng(trace.m_seed);
  std::vector<TraceRequest> requests;
  const auto exponential = [&rng](double mean) {
    return -mean * std::log(1.0 - rng.Uniform());
  };
  for (std::size_t f = 0; f < trace.m_flows.size(); ++f) {
    const Flow& flow = trace.m_flows[f];
    double at = 0;
    for (;;) {
      // The next arrival at the peak rate, thinned to the present rate.
      const double peak = flow.m_per_second * std::max(1.0, flow.m_surge);
      at += exponential(1.0 / peak);
      if (at >= ToSeconds(trace.m_length)) {
        break;
      }
      const bool surge =
          at >= ToSeconds(trace.m_surge_start) &&
          at < ToSeconds(trace.m_surge_start + trace.m_surge_length);
      const double rate = flow.m_per_second * (surge ? flow.m_surge : 1.0);
      if (!rng.Chance(rate / peak)) {
        continue;
      }
      const double run = exponential(ToSeconds(flow.m_run_time));
      requests.push_back(
          {f, rng.Below(trace.m_processes),
           TimePoint(Duration(static_cast<std::int64_t>(at * 1e6))),
           Duration(1 + static_cast<std::int64_t>(run * 1e6))});
    }
  }
  std::sort(requests.begin(), requests.end(),
            [](const TraceRequest& a, const TraceRequest& b) {
              return a.m_at < b.m_at;
            });
  return requests;
}

}  // namespace filbertspar::bench
