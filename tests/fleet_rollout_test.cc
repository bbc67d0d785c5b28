#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <memory>
#include <string>

#include "filbertspar/fleet/fleet.h"

namespace filbertspar {
namespace {

RolloutProblem RandomProblem(Rng& rng) {
  RolloutProblem problem;
  const std::uint64_t vms = 3 + rng.Below(6);
  const std::uint64_t pools = 1 + rng.Below(3);
  const std::uint64_t racks = 1 + rng.Below(4);
  const std::uint64_t zones = 1 + rng.Below(3);
  for (std::uint64_t budget = 0; budget < pools + racks + zones; ++budget) {
    problem.m_capacity.push_back(static_cast<std::int64_t>(1 + rng.Below(2)));
  }
  for (std::uint64_t vm = 0; vm < vms; ++vm) {
    problem.m_budgets_of.push_back(
        {static_cast<int>(rng.Below(pools)),
         static_cast<int>(pools + rng.Below(racks)),
         static_cast<int>(pools + racks + rng.Below(zones))});
    problem.m_rank.push_back(0);
  }
  return problem;
}

bool Fits(const RolloutProblem& problem, unsigned set) {
  std::vector<std::int64_t> room = problem.m_capacity;
  for (std::size_t vm = 0; vm < problem.m_budgets_of.size(); ++vm) {
    if ((set >> vm & 1U) != 0) {
      for (const int budget : problem.m_budgets_of[vm]) {
        if (--room[static_cast<std::size_t>(budget)] < 0) {
          return false;
        }
      }
    }
  }
  return true;
}

/// \brief Fewest rounds, by trying every set of VMs in every round.
int Optimum(const RolloutProblem& problem) {
  const unsigned all = (1U << problem.m_budgets_of.size()) - 1;
  std::vector<int> rounds(all + 1, 1000);
  rounds[0] = 0;
  for (unsigned done = 1; done <= all; ++done) {
    for (unsigned set = done; set != 0; set = (set - 1) & done) {
      if (rounds[done & ~set] + 1 < rounds[done] && Fits(problem, set)) {
        rounds[done] = rounds[done & ~set] + 1;
      }
    }
  }
  return rounds[all];
}

// Guards against an order that leaves the tightest budget for last.
TEST_CASE("roll-outs of small fleets come near the exhaustive optimum") {
  int planned = 0;
  int optimum = 0;
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    Rng rng(seed);
    const RolloutProblem problem = RandomProblem(rng);
    const std::vector<int> rounds = PlanRounds(problem);
    int last = 0;
    for (int round = 0; round < 20; ++round) {
      unsigned set = 0;
      for (std::size_t vm = 0; vm < rounds.size(); ++vm) {
        set |= rounds[vm] == round ? 1U << vm : 0U;
        last = std::max(last, rounds[vm] + 1);
      }
      CHECK(Fits(problem, set));
    }
    const int best = Optimum(problem);
    INFO("seed " << seed);
    CHECK(last <= best + 1);
    CHECK(RoundsLowerBound(problem) <= best);
    planned += last;
    optimum += best;
  }
  INFO("planned " << planned << " optimum " << optimum);
  CHECK(planned * 100 <= optimum * 105);
}

Catalogue SmallCatalogue() {
  Catalogue catalogue;
  catalogue.m_domains = {1, 2};
  for (const char* name : {"a", "b"}) {
    catalogue.m_pools.push_back({PoolName(name), 2, 2});
    CatalogueEntry entry;
    entry.m_name = EntryName(std::string("e-") + name);
    entry.m_pool = PoolName(name);
    entry.m_min_available = 3;
    catalogue.m_entries.push_back(entry);
  }
  return catalogue;
}

FleetView SmallFleet(const Catalogue& catalogue) {
  FleetView view;
  for (int vm = 0; vm < 10; ++vm) {
    VmRow row;
    row.m_name = VmName("v" + std::to_string(vm));
    row.m_pool = PoolName(vm % 2 == 0 ? "a" : "b");
    row.m_rack = RackName("r" + std::to_string(vm / 2));
    row.m_zone = ZoneName("z" + std::to_string(vm % 3));
    view.m_vms[row.m_name] = {row, RowVersion(1)};
  }
  for (auto& [key, row] : CountBudgets(view, catalogue)) {
    view.m_budgets[key] = {row, RowVersion(1)};
  }
  return view;
}

const TimePoint kNow(Seconds(1'780'000'000));

/// \brief Counts the rows anew, as if there were no budget rows.
bool NaiveAllows(const FleetView& view, const Catalogue& catalogue,
                 const VmName& vm) {
  FleetView after = view;
  after.m_vms[vm].m_row.m_state = VmState::kCordoned;
  const VmRow& row = after.m_vms[vm].m_row;
  for (const auto& [key, budget] : CountBudgets(after, catalogue)) {
    const bool counts = key == "pool:" + row.m_pool.Value() ||
                        key == "entry:e-" + row.m_pool.Value() ||
                        key == "rack:" + row.m_rack.Value() ||
                        key == "zone:" + row.m_zone.Value();
    if (counts && (budget.m_out > budget.m_max_out ||
                   budget.m_size - budget.m_out < budget.m_min_available)) {
      return false;
    }
  }
  return view.m_vms.at(vm).m_row.m_state == VmState::kInService;
}

// Guards against incremental counts that admit other drains than a recount
// would, over any order of drains, failures, moves, roll-backs and removals.
TEST_CASE("drains are admitted exactly when a recount allows them") {
  const Catalogue catalogue = SmallCatalogue();
  CHECK(rc::check([&] {
    FleetView view = SmallFleet(catalogue);
    std::uint64_t version = 1;
    const auto steps = *rc::gen::inRange(1, 40);
    for (int step = 0; step < steps; ++step) {
      auto vm = view.m_vms.begin();
      std::advance(vm, *rc::gen::inRange<std::size_t>(0, view.m_vms.size()));
      const VmRow row = vm->second.m_row;
      WriteRows write;
      const auto action = *rc::gen::inRange(0, 5);
      if (action <= 1) {
        const DrainRequest request{
            .m_vm = row.m_name,
            .m_purpose = action == 0 ? Purpose::kMaintain : Purpose::kMove,
            .m_target_pool = PoolName(row.m_pool.Value() == "a" ? "b" : "a")};
        const ChangePlan plan = PlanDrain(view, catalogue, kNow, request);
        if (action == 0) {
          RC_ASSERT(plan.Allowed() == NaiveAllows(view, catalogue, row.m_name));
        }
        RC_ASSERT(ExplainDrain(view, catalogue, kNow, request).Allowed() ==
                  plan.Allowed());
        RC_ASSERT(plan.Allowed() || !ToStatus(plan).ok());
        write = plan.m_write;
      } else if (action == 2) {
        write = PlanRollBack(view, kNow, row.m_name).m_write;
      } else {
        const auto event =
            static_cast<VmEvent>(*rc::gen::inRange(1, kVmEvents));
        if (const auto after = AfterEvent(row, kNow, event)) {
          Batch batch;
          RC_ASSERT(!Stage(batch, {view}, &row, &*after, Consent::kForced));
          write = ToWrite(batch, view);
        }
      }
      std::vector<RowVersion> versions;
      for (std::size_t at = 0; at < write.Size(); ++at) {
        versions.emplace_back(++version);
      }
      ApplyCommitted(view, write, versions);
      for (const auto& [key, budget] : CountBudgets(view, catalogue)) {
        RC_ASSERT(view.m_budgets.at(key).m_row == budget);
      }
      RC_ASSERT(CorrectBudgets(view, catalogue, 50).empty());
    }
  }));
}

// Guards against a wave that waits without saying which budget stops it.
TEST_CASE("a refused drain names every budget that stops it") {
  const Catalogue catalogue = SmallCatalogue();
  FleetView view = SmallFleet(catalogue);
  for (const char* name : {"v0", "v2"}) {
    view.m_vms[VmName(name)].m_row.m_state = VmState::kFailed;
  }
  for (auto& [key, row] : CountBudgets(view, catalogue)) {
    view.m_budgets[key].m_row = row;
  }
  const ChangePlan plan =
      PlanDrain(view, catalogue, kNow, {.m_vm = VmName("v4")});
  std::vector<std::string> budgets;
  for (const Blocker& blocker : plan.m_blockers) {
    CHECK(blocker.m_code == Code::kBudgetWouldBreak);
    budgets.push_back(blocker.m_budget);
  }
  CHECK(budgets == std::vector<std::string>{"pool:a", "entry:e-a"});
  const PlannedWave wave = ExplainWave(
      view, catalogue, kNow, {.m_name = "w", .m_started_ms = 1}, Seconds(300));
  CHECK(wave.m_drains.size() == 10);
  CHECK_FALSE(wave.m_end_ms);
  CHECK_FALSE(wave.m_blockers.empty());
}

// Guards against work of a waiting caller that a drain stops.
TEST_CASE("a drain stops or checkpoints overnight work only") {
  CatalogueEntry entry;
  entry.m_run_time = Seconds(100);
  for (const auto work_class : {WorkClass::kUrgent, WorkClass::kStandard}) {
    entry.m_class = work_class;
    entry.m_checkpointable = true;
    CHECK(DecideTask(&entry, Seconds(1), Seconds(0)) == TaskAction::kLetFinish);
  }
  entry.m_class = WorkClass::kOvernight;
  CHECK(DecideTask(&entry, Seconds(60), Seconds(40)) == TaskAction::kLetFinish);
  CHECK(DecideTask(&entry, Seconds(60), Seconds(39)) ==
        TaskAction::kCheckpoint);
  entry.m_checkpointable = false;
  CHECK(DecideTask(&entry, Seconds(60), Seconds(39)) == TaskAction::kStop);
  entry.m_repeatable = false;
  CHECK(DecideTask(&entry, Seconds(60), Seconds(39)) == TaskAction::kLetFinish);
  CHECK(DecideTask(nullptr, Seconds(60), Seconds(39)) ==
        TaskAction::kLetFinish);
}

}  // namespace
}  // namespace filbertspar
