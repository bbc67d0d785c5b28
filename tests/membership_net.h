#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "filbertspar/membership/membership.h"

/// \file
/// \brief Fake of the connections between membership cores, in virtual time.

namespace filbertspar::testing {

/// Delays and faults of all connections.
struct NetOptions {
  std::uint64_t m_seed = 1;
  /// Loss of a segment. TCP hides it: each loss is one more timeout.
  double m_loss = 0;
  /// Faults that TCP excludes, to show that the core bears them too.
  double m_duplicate = 0;
  double m_reorder = 0;
  Duration m_delay = Duration(500);
  Duration m_first_timeout = Milliseconds(200);
  Duration m_syn_timeout = Seconds(1);
};

/// IPv4, TCP and timestamp option.
inline constexpr std::size_t kSegmentHeaderBytes = 52;
inline constexpr std::size_t kSynBytes = 60;
inline constexpr std::size_t kHelloFrameBytes = 180;

/// Delivers the cores' effects to each other.
class Net {
 public:
  struct Node {
    explicit Node(Membership state) : m_state(std::move(state)) {}
    Membership m_state;
    bool m_crashed = false;
    TimePoint m_paused_until{};
    TimePoint m_tick_at = TimePoint::max();
    /// Connection in use by peer.
    std::map<VmName, std::uint64_t> m_links;
    std::uint64_t m_sent_bytes = 0;
    std::uint64_t m_sent_frames = 0;
  };
  struct Connection {
    VmName m_from;
    VmName m_to;
    bool m_mute = false;
    /// Latest delivery in each direction: TCP keeps the order.
    TimePoint m_last[2] = {};
  };
  using Observer =
      std::function<void(TimePoint, const VmName&, const MemberUpdate&)>;

  explicit Net(NetOptions options)
      : m_options(options), m_rng(options.m_seed) {}

  TimePoint Now() const { return m_now; }
  Node& At(const VmName& vm) { return *m_nodes.at(vm); }
  std::map<VmName, std::unique_ptr<Node>>& Nodes() { return m_nodes; }
  void SetObserver(Observer observer) { m_observer = std::move(observer); }
  NetOptions& Options() { return m_options; }

  void Add(const MemberUpdate& self, const MembershipOptions& options) {
    const VmName vm = VmOf(self.m_node);
    m_nodes[vm] =
        std::make_unique<Node>(Membership(self, options, m_rng() | 1));
    Wake(vm, m_now + Duration(static_cast<std::int64_t>(m_rng.Below(500000))));
  }
  void Crash(const VmName& vm) { At(vm).m_crashed = true; }
  void Pause(const VmName& vm, Duration time) {
    At(vm).m_paused_until = m_now + time;
  }
  /// Frames between the two groups are lost until Heal.
  void Partition(std::set<VmName> group) { m_group = std::move(group); }
  void Heal() { m_group.clear(); }
  /// Makes the connection in use between the two silent for good.
  bool Mute(const VmName& a, const VmName& b) {
    const auto link = At(a).m_links.find(b);
    if (link == At(a).m_links.end()) {
      return false;
    }
    m_connections.at(link->second).m_mute = true;
    return true;
  }

  void Run(TimePoint until) {
    while (!m_events.empty() && m_events.top().m_at <= until) {
      const Event event = m_events.top();
      m_events.pop();
      m_now = event.m_at;
      event.m_run();
    }
    m_now = until;
  }
  void RunFor(Duration time) { Run(m_now + time); }
  void At(TimePoint at, std::function<void()> run) {
    m_events.push({std::max(at, m_now), m_sequence++, std::move(run)});
  }

  /// Calls a core function of the node and carries out the effects.
  template <typename Call>
  void Do(const VmName& vm, Call call) {
    Node& node = At(vm);
    if (node.m_crashed) {
      return;
    }
    if (node.m_paused_until > m_now) {
      At(node.m_paused_until, [this, vm, call] { Do(vm, call); });
      return;
    }
    MembershipEffects effects;
    call(node.m_state, m_now, effects);
    for (const MembershipEffect& effect : effects) {
      std::visit([&](const auto& each) { Carry(vm, node, each); }, effect);
    }
    const TimePoint next = NextTick(node.m_state);
    // A shell's timer is no finer than this.
    Wake(vm, std::max(next, m_now + (next <= m_now ? Duration(0)
                                                   : Milliseconds(10))));
  }

 private:
  struct Event {
    TimePoint m_at;
    std::uint64_t m_sequence;
    std::function<void()> m_run;
    bool operator<(const Event& other) const {
      return std::tie(other.m_at, other.m_sequence) <
             std::tie(m_at, m_sequence);
    }
  };

  void Wake(const VmName& vm, TimePoint at) {
    Node& node = At(vm);
    at = std::max(at, m_now);
    if (at >= node.m_tick_at) {
      return;
    }
    node.m_tick_at = at;
    At(at, [this, vm, at] {
      Node& woken = At(vm);
      if (woken.m_tick_at != at) {
        return;
      }
      woken.m_tick_at = TimePoint::max();
      Do(vm, [](Membership& state, TimePoint now, MembershipEffects& effects) {
        Tick(state, now, effects);
      });
    });
  }

  bool Cut(const VmName& a, const VmName& b) const {
    return m_group.contains(a) != m_group.contains(b);
  }
  /// Time of one segment, timeouts included; counts its bytes.
  Duration Segment(const VmName& from, const VmName& to, std::size_t bytes,
                   Duration timeout) {
    Duration time = m_options.m_delay;
    At(from).m_sent_bytes += bytes;
    for (int i = 0; i < 8 && m_rng.Chance(m_options.m_loss); ++i) {
      time += timeout;
      timeout *= 2;
      At(from).m_sent_bytes += bytes;
    }
    // The receiver's acknowledgement.
    At(to).m_sent_bytes += kSegmentHeaderBytes;
    return time;
  }
  Duration Frame(const VmName& from, const VmName& to, std::size_t bytes) {
    ++At(from).m_sent_frames;
    return Segment(from, to, bytes + kSegmentHeaderBytes,
                   m_options.m_first_timeout);
  }
  Duration Connect(const VmName& from, const VmName& to) {
    return Segment(from, to, kSynBytes, m_options.m_syn_timeout) +
           Segment(to, from, kSynBytes, m_options.m_syn_timeout) +
           Frame(from, to, kHelloFrameBytes) +
           Frame(to, from, kHelloFrameBytes);
  }
  bool Reaches(const VmName& a, const VmName& b) {
    return m_nodes.contains(b) && !At(b).m_crashed && !Cut(a, b);
  }
  MessageSource Source(std::uint64_t connection, const VmName& vm) {
    const MemberUpdate& self = At(vm).m_state.m_self;
    return {connection, self.m_node, self.m_zone, self.m_endpoint};
  }

  void Transmit(std::uint64_t id, const VmName& from, const Message& message) {
    Connection& connection = m_connections.at(id);
    const VmName to =
        connection.m_from == from ? connection.m_to : connection.m_from;
    const std::size_t bytes =
        kFrameHeaderBytes + EncodePayload({1, 1, message})->size();
    const Duration time = Frame(from, to, bytes);
    if (connection.m_mute || !Reaches(from, to)) {
      return;
    }
    TimePoint& last = connection.m_last[connection.m_from == from ? 0 : 1];
    TimePoint at = m_now + time;
    if (m_rng.Chance(m_options.m_reorder)) {
      at += Milliseconds(static_cast<std::int64_t>(m_rng.Below(300)));
    } else {
      at = last = std::max(at, last);
    }
    Deliver(at, id, from, to, message);
    if (m_rng.Chance(m_options.m_duplicate)) {
      Deliver(at + Milliseconds(static_cast<std::int64_t>(m_rng.Below(900))),
              id, from, to, message);
    }
  }
  void Deliver(TimePoint at, std::uint64_t id, const VmName& from,
               const VmName& to, const Message& message) {
    const MessageSource source = Source(id, from);
    At(at, [this, id, source, from, to, message] {
      if (!Reaches(from, to)) {
        return;
      }
      Do(to, [this, id, source, from, to, message](
                 Membership& state, TimePoint now, MembershipEffects& effects) {
        if (const auto* reply = std::get_if<ProbeReply>(&message)) {
          ProbeAnswered(state, now, source, *reply, effects);
          return;
        }
        if (std::holds_alternative<Heartbeat>(message)) {
          At(to).m_links[from] = id;
        }
        Heard(state, now, source, message, effects);
      });
    });
  }

  void Carry(const VmName& vm, Node& node, const OpenLink& effect) {
    if (node.m_links.contains(effect.m_vm) || !Reaches(vm, effect.m_vm)) {
      return;
    }
    const std::uint64_t id = m_next_connection++;
    m_connections[id] = {vm, effect.m_vm};
    const Duration time = Connect(vm, effect.m_vm);
    node.m_links[effect.m_vm] = id;
    At(effect.m_vm).m_links.try_emplace(vm, id);
    m_connections[id].m_last[0] = m_connections[id].m_last[1] = m_now + time;
  }
  void Carry(const VmName& /*vm*/, Node& node, const CloseLink& effect) {
    node.m_links.erase(effect.m_vm);
  }
  void Carry(const VmName& vm, Node& node, const SendTo& effect) {
    const auto link = node.m_links.find(effect.m_vm);
    if (link == node.m_links.end()) {
      Carry(vm, node, OpenLink{effect.m_vm, {}});
    }
    if (node.m_links.contains(effect.m_vm)) {
      Transmit(node.m_links[effect.m_vm], vm, effect.m_message);
    }
  }
  void Carry(const VmName& vm, Node& /*node*/, const OpenProbe& effect) {
    if (!m_nodes.contains(effect.m_vm)) {
      return;
    }
    const std::uint64_t id = m_next_connection++;
    m_connections[id] = {vm, effect.m_vm};
    m_probes[{vm, effect.m_probe.m_number}] = id;
    if (!Reaches(vm, effect.m_vm)) {
      At(vm).m_sent_bytes += kSynBytes;
      return;
    }
    const VmName to = effect.m_vm;
    const Probe probe = effect.m_probe;
    // A paused process answers after its pause only: its kernel accepts the
    // connection, but the Hello waits.
    At(m_now + Connect(vm, to), [this, id, vm, to, probe] {
      if (!At(vm).m_crashed && Reaches(vm, to)) {
        Transmit(id, vm, probe);
      }
    });
  }
  void Carry(const VmName& vm, Node& node, const AdoptProbe& effect) {
    const auto probe = m_probes.find({vm, effect.m_number});
    if (probe != m_probes.end()) {
      node.m_links[effect.m_vm] = probe->second;
    }
  }
  void Carry(const VmName& vm, Node& /*node*/, const DropProbe& effect) {
    m_probes.erase({vm, effect.m_number});
  }
  void Carry(const VmName& vm, Node& /*node*/, const ReplyProbe& effect) {
    Transmit(effect.m_connection, vm, effect.m_reply);
  }
  void Carry(const VmName& vm, Node& /*node*/, const MemberChanged& effect) {
    if (m_observer) {
      m_observer(m_now, vm, effect.m_update);
    }
  }

  NetOptions m_options;
  Rng m_rng;
  TimePoint m_now{Seconds(1000)};
  std::uint64_t m_sequence = 0;
  std::uint64_t m_next_connection = 1;
  std::priority_queue<Event> m_events;
  std::map<VmName, std::unique_ptr<Node>> m_nodes;
  std::map<std::uint64_t, Connection> m_connections;
  std::map<std::pair<VmName, std::uint64_t>, std::uint64_t> m_probes;
  std::set<VmName> m_group;
  Observer m_observer;
};

inline MemberUpdate NodeOf(int index, int zones,
                           std::uint64_t incarnation = 1) {
  std::string number = std::to_string(index);
  number.insert(0, 3 - std::min<std::size_t>(3, number.size()), '0');
  return {MakeNodeName(VmName("entry-" + number), 1733000000 + incarnation),
          ZoneName("zone-" + std::to_string(index % zones)),
          {"10.0.0.1", static_cast<std::uint16_t>(10000 + index)},
          MemberState::kLive,
          0};
}

inline VmName VmAt(int index) { return VmOf(NodeOf(index, 1).m_node); }

/// A cluster whose nodes know each other and reach the store.
inline std::unique_ptr<Net> MakeCluster(const NetOptions& net_options,
                                        int nodes, int zones,
                                        const MembershipOptions& options = {}) {
  auto net = std::make_unique<Net>(net_options);
  for (int i = 0; i < nodes; ++i) {
    net->Add(NodeOf(i, zones), options);
    Membership& state = net->At(VmAt(i)).m_state;
    state.m_version = ConfigVersion(7);
    state.m_reaches_store = true;
    for (int j = 0; j < nodes; ++j) {
      if (j != i) {
        const MemberUpdate other = NodeOf(j, zones);
        state.m_members[VmAt(j)] = {other.m_node, other.m_zone,
                                    other.m_endpoint};
      }
    }
  }
  return net;
}

}  // namespace filbertspar::testing
