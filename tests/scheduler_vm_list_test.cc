#include <algorithm>
#include <catch2/catch.hpp>

#include "tests/scheduler_simulation.h"

namespace filbertspar::scheduler {
namespace {

VmList MakeList(TimePoint requested_at,
                const std::vector<std::string>& workers) {
  VmList list;
  list.m_requested_at = requested_at;
  for (const std::string& worker : workers) {
    VmRecord vm;
    vm.m_name = VmName("vm-of-" + worker);
    vm.m_state = VmStatus::kUp;
    vm.m_worker = WorkerName(worker);
    list.m_vms.push_back(vm);
  }
  return list;
}

bool IsExpected(const Scheduler& owner, const std::string& worker) {
  const std::vector<WorkerName> expected = ExpectedWorkers(owner);
  return std::find(expected.begin(), expected.end(), WorkerName(worker)) !=
         expected.end();
}

// Guards against tasks that run twice because a worker that has just joined is
// not in a list of VMs from before, and counts as gone.
TEST_CASE("a worker that no list has shown may run tasks") {
  Simulation simulation;
  simulation.AddWorker("old", "p", 8);
  simulation.AddWorker("new", "p", 8);
  simulation.RunFor(Milliseconds(100));
  REQUIRE(
      simulation.Submit(Simulation::MakeJob("job", "p", 4, Seconds(20), 4000)));
  simulation.RunFor(Milliseconds(500));
  // The next owner cannot reach it.
  simulation.m_workers[1]->m_is_unreachable = true;
  simulation.TakeOver();
  Scheduler& owner = *simulation.m_owner;
  for (int i = 0; i < 4; ++i) {
    HandleVmList(owner, simulation.m_now, MakeList(simulation.m_now, {"old"}));
    owner.m_expected_workers = ExpectedWorkers(owner);
    CHECK(IsExpected(owner, "old"));
    CHECK(IsExpected(owner, "new"));
    simulation.RunFor(Milliseconds(500));
    CHECK_FALSE(owner.m_inherited_resolved);
  }
  CHECK(simulation.m_max_concurrent_runs == 1);
}

// Guards against work that waits, after a take-over, for workers that left just
// before it and are still registered.
TEST_CASE("a list that shows a younger worker shows who has left") {
  Simulation simulation;
  const auto add = [&](const std::string& name, std::int64_t born_ms) {
    WorkerRecord record = simulation.AddWorker(name, "p", 8).m_record;
    record.m_incarnation = born_ms;
    RegisterWorker(*simulation.m_owner, simulation.m_now, record);
  };
  constexpr std::int64_t kBornMs = 1'700'000'000'000;
  add("former", kBornMs);
  add("peer", kBornMs + 1000);
  add("joined", kBornMs + 60'000);
  Scheduler& owner = *simulation.m_owner;
  const auto list = [&](const std::vector<std::string>& workers) {
    HandleVmList(owner, simulation.m_now, MakeList(simulation.m_now, workers));
  };
  // Clocks of machines differ by more than what lies between these two.
  list({"peer"});
  CHECK(IsExpected(owner, "former"));
  CHECK(IsExpected(owner, "joined"));
  add("successor", kBornMs + 30'000);
  list({"peer", "successor"});
  CHECK_FALSE(IsExpected(owner, "former"));
  CHECK(IsExpected(owner, "joined"));
}

// Guards against tasks that wait for the leases of a worker that has left.
TEST_CASE("a worker that was shown and is no more has left") {
  Simulation simulation;
  simulation.AddWorker("stays", "p", 8);
  simulation.AddWorker("leaves", "p", 8);
  Scheduler& owner = *simulation.m_owner;
  const auto list = [&](const std::vector<std::string>& workers) {
    return MakeList(simulation.m_now, workers);
  };
  HandleVmList(owner, simulation.m_now, list({"stays", "leaves"}));
  CHECK(IsExpected(owner, "leaves"));
  HandleVmList(owner, simulation.m_now, list({"stays"}));
  CHECK(HasLeftVms(owner, WorkerName("leaves")));
  CHECK_FALSE(IsExpected(owner, "leaves"));
  CHECK(IsExpected(owner, "stays"));
  SECTION("a damaged list proves no absence") {
    VmList damaged = list({"stays"});
    damaged.m_nameless_count = 1;
    HandleVmList(owner, simulation.m_now, damaged);
    CHECK(IsExpected(owner, "leaves"));
  }
  SECTION("a worker that is listed again is back") {
    HandleVmList(owner, simulation.m_now, list({"stays", "leaves"}));
    CHECK(IsExpected(owner, "leaves"));
  }
}

// Guards against a VM that is taken down, or moved, with ends that nobody has
// read.
TEST_CASE("a VM whose worker has unread ends is not empty") {
  Simulation simulation;
  simulation.m_max_listed_ends = 4;
  simulation.AddWorker("w1", "p", 8);
  simulation.RunFor(Milliseconds(100));
  REQUIRE(
      simulation.Submit(Simulation::MakeJob("job", "p", 8, Milliseconds(200))));
  simulation.RunFor(Milliseconds(100));
  simulation.m_store_is_down = true;
  simulation.RunFor(Milliseconds(400));
  REQUIRE(simulation.m_workers[0]->m_running.empty());
  REQUIRE(simulation.m_workers[0]->m_finished.size() == 8);
  // Tasks whose ends were not listed are placed there still; those of a new
  // owner are not.
  simulation.TakeOver();
  simulation.RunFor(Milliseconds(40));
  REQUIRE(simulation.m_owner->m_workers[0].m_tasks.empty());
  CHECK_FALSE(IsMachineEmpty(*simulation.m_owner, simulation.m_now, 0));
  simulation.m_store_is_down = false;
  simulation.RunFor(Seconds(1));
  CHECK(IsMachineEmpty(*simulation.m_owner, simulation.m_now, 0));
}

// Guards against a VM that is taken down by a list which shows its former
// worker, while the present one runs tasks.
TEST_CASE("runs on a worker that no VM is listed with may be on any VM") {
  Simulation simulation;
  simulation.AddWorker("listed", "p", 8);
  simulation.AddWorker("present", "p", 8);
  simulation.RunFor(Milliseconds(100));
  Scheduler& owner = *simulation.m_owner;
  HandleVmList(owner, simulation.m_now,
               MakeList(simulation.m_now, {"listed", "former"}));
  CHECK_FALSE(HasRunsOnUnlistedVms(owner));
  REQUIRE(
      simulation.Submit(Simulation::MakeJob("job", "p", 2, Seconds(20), 8000)));
  simulation.RunFor(Milliseconds(200));
  CHECK(HasRunsOnUnlistedVms(owner));
  HandleVmList(owner, simulation.m_now,
               MakeList(simulation.m_now, {"listed", "present"}));
  CHECK_FALSE(HasRunsOnUnlistedVms(owner));
}

}  // namespace
}  // namespace filbertspar::scheduler
