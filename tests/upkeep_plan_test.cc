#include <catch2/catch.hpp>

#include "filbertspar/upkeep/upkeep.h"

namespace filbertspar::upkeep {
namespace {

constexpr TimePoint kStart{Seconds(100)};

VmRecord MakeVm(const std::string& name, const std::string& pool) {
  VmRecord vm;
  vm.m_name = VmName(name);
  vm.m_pool = PoolName(pool);
  vm.m_state = VmStatus::kUp;
  vm.m_worker = WorkerName("worker-of-" + name);
  return vm;
}

struct Fleet {
  State m_state;
  std::vector<VmRecord> m_vms;
  std::map<VmName, VmLoad> m_facts;
  TimePoint m_now = kStart;

  explicit Fleet(std::size_t count, std::uint32_t ceiling) {
    UpkeepWave wave;
    wave.m_number = 1;
    wave.m_duration = Seconds(30);
    wave.m_max_down = ceiling;
    for (std::size_t i = 0; i < count; ++i) {
      m_vms.push_back(MakeVm("m" + std::to_string(i), "p"));
      wave.m_vms.push_back(m_vms.back().m_name);
      m_facts[m_vms.back().m_name].m_is_empty = true;
    }
    UpdateWaves(m_state, m_now, {{1, wave}});
    List();
  }
  void List() { UpdateVms(m_state, m_now, m_now, m_vms); }
  Plan Next() {
    return MakePlan(m_state, m_now,
                    [this](const VmRecord& vm) { return m_facts[vm.m_name]; });
  }
};

// Guards against an upkeep that ends work on a worker that did not answer, and
// of which nothing is known.
TEST_CASE("a VM of which it is not known that it is empty is not taken down") {
  Fleet fleet(1, 1);
  fleet.m_facts[VmName("m0")].m_is_empty = false;
  for (int i = 0; i < 10; ++i) {
    CHECK(fleet.Next().m_orders.empty());
    fleet.m_now += Seconds(1);
  }
  fleet.m_facts[VmName("m0")].m_is_empty = true;
  CHECK(fleet.Next().m_orders.size() == 1);
}

// Guards against more VMs down than the wave allows, also when answers of
// orders are lost.
TEST_CASE("at most the ceiling's number of VMs are ordered at a time") {
  Fleet fleet(6, 2);
  fleet.Next();
  const Plan plan = fleet.Next();
  REQUIRE(plan.m_orders.size() == 2);
  for (const Plan::Order& order : plan.m_orders) {
    HandleOrderResult(fleet.m_state, fleet.m_now, 1, order.m_vm,
                      VmOrderResult::kUnknown);
  }
  fleet.m_now += Milliseconds(100);
  CHECK(fleet.Next().m_orders.empty());
  // The same two are asked again, no third one.
  fleet.m_now += Seconds(1);
  const Plan again = fleet.Next();
  REQUIRE(again.m_orders.size() == 2);
  CHECK(again.m_orders[0].m_vm == plan.m_orders[0].m_vm);
  CHECK(again.m_orders[1].m_vm == plan.m_orders[1].m_vm);
}

// Guards against a VM counted as back because of a list that lags.
TEST_CASE("a VM counts as down until a current list shows it up") {
  Fleet fleet(2, 1);
  fleet.Next();
  const Plan plan = fleet.Next();
  REQUIRE(plan.m_orders.size() == 1);
  HandleOrderResult(fleet.m_state, fleet.m_now, 1, plan.m_orders[0].m_vm,
                    VmOrderResult::kAccepted);
  fleet.m_now += Milliseconds(300);
  fleet.List();
  CHECK(fleet.Next().m_orders.empty());
  fleet.m_now += Seconds(3);
  fleet.List();
  fleet.Next();
  CHECK(fleet.Next().m_orders.size() == 1);
}

// Guards against a wave that is called complete while a VM of it is left, and
// one that never completes because a VM is gone for good.
TEST_CASE("a wave is complete when each VM that stays has begun") {
  Fleet fleet(2, 2);
  fleet.Next();
  CHECK_FALSE(IsComplete(fleet.m_state, fleet.m_state.m_waves[1], fleet.m_now));
  HandleOrderResult(fleet.m_state, fleet.m_now, 1, VmName("m0"),
                    VmOrderResult::kAccepted);
  CHECK_FALSE(IsComplete(fleet.m_state, fleet.m_state.m_waves[1], fleet.m_now));
  fleet.m_vms.pop_back();
  fleet.List();
  fleet.m_now += Seconds(6);
  fleet.List();
  CHECK(IsComplete(fleet.m_state, fleet.m_state.m_waves[1], fleet.m_now));
}

// Guards against most of a pool's VMs taken away at a time.
TEST_CASE("a busy pool keeps most of its VMs") {
  Fleet fleet(8, 8);
  for (auto& [vm, facts] : fleet.m_facts) {
    facts.m_is_empty = false;
    facts.m_used_share = 0.5;
  }
  CHECK(fleet.Next().m_draining.size() == 2);
}

// Guards against rows that a successor cannot read.
TEST_CASE("rows of waves and orders are read as written") {
  Fleet fleet(3, 3);
  HandleOrderResult(fleet.m_state, fleet.m_now, 1, VmName("m1"),
                    VmOrderResult::kAccepted);
  const auto done = DecodeDoneVms(EncodeDoneVms(fleet.m_state.m_waves[1]));
  REQUIRE(done.ok());
  CHECK(*done == std::vector<VmName>{VmName("m1")});
  const std::map<VmName, std::int64_t> orders{{VmName("m1"), 12345}};
  CHECK(*DecodeOrderTimes(EncodeOrderTimes(orders)) == orders);
  CHECK_FALSE(DecodeDoneVms("[]").ok());
  CHECK_FALSE(DecodeOrderTimes("{\"a\":\"b\"}").ok());
}

}  // namespace
}  // namespace filbertspar::upkeep
