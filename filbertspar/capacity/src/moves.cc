#include "filbertspar/capacity/src/moves.h"

#include <algorithm>
#include <cmath>

namespace filbertspar::capacity {
namespace {

/// Arrivals are averaged over this time; single large jobs count for little.
constexpr Duration kRateWindow = Seconds(2);
/// A rise of the rate within half of it counts once this many jobs came.
constexpr double kJobsOfRise = 6;
/// Shortest time over which arrivals are counted, and how many standard
/// deviations of the count are left out over times shorter than kRateWindow.
constexpr Duration kShortestWindow = Milliseconds(250);
constexpr double kDoubt = 1;
/// Demand of this long is kept in mind before VMs are given away.
constexpr Duration kDemandMemory = Milliseconds(1500);
/// Room kept above the demand, because tasks do not fill a worker evenly.
constexpr double kHeadroom = 1.1;
/// Room kept above the highest demand of late before a VM is given away.
constexpr double kKeepFactor = 1.15;
/// Largest rise that is foreseen, as a share of the newest rate: surges level
/// off, and a few large jobs look like one.
constexpr double kLargestRise = 0.35;
/// Share of its slack that waiting work may wait before VMs are called in.
constexpr double kSlackShare = 0.5;
constexpr double kLeastSlackSeconds = 0.4;
/// Asked for long-running tasks without a place: more than half a VM, so that
/// one comes at a time.
constexpr double kCoresForUnplaced = 1e3;
/// A VM is parked only after it was idle for this long; a move costs about as
/// much as a VM for this time.
constexpr Duration kIdleTime = Milliseconds(1000);
/// A list that was asked for this long after a move shows it.
constexpr Duration kListLag = Seconds(1);
/// A move that has not shown by then is forgotten.
constexpr Duration kPendingTime = Seconds(4);

State::Track::Arrivals Before(const State::Track& track, TimePoint when) {
  State::Track::Arrivals value = track.m_arrivals.front().second;
  for (const auto& [time, sample] : track.m_arrivals) {
    if (time > when) {
      break;
    }
    value = sample;
  }
  return value;
}

/// Jobs a second that came in the last `window`.
double JobRate(const State::Track& track, TimePoint now, Duration window,
               std::uint64_t jobs) {
  return static_cast<double>(jobs - Before(track, now - window).m_jobs) /
         ToSeconds(window);
}

/// Cores that the jobs take which come when a move that is ordered now is over.
/// The number of jobs tells a surge sooner and with less noise than their work,
/// of which a few large ones make most: each counts as a mean one.
double WorkRate(const State::Track& track, const Policy& policy, TimePoint now,
                const PoolLoad& load) {
  if (load.m_arrived_jobs == 0) {
    return 0;
  }
  const double work_of_job =
      load.m_arrived_work / static_cast<double>(load.m_arrived_jobs);
  double rate = JobRate(track, now, kRateWindow, load.m_arrived_jobs);
  for (Duration window = kRateWindow / 2; window >= kShortestWindow;
       window /= 2) {
    const double seen = JobRate(track, now, window, load.m_arrived_jobs);
    const double jobs = seen * ToSeconds(window);
    if (jobs >= kJobsOfRise) {
      rate = std::max(rate, seen * (1 - kDoubt / std::sqrt(jobs)));
    }
  }
  const Duration half = kRateWindow / 2;
  const double newer = JobRate(track, now, half, load.m_arrived_jobs);
  const double older =
      2 * JobRate(track, now, kRateWindow, load.m_arrived_jobs) - newer;
  if (newer * ToSeconds(half) >= kJobsOfRise && newer > older) {
    const double rise = (newer - older) / ToSeconds(half);
    rate = std::max(rate, newer + std::min(rise * ToSeconds(policy.m_move_time),
                                           newer * kLargestRise));
  }
  return rate * work_of_job;
}

/// Demand of a pool now and when a move that is ordered now is over.
struct Need {
  double m_now = 0;
  double m_soon = 0;
  double m_lately = 0;
};

Need NeedOf(State::Track& track, const Policy& policy, TimePoint now,
            const PoolLoad& load) {
  track.m_arrivals.emplace_back(
      now, State::Track::Arrivals{load.m_arrived_work, load.m_arrived_jobs});
  while (track.m_arrivals.front().first < now - kRateWindow * 2) {
    track.m_arrivals.pop_front();
  }
  Need need;
  need.m_now = load.m_running_cores + load.m_ready_cores;
  need.m_soon = WorkRate(track, policy, now, load);
  track.m_demand.emplace_back(now, std::max(load.m_running_cores, need.m_soon));
  while (track.m_demand.front().first < now - kDemandMemory) {
    track.m_demand.pop_front();
  }
  for (const auto& [time, demand] : track.m_demand) {
    need.m_lately = std::max(need.m_lately, demand);
  }
  return need;
}

struct Balance {
  const PoolLoad* m_load = nullptr;
  Need m_need;
  double m_incoming = 0;

  double Have() const { return std::max(1.0, m_load->m_cores + m_incoming); }

  /// Cores that would serve what waits and what comes in time.
  double Missing() const {
    const double coming = m_need.m_soon * kHeadroom - Have();
    const double slack =
        std::max(kLeastSlackSeconds, kSlackShare * ToSeconds(m_load->m_slack));
    double waiting = 0;
    if (m_load->m_ready_work > slack * Have()) {
      waiting = std::min(m_load->m_ready_work / slack,
                         m_need.m_now * kHeadroom - Have());
    }
    const double unplaced =
        m_load->m_unplaced_tasks > 0 && m_incoming <= 0 ? kCoresForUnplaced : 0;
    return std::max({0.0, coming, waiting, unplaced});
  }
  double Spare() const {
    return m_load->m_ready_work > kLeastSlackSeconds * Have() ||
                   m_load->m_unplaced_tasks > 0
               ? 0
               : Have() - m_need.m_lately * kKeepFactor;
  }
};

void RefreshIdle(State& state, TimePoint now, const std::vector<VmView>& vms) {
  std::map<VmName, TimePoint> idle;
  for (const VmView& vm : vms) {
    if (vm.m_movable) {
      const auto known = state.m_idle_since.find(vm.m_name);
      idle[vm.m_name] = known == state.m_idle_since.end() ? now : known->second;
    }
  }
  state.m_idle_since = std::move(idle);
  for (auto it = state.m_pending.begin(); it != state.m_pending.end();) {
    const bool arrived =
        now - it->second.m_since > kListLag &&
        std::any_of(vms.begin(), vms.end(), [&it](const VmView& vm) {
          return vm.m_name == it->first && vm.m_pool == it->second.m_to &&
                 (vm.m_is_serving || vm.m_movable);
        });
    it = arrived || now - it->second.m_since > kPendingTime
             ? state.m_pending.erase(it)
             : std::next(it);
  }
}

}  // namespace

std::vector<Move> PlanMoves(State& state, const Policy& policy, TimePoint now,
                            const std::vector<PoolLoad>& pools,
                            const std::vector<VmView>& vms) {
  RefreshIdle(state, now, vms);
  std::map<PoolName, Balance> balances;
  PoolName standby;
  for (const PoolLoad& load : pools) {
    if (load.m_standby) {
      standby = load.m_name;
      continue;
    }
    Balance& balance = balances[load.m_name];
    balance.m_load = &load;
    balance.m_need = NeedOf(state.m_tracks[load.m_name], policy, now, load);
  }
  for (const auto& [vm, pending] : state.m_pending) {
    const auto found = balances.find(pending.m_to);
    if (found != balances.end()) {
      found->second.m_incoming += pending.m_cores;
    }
  }
  std::vector<Move> moves;
  std::set<VmName> taken;
  const auto move = [&](const VmView& vm, const PoolName& to) {
    taken.insert(vm.m_name);
    state.m_pending[vm.m_name] = {to, vm.m_cores, now};
    moves.push_back({vm.m_name, to});
  };
  const auto is_free = [&](const VmView& vm, const PoolName& to) {
    return vm.m_movable && vm.m_pool != to && !taken.contains(vm.m_name) &&
           !state.m_pending.contains(vm.m_name) &&
           !state.m_barred.contains({vm.m_kind, to});
  };
  std::vector<Balance*> missing;
  for (auto& [name, balance] : balances) {
    if (balance.Missing() > 0) {
      missing.push_back(&balance);
    }
  }
  std::sort(missing.begin(), missing.end(),
            [](Balance* a, Balance* b) { return a->Missing() > b->Missing(); });
  for (Balance* balance : missing) {
    for (const bool from_standby : {false, true}) {
      for (const VmView& vm : vms) {
        const PoolName& to = balance->m_load->m_name;
        if (balance->Missing() <= vm.m_cores / 2) {
          break;
        }
        if (!is_free(vm, to) || (vm.m_pool == standby) != from_standby) {
          continue;
        }
        const auto donor = balances.find(vm.m_pool);
        if (donor != balances.end()) {
          if (donor->second.Spare() < vm.m_cores) {
            continue;
          }
          donor->second.m_incoming -= vm.m_cores;
        }
        move(vm, to);
        balance->m_incoming += vm.m_cores;
      }
    }
  }
  if (standby.Empty()) {
    return moves;
  }
  for (const VmView& vm : vms) {
    const auto owner = balances.find(vm.m_pool);
    if (owner == balances.end() || !is_free(vm, standby) ||
        now - state.m_idle_since[vm.m_name] < kIdleTime ||
        owner->second.Spare() < vm.m_cores * 2) {
      continue;
    }
    owner->second.m_incoming -= vm.m_cores;
    move(vm, standby);
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
    case VmOrderResult::kAccepted:
      state.m_pending[move.m_vm].m_since = now;
      break;
    case VmOrderResult::kMalformed:
      state.m_barred.insert({kind, move.m_to});
      state.m_pending.erase(move.m_vm);
      break;
    case VmOrderResult::kUnknown:
      // It may be under way; it shows in the list, or is forgotten in time.
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
