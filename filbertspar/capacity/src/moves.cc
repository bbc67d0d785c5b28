#include "filbertspar/capacity/src/moves.h"

#include <algorithm>
#include <cmath>

namespace filbertspar::capacity {
namespace {

/// Arrival rates are averaged over this window, so that single large jobs have
/// little effect.
constexpr Duration kRateWindow = Seconds(2);
/// A higher rate in half of kRateWindow or less counts only if at least this
/// many jobs arrived in that time.
constexpr double kMinJobsForRise = 6;
/// Shortest window in which arrivals are counted. Rates in windows shorter than
/// kRateWindow are reduced by kRateDeviations standard deviations of the count.
constexpr Duration kMinRateWindow = Milliseconds(250);
constexpr double kRateDeviations = 1;
/// A pool keeps the capacity for its highest demand in this window before it
/// releases VMs.
constexpr Duration kDemandWindow = Milliseconds(1500);
/// Least reserve relative to the demand, because tasks do not fill workers
/// evenly.
constexpr double kHeadroom = 0.1;
/// The same relative to the highest recent demand before a VM is released.
constexpr double kReleaseHeadroom = 0.15;
/// Largest rise of the rate that is extrapolated, as a share of the most recent
/// rate. Surges level off, and a few large jobs look like a surge.
constexpr double kMaxRise = 0.35;
/// Ready work may wait for this share of its slack before VMs are requested.
constexpr double kSlackShare = 0.5;
constexpr double kMinSlackSeconds = 0.4;
/// A VM moves to the standby pool only after it was idle for this long. A move
/// costs about as much as running a VM for this time.
constexpr Duration kMinIdleTime = Milliseconds(1000);
/// The pools of the configuration are kept for this long after the first job
/// that ends by itself arrived: before that nothing is known about which of
/// them will be needed.
constexpr Duration kLoadObservationTime = Milliseconds(1500);
/// The same without any such job. Bounds the cost of VMs that nobody uses.
constexpr Duration kMaxObservationTime = Seconds(60);
/// A move that the VM list does not show within this time counts no more as
/// capacity that will come.
constexpr Duration kPendingTimeout = Seconds(4);
/// An accepted move that no VM list shows within this time is forgotten: the
/// VM has been moved on by others.
constexpr Duration kUnshownTimeout = Seconds(60);

State::LoadHistory::Arrivals ArrivalsAt(const State::LoadHistory& history,
                                        TimePoint when) {
  State::LoadHistory::Arrivals value = history.m_arrivals.front().second;
  for (const auto& [time, sample] : history.m_arrivals) {
    if (time > when) {
      break;
    }
    value = sample;
  }
  return value;
}

/// Arrived jobs per second in the last `window`.
double JobRate(const State::LoadHistory& history, TimePoint now,
               Duration window, std::uint64_t jobs) {
  return static_cast<double>(jobs - ArrivalsAt(history, now - window).m_jobs) /
         ToSeconds(window);
}

/// Forecast of the cores that arriving jobs need at the time when a move that
/// is ordered now completes. It multiplies the rate of jobs by their mean work,
/// because the number of jobs shows a surge earlier and with less noise than
/// the sum of their work, which a few large jobs dominate.
double ForecastWorkRate(const State::LoadHistory& history, const Policy& policy,
                        TimePoint now, const PoolLoad& load) {
  if (load.m_arrived_jobs == 0) {
    return 0;
  }
  const double work_of_job =
      load.m_arrived_work / static_cast<double>(load.m_arrived_jobs);
  double rate = JobRate(history, now, kRateWindow, load.m_arrived_jobs);
  for (Duration window = kRateWindow / 2; window >= kMinRateWindow;
       window /= 2) {
    const double window_rate =
        JobRate(history, now, window, load.m_arrived_jobs);
    const double jobs = window_rate * ToSeconds(window);
    if (jobs >= kMinJobsForRise) {
      rate =
          std::max(rate, window_rate * (1 - kRateDeviations / std::sqrt(jobs)));
    }
  }
  const Duration half = kRateWindow / 2;
  const double recent_rate = JobRate(history, now, half, load.m_arrived_jobs);
  const double previous_rate =
      2 * JobRate(history, now, kRateWindow, load.m_arrived_jobs) - recent_rate;
  if (recent_rate * ToSeconds(half) >= kMinJobsForRise &&
      recent_rate > previous_rate) {
    const double rise = (recent_rate - previous_rate) / ToSeconds(half);
    rate = std::max(rate,
                    recent_rate + std::min(rise * ToSeconds(policy.m_move_time),
                                           recent_rate * kMaxRise));
  }
  return rate * work_of_job;
}

/// Demand of a pool in cores.
struct PoolDemand {
  double m_current = 0;
  /// When a move that is ordered now completes.
  double m_forecast = 0;
  double m_recent_max = 0;
  /// Mean core-seconds of a job; 0 before the first.
  double m_work_of_job = 0;

  /// Cores to keep beyond a mean demand. Demand is made of jobs that come at
  /// random, so that its deviation is the root of their number times their
  /// size: a small pool needs a larger part of its demand as a reserve.
  double Reserve(double cores, double headroom) const {
    return std::max(cores * headroom, std::sqrt(cores * m_work_of_job));
  }
};

PoolDemand UpdateDemand(State::LoadHistory& history, const Policy& policy,
                        TimePoint now, const PoolLoad& load) {
  history.m_arrivals.emplace_back(
      now,
      State::LoadHistory::Arrivals{load.m_arrived_work, load.m_arrived_jobs});
  while (history.m_arrivals.front().first < now - kRateWindow * 2) {
    history.m_arrivals.pop_front();
  }
  PoolDemand demand;
  demand.m_current = load.m_running_cores + load.m_ready_cores;
  demand.m_work_of_job =
      load.m_arrived_jobs == 0
          ? 0
          : load.m_arrived_work / static_cast<double>(load.m_arrived_jobs);
  demand.m_forecast = ForecastWorkRate(history, policy, now, load);
  history.m_demand_cores.emplace_back(
      now, std::max(load.m_running_cores, demand.m_forecast));
  while (history.m_demand_cores.front().first < now - kDemandWindow) {
    history.m_demand_cores.pop_front();
  }
  for (const auto& [time, cores] : history.m_demand_cores) {
    demand.m_recent_max = std::max(demand.m_recent_max, cores);
  }
  return demand;
}

/// Capacity of a pool, including pending moves, and the demand on it.
struct Balance {
  const PoolLoad* m_load = nullptr;
  PoolDemand m_demand;
  double m_incoming_cores = 0;
  /// Cores of the pool's largest VM.
  double m_vm_cores = 0;

  double Available() const {
    return std::max(1.0, m_load->m_cores + m_incoming_cores);
  }

  /// Cores needed in addition to serve the ready work and the forecast demand
  /// in time.
  double Shortage() const {
    const double forecast = m_demand.m_forecast +
                            m_demand.Reserve(m_demand.m_forecast, kHeadroom) -
                            Available();
    const double slack =
        std::max(kMinSlackSeconds, kSlackShare * ToSeconds(m_load->m_slack));
    double ready = 0;
    if (m_load->m_ready_work > slack * Available()) {
      ready = std::min(m_load->m_ready_work / slack,
                       m_demand.m_current * (1 + kHeadroom) - Available());
    }
    return std::max({0.0, forecast, ready});
  }
  double Surplus() const {
    return m_load->m_ready_work > kMinSlackSeconds * Available()
               ? 0
               : Available() - m_demand.m_recent_max -
                     m_demand.Reserve(m_demand.m_recent_max, kReleaseHeadroom) -
                     m_load->m_unplaced_vms * m_vm_cores;
  }
};

/// Where a VM may come from, in order of preference.
enum class Source : std::uint8_t {
  kStandby,
  /// A pool that has more than it needs.
  kSurplus,
  /// Any pool without unplaced tasks of its own.
  kAny,
};

double CountIncoming(const State& state, const PoolName& pool) {
  return static_cast<double>(std::count_if(
      state.m_pending.begin(), state.m_pending.end(),
      [&pool](const auto& entry) { return entry.second.m_to == pool; }));
}

/// Whether jobs have arrived for long enough to show which pools they need.
bool HasObservedLoad(State& state, TimePoint now,
                     const std::vector<PoolLoad>& pools) {
  state.m_first_plan_at = std::min(state.m_first_plan_at, now);
  if (state.m_load_seen_at == TimePoint::max() &&
      std::any_of(pools.begin(), pools.end(), [](const PoolLoad& load) {
        return load.m_arrived_work > 0 || load.m_ready_work > 0 ||
               load.m_running_cores > 0;
      })) {
    state.m_load_seen_at = now;
  }
  return now - state.m_first_plan_at >= kMaxObservationTime ||
         (state.m_load_seen_at != TimePoint::max() &&
          now - state.m_load_seen_at >= kLoadObservationTime);
}

double CountEmpty(const std::vector<VmView>& vms, const PoolName& pool) {
  return static_cast<double>(
      std::count_if(vms.begin(), vms.end(), [&pool](const VmView& vm) {
        return vm.m_pool == pool && vm.m_movable && vm.m_is_serving;
      }));
}

/// Whether the list of VMs, which may lag by any time, shows the VM after the
/// move: in its pool with another worker, or when the move must be over.
bool ShowsMove(const Policy& policy, TimePoint now, const VmView& vm,
               const State::PendingMove& move) {
  return vm.m_pool == move.m_to && (vm.m_worker != move.m_worker_before ||
                                    now - move.m_since > policy.m_move_time);
}

void RefreshState(State& state, const Policy& policy, TimePoint now,
                  const std::vector<VmView>& vms) {
  std::map<VmName, TimePoint> idle;
  for (const VmView& vm : vms) {
    if (vm.m_movable) {
      const auto previous = state.m_idle_since.find(vm.m_name);
      idle[vm.m_name] =
          previous == state.m_idle_since.end() ? now : previous->second;
    }
  }
  state.m_idle_since = std::move(idle);
  std::map<VmName, const VmView*> views;
  for (const VmView& vm : vms) {
    views[vm.m_name] = &vm;
  }
  for (auto it = state.m_pending.begin(); it != state.m_pending.end();) {
    const State::PendingMove& move = it->second;
    const auto view = views.find(it->first);
    const bool is_shown =
        view != views.end() && ShowsMove(policy, now, *view->second, move);
    const bool arrived =
        is_shown && (view->second->m_is_serving || view->second->m_movable);
    if (!arrived && now - move.m_since <= kPendingTimeout) {
      ++it;
      continue;
    }
    if (move.m_is_accepted && !is_shown) {
      state.m_unshown[it->first] = move;
    }
    it = state.m_pending.erase(it);
  }
  std::erase_if(state.m_unshown, [&](const auto& entry) {
    const auto& [vm, move] = entry;
    const auto view = views.find(vm);
    return now - move.m_since > kUnshownTimeout ||
           (view != views.end() && ShowsMove(policy, now, *view->second, move));
  });
}

}  // namespace

std::vector<Move> PlanMoves(State& state, const Policy& policy, TimePoint now,
                            const std::vector<PoolLoad>& pools,
                            const std::vector<VmView>& vms) {
  RefreshState(state, policy, now, vms);
  std::map<PoolName, Balance> balances;
  PoolName standby;
  for (const PoolLoad& load : pools) {
    if (load.m_standby) {
      standby = load.m_name;
      continue;
    }
    Balance& balance = balances[load.m_name];
    balance.m_load = &load;
    balance.m_demand =
        UpdateDemand(state.m_histories[load.m_name], policy, now, load);
  }
  for (const VmView& vm : vms) {
    const auto found = balances.find(vm.m_pool);
    if (found != balances.end()) {
      found->second.m_vm_cores = std::max(found->second.m_vm_cores, vm.m_cores);
    }
  }
  for (const auto& [vm, pending] : state.m_pending) {
    const auto found = balances.find(pending.m_to);
    if (found != balances.end()) {
      found->second.m_incoming_cores += pending.m_cores;
    }
  }
  std::vector<Move> moves;
  std::set<VmName> planned;
  const auto add_move = [&](const VmView& vm, const PoolName& to) {
    planned.insert(vm.m_name);
    state.m_pending[vm.m_name] = {to, vm.m_cores, now, vm.m_worker, false};
    moves.push_back({vm.m_name, to});
  };
  const auto is_available = [&](const VmView& vm, const PoolName& to) {
    return vm.m_movable && vm.m_pool != to && !planned.contains(vm.m_name) &&
           !state.m_pending.contains(vm.m_name) &&
           !state.m_unshown.contains(vm.m_name) &&
           !state.m_incompatible.contains({vm.m_kind, to});
  };
  const auto is_from = [&](const VmView& vm, Source source) {
    const auto donor = balances.find(vm.m_pool);
    switch (source) {
      case Source::kStandby:
        return vm.m_pool == standby;
      case Source::kSurplus:
        return donor != balances.end() && donor->second.Surplus() >= vm.m_cores;
      case Source::kAny:
        return donor == balances.end() ||
               donor->second.m_load->m_unplaced_vms <= 0;
    }
    return false;
  };
  const auto take_from_donor = [&](const VmView& vm) {
    const auto donor = balances.find(vm.m_pool);
    if (donor != balances.end()) {
      donor->second.m_incoming_cores -= vm.m_cores;
    }
  };
  // Long-running tasks that fit nowhere come before a surge: they need few VMs,
  // and none would be left for them while the surge lasts.
  for (auto& [name, balance] : balances) {
    // Where an empty VM is there already, another one would not help.
    double missing = balance.m_load->m_unplaced_vms -
                     CountIncoming(state, name) - CountEmpty(vms, name);
    for (const Source source :
         {Source::kStandby, Source::kSurplus, Source::kAny}) {
      for (const VmView& vm : vms) {
        if (missing <= 0) {
          break;
        }
        if (!is_available(vm, name) || !is_from(vm, source)) {
          continue;
        }
        take_from_donor(vm);
        add_move(vm, name);
        balance.m_incoming_cores += vm.m_cores;
        missing -= 1;
      }
    }
  }
  std::vector<Balance*> short_pools;
  for (auto& [name, balance] : balances) {
    if (balance.Shortage() > 0) {
      short_pools.push_back(&balance);
    }
  }
  std::sort(short_pools.begin(), short_pools.end(), [](Balance* a, Balance* b) {
    return a->Shortage() > b->Shortage();
  });
  for (Balance* balance : short_pools) {
    for (const bool from_standby : {false, true}) {
      for (const VmView& vm : vms) {
        const PoolName& to = balance->m_load->m_name;
        if (balance->Shortage() <= vm.m_cores / 2) {
          break;
        }
        if (!is_available(vm, to) || (vm.m_pool == standby) != from_standby) {
          continue;
        }
        if (!from_standby && !is_from(vm, Source::kSurplus)) {
          continue;
        }
        take_from_donor(vm);
        add_move(vm, to);
        balance->m_incoming_cores += vm.m_cores;
      }
    }
  }
  if (standby.Empty() || !HasObservedLoad(state, now, pools)) {
    return moves;
  }
  for (const VmView& vm : vms) {
    const auto source = balances.find(vm.m_pool);
    if (source == balances.end() || !is_available(vm, standby) ||
        now - state.m_idle_since[vm.m_name] < kMinIdleTime ||
        source->second.Surplus() < vm.m_cores * 2) {
      continue;
    }
    source->second.m_incoming_cores -= vm.m_cores;
    add_move(vm, standby);
  }
  return moves;
}

double IncomingCores(const State& state, const PoolName& pool) {
  double cores = 0;
  for (const auto& [vm, pending] : state.m_pending) {
    cores += pending.m_to == pool ? pending.m_cores : 0;
  }
  return cores;
}

void HandleMoveResult(State& state, TimePoint now, const Move& move,
                      const std::string& kind, VmOrderResult result) {
  switch (result) {
    case VmOrderResult::kAccepted: {
      const auto pending = state.m_pending.find(move.m_vm);
      if (pending != state.m_pending.end()) {
        pending->second.m_since = now;
        pending->second.m_is_accepted = true;
      }
      break;
    }
    case VmOrderResult::kMalformed:
      state.m_incompatible.insert({kind, move.m_to});
      state.m_pending.erase(move.m_vm);
      break;
    case VmOrderResult::kUnknown:
      // The move may be under way. It will show in the VM list or time out.
      break;
    case VmOrderResult::kBusy:
    case VmOrderResult::kFenced:
    case VmOrderResult::kNotInWave:
    case VmOrderResult::kTryLater:
      state.m_pending.erase(move.m_vm);
      break;
  }
}

}  // namespace filbertspar::capacity
