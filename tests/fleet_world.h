#pragma once

/// \file
/// \brief Fakes of table, workers, platform list, entries and operators around
/// planners in virtual time, and the checks of their history. One step is one
/// second.

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "filbertspar/fleet/fleet.h"

namespace filbertspar::world {

/// \brief What a history run may contain.
struct Faults {
  bool m_failures = true;
  bool m_operators = true;
  bool m_takeover = true;
  bool m_lost_answers = true;
  bool m_moves = true;
};

struct Shape {
  int m_pools = 3;
  int m_pool_size = 5;
  int m_zones = 3;
  int m_rack_size = 4;
  std::int64_t m_pool_max_out = 1;
  std::int64_t m_rack_max_out = 1;
  std::int64_t m_zone_max_out = 2;
  std::int64_t m_min_available = 3;
  /// Tasks offered to a pool per step.
  double m_tasks_per_step = 1.0;
};

struct Verdict {
  std::int64_t m_broken_budgets = 0;
  std::int64_t m_cut_requests = 0;
  std::int64_t m_two_pools = 0;
  std::int64_t m_wrong_counts = 0;
  std::int64_t m_drains = 0;
  std::int64_t m_maintained = 0;
  std::int64_t m_moved = 0;
  std::int64_t m_conflicts = 0;
  std::int64_t m_replaced = 0;
  /// Step at which the wave was done, -1 when it was not.
  std::int64_t m_done_at = -1;
  std::string m_first;
};

inline TimePoint At(std::int64_t step) {
  // Some day in 2026, so that every timestamp is above the cycle.
  return TimePoint(Seconds(1'780'000'000 + step));
}

struct Task {
  std::int64_t m_end = 0;
  PoolName m_pool;
  EntryName m_entry;
  std::int64_t m_started = 0;
  int m_id = 0;
};

struct Worker {
  bool m_up = true;
  bool m_healthy = true;
  bool m_cordoned = false;
  int m_boot = 1;
  std::int64_t m_up_at = -1;
  std::int64_t m_last_token = -1;
  VmName m_vm;
  std::vector<Task> m_tasks;
};

inline Catalogue MakeCatalogue(const Shape& shape) {
  Catalogue catalogue;
  catalogue.m_domains = {shape.m_rack_max_out, shape.m_zone_max_out};
  for (int pool = 0; pool < shape.m_pools; ++pool) {
    const std::string name = "p" + std::to_string(pool);
    catalogue.m_pools.push_back(
        {PoolName(name), shape.m_pool_max_out, shape.m_pool_size - 1});
    CatalogueEntry urgent;
    urgent.m_name = EntryName("quote-" + name);
    urgent.m_pool = PoolName(name);
    urgent.m_class = WorkClass::kUrgent;
    urgent.m_min_available = shape.m_min_available;
    catalogue.m_entries.push_back(urgent);
    CatalogueEntry ledger;
    ledger.m_name = EntryName("ledger-" + name);
    ledger.m_pool = PoolName(name);
    ledger.m_class = WorkClass::kOvernight;
    ledger.m_run_time = Seconds(40);
    ledger.m_checkpointable = pool % 2 == 0;
    catalogue.m_entries.push_back(ledger);
  }
  return catalogue;
}

/// \brief One planner process: its state, its reads and its delayed calls.
struct Process {
  Planner m_planner;
  bool m_active = false;
  /// Budgets read in the step before; the vm rows are read one step later.
  std::vector<RowRead<BudgetRow>> m_read_budgets;
  bool m_reading = false;
  /// Counts take-overs, so that late answers do not reach a new planner.
  int m_generation = 0;
};

class World {
 public:
  World(std::uint64_t seed, Shape shape, Faults faults)
      : m_rng(seed), m_shape(shape), m_faults(faults) {
    m_catalogue = std::make_shared<Catalogue>(MakeCatalogue(shape));
    MakeFleet();
    m_processes.resize(2);
    Start(m_processes[0]);
  }

  /// \brief Runs until the wave is done and the fleet is quiet, at most
  /// `steps`; failures happen in the first `fault_steps` only.
  Verdict Run(std::int64_t steps, std::int64_t fault_steps) {
    for (m_step = 0; m_step < steps; ++m_step) {
      const bool faulty = m_step < fault_steps;
      RunDue();
      StepWorkers();
      OfferTasks();
      if (faulty) {
        Disturb();
      } else if ((m_step - fault_steps) % 100 == 0) {
        Heal();
      }
      for (Process& process : m_processes) {
        StepProcess(process);
      }
      const auto wave = m_truth.m_waves.find("w");
      if (m_verdict.m_done_at < 0 &&
          wave->second.m_row.m_state == WaveState::kDone) {
        m_verdict.m_done_at = m_step;
      }
      if (m_verdict.m_done_at >= 0 && !faulty) {
        break;
      }
    }
    return m_verdict;
  }

  const FleetView& Truth() const { return m_truth; }
  PlannerSettings m_settings = DefaultSettings();
  std::function<std::int64_t()> m_reboot_steps = [this] {
    return 3 + static_cast<std::int64_t>(m_rng.Below(6));
  };
  double m_never_returns = 0.02;

  static PlannerSettings DefaultSettings() {
    PlannerSettings settings;
    settings.m_cordon_bound = Seconds(20);
    settings.m_drain_bound = Seconds(60);
    settings.m_drain_pause = Seconds(10);
    settings.m_reboot_bound = Seconds(40);
    settings.m_verify_bound = Seconds(20);
    settings.m_dead_after = Seconds(4);
    settings.m_zone_dead_after = Seconds(10);
    settings.m_recover_after = Seconds(3);
    settings.m_settle_after_burst = Seconds(8);
    settings.m_call_retry = Seconds(3);
    settings.m_call_validity = Seconds(3);
    settings.m_forget_after = Seconds(60);
    settings.m_expected = Seconds(15);
    settings.m_probes_per_tick = 64;
    settings.m_maintain_cycle = false;
    return settings;
  }

 private:
  void MakeFleet() {
    int index = 0;
    for (int pool = 0; pool < m_shape.m_pools; ++pool) {
      for (int vm = 0; vm < m_shape.m_pool_size; ++vm, ++index) {
        VmRow row;
        row.m_name = VmName("vm-" + std::to_string(index));
        row.m_address = "10.0.0." + std::to_string(index) + ":1";
        row.m_pool = PoolName("p" + std::to_string(pool));
        const int zone = index % m_shape.m_zones;
        row.m_zone = ZoneName("z" + std::to_string(zone));
        row.m_rack = RackName(
            "r" + std::to_string(zone) + "-" +
            std::to_string(index / m_shape.m_zones / m_shape.m_rack_size));
        row.m_capacity.m_slots = Slots(8);
        row.m_last_maintained_ms = UtcMilliseconds(At(-1000));
        m_truth.m_vms[row.m_name] = {row, NextVersion()};
        m_workers[row.m_address].m_vm = row.m_name;
      }
    }
    for (auto& [key, row] : CountBudgets(m_truth, *m_catalogue)) {
      m_truth.m_budgets[key] = {row, NextVersion()};
    }
    WaveRow wave{.m_name = "w", .m_started_ms = UtcMilliseconds(At(0))};
    m_truth.m_waves["w"] = {wave, NextVersion()};
    m_next_vm = index;
    for (int lag = 0; lag < 4; ++lag) {
      m_entry_views.push_back(m_truth.m_vms);
    }
  }

  RowVersion NextVersion() { return RowVersion(++m_version); }

  void Start(Process& process) {
    process.m_planner = Planner{};
    process.m_planner.m_settings = m_settings;
    process.m_planner.m_catalogue = m_catalogue;
    process.m_active = true;
    process.m_reading = false;
    ++process.m_generation;
  }

  void Later(std::int64_t steps, std::function<void()> action) {
    m_due.emplace(m_step + steps, std::move(action));
  }

  void RunDue() {
    while (!m_due.empty() && m_due.begin()->first <= m_step) {
      const auto action = std::move(m_due.begin()->second);
      m_due.erase(m_due.begin());
      action();
    }
  }

  void StepProcess(Process& process) {
    if (!process.m_active) {
      return;
    }
    if (process.m_reading) {
      RowsRead rows;
      rows.m_budgets = std::move(process.m_read_budgets);
      for (const auto& [name, row] : m_truth.m_vms) {
        rows.m_vms.push_back({name.Value(), row.m_version, row.m_row});
      }
      for (const auto& [name, version] : m_deleted) {
        if (!m_truth.m_vms.contains(name)) {
          rows.m_vms.push_back({name.Value(), version, std::nullopt});
        }
      }
      for (const auto& [name, row] : m_truth.m_waves) {
        rows.m_waves.push_back({name, row.m_version, row.m_row});
      }
      ReadRows(process.m_planner, rows);
    }
    process.m_reading = !process.m_reading;
    process.m_read_budgets.clear();
    for (const auto& [key, row] : m_truth.m_budgets) {
      process.m_read_budgets.push_back({key, row.m_version, row.m_row});
    }
    if (m_step % 5 == 0) {
      VmsListed(process.m_planner, At(m_step), LaggingList());
    }
    if (m_faults.m_moves && m_rng.Chance(0.02)) {
      const auto from =
          m_rng.Below(static_cast<std::uint64_t>(m_shape.m_pools));
      const auto to = m_rng.Below(static_cast<std::uint64_t>(m_shape.m_pools));
      WantMove(process.m_planner, {PoolName("p" + std::to_string(from)),
                                   PoolName("p" + std::to_string(to))});
    }
    FleetEffects effects;
    Tick(process.m_planner, At(m_step), effects);
    for (FleetEffect& effect : effects) {
      std::visit([&](auto& item) { Carry(process, item); }, effect);
    }
  }

  std::int64_t Delay() {
    if (m_faults.m_lost_answers && m_rng.Chance(0.03)) {
      return 3 + static_cast<std::int64_t>(m_rng.Below(10));
    }
    return static_cast<std::int64_t>(m_rng.Below(2));
  }

  void Carry(Process& process, const WriteRows& write) {
    const int generation = process.m_generation;
    Later(Delay(), [this, &process, generation, write] {
      const auto versions = Commit(write);
      const std::int64_t back =
          m_faults.m_lost_answers && m_rng.Chance(0.05) ? 6 : 0;
      Later(back, [&process, generation, id = write.m_id, versions] {
        if (process.m_generation == generation) {
          WriteSettled(
              process.m_planner,
              {id,
               versions ? WriteResult::kCommitted : WriteResult::kNotWritten,
               versions.value_or(std::vector<RowVersion>())});
        }
      });
    });
  }

  void Carry(Process& /*process*/, const CordonWorker& call) {
    Later(Delay(), [this, call] {
      Worker& worker = m_workers[call.m_address];
      if (worker.m_up && At(m_step) <= call.m_not_after) {
        worker.m_cordoned = call.m_cordon;
      }
    });
  }

  void EndTask(const std::string& address, const std::string& attempt) {
    Worker& worker = m_workers[address];
    for (Task& task : worker.m_tasks) {
      if (std::to_string(task.m_id) == attempt) {
        task.m_end = m_step;
        if (FindEntry(*m_catalogue, task.m_entry)->m_class !=
            WorkClass::kOvernight) {
          Fault(m_verdict.m_cut_requests, "stopped a caller's request");
        }
      }
    }
  }

  void Carry(Process& /*process*/, const CheckpointTask& call) {
    Later(Delay(), [this, call] { EndTask(call.m_address, call.m_attempt); });
  }

  void Carry(Process& /*process*/, const StopTask& call) {
    Later(Delay(), [this, call] { EndTask(call.m_address, call.m_attempt); });
  }

  void Carry(Process& /*process*/, const RebootVm& call) {
    Later(Delay(), [this, call] {
      Worker& worker = m_workers[call.m_address];
      const std::int64_t token =
          std::stoll(call.m_token.substr(call.m_token.rfind(':') + 1));
      if (!worker.m_up || At(m_step) > call.m_not_after ||
          token <= worker.m_last_token || worker.m_vm != call.m_vm) {
        return;
      }
      worker.m_last_token = token;
      if (!worker.m_tasks.empty()) {
        Fault(m_verdict.m_cut_requests,
              "rebooted " + call.m_token + " with work running");
      }
      GoDown(worker,
             m_rng.Chance(m_never_returns) ? 100'000 : m_reboot_steps());
      worker.m_healthy = !m_rng.Chance(m_never_returns);
    });
  }

  void Carry(Process& process, const ProbeWorker& probe) {
    const int generation = process.m_generation;
    const std::int64_t asked = m_step;
    Later(1, [this, &process, generation, probe, asked] {
      if (process.m_generation != generation || !process.m_active) {
        return;
      }
      const Worker& worker = m_workers[probe.m_address];
      WorkerReport report;
      report.m_vm = probe.m_vm;
      report.m_asked = At(asked);
      const auto row = m_truth.m_vms.find(probe.m_vm);
      const bool cut = row != m_truth.m_vms.end() &&
                       row->second.m_row.m_zone == m_cut_zone &&
                       m_step < m_cut_until;
      report.m_reachable = worker.m_up && !cut;
      report.m_healthy = worker.m_healthy;
      report.m_cordoned = worker.m_cordoned;
      report.m_boot = std::to_string(worker.m_boot);
      report.m_running = static_cast<std::int64_t>(worker.m_tasks.size());
      for (const Task& task : worker.m_tasks) {
        report.m_tasks.push_back({std::to_string(task.m_id), task.m_entry,
                                  Seconds(m_step - task.m_started)});
      }
      WorkerReported(process.m_planner, At(m_step), report);
    });
  }

  void Carry(Process& /*process*/, const ReportWave& /*report*/) {}
  void Carry(Process& /*process*/, const Notice& /*notice*/) {}

  template <typename Rows, typename Key>
  static bool Matches(const Rows& rows, const Key& key, RowVersion expect) {
    const auto found = rows.find(key);
    return expect ==
           (found == rows.end() ? RowVersion() : found->second.m_version);
  }

  std::optional<std::vector<RowVersion>> Commit(const WriteRows& write) {
    bool matches = true;
    for (const auto& row : write.m_vms) {
      matches &= Matches(m_truth.m_vms, row.m_row.m_name, row.m_expect);
    }
    for (const auto& row : write.m_budgets) {
      matches &= Matches(m_truth.m_budgets, KeyOf(row.m_row), row.m_expect);
    }
    for (const auto& row : write.m_waves) {
      matches &= Matches(m_truth.m_waves, row.m_row.m_name, row.m_expect);
    }
    if (!matches) {
      ++m_verdict.m_conflicts;
      return std::nullopt;
    }
    std::vector<RowVersion> versions;
    for (std::size_t row = 0; row < write.Size(); ++row) {
      versions.push_back(NextVersion());
    }
    const FleetView before = m_truth;
    ApplyCommitted(m_truth, write, versions);
    for (std::size_t row = 0; row < write.m_vms.size(); ++row) {
      if (write.m_vms[row].m_erase) {
        m_deleted[write.m_vms[row].m_row.m_name] = versions[row];
        ++m_verdict.m_replaced;
      }
    }
    CheckCommit(before, write);
    return versions;
  }

  /// \brief Counts budgets anew after every write, and checks the limits of
  /// those that a voluntary drain takes from.
  void CheckCommit(const FleetView& before, const WriteRows& write) {
    const auto counted = CountNaively();
    for (const auto& [key, row] : m_truth.m_budgets) {
      const auto count = counted.find(key);
      const Count expected = count == counted.end() ? Count{} : count->second;
      if (row.m_row.m_size != expected.m_size ||
          row.m_row.m_out != expected.m_out) {
        Fault(m_verdict.m_wrong_counts, "wrong count in " + key);
      }
    }
    std::set<std::string> addresses;
    for (const auto& [name, vm] : m_truth.m_vms) {
      if (!addresses.insert(vm.m_row.m_address).second) {
        Fault(m_verdict.m_two_pools, "two rows of one address");
      }
    }
    for (const auto& item : write.m_vms) {
      const auto old = before.m_vms.find(item.m_row.m_name);
      if (old == before.m_vms.end() || item.m_erase) {
        continue;
      }
      if (item.m_row.m_last_maintained_ms >
          old->second.m_row.m_last_maintained_ms) {
        ++m_verdict.m_maintained;
      }
      if (!(item.m_row.m_pool == old->second.m_row.m_pool)) {
        ++m_verdict.m_moved;
      }
      const bool leaves = old->second.m_row.m_state == VmState::kInService &&
                          item.m_row.m_state == VmState::kCordoned;
      if (!leaves || m_ever_leaving.contains(item.m_row.m_name)) {
        continue;
      }
      ++m_verdict.m_drains;
      for (const std::string& key : {"pool:" + item.m_row.m_pool.Value(),
                                     "rack:" + item.m_row.m_rack.Value(),
                                     "zone:" + item.m_row.m_zone.Value()}) {
        const Count& count = counted.at(key);
        const std::int64_t limit = key[0] == 'p'   ? m_shape.m_pool_max_out
                                   : key[0] == 'r' ? m_shape.m_rack_max_out
                                                   : m_shape.m_zone_max_out;
        if (count.m_out > limit ||
            (key[0] == 'p' &&
             count.m_size - count.m_out < m_shape.m_min_available)) {
          Fault(m_verdict.m_broken_budgets, "drain breaks " + key);
        }
      }
    }
  }

  struct Count {
    std::int64_t m_size = 0;
    std::int64_t m_out = 0;
  };
  std::map<std::string, Count> CountNaively() const {
    std::map<std::string, Count> counts;
    for (const auto& [name, vm] : m_truth.m_vms) {
      const VmRow& row = vm.m_row;
      for (const std::string& key :
           {"pool:" + row.m_pool.Value(), "rack:" + row.m_rack.Value(),
            "zone:" + row.m_zone.Value(),
            "entry:quote-" + row.m_pool.Value()}) {
        ++counts[key].m_size;
        counts[key].m_out += row.m_state != VmState::kInService ? 1 : 0;
      }
    }
    return counts;
  }

  void Fault(std::int64_t& counter, const std::string& what) {
    ++counter;
    if (m_verdict.m_first.empty()) {
      m_verdict.m_first = "step " + std::to_string(m_step) + ": " + what;
    }
  }

  void GoDown(Worker& worker, std::int64_t steps) {
    worker.m_up = false;
    worker.m_up_at = m_step + steps;
    worker.m_cordoned = false;
    worker.m_tasks.clear();
  }

  void StepWorkers() {
    for (auto& [address, worker] : m_workers) {
      if (!worker.m_up && worker.m_up_at <= m_step) {
        worker.m_up = true;
        ++worker.m_boot;
      }
      std::erase_if(worker.m_tasks,
                    [this](const Task& task) { return task.m_end <= m_step; });
    }
  }

  /// \brief Entries send work by a view of the vm rows that is late.
  void OfferTasks() {
    m_entry_views.push_back(m_truth.m_vms);
    m_entry_views.pop_front();
    const auto& view = m_entry_views[m_rng.Below(m_entry_views.size())];
    std::vector<const VmRow*> in_service;
    for (const auto& [name, vm] : view) {
      if (vm.m_row.m_state == VmState::kInService) {
        in_service.push_back(&vm.m_row);
      }
    }
    const double offered = m_shape.m_tasks_per_step * m_shape.m_pools;
    auto count = static_cast<int>(offered);
    count += m_rng.Chance(offered - count) ? 1 : 0;
    for (int task = 0; task < count && !in_service.empty(); ++task) {
      const VmRow& row = *in_service[m_rng.Below(in_service.size())];
      Worker& worker = m_workers[row.m_address];
      if (!worker.m_up || worker.m_cordoned || worker.m_tasks.size() >= 8) {
        continue;
      }
      const bool overnight = m_rng.Chance(0.1);
      worker.m_tasks.push_back(
          {m_step + 1 +
               static_cast<std::int64_t>(m_rng.Below(overnight ? 120 : 5)),
           row.m_pool,
           EntryName((overnight ? "ledger-" : "quote-") + row.m_pool.Value()),
           m_step, ++m_next_task});
      if (!(worker.m_tasks.front().m_pool == row.m_pool)) {
        Fault(m_verdict.m_two_pools,
              row.m_name.Value() + " runs work of two pools");
      }
    }
  }

  std::vector<FleetListedVm> LaggingList() {
    std::vector<FleetListedVm> list;
    for (const auto& [address, worker] : m_workers) {
      list.push_back({worker.m_vm, address, m_leaving.contains(worker.m_vm)});
    }
    m_lists.push_back(list);
    if (m_lists.size() > 3) {
      m_lists.pop_front();
    }
    return m_lists.front();
  }

  std::string RandomAddress() {
    auto at = m_workers.begin();
    std::advance(at, m_rng.Below(m_workers.size()));
    return at->first;
  }

  void Fail(const std::string& address) {
    Worker& worker = m_workers[address];
    GoDown(worker, 5 + static_cast<std::int64_t>(m_rng.Below(40)));
    worker.m_healthy = !m_rng.Chance(0.05);
    if (m_rng.Chance(0.2)) {
      // Another VM comes up under the address.
      worker.m_vm = VmName("vm-" + std::to_string(m_next_vm++));
      worker.m_last_token = -1;
      worker.m_healthy = true;
    }
  }

  void Disturb() {
    if (m_faults.m_failures && m_rng.Chance(0.02)) {
      Fail(RandomAddress());
    }
    if (m_faults.m_failures && m_rng.Chance(0.004)) {
      const bool zone = m_rng.Chance(0.3);
      const std::uint64_t z =
          m_rng.Below(static_cast<std::uint64_t>(m_shape.m_zones));
      const std::string name = "z" + std::to_string(z);
      const std::string rack = "r" + std::to_string(z) + "-0";
      for (const auto& [vm, row] : m_truth.m_vms) {
        if (zone ? row.m_row.m_zone.Value() == name
                 : row.m_row.m_rack.Value() == rack) {
          Fail(row.m_row.m_address);
        }
      }
    }
    if (m_faults.m_failures && m_rng.Chance(0.004)) {
      m_cut_zone =
          ZoneName("z" + std::to_string(m_rng.Below(
                             static_cast<std::uint64_t>(m_shape.m_zones))));
      m_cut_until = m_step + 5 + static_cast<std::int64_t>(m_rng.Below(20));
    }
    if (m_faults.m_failures && m_rng.Chance(0.003)) {
      m_leaving.insert(m_workers[RandomAddress()].m_vm);
      m_ever_leaving.insert(m_leaving.begin(), m_leaving.end());
    }
    if (m_faults.m_takeover && m_rng.Chance(0.03)) {
      // A planner that is not told keeps running beside the new one.
      Process& process = m_processes[m_rng.Below(2)];
      if (process.m_active && m_rng.Chance(0.7)) {
        process.m_active = false;
      } else if (!process.m_active && m_rng.Chance(0.5)) {
        process.m_active = true;  // resumes with the state it was paused with
      } else {
        Start(process);
      }
    }
    if (!m_processes[0].m_active && !m_processes[1].m_active &&
        m_rng.Chance(0.3)) {
      Start(m_processes[0]);
    }
    if (m_faults.m_operators && m_rng.Chance(0.03)) {
      Operate();
    }
    if (m_step % 7 == 0) {
      m_operator_view = m_truth;
    }
  }

  /// \brief Two operators act on the same late view of the fleet.
  void Operate() {
    for (int op = 0; op < 2; ++op) {
      if (m_operator_view.m_vms.empty()) {
        return;
      }
      auto vm = m_operator_view.m_vms.begin();
      std::advance(vm, m_rng.Below(m_operator_view.m_vms.size()));
      const ChangePlan plan =
          m_rng.Chance(0.6)
              ? PlanDrain(m_operator_view, *m_catalogue, At(m_step),
                          {.m_vm = vm->first,
                           .m_purpose = m_rng.Chance(0.3) ? Purpose::kHold
                                                          : Purpose::kMaintain})
              : PlanRollBack(m_operator_view, At(m_step), vm->first);
      if (plan.Allowed()) {
        Later(Delay(), [this, write = plan.m_write] { Commit(write); });
      }
    }
  }

 public:
  /// \brief Ends holds, cuts and pauses, so that the wave can end.
  void Heal() {
    m_cut_until = 0;
    m_leaving.clear();
    if (!m_processes[0].m_active) {
      Start(m_processes[0]);
    }
    m_processes[1].m_active = false;
    for (auto& [address, worker] : m_workers) {
      worker.m_healthy = true;
      worker.m_up_at = std::min(worker.m_up_at, m_step + 5);
    }
    std::vector<VmName> held;
    for (const auto& [name, vm] : m_truth.m_vms) {
      if (vm.m_row.m_purpose == Purpose::kHold) {
        held.push_back(name);
      }
    }
    for (const VmName& name : held) {
      const ChangePlan plan = PlanRollBack(m_truth, At(m_step), name);
      if (plan.Allowed()) {
        Commit(plan.m_write);
      }
    }
  }

 private:
  Rng m_rng;
  Shape m_shape;
  Faults m_faults;
  std::shared_ptr<Catalogue> m_catalogue;
  FleetView m_truth;
  FleetView m_operator_view;
  std::map<VmName, RowVersion> m_deleted;
  std::map<std::string, Worker> m_workers;
  std::deque<std::map<VmName, Versioned<VmRow>>> m_entry_views;
  std::deque<std::vector<FleetListedVm>> m_lists;
  std::vector<Process> m_processes;
  std::multimap<std::int64_t, std::function<void()>> m_due;
  std::set<VmName> m_leaving;
  /// Late lists and delayed writes may still act on a leaving that ended.
  std::set<VmName> m_ever_leaving;
  ZoneName m_cut_zone;
  std::int64_t m_cut_until = 0;
  std::int64_t m_step = 0;
  std::uint64_t m_version = 0;
  int m_next_vm = 0;
  int m_next_task = 0;
  Verdict m_verdict;
};

}  // namespace filbertspar::world
