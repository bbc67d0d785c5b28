#include "filbertspar/node/src/vm_manager.h"

#include <algorithm>
#include <set>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "boost/asio/co_spawn.hpp"
#include "boost/asio/detached.hpp"
#include "filbertspar/node/src/clock.h"
#include "filbertspar/node/src/metric_names.h"
#include "platform/platform.h"

namespace filbertspar {
namespace {

constexpr const char* kOrderTable = "filbertspar_vm_orders";
constexpr const char* kOrderKey = "lately";
constexpr Duration kRoundPeriod = Milliseconds(250);
constexpr Duration kListPeriod = Seconds(2);
constexpr Duration kBusyListPeriod = Milliseconds(500);
/// From the end of a move until the worker has registered and been polled.
constexpr Duration kJoinTime = Milliseconds(300);
constexpr Duration kListTimeout = Seconds(1);
/// Fraction of the shared order rate that the owner uses.
constexpr double kOrderRateShare = 0.9;
/// Added to the holder's time to live, within which two holders must not
/// alternate in sending orders.
constexpr Duration kHolderTtlMargin = Milliseconds(400);
/// An order is not sent later than this after the time recorded for it; the
/// rest of the margin covers the reading of the store's clock.
constexpr Duration kMaxRecordAge = Milliseconds(300);
/// A list ends a doubt about a start only if it was requested this much later.
/// That lists lag by less is not known; HasLeftVms does not rest on it.
constexpr Duration kMaxListLag = Seconds(1);
/// A worker whose VM was ordered to move gets no tasks for this long; by then
/// it has ended and the VM list shows the move.
constexpr Duration kMovedWorkerCordonTime = Seconds(4);
/// Minimum interval between log lines of the pool loads, which explain the
/// moves.
constexpr Duration kLoadLogPeriod = Seconds(1);

}  // namespace

VmManager::VmManager(const Parts& parts, Hooks hooks)
    : m_parts(parts),
      m_hooks(std::move(hooks)),
      m_policy{parts.m_options.m_move_time + kJoinTime},
      m_order_rate(MakeBucket(
          std::max(1.0, parts.m_options.m_fleet_orders_per_s * kOrderRateShare),
          std::max(1.0, parts.m_options.m_fleet_orders_per_s * kOrderRateShare),
          BootNow())) {
  m_upkeep_state.m_upkeep_time = parts.m_options.m_upkeep_time;
}

void VmManager::Start() {
  if (!m_parts.m_options.m_fleet) {
    m_parts.m_scheduler.m_expected_workers.emplace();
    UpdateExpectedWorkers();
    return;
  }
  asio::co_spawn(m_parts.m_context, Run(), asio::detached);
}

bool VmManager::IsConfirmed() const {
  // The term that the hook asks may be gone once this has stopped.
  return m_running && m_hooks.m_is_confirmed();
}

bool VmManager::CanSendOrder(const VmName& vm) const {
  const auto found = m_no_orders_until.find(vm);
  return IsConfirmed() && BootNow() >= m_no_orders_before &&
         (found == m_no_orders_until.end() || BootNow() >= found->second);
}

Duration VmManager::HolderTime() const {
  return m_parts.m_options.m_holder_ttl + kHolderTtlMargin;
}

Duration VmManager::LongestDownTime() const {
  return upkeep::MaxDownTime(
      std::max(m_parts.m_options.m_upkeep_time, m_parts.m_options.m_move_time));
}

asio::awaitable<bool> VmManager::RecordOrder(VmName vm) {
  if (!CanSendOrder(vm) || !TakeToken(m_order_rate, BootNow())) {
    co_return false;
  }
  const std::int64_t now_ms = m_parts.m_store.ClockMs();
  upkeep::RecordOrderTime(
      m_order_times_ms, vm, now_ms,
      ToMilliseconds(std::max(HolderTime(), LongestDownTime())));
  const TimePoint recorded_at = BootNow();
  // A named variable, since g++ 12 destroys such temporaries in a co_await
  // expression twice.
  const StoreKey key{kOrderTable, job_table::kPartition, kOrderKey};
  std::string value = upkeep::EncodeOrderTimes(m_order_times_ms);
  const bool stored =
      co_await m_parts.m_journal.PutAndWait(key, std::move(value));
  // The next owner counts from the recorded time.
  co_return stored&& CanSendOrder(vm) &&
      BootNow() - recorded_at < kMaxRecordAge;
}

asio::awaitable<void> VmManager::Run() {
  const auto self = shared_from_this();
  while (m_running && !(co_await ReadOrderTimes() && co_await ReadDoneVms())) {
    co_await SleepFor(kRoundPeriod);
  }
  TimePoint next_list{};
  while (m_running) {
    upkeep::UpdateWaves(m_upkeep_state, BootNow(),
                        m_parts.m_configuration.Waves());
    const bool busy = std::any_of(
        m_upkeep_state.m_waves.begin(), m_upkeep_state.m_waves.end(),
        [](const auto& entry) {
          return entry.second.m_stored_status != upkeep::WaveStatus::kCompleted;
        });
    const bool moving = !m_capacity_state.m_pending.empty();
    if (BootNow() >= next_list) {
      const bool read = co_await ReadVmList();
      next_list = BootNow() + (busy || moving || !read ||
                                       !m_parts.m_scheduler.m_inherited_resolved
                                   ? kBusyListPeriod
                                   : kListPeriod);
    }
    if (!m_running) {
      co_return;
    }
    if (!m_upkeep_state.m_vms.empty()) {
      const upkeep::Plan plan = upkeep::MakePlan(
          m_upkeep_state, BootNow(),
          [this](const VmRecord& vm) { return ComputeVmLoad(vm); });
      PlanMoves(plan);
      ApplyPlan(plan);
    }
    co_await WriteWaveStatus();
    co_await SleepFor(kRoundPeriod);
  }
}

asio::awaitable<bool> VmManager::ReadOrderTimes() {
  const StoreResponse rows =
      co_await m_parts.m_store.ReadAll(kOrderTable, job_table::kPartition);
  if (rows.m_result != StoreResult::kDone || !m_running) {
    co_return false;
  }
  const Duration kept = HolderTime();
  for (const StoreRow& row : rows.m_rows) {
    const auto orders = upkeep::DecodeOrderTimes(row.m_value);
    if (!orders.ok()) {
      m_parts.m_log.Warn("vm", "orders_unreadable",
                         absl::StrCat("key=", row.m_key.m_key));
      // There may have been an order for any VM.
      m_no_orders_before = BootNow() + std::max(kept, LongestDownTime());
      continue;
    }
    upkeep::MergeOrderTimes(m_order_times_ms, *orders);
    for (const auto& [vm, ordered_ms] : *orders) {
      const Duration age = Milliseconds(m_parts.m_store.ClockMs() - ordered_ms);
      m_no_orders_until[vm] = BootNow() + std::min(kept, kept - age);
      upkeep::InheritOrder(m_upkeep_state, BootNow(), vm, age,
                           LongestDownTime());
    }
  }
  TimePoint until = BootNow();
  for (const auto& [vm, order] : m_upkeep_state.m_inherited_orders) {
    until = std::max(until, order.m_until);
  }
  m_parts.m_log.Info(
      "vm", "orders_inherited",
      absl::StrCat("vms=", m_upkeep_state.m_inherited_orders.size(),
                   " until_ms=", ToMilliseconds(until - BootNow())));
  co_return true;
}

asio::awaitable<bool> VmManager::ReadDoneVms() {
  const StoreResponse rows =
      co_await m_parts.m_store.ReadAll(kWaveTable, job_table::kPartition);
  if (rows.m_result != StoreResult::kDone || !m_running) {
    co_return false;
  }
  upkeep::UpdateWaves(m_upkeep_state, BootNow(),
                      m_parts.m_configuration.Waves());
  for (const StoreRow& row : rows.m_rows) {
    const absl::StatusOr<std::vector<VmName>> done =
        upkeep::DecodeDoneVms(row.m_value);
    std::uint64_t wave = 0;
    if (done.ok() && absl::SimpleAtoi(row.m_key.m_key, &wave)) {
      upkeep::MarkDone(m_upkeep_state, wave, *done);
    } else {
      m_parts.m_log.Warn("vm", "wave_row_unreadable",
                         absl::StrCat("key=", row.m_key.m_key));
    }
  }
  co_return true;
}

asio::awaitable<bool> VmManager::ReadVmList() {
  VmList list;
  list.m_requested_at = BootNow();
  std::string page;
  do {
    const CallResult result = co_await m_parts.m_client.Call(
        *m_parts.m_options.m_fleet, adapter::MakeVmListRequest(page),
        kListTimeout);
    std::optional<adapter::VmPage> read = adapter::DecodeVmPage(result);
    Count(m_parts.m_metrics, metric::kVmOrders,
          read ? "list_accepted" : "list_unknown");
    if (!read || !m_running) {
      co_return false;
    }
    list.m_vms.insert(list.m_vms.end(), read->m_vms.begin(), read->m_vms.end());
    list.m_invalid_vms.insert(list.m_invalid_vms.end(),
                              read->m_invalid_vms.begin(),
                              read->m_invalid_vms.end());
    list.m_nameless_count += read->m_nameless_count;
    page = read->m_next;
  } while (!page.empty());
  if (!list.m_invalid_vms.empty() || list.m_nameless_count > 0) {
    m_parts.m_log.Warn(
        "vm", "list_damaged",
        absl::StrCat("rows=", list.m_invalid_vms.size() + list.m_nameless_count,
                     " nameless=", list.m_nameless_count));
  }
  upkeep::UpdateVms(m_upkeep_state, list);
  scheduler::HandleVmList(m_parts.m_scheduler,
                          list.m_requested_at - kMaxListLag, list);
  UpdateExpectedWorkers();
  co_return true;
}

void VmManager::UpdateExpectedWorkers() {
  scheduler::Scheduler& scheduler = m_parts.m_scheduler;
  if (scheduler.m_inherited_resolved) {
    return;
  }
  scheduler.m_expected_workers = scheduler::ExpectedWorkers(scheduler);
}

upkeep::VmLoad VmManager::ComputeVmLoad(const VmRecord& vm) const {
  upkeep::VmLoad load;
  const scheduler::Scheduler& scheduler = m_parts.m_scheduler;
  const auto found = scheduler.m_worker_index.find(vm.m_worker);
  if (found == scheduler.m_worker_index.end()) {
    load.m_is_empty = scheduler.m_inherited_resolved &&
                      !scheduler::HasRunsOnUnlistedVms(scheduler);
    return load;
  }
  const scheduler::Worker& worker = scheduler.m_workers[found->second];
  load.m_worker_answers =
      worker.m_registered && scheduler::IsResponsive(worker, BootNow());
  load.m_is_empty =
      scheduler::IsMachineEmpty(scheduler, BootNow(), found->second) &&
      (scheduler::HasListedAll(worker) || scheduler.m_inherited_resolved) &&
      (load.m_worker_answers || !scheduler::HasRunsOnUnlistedVms(scheduler));
  load.m_long_running = static_cast<std::size_t>(
      std::count_if(worker.m_tasks.begin(), worker.m_tasks.end(),
                    [](const auto& ref) { return ref.Spec().m_long_running; }));
  const auto capacity = worker.m_record.m_capacity.m_cpu.Count();
  load.m_used_share = capacity == 0
                          ? 0
                          : static_cast<double>(worker.m_used.m_cpu.Count()) /
                                static_cast<double>(capacity);
  return load;
}

void VmManager::ApplyPlan(const upkeep::Plan& plan) {
  std::set<WorkerName> draining;
  std::set<WorkerName> pending;
  const auto worker_of = [this](const VmName& vm) {
    const auto found = m_upkeep_state.m_vms.find(vm);
    return found == m_upkeep_state.m_vms.end() ? WorkerName()
                                               : found->second.m_worker;
  };
  for (const VmName& vm : plan.m_draining) {
    draining.insert(worker_of(vm));
  }
  for (const VmName& vm : plan.m_pending) {
    pending.insert(worker_of(vm));
  }
  for (const auto& [worker, since] : m_moved_workers) {
    draining.insert(worker);
  }
  bool changed = false;
  for (scheduler::Worker& worker : m_parts.m_scheduler.m_workers) {
    const bool cordoned = draining.contains(worker.m_record.m_name);
    changed = changed || worker.m_cordoned != cordoned;
    worker.m_cordoned = cordoned;
    worker.m_upkeep_due = cordoned || pending.contains(worker.m_record.m_name);
  }
  for (const upkeep::Plan::Order& order : plan.m_orders) {
    asio::co_spawn(m_parts.m_context, OrderUpkeep(order), asio::detached);
  }
  if (changed) {
    m_hooks.m_state_changed();
  }
}

std::vector<capacity::PoolLoad> VmManager::PoolLoads() const {
  const scheduler::Scheduler& scheduler = m_parts.m_scheduler;
  std::vector<capacity::PoolLoad> loads;
  if (scheduler.m_deployment == nullptr) {
    return loads;
  }
  for (const auto& [name, config] : scheduler.m_deployment->m_pools) {
    capacity::PoolLoad load;
    load.m_name = name;
    load.m_standby = config.m_standby;
    const auto pool = scheduler.m_pools.find(name);
    if (pool != scheduler.m_pools.end()) {
      const scheduler::PoolWorkload use =
          scheduler::ComputeWorkload(scheduler, BootNow(), pool->second);
      load.m_cores = use.m_cores;
      load.m_running_cores = use.m_running_cores;
      load.m_ready_cores = use.m_ready_cores_within_share;
      load.m_ready_work = use.m_ready_work;
      load.m_slack = use.m_slack;
      load.m_unplaced_vms = use.m_unplaced_vms;
      load.m_arrived_work = pool->second.m_arrived_work;
      load.m_arrived_jobs = pool->second.m_arrived_jobs;
    }
    loads.push_back(load);
  }
  return loads;
}

std::vector<capacity::VmView> VmManager::VmViews(
    const upkeep::Plan& plan) const {
  const std::set<VmName> in_upkeep(plan.m_draining.begin(),
                                   plan.m_draining.end());
  const scheduler::Scheduler& scheduler = m_parts.m_scheduler;
  std::vector<capacity::VmView> views;
  for (const auto& [name, vm] : m_upkeep_state.m_vms) {
    capacity::VmView view;
    view.m_name = name;
    view.m_pool = vm.m_pool;
    view.m_worker = vm.m_worker;
    view.m_kind = vm.m_labels.empty() ? "" : vm.m_labels.front().Value();
    view.m_cores = static_cast<double>(vm.m_capacity.m_cpu.Count()) / 1000;
    const auto config = scheduler.m_deployment->m_pools.find(vm.m_pool);
    const bool standby = config != scheduler.m_deployment->m_pools.end() &&
                         config->second.m_standby;
    const auto worker = scheduler.m_worker_index.find(vm.m_worker);
    // The worker of a VM that is switched off may be unknown.
    const bool is_empty =
        standby ||
        (worker != scheduler.m_worker_index.end() &&
         scheduler::IsMachineEmpty(scheduler, BootNow(), worker->second) &&
         scheduler::IsSchedulable(
             scheduler, scheduler.m_workers[worker->second], BootNow()));
    view.m_is_serving =
        worker != scheduler.m_worker_index.end() &&
        scheduler::IsResponsive(scheduler.m_workers[worker->second], BootNow());
    view.m_movable =
        vm.m_state == VmStatus::kUp && is_empty && !in_upkeep.contains(name) &&
        !m_moved_workers.contains(vm.m_worker) && CanSendOrder(name) &&
        !m_upkeep_state.m_inherited_orders.contains(name);
    views.push_back(view);
  }
  return views;
}

void VmManager::PlanMoves(const upkeep::Plan& plan) {
  const TimePoint now = BootNow();
  std::erase_if(m_moved_workers, [now](const auto& entry) {
    return now - entry.second > kMovedWorkerCordonTime;
  });
  if (!IsConfirmed() || m_parts.m_scheduler.m_deployment == nullptr) {
    return;
  }
  const std::vector<capacity::VmView> views = VmViews(plan);
  const std::vector<capacity::PoolLoad> loads = PoolLoads();
  LogPoolLoads(loads, views);
  for (capacity::Move& move :
       capacity::PlanMoves(m_capacity_state, m_policy, now, loads, views)) {
    const VmRecord& vm = m_upkeep_state.m_vms[move.m_vm];
    const auto worker = m_parts.m_scheduler.m_worker_index.find(vm.m_worker);
    if (worker != m_parts.m_scheduler.m_worker_index.end()) {
      m_parts.m_scheduler.m_workers[worker->second].m_cordoned = true;
    }
    if (!vm.m_worker.Empty()) {
      m_moved_workers[vm.m_worker] = now;
    }
    const std::string kind =
        vm.m_labels.empty() ? "" : vm.m_labels.front().Value();
    asio::co_spawn(m_parts.m_context, OrderMove(std::move(move), kind),
                   asio::detached);
  }
  UpdateIncomingCores();
}

void VmManager::UpdateIncomingCores() {
  for (auto& [name, pool] : m_parts.m_scheduler.m_pools) {
    pool.m_incoming_cores = capacity::IncomingCores(m_capacity_state, name);
  }
}

void VmManager::LogPoolLoads(const std::vector<capacity::PoolLoad>& loads,
                             const std::vector<capacity::VmView>& views) {
  if (BootNow() < m_loads_logged_at + kLoadLogPeriod) {
    return;
  }
  m_loads_logged_at = BootNow();
  for (const capacity::PoolLoad& load : loads) {
    std::size_t vms = 0;
    std::size_t movable = 0;
    for (const capacity::VmView& view : views) {
      vms += view.m_pool == load.m_name;
      movable += view.m_pool == load.m_name && view.m_movable;
    }
    m_parts.m_log.Info(
        "vm", "pool_load",
        absl::StrFormat("pool=%s vms=%d movable=%d cores=%.0f running=%.0f "
                        "ready=%.0f ready_work=%.0f slack_ms=%d jobs=%d "
                        "unplaced_vms=%.0f",
                        load.m_name.Value(), vms, movable, load.m_cores,
                        load.m_running_cores, load.m_ready_cores,
                        load.m_ready_work, ToMilliseconds(load.m_slack),
                        load.m_arrived_jobs, load.m_unplaced_vms));
  }
}

asio::awaitable<void> VmManager::OrderMove(capacity::Move move,
                                           std::string kind) {
  const auto self = shared_from_this();
  const PoolName from = m_upkeep_state.m_vms[move.m_vm].m_pool;
  const WorkerName worker = m_upkeep_state.m_vms[move.m_vm].m_worker;
  const adapter::LeaseHolder holder{m_parts.m_options.m_vm.Value(),
                                    m_parts.m_scheduler.m_options.m_fencing};
  VmOrderResult result = VmOrderResult::kTryLater;
  if (co_await RecordOrder(move.m_vm)) {
    result = adapter::DecodeVmOrderResult(co_await m_parts.m_client.Call(
        *m_parts.m_options.m_fleet,
        adapter::MakeMoveRequest(move.m_vm, move.m_to, holder), kOrderTimeout));
  }
  Count(m_parts.m_metrics, metric::kVmOrders,
        absl::StrCat("move_", static_cast<int>(result)));
  m_parts.m_log.Info(
      "vm", "move_ordered",
      absl::StrCat("vm=", move.m_vm.Value(), " from=", from.Value(), " to=",
                   move.m_to.Value(), " result=", static_cast<int>(result)));
  if (!m_running) {
    co_return;
  }
  capacity::HandleMoveResult(m_capacity_state, BootNow(), move, kind, result);
  if (result != VmOrderResult::kAccepted && result != VmOrderResult::kUnknown) {
    m_moved_workers.erase(worker);
  }
}

}  // namespace filbertspar
