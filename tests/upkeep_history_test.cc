#include <algorithm>
#include <catch2/catch.hpp>
#include <random>
#include <utility>

#include "filbertspar/upkeep/upkeep.h"

namespace filbertspar::upkeep {
namespace {

constexpr Duration kRound = Milliseconds(250);
constexpr Duration kMaintenance = Seconds(2);

/// The platform as it is, beside what it tells the owner.
struct Machine {
  bool m_exists = true;
  /// Left out of the lists until then.
  TimePoint m_hidden_until{};
  /// Its entry cannot be read until then.
  TimePoint m_damaged_until{};
  bool m_is_nameless = false;
  bool m_has_begun = false;
  TimePoint m_down_until{};
};

class History {
 public:
  explicit History(std::uint32_t seed) : m_random(seed) {
    const std::size_t count = 2 + Draw(8);
    m_wave.m_number = 1;
    m_wave.m_duration = Seconds(30);
    m_wave.m_max_down = static_cast<std::uint32_t>(1 + Draw(3));
    for (std::size_t i = 0; i < count; ++i) {
      m_machines[VmName("m" + std::to_string(i))];
      if (Draw(4) != 0) {
        m_wave.m_vms.emplace_back("m" + std::to_string(i));
      }
    }
    m_wave_known_at = m_now + Milliseconds(Draw(4000));
  }

  void Play() {
    for (int round = 0; round < 1200; ++round, m_now += kRound) {
      const bool troubled = round < 240;
      if (troubled) {
        Disturb();
      }
      Step(troubled);
    }
    INFO(DescribeEvidence(m_state, m_state.m_waves[1]));
    CHECK(m_status == WaveStatus::kCompleted);
  }

 private:
  std::size_t Draw(std::size_t below) { return m_random() % below; }

  void Disturb() {
    auto any = m_machines.begin();
    std::advance(any, static_cast<std::ptrdiff_t>(Draw(m_machines.size())));
    switch (Draw(60)) {
      case 0:
        any->second.m_exists = false;
        break;
      case 1:
        if (m_now > any->second.m_hidden_until + kMaintenance) {
          any->second.m_hidden_until = m_now + Milliseconds(Draw(4500));
        }
        break;
      case 2:
        if (std::find(m_wave.m_vms.begin(), m_wave.m_vms.end(), any->first) ==
            m_wave.m_vms.end()) {
          m_wave.m_vms.push_back(any->first);
        } else {
          std::erase(m_wave.m_vms, any->first);
        }
        break;
      case 3:
        NewOwner();
        break;
      case 4:
        any->second.m_is_nameless = Draw(2) == 0;
        any->second.m_damaged_until = m_now + Milliseconds(Draw(20000));
        break;
      case 5:
        for (auto& [name, machine] : m_machines) {
          machine.m_exists = machine.m_exists && m_now >= machine.m_down_until;
        }
        break;
      default:
        break;
    }
  }

  void NewOwner() {
    const std::string row = EncodeDoneVms(m_state.m_waves[1]);
    m_state = State();
    m_owner_since = m_now;
    m_answers.clear();
    // The row is often read before the definition.
    MarkDone(m_state, 1, *DecodeDoneVms(row));
  }

  void ReadList(bool troubled) {
    if (troubled && Draw(8) == 0) {
      return;
    }
    VmList list;
    list.m_requested_at = m_now;
    for (const auto& [name, machine] : m_machines) {
      if (!machine.m_exists || m_now < machine.m_hidden_until) {
        continue;
      }
      if (m_now < machine.m_damaged_until) {
        if (!machine.m_is_nameless) {
          list.m_invalid_vms.push_back(name);
        } else {
          ++list.m_nameless_count;
        }
        continue;
      }
      VmRecord vm;
      vm.m_name = name;
      vm.m_pool = PoolName("p");
      vm.m_state =
          m_now < machine.m_down_until ? VmStatus::kUpkeep : VmStatus::kUp;
      list.m_vms.push_back(vm);
    }
    UpdateVms(m_state, list);
  }

  std::size_t CountDown() {
    return static_cast<std::size_t>(std::count_if(
        m_wave.m_vms.begin(), m_wave.m_vms.end(), [this](const VmName& vm) {
          const Machine& machine = m_machines[vm];
          return machine.m_exists && m_now < machine.m_down_until;
        }));
  }

  VmOrderResult Carry(const VmName& vm) {
    Machine& machine = m_machines[vm];
    if (!machine.m_exists) {
      return VmOrderResult::kMalformed;
    }
    if (m_now < m_wave_known_at ||
        std::find(m_wave.m_vms.begin(), m_wave.m_vms.end(), vm) ==
            m_wave.m_vms.end()) {
      return VmOrderResult::kNotInWave;
    }
    if (machine.m_has_begun) {
      return VmOrderResult::kAccepted;
    }
    // The first lists of an owner may lack VMs that are down.
    if (m_now > m_owner_since + kMaintenance) {
      CHECK(CountDown() < m_wave.m_max_down);
    }
    machine.m_has_begun = true;
    machine.m_down_until = m_now + kMaintenance;
    return VmOrderResult::kAccepted;
  }

  void Step(bool troubled) {
    UpdateWaves(m_state, m_now, {{1, m_wave}});
    for (const auto& [vm, result] : std::exchange(m_answers, {})) {
      HandleOrderResult(m_state, m_now, 1, vm, result);
    }
    ReadList(troubled);
    const auto load = [this](const VmRecord&) {
      VmLoad load;
      load.m_is_empty = Draw(3) != 0;
      return load;
    };
    for (const Plan::Order& order : MakePlan(m_state, m_now, load).m_orders) {
      if (troubled && Draw(10) == 0) {
        m_answers.emplace_back(order.m_vm, VmOrderResult::kTryLater);
        continue;
      }
      const VmOrderResult result = Carry(order.m_vm);
      m_answers.emplace_back(order.m_vm, troubled && Draw(5) == 0
                                             ? VmOrderResult::kUnknown
                                             : result);
    }
    Wave& wave = m_state.m_waves[1];
    if (const auto status = StatusToStore(m_state, wave)) {
      wave.m_stored_status = status;
      m_status = status;
    }
    if (m_status != WaveStatus::kCompleted) {
      return;
    }
    for (const VmName& vm : m_wave.m_vms) {
      INFO(vm.Value() << " at " << ToMilliseconds(m_now - TimePoint{}) << ": "
                      << DescribeEvidence(m_state, wave));
      CHECK((m_machines[vm].m_has_begun || !m_machines[vm].m_exists));
    }
  }

  std::mt19937 m_random;
  TimePoint m_now{Seconds(100)};
  UpkeepWave m_wave;
  TimePoint m_wave_known_at{};
  std::map<VmName, Machine> m_machines;
  State m_state;
  TimePoint m_owner_since{};
  std::vector<std::pair<VmName, VmOrderResult>> m_answers;
  std::optional<WaveStatus> m_status;
};

// Guards against a wave completed with a VM that has not begun its upkeep.
TEST_CASE("what is said of a wave holds in any history") {
  for (std::uint32_t seed = 1; seed <= 300; ++seed) {
    INFO("seed " << seed);
    History(seed).Play();
  }
}

}  // namespace
}  // namespace filbertspar::upkeep
