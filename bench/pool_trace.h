#pragma once

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <vector>

#include "filbertspar/queue/queue.h"
#include "filbertspar/share/share.h"

/// \file
/// \brief Seeded traces of requests to a few pools, played in virtual time
/// against queue and share, or against one global first-come queue.

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

/// \brief Decides what waits and what starts.
class Policy {
 public:
  virtual ~Policy() = default;
  virtual Code Arrive(TimePoint now, std::size_t request) = 0;
  /// \brief The request to start in the pool, or -1.
  virtual std::int64_t Next(TimePoint now, std::size_t pool) = 0;
  virtual void End(TimePoint now, std::size_t request, Duration ran) = 0;
  virtual void Tick(TimePoint now) = 0;
  virtual std::int64_t Waiting(std::size_t pool, std::size_t team) const = 0;
  /// \brief What the peers are told, and what one of them said.
  virtual std::vector<PeerCell> Summary() const { return {}; }
  virtual void Hear(TimePoint, std::size_t, const std::vector<PeerCell>&) {}
};

class FairPolicy : public Policy {
 public:
  FairPolicy(const Trace& trace, const std::vector<TraceRequest>& requests,
             const ShareSettings& settings = {})
      : m_trace(trace), m_requests(requests) {
    m_share.m_settings = settings;
    ShareConfig config;
    for (std::size_t i = 0; i < trace.m_weights.size(); ++i) {
      config.m_teams.push_back({.m_name = TeamName("t" + std::to_string(i)),
                                .m_weight = trace.m_weights[i]});
    }
    for (std::size_t p = 0; p < trace.m_slots.size(); ++p) {
      config.m_pools.emplace_back("p" + std::to_string(p));
    }
    Configure(m_share, TimePoint(), config);
    for (std::size_t p = 0; p < trace.m_slots.size(); ++p) {
      SetCapacity(m_share, TimePoint(), PoolIndex(p),
                  {Slots(trace.m_slots[p]), Megabytes(0), Accelerators(0)});
    }
    Settle(m_share, TimePoint());
    Reserve(m_queue, trace.m_slots.size(), trace.m_weights.size(),
            trace.m_flows.size(), 1);
    m_running.resize(trace.m_slots.size() * trace.m_weights.size());
    m_estimates.resize(trace.m_flows.size());
    for (std::size_t f = 0; f < trace.m_flows.size(); ++f) {
      const Flow& flow = trace.m_flows[f];
      Declare(
          m_estimates[f], kOne,
          Duration(std::llround(static_cast<double>(flow.m_run_time.count()) *
                                flow.m_declared_ratio)));
    }
  }

  Code Arrive(TimePoint now, std::size_t request) override {
    const std::size_t f = m_requests[request].m_flow;
    const Flow& flow = m_trace.m_flows[f];
    const PoolIndex pool(flow.m_pool);
    const TeamIndex team(flow.m_team);
    const Arrival arrival{
        .m_request = RequestId(request + 1),
        .m_pool = pool,
        .m_team = team,
        .m_class = flow.m_class,
        .m_entry = EntryIndex(f),
        .m_deadline = now + flow.m_deadline,
        .m_work = WorkOf(m_share, pool, kOne, EstimatedRunTime(m_estimates[f])),
        .m_size = kOne};
    const Admission admission =
        Admit(m_queue, now, arrival, ExpectedShare(m_share, pool, team));
    if (admission.m_code == Code::kOk) {
      AddWaiting(m_share, pool, team, kOne, flow.m_class);
    }
    return admission.m_code;
  }

  std::int64_t Next(TimePoint now, std::size_t pool_number) override {
    const PoolIndex pool(pool_number);
    const std::optional<TeamIndex> team = NextTeam(m_share, pool);
    if (!team) {
      return -1;
    }
    const Arrival taken =
        TakeForStart(m_queue, now, *NextRequest(m_queue, now, pool, *team));
    RemoveWaiting(m_share, pool, *team, kOne, taken.m_class);
    TaskStarted(m_share, now, pool, *team, kOne);
    ++m_running[pool_number * m_trace.m_weights.size() + team->Value()];
    return static_cast<std::int64_t>(taken.m_request.Value()) - 1;
  }

  void End(TimePoint now, std::size_t request, Duration ran) override {
    const std::size_t f = m_requests[request].m_flow;
    const Flow& flow = m_trace.m_flows[f];
    TaskEnded(m_share, now, PoolIndex(flow.m_pool), TeamIndex(flow.m_team),
              kOne);
    --m_running[flow.m_pool * m_trace.m_weights.size() + flow.m_team];
    ObserveRunTime(m_estimates[f], ran);
  }

  void Tick(TimePoint now) override {
    m_expired.clear();
    TakeExpired(m_queue, now, m_expired);
    for (const Arrival& arrival : m_expired) {
      RemoveWaiting(m_share, arrival.m_pool, arrival.m_team, arrival.m_size,
                    arrival.m_class);
    }
    Settle(m_share, now);
  }

  std::int64_t Waiting(std::size_t pool, std::size_t team) const override {
    return CountWaiting(m_queue, PoolIndex(pool), TeamIndex(team));
  }

  std::vector<PeerCell> Summary() const override {
    std::vector<PeerCell> cells;
    for (std::size_t p = 0; p < m_trace.m_slots.size(); ++p) {
      for (std::size_t t = 0; t < m_trace.m_weights.size(); ++t) {
        const std::int64_t running =
            m_running[p * m_trace.m_weights.size() + t];
        const std::int64_t waiting = Waiting(p, t);
        if (running + waiting > 0) {
          cells.push_back({PoolIndex(p), TeamIndex(t), running, waiting});
        }
      }
    }
    return cells;
  }

  void Hear(TimePoint now, std::size_t peer,
            const std::vector<PeerCell>& cells) override {
    SetPeerUse(m_share, now, NodeName("n" + std::to_string(peer)), cells);
  }

 private:
  static constexpr Resources kOne{Slots(1), Megabytes(0), Accelerators(0)};

  const Trace& m_trace;
  const std::vector<TraceRequest>& m_requests;
  Share m_share;
  Queue m_queue;
  std::vector<TaskEstimate> m_estimates;
  std::vector<std::int64_t> m_running;
  std::vector<Arrival> m_expired;
};

/// \brief One global first-come queue; a request past its deadline is dropped
/// when its turn comes.
class FirstComePolicy : public Policy {
 public:
  FirstComePolicy(const Trace& trace, const std::vector<TraceRequest>& requests)
      : m_trace(trace),
        m_requests(requests),
        m_lines(trace.m_slots.size()),
        m_waiting(trace.m_slots.size() * trace.m_weights.size()) {}

  Code Arrive(TimePoint, std::size_t request) override {
    const Flow& flow = FlowOf(request);
    m_lines[flow.m_pool].push_back(request);
    ++Count(flow);
    return Code::kOk;
  }

  std::int64_t Next(TimePoint now, std::size_t pool) override {
    while (!m_lines[pool].empty()) {
      const std::size_t request = m_lines[pool].front();
      m_lines[pool].pop_front();
      const Flow& flow = FlowOf(request);
      --Count(flow);
      if (m_requests[request].m_at + flow.m_deadline > now) {
        return static_cast<std::int64_t>(request);
      }
    }
    return -1;
  }

  void End(TimePoint, std::size_t, Duration) override {}
  void Tick(TimePoint) override {}

  std::int64_t Waiting(std::size_t pool, std::size_t team) const override {
    return m_waiting[pool * m_trace.m_weights.size() + team];
  }

 private:
  const Flow& FlowOf(std::size_t request) const {
    return m_trace.m_flows[m_requests[request].m_flow];
  }
  std::int64_t& Count(const Flow& flow) {
    return m_waiting[flow.m_pool * m_trace.m_weights.size() + flow.m_team];
  }

  const Trace& m_trace;
  const std::vector<TraceRequest>& m_requests;
  /// A pool can only serve its own entries, so the one queue in order of
  /// arrival is kept as one line per pool.
  std::vector<std::deque<std::size_t>> m_lines;
  std::vector<std::int64_t> m_waiting;
};

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

/// \brief Outcome of an ideal schedule.
struct Fluid {
  /// Share-seconds in the form of Record::m_due.
  std::vector<std::vector<double>> m_due;
  /// Whether each request started before its deadline.
  std::vector<bool> m_started;
};

/// \brief What an ideal fluid schedule gives to the same requests: at each
/// moment every team holds its weighted max-min share of the slots, divisible
/// at will, each request at most one slot, urgent before standard before
/// overnight. Unlike a due share taken from the demand that a policy leaves
/// waiting, it does not depend on the policy.
inline Fluid PlayFluid(const Trace& trace,
                       const std::vector<TraceRequest>& requests) {
  constexpr Duration kStep = Milliseconds(4);
  struct Piece {
    std::size_t m_request = 0;
    double m_left = 0;
    TimePoint m_deadline;
    bool m_started = false;
  };
  using Lines = std::array<std::deque<Piece>, kWorkClasses>;
  const std::size_t teams = trace.m_weights.size();
  const std::size_t cells = trace.m_slots.size() * teams;
  std::vector<Lines> lines(cells);
  std::vector<double> due(cells);
  Fluid fluid;
  fluid.m_started.assign(requests.size(), false);
  std::vector<TeamDemand> demands(teams);
  std::vector<double> level(teams);
  WaterFillScratch scratch;
  std::size_t next = 0;
  const double step = ToSeconds(kStep);
  TimePoint next_record{};
  const auto serve = [&](Lines& cell, double budget) {
    double served = 0;
    for (std::deque<Piece>& line : cell) {
      for (Piece& piece : line) {
        const double part = std::min({budget, step, piece.m_left});
        if (part <= 0) {
          break;
        }
        piece.m_left -= part;
        piece.m_started = true;
        fluid.m_started[piece.m_request] = true;
        budget -= part;
        served += part;
      }
      std::erase_if(line,
                    [](const Piece& piece) { return piece.m_left <= 1e-12; });
    }
    return served;
  };
  for (TimePoint now{}; now < TimePoint() + trace.m_length; now += kStep) {
    if (next_record <= now) {
      fluid.m_due.push_back(due);
      next_record += Seconds(1);
    }
    for (; next < requests.size() && requests[next].m_at <= now; ++next) {
      const Flow& flow = trace.m_flows[requests[next].m_flow];
      lines[flow.m_pool * teams + flow.m_team]
           [static_cast<std::size_t>(flow.m_class)]
               .push_back({next, ToSeconds(requests[next].m_run_time),
                           now + flow.m_deadline});
    }
    for (std::size_t p = 0; p < trace.m_slots.size(); ++p) {
      const auto slots = static_cast<double>(trace.m_slots[p]);
      for (std::size_t t = 0; t < teams; ++t) {
        std::size_t wanted = 0;
        for (std::deque<Piece>& line : lines[p * teams + t]) {
          std::erase_if(line, [now](const Piece& piece) {
            return !piece.m_started && piece.m_deadline <= now;
          });
          wanted += line.size();
        }
        demands[t] = {trace.m_weights[t],
                      {static_cast<double>(wanted) / slots, 0, 0}};
      }
      WaterFill(demands, level, scratch);
      for (std::size_t t = 0; t < teams; ++t) {
        due[p * teams + t] +=
            serve(lines[p * teams + t], level[t] * slots * step) / slots;
      }
    }
  }
  return fluid;
}

/// \brief Largest difference of received from due, relative to due, over any
/// 60 s after the warm-up, of the teams that match, summed over all pools
/// weighted by slots.
template <typename Match>
double WorstNearness(const Trace& trace,
                     const std::vector<std::vector<double>>& received_by,
                     const std::vector<std::vector<double>>& due_by,
                     Match match) {
  constexpr std::size_t kWindow = 60;
  const std::size_t teams = trace.m_weights.size();
  const auto first = static_cast<std::size_t>(ToSeconds(trace.m_warm_up));
  double worst = 0;
  for (std::size_t s = first; s + kWindow < due_by.size(); ++s) {
    for (std::size_t t = 0; t < teams; ++t) {
      double due = 0;
      double received = 0;
      for (std::size_t p = 0; p < trace.m_slots.size(); ++p) {
        const auto slots = static_cast<double>(trace.m_slots[p]);
        const std::size_t i = p * teams + t;
        due += slots * (due_by[s + kWindow][i] - due_by[s][i]);
        received += slots * (received_by[s + kWindow][i] - received_by[s][i]);
      }
      if (match(t) && due > 0) {
        worst = std::max(worst, std::abs(received - due) / due);
      }
    }
  }
  return worst;
}

}  // namespace filbertspar::bench
