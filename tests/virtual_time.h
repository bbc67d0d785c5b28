#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

#include "filbertspar/base/base.h"

namespace filbertspar::testing {

/// \brief Events in the order of their virtual times; ties in order of entry.
class VirtualTime {
 public:
  TimePoint Now() const { return m_now; }

  void At(TimePoint time, std::function<void()> action) {
    m_events.push({std::max(time, m_now), ++m_order, std::move(action)});
  }
  void After(Duration delay, std::function<void()> action) {
    At(m_now + delay, std::move(action));
  }

  void RunUntil(TimePoint end) {
    while (!m_events.empty() && m_events.top().m_time <= end) {
      Event event = m_events.top();
      m_events.pop();
      m_now = event.m_time;
      event.m_action();
    }
    m_now = end;
  }

 private:
  struct Event {
    TimePoint m_time;
    std::uint64_t m_order;
    std::function<void()> m_action;

    bool operator<(const Event& other) const {
      return std::pair(m_time, m_order) >
             std::pair(other.m_time, other.m_order);
    }
  };

  TimePoint m_now{Seconds(1000)};
  std::uint64_t m_order = 0;
  std::priority_queue<Event> m_events;
};

inline Duration RandomDuration(Rng& rng, Duration min, Duration max) {
  return min + Duration(static_cast<std::int64_t>(rng.Below(
                   static_cast<std::uint64_t>((max - min).count()) + 1)));
}

}  // namespace filbertspar::testing
