#pragma once

#include <algorithm>
#include <functional>
#include <memory>
#include <queue>
#include <vector>

#include "bench/pool_policies.h"
#include "bench/pool_trace.h"

/// \file
/// \brief Plays a trace in virtual time.

namespace filbertspar::bench {

/// \brief Plays the trace. Due shares are integrated from the true demand
/// every 10 ms, apart from what the policies compute themselves. A process
/// whose task ended fills the slot; when it has no work, the next one does.
/// Summaries go to all peers once a second, 1 / processes of a second apart.
inline Record Play(const Trace& trace,
                   const std::vector<TraceRequest>& requests,
                   const std::vector<std::unique_ptr<Policy>>& policies) {
  constexpr Duration kSample = Milliseconds(10);
  constexpr Duration kTick = Milliseconds(50);
  const std::size_t teams = trace.m_weights.size();
  const std::size_t pools = trace.m_slots.size();
  struct Running {
    TimePoint m_end;
    std::size_t m_request;
    bool operator>(const Running& other) const { return m_end > other.m_end; }
  };
  std::priority_queue<Running, std::vector<Running>, std::greater<>> running;
  std::vector<std::int64_t> free = trace.m_slots;
  std::vector<std::int64_t> held(pools * teams);
  std::vector<double> due(pools * teams);
  std::vector<double> received(pools * teams);
  std::vector<TeamDemand> demands(teams);
  std::vector<double> level(teams);
  WaterFillScratch scratch;
  Record record;
  record.m_start.assign(requests.size(), TimePoint::max());
  record.m_code.assign(requests.size(), Code::kOk);
  TimePoint next_sample{};
  TimePoint next_tick{};
  TimePoint next_record{};
  const std::size_t processes = policies.size();
  TimePoint next_summary{};
  std::size_t speaker = 0;
  const auto start = [&](TimePoint now, std::size_t pool, std::size_t first) {
    std::size_t process = first;
    while (free[pool] > 0) {
      const std::int64_t request = policies[process]->Next(now, pool);
      if (request < 0) {
        process = (process + 1) % processes;
        if (process == first) {
          return;
        }
        continue;
      }
      const auto r = static_cast<std::size_t>(request);
      record.m_start[r] = now;
      --free[pool];
      ++held[pool * teams + trace.m_flows[requests[r].m_flow].m_team];
      running.push({now + requests[r].m_run_time, r});
    }
  };
  const auto sample = [&] {
    const double seconds = ToSeconds(kSample);
    for (std::size_t p = 0; p < pools; ++p) {
      const auto slots = static_cast<double>(trace.m_slots[p]);
      for (std::size_t t = 0; t < teams; ++t) {
        std::int64_t wanted = held[p * teams + t];
        for (const auto& policy : policies) {
          wanted += policy->Waiting(p, t);
        }
        demands[t] = {trace.m_weights[t],
                      {static_cast<double>(wanted) / slots, 0, 0}};
      }
      WaterFill(demands, level, scratch);
      for (std::size_t t = 0; t < teams; ++t) {
        due[p * teams + t] += level[t] * seconds;
        received[p * teams + t] +=
            static_cast<double>(held[p * teams + t]) / slots * seconds;
      }
    }
  };
  std::size_t next = 0;
  const TimePoint end = TimePoint() + trace.m_length;
  for (;;) {
    TimePoint now = std::min(next_sample, next_tick);
    if (next < requests.size()) {
      now = std::min(now, requests[next].m_at);
    }
    if (!running.empty()) {
      now = std::min(now, running.top().m_end);
    }
    if (now >= end) {
      break;
    }
    while (!running.empty() && running.top().m_end <= now) {
      const std::size_t r = running.top().m_request;
      running.pop();
      const Flow& flow = trace.m_flows[requests[r].m_flow];
      ++free[flow.m_pool];
      --held[flow.m_pool * teams + flow.m_team];
      const std::size_t process = requests[r].m_process % processes;
      policies[process]->End(now, r, requests[r].m_run_time);
      start(now, flow.m_pool, process);
    }
    while (next < requests.size() && requests[next].m_at <= now) {
      const std::size_t process = requests[next].m_process % processes;
      record.m_code[next] = policies[process]->Arrive(now, next);
      start(now, trace.m_flows[requests[next].m_flow].m_pool, process);
      ++next;
    }
    if (next_tick <= now) {
      for (const auto& policy : policies) {
        policy->Tick(now);
      }
      next_tick += kTick;
    }
    if (processes > 1 && next_summary <= now) {
      const std::vector<PeerCell> cells = policies[speaker]->Summary();
      for (std::size_t i = 0; i < processes; ++i) {
        if (i != speaker) {
          policies[i]->Hear(now, speaker, cells);
        }
      }
      speaker = (speaker + 1) % processes;
      next_summary += Seconds(1) / static_cast<std::int64_t>(processes);
    }
    if (next_sample <= now) {
      sample();
      next_sample += kSample;
    }
    if (next_record <= now) {
      record.m_due.push_back(due);
      record.m_received.push_back(received);
      next_record += Seconds(1);
    }
  }
  return record;
}

inline Record PlayFair(const Trace& trace,
                       const std::vector<TraceRequest>& requests,
                       const ShareSettings& settings = {}) {
  std::vector<std::unique_ptr<Policy>> policies;
  for (std::size_t i = 0; i < trace.m_processes; ++i) {
    policies.push_back(std::make_unique<FairPolicy>(trace, requests, settings));
  }
  return Play(trace, requests, policies);
}

/// \brief The one queue is global, so it is played by a single process.
inline Record PlayFirstCome(const Trace& trace,
                            const std::vector<TraceRequest>& requests) {
  std::vector<std::unique_ptr<Policy>> policies;
  policies.push_back(std::make_unique<FirstComePolicy>(trace, requests));
  return Play(trace, requests, policies);
}

}  // namespace filbertspar::bench
