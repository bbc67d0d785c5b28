#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <queue>
#include <set>
#include <tuple>
#include <vector>

#include "bench/membership_schemes.h"
#include "filbertspar/wire/wire.h"

namespace filbertspar::bench {

/// Randomized probing: each node probes the next node of a shuffled list per
/// period over a kept connection. Without a reply it asks three others to
/// probe the node, and declares it dead when none of them reaches it. Deaths
/// travel with probes and replies.
class RandomRun {
 public:
  explicit RandomRun(const Scenario& scenario)
      : m_scenario(scenario), m_rng(scenario.m_seed) {
    m_frame_bytes =
        kFrameHeaderBytes + EncodePayload({1, 1, Probe{1, {}}})->size();
    m_nodes.resize(static_cast<std::size_t>(scenario.m_nodes));
  }

  Result Run() {
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
      const auto phase = static_cast<std::int64_t>(
          m_rng.Below(static_cast<std::uint64_t>(kPeriod.count())));
      At(Duration(phase), [this, i] { Period(i); });
    }
    // Crashes fall at a random phase of the periods.
    m_start = Seconds(5);
    At(m_start, [this] { Inject(); });
    while (!m_events.empty() &&
           m_events.top().m_at <= m_start + m_scenario.m_time) {
      const Event event = m_events.top();
      m_events.pop();
      m_now = event.m_at;
      event.m_run();
    }
    Collect();
    return m_result;
  }

 private:
  static constexpr Duration kPeriod = Milliseconds(500);
  static constexpr Duration kDirectWait = Milliseconds(500);
  static constexpr Duration kIndirectWait = Seconds(1);
  static constexpr int kHelpers = 3;
  static constexpr std::size_t kHeaderBytes = 52;

  struct Node {
    bool m_crashed = false;
    Duration m_paused_until{0};
    std::vector<std::size_t> m_order;
    /// Nodes known to be dead, with the time of learning.
    std::map<std::size_t, Duration> m_dead;
    std::uint64_t m_bytes = 0;
    std::uint64_t m_frames = 0;
  };
  struct Event {
    Duration m_at;
    std::uint64_t m_sequence;
    std::function<void()> m_run;
    bool operator<(const Event& other) const {
      return std::tie(other.m_at, other.m_sequence) <
             std::tie(m_at, m_sequence);
    }
  };

  void At(Duration at, std::function<void()> run) {
    m_events.push({at, m_sequence++, std::move(run)});
  }

  /// Delivers one frame; the death list travels along.
  void Send(std::size_t from, std::size_t to, std::function<void()> run) {
    Node& sender = m_nodes[from];
    if (sender.m_crashed || m_muted.contains({from, to})) {
      return;
    }
    Duration time = Duration(500);
    Duration timeout = Milliseconds(200);
    ++sender.m_frames;
    sender.m_bytes += m_frame_bytes + kHeaderBytes;
    m_nodes[to].m_bytes += kHeaderBytes;
    while (m_rng.Chance(m_scenario.m_loss)) {
      time += timeout;
      timeout *= 2;
      sender.m_bytes += m_frame_bytes + kHeaderBytes;
    }
    std::vector<std::size_t> news;
    for (const auto& [dead, at] : sender.m_dead) {
      news.push_back(dead);
    }
    At(m_now + time, [this, to, news, run] {
      Node& receiver = m_nodes[to];
      const auto deliver = [this, to, news, run] {
        for (const std::size_t dead : news) {
          m_nodes[to].m_dead.try_emplace(dead, m_now);
        }
        run();
      };
      if (receiver.m_crashed) {
        return;
      }
      if (receiver.m_paused_until > m_now) {
        At(receiver.m_paused_until, deliver);
        return;
      }
      deliver();
    });
  }

  std::size_t NextTarget(std::size_t self) {
    Node& node = m_nodes[self];
    if (node.m_order.empty()) {
      for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        if (i != self && !node.m_dead.contains(i)) {
          node.m_order.push_back(i);
        }
      }
      for (std::size_t i = node.m_order.size(); i > 1; --i) {
        std::swap(node.m_order[i - 1], node.m_order[m_rng.Below(i)]);
      }
    }
    if (node.m_order.empty()) {
      return self;
    }
    const std::size_t target = node.m_order.back();
    node.m_order.pop_back();
    return target;
  }

  void Period(std::size_t self) {
    Node& node = m_nodes[self];
    if (node.m_crashed) {
      return;
    }
    const Duration resume = std::max(node.m_paused_until, m_now);
    At(resume + kPeriod, [this, self] { Period(self); });
    if (resume > m_now) {
      return;
    }
    const std::size_t target = NextTarget(self);
    if (target == self || node.m_dead.contains(target)) {
      return;
    }
    auto answered = std::make_shared<bool>(false);
    const auto reply = [this, self, target, answered] {
      Send(target, self, [answered] { *answered = true; });
    };
    Send(self, target, reply);
    At(m_now + kDirectWait, [this, self, target, answered] {
      if (!*answered && !m_nodes[self].m_crashed) {
        ++m_result.m_suspicions;
        Indirect(self, target, answered);
      }
    });
  }

  void Indirect(std::size_t self, std::size_t target,
                std::shared_ptr<bool> answered) {
    for (int i = 0; i < kHelpers; ++i) {
      const std::size_t helper = m_rng.Below(m_nodes.size());
      if (helper == self || helper == target) {
        continue;
      }
      Send(self, helper, [this, self, helper, target, answered] {
        Send(helper, target, [this, self, helper, target, answered] {
          Send(target, helper, [this, self, helper, answered] {
            Send(helper, self, [answered] { *answered = true; });
          });
        });
      });
    }
    At(m_now + kIndirectWait, [this, self, target, answered] {
      Node& node = m_nodes[self];
      if (*answered || node.m_crashed || node.m_paused_until > m_now) {
        return;
      }
      if (node.m_dead.try_emplace(target, m_now).second &&
          !m_nodes[target].m_crashed) {
        ++m_result.m_false;
      }
    });
  }

  void Inject() {
    const auto zones = static_cast<std::size_t>(m_scenario.m_zones);
    if (m_scenario.m_fault == Fault::kCrash) {
      m_nodes[m_rng.Below(m_nodes.size())].m_crashed = true;
    } else if (m_scenario.m_fault == Fault::kPair) {
      const std::size_t at = m_rng.Below(m_nodes.size());
      m_nodes[at].m_crashed = true;
      m_nodes[(at + 1) % m_nodes.size()].m_crashed = true;
    } else if (m_scenario.m_fault == Fault::kZone) {
      for (std::size_t i = m_rng.Below(zones); i < m_nodes.size(); i += zones) {
        m_nodes[i].m_crashed = true;
      }
    } else if (m_scenario.m_fault != Fault::kNone) {
      Repeat();
    }
  }

  void Repeat() {
    const auto half = static_cast<std::uint64_t>(m_scenario.m_time.count() / 2);
    for (int i = 0; i < m_scenario.m_faults; ++i) {
      const std::size_t one = m_rng.Below(m_nodes.size());
      const std::size_t other = m_rng.Below(m_nodes.size());
      const auto at = static_cast<std::int64_t>(m_rng.Below(half));
      At(m_now + Duration(at), [this, one, other] {
        if (m_scenario.m_fault == Fault::kPause) {
          m_nodes[one].m_paused_until = m_now + Seconds(1);
        } else if (one != other) {
          m_muted.insert({one, other});
          m_muted.insert({other, one});
        }
      });
    }
  }

  void Collect() {
    std::size_t live = 0;
    for (const Node& node : m_nodes) {
      live += node.m_crashed ? 0 : 1;
    }
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
      if (!m_nodes[i].m_crashed) {
        continue;
      }
      ++m_result.m_crashes;
      std::vector<Duration> knew;
      for (const Node& node : m_nodes) {
        if (!node.m_crashed && node.m_dead.contains(i)) {
          knew.push_back(node.m_dead.at(i));
        }
      }
      m_result.m_missed += knew.size() < live ? 1 : 0;
      if (!knew.empty()) {
        m_result.m_first_s.push_back(
            ToSeconds(*std::min_element(knew.begin(), knew.end()) - m_start));
        m_result.m_all_s.push_back(
            ToSeconds(*std::max_element(knew.begin(), knew.end()) - m_start));
      }
    }
    const double seconds = ToSeconds(m_start + m_scenario.m_time);
    for (const Node& node : m_nodes) {
      const double bytes = static_cast<double>(node.m_bytes) / seconds;
      m_result.m_mean_bytes += bytes / m_scenario.m_nodes;
      m_result.m_max_bytes = std::max(m_result.m_max_bytes, bytes);
      m_result.m_frames +=
          static_cast<double>(node.m_frames) / seconds / m_scenario.m_nodes;
    }
  }

  Scenario m_scenario;
  Rng m_rng;
  std::size_t m_frame_bytes = 0;
  Duration m_now{0};
  Duration m_start{0};
  std::uint64_t m_sequence = 0;
  std::priority_queue<Event> m_events;
  std::vector<Node> m_nodes;
  std::set<std::pair<std::size_t, std::size_t>> m_muted;
  Result m_result;
};

inline Result RunRandom(const Scenario& scenario) {
  return RandomRun(scenario).Run();
}

}  // namespace filbertspar::bench
