#include "filbertspar/upkeep/src/plan.h"

#include <algorithm>
#include <cmath>

namespace filbertspar::upkeep {
namespace {

/// A VM that no list has shown for this long is gone.
constexpr Duration kGoneAfter = Seconds(5);
/// Largest part of a pool's VMs that are emptied or down at a time while the
/// wave is in time.
constexpr double kPoolPart = 0.25;
/// The same once more than kLateShare of the wave's time has passed.
constexpr double kLatePoolPart = 0.5;
constexpr double kLateShare = 0.7;
/// An order without an answer is repeated after this time.
constexpr Duration kAskAgain = Milliseconds(600);
/// A VM that was down counts as back only when a list that was asked for this
/// long after the order shows it.
constexpr Duration kListLag = Seconds(1);

bool IsOut(const VmProgress& item) {
  return item.m_phase == Phase::kOrdered || item.m_phase == Phase::kDown;
}

bool IsGone(const State& state, const VmName& vm, TimePoint now) {
  const auto missing = state.m_missing_since.find(vm);
  return missing != state.m_missing_since.end() &&
         now - missing->second > kGoneAfter;
}

std::size_t DownOf(const State& state, const Wave& wave) {
  std::size_t down = 0;
  for (const auto& [vm, item] : wave.m_vms) {
    const auto record = state.m_vms.find(vm);
    const bool listed_down = record != state.m_vms.end() &&
                             record->second.m_state == VmStatus::kUpkeep;
    down += IsOut(item) || listed_down;
  }
  return down;
}

void RefreshItems(State& state, Wave& wave, TimePoint now) {
  for (auto& [vm, item] : wave.m_vms) {
    const auto record = state.m_vms.find(vm);
    if (item.m_phase == Phase::kDown && record != state.m_vms.end() &&
        record->second.m_state == VmStatus::kUp &&
        state.m_list_requested_at > item.m_since + kListLag) {
      item.m_phase = Phase::kDone;
      item.m_since = now;
    }
    if (item.m_phase != Phase::kDone && IsGone(state, vm, now)) {
      item.m_phase = Phase::kDone;
      item.m_since = now;
    }
  }
}

double PoolPart(const Wave& wave, TimePoint now) {
  const Duration late(static_cast<std::int64_t>(
      kLateShare * static_cast<double>(wave.m_spec.m_duration.count())));
  return now - wave.m_started_at > late ? kLatePoolPart : kPoolPart;
}

}  // namespace

void UpdateWaves(State& state, TimePoint now,
                 const std::map<std::uint64_t, UpkeepWave>& waves) {
  for (const auto& [number, asked] : waves) {
    Wave& wave = state.m_waves[number];
    if (wave.m_started_at == TimePoint{}) {
      wave.m_started_at = now;
    }
    wave.m_spec = asked;
    for (const VmName& vm : asked.m_vms) {
      wave.m_vms.try_emplace(vm);
    }
  }
}

void MarkDone(State& state, std::uint64_t wave,
              const std::vector<VmName>& vms) {
  for (const VmName& vm : vms) {
    state.m_waves[wave].m_vms[vm].m_phase = Phase::kDone;
  }
}

void UpdateVms(State& state, TimePoint asked, TimePoint now,
               const std::vector<VmRecord>& vms) {
  std::map<VmName, VmRecord> listed;
  for (const VmRecord& vm : vms) {
    listed[vm.m_name] = vm;
    state.m_missing_since.erase(vm.m_name);
  }
  for (const auto& [number, wave] : state.m_waves) {
    for (const auto& [vm, item] : wave.m_vms) {
      if (!listed.contains(vm)) {
        state.m_missing_since.try_emplace(vm, now);
      }
    }
  }
  state.m_vms = std::move(listed);
  state.m_list_requested_at = asked;
}

void HandleOrderResult(State& state, TimePoint now, std::uint64_t wave,
                       const VmName& vm, VmOrderResult result) {
  VmProgress& item = state.m_waves[wave].m_vms[vm];
  item.m_order_in_flight = false;
  switch (result) {
    case VmOrderResult::kAccepted:
      item.m_phase = Phase::kDown;
      item.m_since = now;
      break;
    case VmOrderResult::kMalformed:
    case VmOrderResult::kNotInWave:
      // No such VM, or not one of this wave: nothing is left to do for it.
      item.m_phase = Phase::kDone;
      break;
    case VmOrderResult::kUnknown:
      // It may be down; the order is repeated, which is harmless.
      item.m_since = now;
      break;
    case VmOrderResult::kBusy:
    case VmOrderResult::kFenced:
    case VmOrderResult::kTryLater:
      item.m_phase = Phase::kDraining;
      item.m_since = now;
      break;
  }
}

bool IsComplete(const State& state, const Wave& wave, TimePoint now) {
  return std::all_of(wave.m_vms.begin(), wave.m_vms.end(),
                     [&](const auto& entry) {
                       return entry.second.m_phase == Phase::kDown ||
                              entry.second.m_phase == Phase::kDone ||
                              IsGone(state, entry.first, now);
                     });
}

Plan MakePlan(State& state, TimePoint now,
              const std::function<VmLoad(const VmRecord&)>& facts) {
  Plan plan;
  std::map<PoolName, std::size_t> pool_size;
  std::map<PoolName, std::size_t> pool_out;
  for (const auto& [name, vm] : state.m_vms) {
    ++pool_size[vm.m_pool];
    pool_out[vm.m_pool] += vm.m_state != VmStatus::kUp;
  }
  for (auto& [number, wave] : state.m_waves) {
    RefreshItems(state, wave, now);
    std::vector<std::pair<double, VmName>> due;
    std::size_t down = DownOf(state, wave);
    std::size_t emptying = 0;
    for (auto& [name, item] : wave.m_vms) {
      const auto record = state.m_vms.find(name);
      if (item.m_phase == Phase::kDone || record == state.m_vms.end()) {
        continue;
      }
      const VmLoad known = facts(record->second);
      if (item.m_phase == Phase::kPending) {
        plan.m_pending.push_back(name);
        if (record->second.m_state == VmStatus::kUp) {
          due.emplace_back(
              known.m_used_share + static_cast<double>(known.m_long_running),
              name);
        }
        continue;
      }
      pool_out[record->second.m_pool] +=
          record->second.m_state == VmStatus::kUp;
      if (item.m_phase == Phase::kDraining) {
        ++emptying;
        plan.m_draining.push_back(name);
        if (known.m_is_empty && record->second.m_state == VmStatus::kUp &&
            down < wave.m_spec.m_max_down) {
          item.m_phase = Phase::kOrdered;
          item.m_since = now;
          item.m_order_in_flight = true;
          ++down;
          plan.m_orders.push_back({number, name});
        }
      } else {
        // A list that lags still shows the worker that the upkeep has ended.
        plan.m_draining.push_back(name);
        if (item.m_phase == Phase::kOrdered && !item.m_order_in_flight &&
            now - item.m_since > kAskAgain) {
          item.m_order_in_flight = true;
          plan.m_orders.push_back({number, name});
        }
      }
    }
    std::sort(due.begin(), due.end());
    for (const auto& [load, name] : due) {
      if (down + emptying >= wave.m_spec.m_max_down) {
        break;
      }
      const PoolName& pool = state.m_vms[name].m_pool;
      const auto limit = std::max<std::size_t>(
          1, static_cast<std::size_t>(std::floor(
                 PoolPart(wave, now) * static_cast<double>(pool_size[pool]))));
      if (load > 0 && pool_out[pool] >= limit) {
        continue;
      }
      VmProgress& item = wave.m_vms[name];
      item.m_phase = Phase::kDraining;
      item.m_since = now;
      ++pool_out[pool];
      ++emptying;
      plan.m_draining.push_back(name);
    }
  }
  return plan;
}

}  // namespace filbertspar::upkeep
