#include <algorithm>
#include <catch2/catch.hpp>

#include "filbertspar/capacity/capacity.h"

namespace filbertspar::capacity {
namespace {

constexpr double kVmCores = 16;

/// Pools of VMs whose load is set by the test; moves take effect at once.
struct Fleet {
  State m_state;
  Policy m_policy;
  TimePoint m_now{Seconds(100)};
  std::vector<VmView> m_vms;
  std::map<PoolName, PoolLoad> m_loads;

  void AddPool(const std::string& name, int vms, bool standby = false) {
    PoolLoad load;
    load.m_name = PoolName(name);
    load.m_standby = standby;
    m_loads[load.m_name] = load;
    for (int i = 0; i < vms; ++i) {
      VmView vm;
      vm.m_name = VmName(name + std::to_string(i));
      vm.m_pool = load.m_name;
      vm.m_kind = "a";
      vm.m_cores = kVmCores;
      vm.m_is_serving = true;
      vm.m_movable = true;
      m_vms.push_back(vm);
    }
  }

  std::size_t Size(const std::string& pool) const {
    return static_cast<std::size_t>(std::count_if(
        m_vms.begin(), m_vms.end(),
        [&](const VmView& vm) { return vm.m_pool == PoolName(pool); }));
  }

  std::size_t Run(Duration duration) {
    std::size_t moved = 0;
    for (const TimePoint end = m_now + duration; m_now < end;
         m_now += Milliseconds(250)) {
      std::vector<PoolLoad> loads;
      for (auto& [name, load] : m_loads) {
        load.m_cores = load.m_standby
                           ? 0
                           : kVmCores * static_cast<double>(Size(name.Value()));
        loads.push_back(load);
      }
      for (const Move& move :
           PlanMoves(m_state, m_policy, m_now, loads, m_vms)) {
        ++moved;
        HandleMoveResult(m_state, m_now, move, "a", VmOrderResult::kAccepted);
        for (VmView& vm : m_vms) {
          if (vm.m_name == move.m_vm) {
            vm.m_pool = move.m_to;
          }
        }
      }
    }
    return moved;
  }
};

// Guards against VMs that stay on, and are paid for, while nothing needs them.
TEST_CASE("idle VMs move to the standby pool, but not all of them") {
  Fleet fleet;
  fleet.AddPool("p", 9);
  fleet.AddPool("standby", 0, true);
  fleet.m_loads[PoolName("p")].m_arrived_work = 1;
  fleet.Run(Seconds(6));
  CHECK(fleet.Size("p") >= 1);
  CHECK(fleet.Size("p") <= 3);
}

// Guards against a first surge that meets pools which were emptied before any
// job had arrived, and against VMs that stay on when none ever does.
TEST_CASE("pools are kept until jobs have shown what they need") {
  Fleet fleet;
  fleet.AddPool("p", 9);
  fleet.AddPool("standby", 0, true);
  fleet.Run(Seconds(20));
  CHECK(fleet.Size("p") == 9);
  fleet.Run(Seconds(60));
  CHECK(fleet.Size("p") <= 3);
}

// Guards against a surge that is served by its own pool alone while VMs of
// other pools are idle. The load is five times the capacity of the pool.
TEST_CASE("VMs move to a pool during a surge and leave it afterwards") {
  Fleet fleet;
  fleet.AddPool("p", 4);
  fleet.AddPool("q", 12);
  fleet.AddPool("standby", 8, true);
  PoolLoad& surge = fleet.m_loads[PoolName("p")];
  surge.m_running_cores = 64;
  surge.m_ready_cores = 256;
  surge.m_ready_work = 256;
  surge.m_slack = Seconds(1);
  fleet.Run(Seconds(2));
  CHECK(fleet.Size("p") >= 18);
  surge.m_running_cores = surge.m_ready_cores = surge.m_ready_work = 0;
  fleet.Run(Seconds(8));
  CHECK(fleet.Size("p") <= 3);
}

/// Simulates jobs that arrive at a constant rate and take their work from
/// `works` in turn. Returns the largest number of VMs in the pool meanwhile.
std::size_t LargestPool(Fleet& fleet, int jobs_per_s,
                        const std::vector<double>& works, Duration duration) {
  PoolLoad& load = fleet.m_loads[PoolName("p")];
  std::size_t largest = 0;
  std::size_t next = 0;
  for (const TimePoint end = fleet.m_now + duration; fleet.m_now < end;) {
    for (int i = 0; i < jobs_per_s / 4; ++i) {
      load.m_arrived_work += works[next++ % works.size()];
      ++load.m_arrived_jobs;
    }
    fleet.Run(Milliseconds(250));
    largest = std::max(largest, fleet.Size("p"));
  }
  return largest;
}

// Guards against requesting VMs for a few large jobs among many small ones. The
// mean load needs 20 VMs; one job in sixteen is thirty times as large as the
// others.
TEST_CASE("a few large jobs do not look like a surge") {
  Fleet fleet;
  fleet.AddPool("p", 1);
  fleet.AddPool("standby", 60, true);
  std::vector<double> works(16, 320.0 / 16 / 46 * 16);
  works[0] *= 30;
  const std::size_t needed = 20;
  CHECK(LargestPool(fleet, 16, works, Seconds(10)) <= needed * 8 / 5);
  CHECK(fleet.Size("p") >= needed * 9 / 10);
}

// Guards against a small pool that is short whenever a few jobs come together:
// its mean load needs 4 VMs, and the number of jobs varies by a third.
TEST_CASE("a pool of few large jobs keeps a reserve") {
  Fleet fleet;
  fleet.AddPool("p", 1);
  fleet.AddPool("standby", 60, true);
  CHECK(LargestPool(fleet, 8, {8.0}, Seconds(10)) <= 8);
  CHECK(fleet.Size("p") >= 5);
}

// Guards against reacting to a surge a second too late: within half a second of
// its start most of the VMs that it needs must have been ordered.
TEST_CASE("a surge of many small jobs is detected within half a second") {
  Fleet fleet;
  fleet.AddPool("p", 1);
  fleet.AddPool("standby", 60, true);
  LargestPool(fleet, 4, {4.0}, Seconds(5));
  const std::size_t needed = 120 * 4 / 16;
  CHECK(LargestPool(fleet, 120, {4.0}, Milliseconds(500)) >= needed * 6 / 10);
}

// Guards against moving VMs back and forth for ready work that its pool can
// finish in time.
TEST_CASE("work that can wait causes no moves") {
  Fleet fleet;
  fleet.AddPool("p", 4);
  fleet.AddPool("q", 4);
  PoolLoad& load = fleet.m_loads[PoolName("p")];
  load.m_running_cores = 60;
  load.m_ready_cores = 40;
  load.m_ready_work = 40;
  load.m_slack = Seconds(4);
  CHECK(fleet.Run(Seconds(3)) == 0);
}

// Guards against a pool that releases the VMs that its long-running tasks need.
TEST_CASE("a pool with unplaced long-running tasks gets VMs") {
  Fleet fleet;
  fleet.AddPool("p", 1);
  fleet.AddPool("standby", 4, true);
  fleet.m_loads[PoolName("p")].m_unplaced_vms = 2;
  fleet.m_vms[0].m_movable = false;
  fleet.Run(Seconds(3));
  CHECK(fleet.Size("p") >= 3);
}

// Guards against long-running tasks that wait for as long as a surge elsewhere
// takes all VMs.
TEST_CASE("unplaced long-running tasks get VMs before a surge does") {
  Fleet fleet;
  fleet.AddPool("p", 1);
  fleet.AddPool("q", 1);
  fleet.AddPool("standby", 6, true);
  fleet.m_vms[0].m_movable = fleet.m_vms[1].m_movable = false;
  PoolLoad& surge = fleet.m_loads[PoolName("p")];
  surge.m_running_cores = 16;
  surge.m_ready_cores = surge.m_ready_work = 1000;
  fleet.m_loads[PoolName("q")].m_unplaced_vms = 3;
  fleet.Run(Milliseconds(250));
  CHECK(fleet.Size("q") == 4);
  CHECK(fleet.Size("p") == 4);
  fleet.m_loads[PoolName("q")].m_unplaced_vms = 0;
  fleet.Run(Seconds(1));
  CHECK(fleet.Size("q") == 4);
}

// Guards against ordering a move repeatedly that the pool rejects.
TEST_CASE("a kind of VM that a pool rejects is not moved there again") {
  Fleet fleet;
  fleet.AddPool("p", 1);
  fleet.AddPool("q", 4);
  PoolLoad& load = fleet.m_loads[PoolName("p")];
  load.m_ready_cores = load.m_ready_work = 100;
  std::vector<PoolLoad> loads;
  for (auto& [name, each] : fleet.m_loads) {
    each.m_cores = kVmCores;
    loads.push_back(each);
  }
  loads[1].m_cores = 4 * kVmCores;
  const auto first =
      PlanMoves(fleet.m_state, fleet.m_policy, fleet.m_now, loads, fleet.m_vms);
  REQUIRE_FALSE(first.empty());
  for (const Move& move : first) {
    HandleMoveResult(fleet.m_state, fleet.m_now, move, "a",
                     VmOrderResult::kMalformed);
  }
  fleet.m_now += Seconds(1);
  CHECK(
      PlanMoves(fleet.m_state, fleet.m_policy, fleet.m_now, loads, fleet.m_vms)
          .empty());
}

/// A VM of the standby pool whose move to "p" was accepted, in a fleet whose
/// list does not show it.
struct UnshownMove {
  Fleet m_fleet;

  UnshownMove() {
    m_fleet.AddPool("p", 1);
    m_fleet.AddPool("q", 1);
    m_fleet.AddPool("standby", 1, true);
    for (VmView& vm : m_fleet.m_vms) {
      vm.m_worker = WorkerName("worker-of-" + vm.m_name.Value());
      vm.m_movable = vm.m_pool == PoolName("standby");
    }
    m_fleet.m_loads[PoolName("p")].m_unplaced_vms = 1;
    const std::vector<Move> moves = Plan();
    REQUIRE(moves.size() == 1);
    HandleMoveResult(m_fleet.m_state, m_fleet.m_now, moves[0], "a",
                     VmOrderResult::kAccepted);
    m_fleet.m_loads[PoolName("p")].m_unplaced_vms = 0;
    m_fleet.m_loads[PoolName("q")].m_unplaced_vms = 1;
  }
  VmView& Moved() { return m_fleet.m_vms.back(); }
  std::vector<Move> Plan() {
    std::vector<PoolLoad> loads;
    for (auto& [name, load] : m_fleet.m_loads) {
      load.m_cores = load.m_standby ? 0 : kVmCores;
      loads.push_back(load);
    }
    return PlanMoves(m_fleet.m_state, m_fleet.m_policy, m_fleet.m_now, loads,
                     m_fleet.m_vms);
  }
  /// Number of moves planned within a time.
  std::size_t PlanFor(Duration duration) {
    std::size_t moves = 0;
    for (const TimePoint end = m_fleet.m_now + duration; m_fleet.m_now < end;
         m_fleet.m_now += Milliseconds(250)) {
      moves += Plan().size();
    }
    return moves;
  }
};

// Guards against a VM that is moved on, with the tasks that run on it by now,
// because the list still shows it idle where it was.
TEST_CASE("a VM is not moved by a list that is older than its last move") {
  UnshownMove unshown;
  CHECK(unshown.PlanFor(Seconds(30)) == 0);
  // Capacity that does not show counts no more as coming.
  CHECK(IncomingCores(unshown.m_fleet.m_state, PoolName("p")) == 0);
  unshown.Moved().m_pool = PoolName("p");
  unshown.Moved().m_worker = WorkerName("next");
  CHECK(unshown.PlanFor(Milliseconds(250)) == 1);
}

// Guards against a VM that is never moved again because no list has shown where
// it was for a while.
TEST_CASE("a move that no list shows is forgotten in the end") {
  UnshownMove unshown;
  CHECK(unshown.PlanFor(Seconds(59)) == 0);
  CHECK(unshown.PlanFor(Seconds(3)) == 1);
}

// Guards against a move that counts as over by a list from a time when the VM
// was in that pool before.
TEST_CASE("a move is over when the list shows another worker in the pool") {
  UnshownMove unshown;
  VmView& vm = unshown.Moved();
  unshown.m_fleet.m_now += Milliseconds(1200);
  vm.m_pool = PoolName("p");
  unshown.Plan();
  CHECK(IncomingCores(unshown.m_fleet.m_state, PoolName("p")) == kVmCores);
  vm.m_worker = WorkerName("next");
  unshown.Plan();
  CHECK(IncomingCores(unshown.m_fleet.m_state, PoolName("p")) == 0);
}

}  // namespace
}  // namespace filbertspar::capacity
