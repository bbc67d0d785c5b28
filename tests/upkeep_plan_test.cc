#include <algorithm>
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

VmList MakeList(TimePoint requested_at, const std::vector<VmRecord>& vms) {
  VmList list;
  list.m_requested_at = requested_at;
  list.m_vms = vms;
  return list;
}

struct Fleet {
  State m_state;
  std::vector<VmRecord> m_vms;
  std::map<VmName, VmLoad> m_loads;
  TimePoint m_now = kStart;

  explicit Fleet(std::size_t count, std::uint32_t max_down) {
    UpkeepWave wave;
    wave.m_number = 1;
    wave.m_duration = Seconds(30);
    wave.m_max_down = max_down;
    for (std::size_t i = 0; i < count; ++i) {
      m_vms.push_back(MakeVm("m" + std::to_string(i), "p"));
      wave.m_vms.push_back(m_vms.back().m_name);
      m_loads[m_vms.back().m_name].m_is_empty = true;
    }
    UpdateWaves(m_state, m_now, {{1, wave}});
    UpdateList();
  }
  void UpdateList() { UpdateVms(m_state, MakeList(m_now, m_vms)); }
  void UpdateListWithout(const std::string& name) {
    std::vector<VmRecord> listed = m_vms;
    std::erase_if(listed, [&name](const VmRecord& vm) {
      return vm.m_name == VmName(name);
    });
    UpdateVms(m_state, MakeList(m_now, listed));
  }
  Wave& TheWave() { return m_state.m_waves[1]; }
  bool Complete() { return IsComplete(m_state, TheWave()); }
  /// Result of every order until the given time.
  void AnswerOrders(VmOrderResult result, Duration how_long) {
    for (const TimePoint end = m_now + how_long; m_now < end;
         m_now += Milliseconds(250)) {
      UpdateList();
      for (const Plan::Order& order : NextPlan().m_orders) {
        HandleOrderResult(m_state, m_now, order.m_wave, order.m_vm, result);
      }
    }
  }
  Plan NextPlan() {
    return MakePlan(m_state, m_now,
                    [this](const VmRecord& vm) { return m_loads[vm.m_name]; });
  }
};

// Guards against upkeep that kills tasks on a worker that did not answer, so
// that it is not known whether it is empty.
TEST_CASE("a VM is not taken down unless it is known to be empty") {
  Fleet fleet(1, 1);
  fleet.m_loads[VmName("m0")].m_is_empty = false;
  for (int i = 0; i < 10; ++i) {
    CHECK(fleet.NextPlan().m_orders.empty());
    fleet.m_now += Seconds(1);
  }
  fleet.m_loads[VmName("m0")].m_is_empty = true;
  CHECK(fleet.NextPlan().m_orders.size() == 1);
}

// Guards against more VMs down than the wave allows, also when the responses to
// orders are lost.
TEST_CASE("no more VMs are ordered at a time than the wave allows") {
  Fleet fleet(6, 2);
  fleet.NextPlan();
  const Plan plan = fleet.NextPlan();
  REQUIRE(plan.m_orders.size() == 2);
  for (const Plan::Order& order : plan.m_orders) {
    HandleOrderResult(fleet.m_state, fleet.m_now, 1, order.m_vm,
                      VmOrderResult::kUnknown);
  }
  fleet.m_now += Milliseconds(100);
  CHECK(fleet.NextPlan().m_orders.empty());
  // The orders for these two are repeated, and there is none for a third VM.
  fleet.m_now += Seconds(1);
  const Plan repeated = fleet.NextPlan();
  REQUIRE(repeated.m_orders.size() == 2);
  CHECK(repeated.m_orders[0].m_vm == plan.m_orders[0].m_vm);
  CHECK(repeated.m_orders[1].m_vm == plan.m_orders[1].m_vm);
}

// Guards against a VM that counts as up again because the VM list lags behind.
TEST_CASE("a VM counts as down until a current list shows it up") {
  Fleet fleet(2, 1);
  fleet.NextPlan();
  const Plan plan = fleet.NextPlan();
  REQUIRE(plan.m_orders.size() == 1);
  HandleOrderResult(fleet.m_state, fleet.m_now, 1, plan.m_orders[0].m_vm,
                    VmOrderResult::kAccepted);
  fleet.m_now += Milliseconds(300);
  fleet.UpdateList();
  CHECK(fleet.NextPlan().m_orders.empty());
  fleet.m_now += Seconds(3);
  fleet.UpdateList();
  fleet.NextPlan();
  CHECK(fleet.NextPlan().m_orders.size() == 1);
}

// Guards against a wave that is reported complete while the upkeep of a VM has
// not begun, and one that never completes because a VM no longer exists.
TEST_CASE("a wave is complete when all VMs that still exist have begun") {
  Fleet fleet(2, 2);
  fleet.NextPlan();
  CHECK_FALSE(IsComplete(fleet.m_state, fleet.m_state.m_waves[1]));
  HandleOrderResult(fleet.m_state, fleet.m_now, 1, VmName("m0"),
                    VmOrderResult::kAccepted);
  CHECK_FALSE(IsComplete(fleet.m_state, fleet.m_state.m_waves[1]));
  fleet.m_vms.pop_back();
  fleet.UpdateList();
  fleet.m_now += Seconds(6);
  fleet.UpdateList();
  CHECK(IsComplete(fleet.m_state, fleet.m_state.m_waves[1]));
}

// Guards against most of a pool's VMs being drained at a time.
TEST_CASE("a busy pool keeps most of its VMs") {
  Fleet fleet(8, 8);
  for (auto& [vm, load] : fleet.m_loads) {
    load.m_is_empty = false;
    load.m_used_share = 0.5;
  }
  CHECK(fleet.NextPlan().m_draining.size() == 2);
}

// Guards against rows that the next owner cannot read.
TEST_CASE("rows of waves and orders survive encoding and decoding") {
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

// Guards against a wave that is reported as completed by an owner that has read
// what was done and not yet what the wave is (review/further).
TEST_CASE("a wave of which only the progress is known is not complete") {
  State state;
  MarkDone(state, 1, {VmName("m0"), VmName("m1")});
  UpdateVms(state, MakeList(kStart, {MakeVm("m0", "p"), MakeVm("m2", "p")}));
  CHECK_FALSE(IsComplete(state, state.m_waves[1]));
  const Plan plan =
      MakePlan(state, kStart, [](const VmRecord&) { return VmLoad(); });
  CHECK(plan.m_draining.empty());
  UpkeepWave wave;
  wave.m_number = 1;
  wave.m_vms = {VmName("m0"), VmName("m1"), VmName("m2")};
  wave.m_max_down = 1;
  UpdateWaves(state, kStart, {{1, wave}});
  CHECK_FALSE(IsComplete(state, state.m_waves[1]));
  MarkDone(state, 1, {VmName("m2")});
  CHECK(IsComplete(state, state.m_waves[1]));
}

// Guards against orders of two holders within the lease time: the first order
// of a second owner dropped the times that the first had stored
// (review/further/holders.py).
TEST_CASE("the times of orders survive any number of owners") {
  constexpr std::int64_t kKeptMs = 3400;
  std::string row = EncodeOrderTimes({});
  for (int owner = 0; owner < 5; ++owner) {
    OrderTimes times;
    MergeOrderTimes(times, *DecodeOrderTimes(row));
    RecordOrderTime(times, VmName("m" + std::to_string(owner)), 500 * owner,
                    kKeptMs);
    row = EncodeOrderTimes(times);
  }
  const OrderTimes stored = *DecodeOrderTimes(row);
  REQUIRE(stored.size() == 5);
  CHECK(stored.at(VmName("m0")) == 0);
  OrderTimes times = stored;
  MergeOrderTimes(times, {{VmName("m0"), 900}, {VmName("m1"), 100}});
  CHECK(times.at(VmName("m0")) == 900);
  CHECK(times.at(VmName("m1")) == 500);
  RecordOrderTime(times, VmName("late"), 4000, kKeptMs);
  CHECK(times.size() == 5);
  CHECK_FALSE(times.contains(VmName("m1")));
}

// Guards against upkeep that a VM never has because it was absent for a while.
TEST_CASE("a VM that is listed again is still due for its upkeep") {
  Fleet fleet(2, 2);
  HandleOrderResult(fleet.m_state, fleet.m_now, 1, VmName("m0"),
                    VmOrderResult::kAccepted);
  for (int i = 0; i < 14; ++i) {
    fleet.m_now += Milliseconds(500);
    fleet.UpdateListWithout("m1");
    fleet.NextPlan();
  }
  CHECK(fleet.Complete());
  CHECK(*DecodeDoneVms(EncodeDoneVms(fleet.TheWave())) ==
        std::vector<VmName>{VmName("m0")});
  fleet.UpdateList();
  CHECK_FALSE(fleet.Complete());
  fleet.NextPlan();
  CHECK(fleet.NextPlan().m_orders.size() == 1);
}

// Guards against a removal that rests on one list before a gap or a pause.
TEST_CASE("one VM list does not show that a VM is gone") {
  Fleet fleet(1, 1);
  fleet.m_now += Milliseconds(500);
  fleet.UpdateListWithout("m0");
  fleet.m_now += Seconds(60);
  fleet.NextPlan();
  CHECK_FALSE(fleet.Complete());
  fleet.UpdateListWithout("m0");
  CHECK(fleet.Complete());
}

// Guards against VMs that are taken for removed because a row is unreadable.
TEST_CASE("a damaged list does not show that a VM is gone") {
  const bool has_name = GENERATE(true, false);
  Fleet fleet(2, 2);
  HandleOrderResult(fleet.m_state, fleet.m_now, 1, VmName("m0"),
                    VmOrderResult::kAccepted);
  VmList damaged = MakeList(fleet.m_now, {fleet.m_vms[0]});
  if (has_name) {
    damaged.m_invalid_vms.emplace_back("m1");
  } else {
    damaged.m_nameless_count = 1;
  }
  for (int i = 0; i < 20; ++i) {
    fleet.m_now += Milliseconds(500);
    damaged.m_requested_at = fleet.m_now;
    UpdateVms(fleet.m_state, damaged);
    fleet.NextPlan();
  }
  CHECK_FALSE(fleet.Complete());
  // Whole lists decide, also about a VM that was once in a damaged one.
  for (int i = 0; i < 14; ++i) {
    fleet.m_now += Milliseconds(500);
    fleet.UpdateListWithout("m1");
  }
  CHECK(fleet.Complete());
}

// Guards against completion while the platform does not know the wave yet.
TEST_CASE("a refused order does not stand for an upkeep") {
  const VmOrderResult result =
      GENERATE(VmOrderResult::kNotInWave, VmOrderResult::kMalformed);
  Fleet fleet(3, 2);
  fleet.AnswerOrders(result, Seconds(4));
  CHECK_FALSE(fleet.Complete());
  CHECK(DecodeDoneVms(EncodeDoneVms(fleet.TheWave()))->empty());
  fleet.AnswerOrders(VmOrderResult::kAccepted, Seconds(10));
  CHECK(fleet.Complete());
  CHECK(DecodeDoneVms(EncodeDoneVms(fleet.TheWave()))->size() == 3);
}

// Guards against a wave that never ends because of VMs that are not in it.
TEST_CASE("a VM that is refused for long does not hold the wave up") {
  Fleet fleet(5, 1);
  fleet.AnswerOrders(VmOrderResult::kNotInWave, Seconds(40));
  CHECK(fleet.Complete());
  CHECK(DecodeDoneVms(EncodeDoneVms(fleet.TheWave()))->empty());
  // The next owner asks again.
  CHECK_FALSE(Fleet(5, 1).Complete());
}

// Guards against completion while a listed VM is refused as unknown.
TEST_CASE("a VM that is listed is not gone, whatever an order says") {
  Fleet fleet(2, 1);
  fleet.AnswerOrders(VmOrderResult::kMalformed, Seconds(60));
  CHECK_FALSE(fleet.Complete());
  fleet.AnswerOrders(VmOrderResult::kAccepted, Seconds(30));
  CHECK(fleet.Complete());
}

// Guards against a wave that stays completed when VMs are added to it.
TEST_CASE("a completed wave with more VMs is running again") {
  Fleet fleet(2, 2);
  UpkeepWave smaller = fleet.TheWave().m_spec;
  const UpkeepWave larger = smaller;
  smaller.m_vms.pop_back();
  fleet.m_state.m_waves.clear();
  UpdateWaves(fleet.m_state, fleet.m_now, {{1, smaller}});
  fleet.AnswerOrders(VmOrderResult::kAccepted, Seconds(3));
  REQUIRE(StatusToStore(fleet.m_state, fleet.TheWave()) ==
          WaveStatus::kCompleted);
  fleet.TheWave().m_stored_status = WaveStatus::kCompleted;
  CHECK_FALSE(StatusToStore(fleet.m_state, fleet.TheWave()));
  UpdateWaves(fleet.m_state, fleet.m_now, {{1, larger}});
  CHECK(StatusToStore(fleet.m_state, fleet.TheWave()) == WaveStatus::kRunning);
  fleet.TheWave().m_stored_status = WaveStatus::kRunning;
  fleet.AnswerOrders(VmOrderResult::kAccepted, Seconds(3));
  CHECK(StatusToStore(fleet.m_state, fleet.TheWave()) ==
        WaveStatus::kCompleted);
}

// Guards against waits for, and orders to, VMs that were taken out of a wave.
TEST_CASE("a VM that left the definition is no part of the wave") {
  Fleet fleet(3, 1);
  fleet.NextPlan();
  const Plan plan = fleet.NextPlan();
  REQUIRE(plan.m_orders.size() == 1);
  UpkeepWave smaller = fleet.TheWave().m_spec;
  smaller.m_vms = {VmName("m1")};
  UpdateWaves(fleet.m_state, fleet.m_now, {{1, smaller}});
  // The order to m0 may be carried out.
  CHECK(fleet.NextPlan().m_orders.empty());
  HandleOrderResult(fleet.m_state, fleet.m_now, 1, VmName("m0"),
                    VmOrderResult::kAccepted);
  CHECK(fleet.NextPlan().m_orders.empty());
  fleet.m_now += Seconds(3);
  fleet.AnswerOrders(VmOrderResult::kAccepted, Seconds(3));
  CHECK(fleet.Complete());
  CHECK(*DecodeDoneVms(EncodeDoneVms(fleet.TheWave())) ==
        std::vector<VmName>{VmName("m0"), VmName("m1")});
}

// Guards against refusals that count for a definition they did not know.
TEST_CASE("a refusal does not outlive the definition of the wave") {
  Fleet fleet(1, 1);
  fleet.AnswerOrders(VmOrderResult::kNotInWave, Seconds(20));
  REQUIRE(fleet.Complete());
  UpkeepWave changed = fleet.TheWave().m_spec;
  changed.m_duration += Seconds(1);
  UpdateWaves(fleet.m_state, fleet.m_now, {{1, changed}});
  CHECK_FALSE(fleet.Complete());
  fleet.AnswerOrders(VmOrderResult::kAccepted, Seconds(3));
  CHECK(fleet.Complete());
}

// Guards against a completed wave of which no line says why.
TEST_CASE("the evidence for the status of a wave is described") {
  Fleet fleet(12, 2);
  CHECK(DescribeEvidence(fleet.m_state, fleet.TheWave()) ==
        "begun=0 removed=0 kept_out=0 open=12 removed_vms= kept_out_vms= "
        "open_vms=m0,m1,m10,m11,m2,m3,m4,m5");
  HandleOrderResult(fleet.m_state, fleet.m_now, 1, VmName("m3"),
                    VmOrderResult::kNotInWave);
  fleet.UpdateListWithout("m7");
  fleet.m_now += Seconds(6);
  fleet.UpdateListWithout("m7");
  HandleOrderResult(fleet.m_state, fleet.m_now, 1, VmName("m3"),
                    VmOrderResult::kNotInWave);
  for (const VmName& vm : fleet.TheWave().m_spec.m_vms) {
    if (vm != VmName("m3") && vm != VmName("m7")) {
      HandleOrderResult(fleet.m_state, fleet.m_now, 1, vm,
                        VmOrderResult::kAccepted);
    }
  }
  CHECK(DescribeEvidence(fleet.m_state, fleet.TheWave()) ==
        "begun=10 removed=1 kept_out=1 open=0 removed_vms=m7 kept_out_vms=m3 "
        "open_vms=");
  CHECK(fleet.Complete());
}

// Guards against a wave that waits for good for a VM that was down and is gone.
TEST_CASE("a VM that is removed while it is down frees its place") {
  const VmOrderResult result =
      GENERATE(VmOrderResult::kAccepted, VmOrderResult::kUnknown);
  Fleet fleet(2, 1);
  fleet.NextPlan();
  REQUIRE(fleet.NextPlan().m_orders.size() == 1);
  HandleOrderResult(fleet.m_state, fleet.m_now, 1, VmName("m0"), result);
  fleet.m_vms.erase(fleet.m_vms.begin());
  fleet.AnswerOrders(VmOrderResult::kAccepted, Seconds(4));
  CHECK_FALSE(fleet.Complete());
  fleet.AnswerOrders(VmOrderResult::kAccepted, Seconds(4));
  CHECK(fleet.Complete());
}

// Guards against more VMs down than allowed after a lost answer and a refusal.
TEST_CASE("an order that may have been carried out counts until it is known") {
  const VmOrderResult later =
      GENERATE(VmOrderResult::kTryLater, VmOrderResult::kBusy);
  Fleet fleet(2, 1);
  fleet.NextPlan();
  REQUIRE(fleet.NextPlan().m_orders.size() == 1);
  HandleOrderResult(fleet.m_state, fleet.m_now, 1, VmName("m0"),
                    VmOrderResult::kUnknown);
  fleet.m_now += Seconds(1);
  REQUIRE(fleet.NextPlan().m_orders.size() == 1);
  HandleOrderResult(fleet.m_state, fleet.m_now, 1, VmName("m0"), later);
  for (int i = 0; i < 6; ++i) {
    fleet.m_now += Milliseconds(500);
    fleet.UpdateListWithout("m0");
    CHECK(fleet.NextPlan().m_orders.empty());
  }
  fleet.AnswerOrders(VmOrderResult::kAccepted, Seconds(10));
  CHECK(fleet.Complete());
}

// Guards against a wave that is shown as completed after VMs were added to it,
// because a write without a response is applied late (MIXED).
TEST_CASE("a late status of a wave does not replace a newer one") {
  const StoreKey key{"status", "", "wave/1"};
  RowVersion version;
  std::string value;
  const auto apply = [&](const StoreTransaction& change) {
    StoreResponse response;
    response.m_result = StoreResult::kConflict;
    const bool holds = std::all_of(
        change.m_conditions.begin(), change.m_conditions.end(),
        [&](const auto& condition) {
          return condition.m_key == key && condition.m_version == version;
        });
    if (holds) {
      version = RowVersion(version.Value() + 1);
      value = change.m_writes.front().m_value;
      response.m_result = StoreResult::kDone;
      response.m_version = version;
    }
    return response;
  };
  Wave wave;
  wave.m_status_version = version;
  const StoreTransaction late = MakeStatusWrite(wave, key, "completed");
  HandleStatusWritten(wave, WaveStatus::kCompleted, StoreResponse());
  CHECK_FALSE(wave.m_status_version);
  CHECK_FALSE(wave.m_stored_status);
  wave.m_status_version = version;
  const StoreTransaction newer = MakeStatusWrite(wave, key, "running");
  HandleStatusWritten(wave, WaveStatus::kRunning, apply(newer));
  CHECK(wave.m_stored_status == WaveStatus::kRunning);
  CHECK(wave.m_status_version == version);
  CHECK(apply(late).m_result == StoreResult::kConflict);
  CHECK(value == "running");
}

}  // namespace
}  // namespace filbertspar::upkeep
