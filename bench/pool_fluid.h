#pragma once

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <vector>

#include "bench/pool_trace.h"

/// \file
/// \brief The same traces under an ideal schedule, and how near a policy comes.

namespace filbertspar::bench {

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
