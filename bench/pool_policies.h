#pragma once

#include <cmath>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "bench/pool_trace.h"
#include "filbertspar/queue/queue.h"
#include "filbertspar/share/share.h"

/// \file
/// \brief What is compared on a trace: queue and share, and one global
/// first-come queue.

namespace filbertspar::bench {

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

}  // namespace filbertspar::bench
