#include <algorithm>
#include <map>
#include <tuple>
#include <utility>

#include "absl/container/flat_hash_set.h"
#include "absl/strings/str_cat.h"
#include "filbertspar/fleet/src/blackout.h"
#include "filbertspar/fleet/src/round.h"
#include "filbertspar/fleet/src/wave.h"

namespace filbertspar::internal {
namespace {

/// \brief The 4-week cycle as a wave of an empty name: a VM is pending from
/// `lead` before it is due.
WaveRow CycleWave(const Round& round) {
  const PlannerSettings& settings = round.m_planner.m_settings;
  return {.m_started_ms = UtcMilliseconds(round.m_now) -
                          ToMilliseconds(settings.m_cycle - settings.m_lead)};
}

/// \brief A wave and what it has left to do.
struct WaveWork {
  WaveRow m_wave;
  WaveStatus m_status;
  std::vector<const VmRow*> m_pending;
};

/// \brief Waves that may admit drains, the operators' first.
std::vector<WaveWork> CollectWork(const Round& round) {
  std::vector<WaveWork> work;
  for (const auto& [name, wave] : round.m_planner.m_view.m_waves) {
    if (wave.m_row.m_state == WaveState::kRunning ||
        wave.m_row.m_state == WaveState::kPaused) {
      work.push_back({wave.m_row, {.m_wave = name}, {}});
    }
  }
  if (round.m_planner.m_settings.m_maintain_cycle) {
    work.push_back({CycleWave(round), {}, {}});
  }
  for (const auto& [name, vm] : round.m_planner.m_view.m_vms) {
    const VmRow& row = vm.m_row;
    for (WaveWork& wave : work) {
      if (!wave.m_wave.m_pool.Empty() && wave.m_wave.m_pool != row.m_pool) {
        continue;
      }
      ++wave.m_status.m_total;
      if (!IsPending(wave.m_wave, row)) {
        ++wave.m_status.m_done;
        continue;
      }
      wave.m_pending.push_back(&row);
      if (IsOut(row) && row.m_wave == wave.m_wave.m_name &&
          row.m_purpose == Purpose::kMaintain) {
        ++wave.m_status.m_under_way;
      }
    }
  }
  return work;
}

/// \brief Share of a pool's slots that may be busy after a drain; more when the
/// deployment weighs roll-out time higher than nearness.
double BusyBound(const Weights& weights) {
  const double sum = weights.m_rollout + weights.m_nearness;
  const double lean =
      sum > 0 ? (weights.m_rollout - weights.m_nearness) / sum : 0.0;
  return std::clamp(0.85 + 0.1 * lean, 0.7, 0.95);
}

struct PoolState {
  std::int64_t m_slots = 0;
  std::optional<std::int64_t> m_blackout_end;
};

std::map<PoolName, PoolState> PoolStates(const Round& round) {
  std::map<PoolName, PoolState> pools;
  for (const auto& [name, vm] : round.m_planner.m_view.m_vms) {
    const auto [at, added] = pools.try_emplace(vm.m_row.m_pool);
    if (added) {
      at->second.m_blackout_end = BlackoutEnd(
          BlackoutsOf(*round.m_planner.m_catalogue, vm.m_row.m_pool),
          UtcMilliseconds(round.m_now),
          ToMilliseconds(ExpectedMaintenance(round.m_planner)));
    }
    if (vm.m_row.m_state == VmState::kInService) {
      at->second.m_slots += vm.m_row.m_capacity.m_slots.Count();
    }
  }
  return pools;
}

/// \brief Reason besides budgets that keeps a VM in service.
std::optional<Blocker> Unsuitable(Round& round, const VmRow& row,
                                  const PoolState& pool, double busy_bound) {
  if (pool.m_blackout_end) {
    return Blocker{
        Code::kWaveBlocked, "",
        absl::StrCat("pool \"", row.m_pool.Value(), "\" has a blackout until ",
                     *pool.m_blackout_end)};
  }
  const auto load = round.m_planner.m_loads.find(row.m_pool);
  if (load == round.m_planner.m_loads.end()) {
    return std::nullopt;
  }
  const std::int64_t due_ms =
      row.m_last_maintained_ms +
      ToMilliseconds(round.m_planner.m_settings.m_cycle);
  const bool urgent = due_ms - UtcMilliseconds(round.m_now) <
                      ToMilliseconds(round.m_planner.m_settings.m_urgent);
  const std::int64_t left = pool.m_slots - row.m_capacity.m_slots.Count();
  if (!urgent && static_cast<double>(load->second) >
                     busy_bound * static_cast<double>(left)) {
    return Blocker{Code::kWaveBlocked, "",
                   absl::StrCat("pool \"", row.m_pool.Value(),
                                "\" is busy and waits for a trough")};
  }
  return std::nullopt;
}

bool MayLeave(Round& round, const VmRow& row) {
  const auto watch = round.m_planner.m_watches.find(row.m_name);
  return row.m_state == VmState::kInService &&
         (watch == round.m_planner.m_watches.end() ||
          (!watch->second.m_silent_since &&
           watch->second.m_not_before <= round.m_now)) &&
         !round.m_batch.m_vms.contains(row.m_name);
}

std::int64_t RunningOn(const Round& round, const VmName& vm) {
  const auto watch = round.m_planner.m_watches.find(vm);
  return watch == round.m_planner.m_watches.end()
             ? 0
             : watch->second.m_last.m_running;
}

/// \brief Idle VMs come first, then those due first. A VM that is overdue
/// comes before idle ones.
void Rank(const Round& round, const std::vector<const VmRow*>& pending,
          RolloutProblem& problem) {
  const std::int64_t urgent_before =
      UtcMilliseconds(round.m_now) -
      ToMilliseconds(round.m_planner.m_settings.m_cycle -
                     round.m_planner.m_settings.m_urgent);
  std::vector<std::size_t> order(pending.size());
  for (std::size_t vm = 0; vm < order.size(); ++vm) {
    order[vm] = vm;
  }
  const auto key = [&](std::size_t vm) {
    const VmRow& row = *pending[vm];
    return std::tuple(row.m_last_maintained_ms >= urgent_before,
                      RunningOn(round, row.m_name), row.m_last_maintained_ms);
  };
  std::sort(order.begin(), order.end(),
            [&](std::size_t a, std::size_t b) { return key(a) < key(b); });
  for (std::size_t rank = 0; rank < order.size(); ++rank) {
    // Equal work ranks equally, so that the domains decide between idle VMs.
    const bool same =
        rank > 0 &&
        std::get<0>(key(order[rank])) == std::get<0>(key(order[rank - 1])) &&
        std::get<1>(key(order[rank])) == std::get<1>(key(order[rank - 1]));
    problem.m_rank[order[rank]] = same ? problem.m_rank[order[rank - 1]]
                                       : static_cast<std::int64_t>(rank);
  }
}

void AdmitWave(Round& round, WaveWork& work,
               const std::map<PoolName, PoolState>& pools, double busy_bound) {
  RolloutProblem problem = ProblemOf(round.m_planner.m_view, work.m_pending);
  Rank(round, work.m_pending, problem);
  // A budget that refused one VM in this round refuses the others too.
  absl::flat_hash_set<std::string> full;
  for (const int index :
       RolloutOrder(problem, std::vector<char>(work.m_pending.size(), 1))) {
    const VmRow& row = *work.m_pending[static_cast<std::size_t>(index)];
    if (!MayLeave(round, row)) {
      continue;
    }
    if (auto blocker =
            Unsuitable(round, row, pools.at(row.m_pool), busy_bound)) {
      AddBlocker(work.m_status.m_blockers, *std::move(blocker));
      continue;
    }
    const std::vector<std::string> keys =
        BudgetsOf(round.m_planner.m_view, row);
    if (std::any_of(keys.begin(), keys.end(),
                    [&full](const auto& key) { return full.contains(key); })) {
      continue;
    }
    const auto after = AfterEvent(row, round.m_now, VmEvent::kAdmit,
                                  {.m_vm = row.m_name,
                                   .m_purpose = Purpose::kMaintain,
                                   .m_wave = work.m_wave.m_name});
    auto blocker = StageChange(round, row, &*after, Consent::kVoluntary);
    if (!blocker) {
      ++work.m_status.m_under_way;
    } else if (blocker->m_code != Code::kPlatformUnsettled) {
      if (!blocker->m_budget.empty()) {
        full.insert(blocker->m_budget);
      }
      AddBlocker(work.m_status.m_blockers, *std::move(blocker));
    }
  }
}

void ReportStatus(Round& round, const WaveWork& work) {
  WaveStatus& last = round.m_planner.m_reported[work.m_wave.m_name];
  WaveStatus comparable = work.m_status;
  // The expected end drifts by a little every round; only a change of more
  // than a minute is worth a report.
  constexpr std::int64_t kDriftMs = 60'000;
  if (comparable.m_end_ms && last.m_end_ms &&
      std::abs(*comparable.m_end_ms - *last.m_end_ms) < kDriftMs) {
    comparable.m_end_ms = last.m_end_ms;
  }
  if (!(comparable == last)) {
    last = work.m_status;
    round.m_effects.emplace_back(ReportWave{work.m_status});
  }
}

void FinishWave(Round& round, const WaveWork& work) {
  Planner& planner = round.m_planner;
  const auto wave = planner.m_view.m_waves.find(work.m_wave.m_name);
  if (wave == planner.m_view.m_waves.end() ||
      planner.m_locked.contains(LockKey(kWaveTable, work.m_wave.m_name))) {
    return;
  }
  WriteRows write;
  write.m_id = planner.m_next_write++;
  write.m_waves.push_back({wave->second.m_row, wave->second.m_version, false});
  write.m_waves.back().m_row.m_state = WaveState::kDone;
  Lock(planner.m_locked, write);
  planner.m_in_flight[write.m_id] = write;
  round.m_effects.emplace_back(std::move(write));
}

/// \brief Stages a move of the idlest VM that may go; the first blocker when
/// none may.
std::optional<Blocker> AdmitMove(Round& round, const MoveRequest& move) {
  std::vector<const VmRow*> candidates;
  for (const auto& [name, vm] : round.m_planner.m_view.m_vms) {
    if (vm.m_row.m_pool == move.m_from && MayLeave(round, vm.m_row)) {
      candidates.push_back(&vm.m_row);
    }
  }
  std::sort(candidates.begin(), candidates.end(),
            [&](const VmRow* a, const VmRow* b) {
              return std::tuple(RunningOn(round, a->m_name), a->m_name) <
                     std::tuple(RunningOn(round, b->m_name), b->m_name);
            });
  std::optional<Blocker> first;
  for (const VmRow* row : candidates) {
    const DrainRequest request{
        .m_vm = row->m_name,
        .m_purpose = Purpose::kMove,
        .m_target_pool = move.m_to,
        .m_expected = ExpectedMaintenance(round.m_planner)};
    const std::vector<Blocker> blockers =
        DrainBlockers(round.m_planner.m_view, *round.m_planner.m_catalogue,
                      round.m_now, request);
    std::optional<Blocker> blocker;
    if (!blockers.empty()) {
      blocker = blockers.front();
    } else {
      const auto after =
          AfterEvent(*row, round.m_now, VmEvent::kAdmit, request);
      blocker = StageChange(round, *row, &*after, Consent::kVoluntary);
    }
    if (!blocker) {
      return std::nullopt;
    }
    if (!first || blocker->m_code == Code::kPlatformUnsettled) {
      first = std::move(blocker);
    }
  }
  return first ? first
               : Blocker{Code::kMoveRefused, "",
                         absl::StrCat("no VM of pool \"", move.m_from.Value(),
                                      "\" may leave")};
}

}  // namespace

void AdmitMoves(Round& round) {
  std::deque<MoveRequest> waiting;
  std::swap(waiting, round.m_planner.m_moves);
  // One move per round and pool, so that each is judged by rows that count
  // the one before.
  std::map<PoolName, int> moved;
  for (const MoveRequest& move : waiting) {
    if (moved[move.m_from]++ > 0 ||
        round.m_recent_failures >= round.m_planner.m_settings.m_burst) {
      round.m_planner.m_moves.push_back(move);
      continue;
    }
    const auto blocker = AdmitMove(round, move);
    if (blocker && blocker->m_code == Code::kPlatformUnsettled) {
      round.m_planner.m_moves.push_back(move);
    } else if (blocker) {
      Notify(round, Code::kMoveRefused, VmName(),
             absl::StrCat("move from \"", move.m_from.Value(), "\" to \"",
                          move.m_to.Value(), "\": ", blocker->m_text));
    }
  }
}

void AdmitWaves(Round& round) {
  const std::map<PoolName, PoolState> pools = PoolStates(round);
  const double busy_bound = BusyBound(round.m_planner.m_catalogue->m_weights);
  for (WaveWork& work : CollectWork(round)) {
    if (work.m_pending.empty()) {
      work.m_status.m_end_ms.reset();
      FinishWave(round, work);
    } else if (round.m_recent_failures >= round.m_planner.m_settings.m_burst) {
      work.m_status.m_blockers.push_back(
          {Code::kWaveBlocked, "",
           absl::StrCat("paused: ", round.m_recent_failures,
                        " VMs failed or fell silent lately")});
    } else if (work.m_wave.m_state == WaveState::kPaused) {
      work.m_status.m_blockers.push_back(
          {Code::kWaveBlocked, "", "paused by an operator"});
    } else {
      AdmitWave(round, work, pools, busy_bound);
    }
    if (!work.m_pending.empty()) {
      work.m_status.m_end_ms = EstimateEnd(
          round.m_planner.m_view, *round.m_planner.m_catalogue, work.m_pending,
          round.m_now, ExpectedMaintenance(round.m_planner));
    }
    ReportStatus(round, work);
  }
}

}  // namespace filbertspar::internal
