#include "filbertspar/fleet/src/wave.h"

#include <algorithm>
#include <map>
#include <utility>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/str_cat.h"
#include "filbertspar/fleet/src/blackout.h"

namespace filbertspar {
namespace {

constexpr std::size_t kMaxBlockers = 16;

/// \brief VMs that a budget can have out for maintenance at the same time.
std::int64_t Capacity(const BudgetRow& row, std::int64_t held) {
  return std::max<std::int64_t>(
      0, std::min(row.m_max_out, row.m_size - row.m_min_available) -
             row.m_failed - held);
}

bool IsHeld(const VmRow& row) {
  return IsOut(row) && row.m_state != VmState::kFailed &&
         row.m_purpose != Purpose::kMaintain && row.m_purpose != Purpose::kMove;
}

std::int64_t CeilDiv(std::int64_t a, std::int64_t b) { return (a + b - 1) / b; }

std::optional<std::int64_t> EndOfRounds(const std::vector<Blackout>& blackouts,
                                        std::int64_t now_ms,
                                        std::int64_t rounds,
                                        std::int64_t length_ms) {
  if (blackouts.empty()) {
    return now_ms + rounds * length_ms;
  }
  std::optional<std::int64_t> at = now_ms;
  for (std::int64_t round = 0; at && round < rounds; ++round) {
    at = NextOpen(blackouts, *at, length_ms);
    if (at) {
      *at += length_ms;
    }
  }
  return at;
}

std::vector<BudgetChange> ChangesOf(const Batch& batch, const FleetView& view) {
  std::vector<BudgetChange> changes;
  for (const auto& [key, row] : batch.m_budgets) {
    const auto before = view.m_budgets.find(key);
    if (before != view.m_budgets.end() && !(before->second.m_row == row)) {
      changes.push_back({key, before->second.m_row, row});
    }
  }
  return changes;
}

std::vector<const VmRow*> PendingOf(const FleetView& view,
                                    const WaveRow& wave) {
  std::vector<const VmRow*> pending;
  for (const auto& [name, vm] : view.m_vms) {
    if (IsPending(wave, vm.m_row)) {
      pending.push_back(&vm.m_row);
    }
  }
  return pending;
}

}  // namespace

void AddBlocker(std::vector<Blocker>& blockers, Blocker blocker) {
  const bool known =
      std::any_of(blockers.begin(), blockers.end(), [&](const Blocker& other) {
        return blocker.m_budget.empty() ? other.m_text == blocker.m_text
                                        : other.m_budget == blocker.m_budget;
      });
  if (!known && blockers.size() < kMaxBlockers) {
    blockers.push_back(std::move(blocker));
  }
}

bool IsPending(const WaveRow& wave, const VmRow& vm) {
  return vm.m_last_maintained_ms < wave.m_started_ms &&
         (wave.m_pool.Empty() || wave.m_pool == vm.m_pool);
}

RolloutProblem ProblemOf(const FleetView& view,
                         const std::vector<const VmRow*>& pending) {
  RolloutProblem problem;
  absl::flat_hash_map<std::string, std::int64_t> held;
  for (const auto& [name, vm] : view.m_vms) {
    if (IsHeld(vm.m_row)) {
      for (std::string& key : BudgetsOf(view, vm.m_row)) {
        ++held[std::move(key)];
      }
    }
  }
  absl::flat_hash_map<std::string, int> index;
  for (const VmRow* vm : pending) {
    std::vector<int> budgets;
    for (std::string& key : BudgetsOf(view, *vm)) {
      const auto row = view.m_budgets.find(key);
      if (row == view.m_budgets.end()) {
        continue;
      }
      const auto [at, added] =
          index.try_emplace(key, static_cast<int>(problem.m_capacity.size()));
      if (added) {
        const auto found = held.find(key);
        problem.m_capacity.push_back(Capacity(
            row->second.m_row, found == held.end() ? 0 : found->second));
      }
      budgets.push_back(at->second);
    }
    problem.m_budgets_of.push_back(std::move(budgets));
    problem.m_rank.push_back(0);
  }
  return problem;
}

std::optional<std::int64_t> EstimateEnd(
    const FleetView& view, const Catalogue& catalogue,
    const std::vector<const VmRow*>& pending, TimePoint now,
    Duration expected) {
  const RolloutProblem problem = ProblemOf(view, pending);
  std::vector<std::int64_t> work(problem.m_capacity.size(), 0);
  std::map<PoolName, int> pool_budget;
  for (std::size_t vm = 0; vm < pending.size(); ++vm) {
    const std::vector<int>& budgets = problem.m_budgets_of[vm];
    for (const int budget : budgets) {
      ++work[static_cast<std::size_t>(budget)];
    }
    if (!budgets.empty()) {
      pool_budget[pending[vm]->m_pool] = budgets.front();
    }
  }
  const std::int64_t now_ms = UtcMilliseconds(now);
  const std::int64_t length_ms = ToMilliseconds(expected);
  std::int64_t end_ms = now_ms;
  for (std::size_t budget = 0; budget < work.size(); ++budget) {
    if (problem.m_capacity[budget] < 1) {
      return std::nullopt;
    }
    end_ms = std::max(
        end_ms,
        now_ms + length_ms * CeilDiv(work[budget], problem.m_capacity[budget]));
  }
  for (const auto& [pool, budget] : pool_budget) {
    const auto at = static_cast<std::size_t>(budget);
    const auto end =
        EndOfRounds(BlackoutsOf(catalogue, pool), now_ms,
                    CeilDiv(work[at], problem.m_capacity[at]), length_ms);
    if (!end) {
      return std::nullopt;
    }
    end_ms = std::max(end_ms, *end);
  }
  return end_ms;
}

PlannedWave ExplainWave(const FleetView& view, const Catalogue& catalogue,
                        TimePoint now, const WaveRow& wave, Duration expected) {
  PlannedWave plan;
  const std::vector<const VmRow*> pending = PendingOf(view, wave);
  const RolloutProblem problem = ProblemOf(view, pending);
  const std::vector<int> rounds = PlanRounds(problem);
  const std::int64_t length_ms = ToMilliseconds(expected);
  std::vector<std::pair<int, std::size_t>> order;
  std::map<PoolName, std::vector<Blackout>> blackouts;
  for (std::size_t vm = 0; vm < pending.size(); ++vm) {
    order.emplace_back(
        rounds[vm] < 0 ? static_cast<int>(pending.size()) : rounds[vm], vm);
    blackouts.try_emplace(pending[vm]->m_pool,
                          BlackoutsOf(catalogue, pending[vm]->m_pool));
  }
  std::sort(order.begin(), order.end());
  for (const auto& [round, vm] : order) {
    const VmRow& row = *pending[vm];
    std::optional<std::int64_t> end;
    if (rounds[vm] >= 0) {
      end = EndOfRounds(blackouts[row.m_pool], UtcMilliseconds(now), round + 1,
                        length_ms);
    }
    plan.m_drains.push_back(
        {row.m_name, end ? std::optional(*end - length_ms) : std::nullopt});
    if (row.m_state == VmState::kInService) {
      const ChangePlan drain = PlanDrain(
          view, catalogue, now, {.m_vm = row.m_name, .m_expected = expected});
      for (const Blocker& blocker : drain.m_blockers) {
        AddBlocker(plan.m_blockers, blocker);
      }
    }
  }
  plan.m_end_ms = EstimateEnd(view, catalogue, pending, now, expected);
  return plan;
}

Explanation ExplainDrain(const FleetView& view, const Catalogue& catalogue,
                         TimePoint now, const DrainRequest& request) {
  Explanation explanation;
  explanation.m_blockers = PlanDrain(view, catalogue, now, request).m_blockers;
  const auto found = view.m_vms.find(request.m_vm);
  if (found == view.m_vms.end()) {
    return explanation;
  }
  const VmRow& before = found->second.m_row;
  const auto out = AfterEvent(before, now, VmEvent::kAdmit, request);
  if (!out) {
    return explanation;
  }
  Batch batch;
  Stage(batch, {view}, &before, &*out, Consent::kForced);
  explanation.m_while_out = ChangesOf(batch, view);
  if (request.m_purpose == Purpose::kMove) {
    VmRow moved = before;
    moved.m_pool = request.m_target_pool;
    Batch after;
    if (auto blocker =
            Stage(after, {view}, &before, &moved, Consent::kVoluntary)) {
      AddBlocker(explanation.m_blockers, *std::move(blocker));
    }
    explanation.m_after = ChangesOf(after, view);
  }
  return explanation;
}

}  // namespace filbertspar
