#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "filbertspar/fleet/src/blackout.h"
#include "filbertspar/fleet/src/drain_policy.h"
#include "filbertspar/fleet/src/round.h"

namespace filbertspar::internal {
namespace {

/// \brief True when a call for the VM may be sent now; it counts as sent.
bool TakeCall(Round& round, const VmRow& row) {
  VmWatch& watch = WatchOf(round, row.m_name);
  if (round.m_planner.m_locked.contains(
          LockKey(kVmTable, row.m_name.Value())) ||
      (watch.m_called && round.m_now - *watch.m_called <
                             round.m_planner.m_settings.m_call_retry)) {
    return false;
  }
  watch.m_called = round.m_now;
  return true;
}

TimePoint CallEnd(const Round& round) {
  return round.m_now + round.m_planner.m_settings.m_call_validity;
}

void CallCordon(Round& round, const VmRow& row, bool cordon) {
  if (TakeCall(round, row)) {
    round.m_effects.emplace_back(
        CordonWorker{row.m_name, row.m_address, cordon, CallEnd(round)});
  }
}

bool IsPast(const Round& round, const VmRow& row, Duration bound) {
  return UtcMilliseconds(round.m_now) - row.m_since_ms >= ToMilliseconds(bound);
}

void GiveUp(Round& round, const VmRow& row, Code code, std::string_view why) {
  if (row.m_purpose == Purpose::kHold ||
      !StageEvent(round, row, VmEvent::kRollBack)) {
    return;
  }
  WatchOf(round, row.m_name).m_not_before =
      round.m_now + round.m_planner.m_settings.m_drain_pause;
  Notify(round, code, row.m_name, std::string(why));
}

void ActOnTasks(Round& round, const VmRow& row, const WorkerReport& report) {
  const Duration until_bound =
      round.m_planner.m_settings.m_drain_bound -
      Milliseconds(UtcMilliseconds(round.m_now) - row.m_since_ms);
  bool called = false;
  for (const RunningTask& task : report.m_tasks) {
    const TaskAction action =
        DecideTask(FindEntry(*round.m_planner.m_catalogue, task.m_entry),
                   task.m_running_for, until_bound);
    if (action == TaskAction::kLetFinish ||
        (!called && !TakeCall(round, row))) {
      continue;
    }
    called = true;
    if (action == TaskAction::kCheckpoint) {
      round.m_effects.emplace_back(
          CheckpointTask{row.m_name, row.m_address, task.m_attempt});
    } else {
      round.m_effects.emplace_back(
          StopTask{row.m_name, row.m_address, task.m_attempt});
    }
  }
}

void AdvanceDraining(Round& round, const VmRow& row) {
  const WorkerReport* report = FreshReport(round, row);
  if (report != nullptr && !report->m_cordoned) {
    CallCordon(round, row, true);
  } else if (report != nullptr && report->m_running == 0) {
    StageEvent(round, row, VmEvent::kWorkEnded);
    return;
  } else if (report != nullptr) {
    ActOnTasks(round, row, *report);
  }
  if (IsPast(round, row, round.m_planner.m_settings.m_drain_bound)) {
    GiveUp(round, row, Code::kDrainTimedOut,
           "work was still running at the drain bound; the VM serves again");
  }
}

void AdvanceDrained(Round& round, const VmRow& row) {
  const WorkerReport* report = FreshReport(round, row);
  if (report == nullptr) {
    return;
  }
  if (report->m_running > 0 || !report->m_cordoned) {
    StageEvent(round, row, VmEvent::kWorkSeen);
    return;
  }
  if (row.m_purpose == Purpose::kMove &&
      !StageEvent(round, row, VmEvent::kMoved)) {
    const bool in_flight = round.m_planner.m_locked.contains(LockKey(
        kBudgetTable, BudgetKey(BudgetKind::kPool, row.m_pool.Value())));
    if (!in_flight &&
        IsPast(round, row, round.m_planner.m_settings.m_cordon_bound)) {
      GiveUp(round, row, Code::kMoveRefused,
             "the pool became too small for the move");
    }
  }
  if (row.m_purpose == Purpose::kMaintain) {
    VmRow rebooting = row;
    rebooting.m_boot = report->m_boot;
    StageEvent(round, rebooting, VmEvent::kReboot);
  }
}

void AdvanceRebooting(Round& round, const VmRow& row) {
  const WorkerReport* report = FreshReport(round, row);
  if (report != nullptr && report->m_boot != row.m_boot) {
    StageEvent(round, row, VmEvent::kBooted);
    return;
  }
  // A worker that restarted by itself has lost its cordon and may have taken
  // work of an entry whose view is late, so it is asked once more.
  if (report == nullptr) {
    return;
  }
  if (!report->m_cordoned) {
    CallCordon(round, row, true);
  } else if (report->m_running == 0 && TakeCall(round, row)) {
    round.m_effects.emplace_back(RebootVm{
        row.m_name, row.m_address,
        absl::StrCat(row.m_name.Value(), ":", row.m_epoch), CallEnd(round)});
  }
}

void AdvanceFailed(Round& round, const VmRow& row) {
  const VmWatch& watch = WatchOf(round, row.m_name);
  const auto listed = round.m_planner.m_listed.find(row.m_name);
  const bool leaving =
      listed != round.m_planner.m_listed.end() && listed->second.m_leaving;
  if (FreshReport(round, row) != nullptr && watch.m_healthy_since && !leaving &&
      round.m_now - *watch.m_healthy_since >=
          round.m_planner.m_settings.m_recover_after) {
    StageEvent(round, row, VmEvent::kRecover);
  }
}

void AdvanceOne(Round& round, const VmRow& row) {
  const WorkerReport* report = FreshReport(round, row);
  switch (row.m_state) {
    case VmState::kInService:
      if (report != nullptr && report->m_cordoned) {
        CallCordon(round, row, false);
      }
      break;
    case VmState::kCordoned:
      if (report != nullptr && report->m_cordoned) {
        StageEvent(round, row, VmEvent::kCordonConfirmed);
      } else if (IsPast(round, row,
                        round.m_planner.m_settings.m_cordon_bound)) {
        GiveUp(round, row, Code::kDrainTimedOut,
               "the worker did not confirm its cordon");
      } else {
        CallCordon(round, row, true);
      }
      break;
    case VmState::kDraining:
      AdvanceDraining(round, row);
      break;
    case VmState::kDrained:
      AdvanceDrained(round, row);
      break;
    case VmState::kRebooting:
      AdvanceRebooting(round, row);
      break;
    case VmState::kVerifying:
      if (report != nullptr && report->m_healthy &&
          round.m_now - WatchOf(round, row.m_name).m_epoch_seen >=
              round.m_planner.m_settings.m_call_validity) {
        StageEvent(round, row, VmEvent::kVerified);
      }
      break;
    case VmState::kFailed:
      AdvanceFailed(round, row);
      break;
  }
}

bool CanRollBack(const VmRow& row) {
  return (row.m_state == VmState::kCordoned ||
          row.m_state == VmState::kDraining ||
          row.m_state == VmState::kDrained) &&
         (row.m_purpose == Purpose::kMaintain ||
          row.m_purpose == Purpose::kMove);
}

/// \brief Budget of the VM that is broken, with what this round has staged.
std::optional<std::string> BrokenBudget(Round& round, const VmRow& row) {
  for (const std::string& key : BudgetsOf(round.m_planner.m_view, row)) {
    const auto staged = round.m_batch.m_budgets.find(key);
    const auto found = round.m_planner.m_view.m_budgets.find(key);
    if (found == round.m_planner.m_view.m_budgets.end()) {
      continue;
    }
    const BudgetRow& budget = staged != round.m_batch.m_budgets.end()
                                  ? staged->second
                                  : found->second.m_row;
    const auto suspected = round.m_suspected.find(key);
    if (!Holds(budget,
               suspected == round.m_suspected.end() ? 0 : suspected->second)) {
      return key;
    }
  }
  return std::nullopt;
}

bool WaveStopped(const Round& round, const VmRow& row) {
  const auto wave = round.m_planner.m_view.m_waves.find(row.m_wave);
  return wave != round.m_planner.m_view.m_waves.end() &&
         wave->second.m_row.m_state == WaveState::kStopped;
}

}  // namespace

void RollBackBroken(Round& round) {
  for (const auto& [name, vm] : round.m_planner.m_view.m_vms) {
    const VmRow& row = vm.m_row;
    if (!CanRollBack(row) || round.m_batch.m_vms.contains(name)) {
      continue;
    }
    if (const auto key = BrokenBudget(round, row)) {
      GiveUp(round, row, Code::kBudgetWouldBreak,
             absl::StrCat("rolled back because ", *key, " is broken"));
    } else if (WaveStopped(round, row)) {
      GiveUp(round, row, Code::kOk, "rolled back because its wave stopped");
    } else if (row.m_state != VmState::kDrained &&
               BlackoutEnd(
                   BlackoutsOf(*round.m_planner.m_catalogue, row.m_pool),
                   UtcMilliseconds(round.m_now), 1)) {
      GiveUp(round, row, Code::kWaveBlocked,
             "rolled back because a blackout began");
    }
  }
}

void AdvanceDrains(Round& round) {
  for (const auto& [name, vm] : round.m_planner.m_view.m_vms) {
    if (!round.m_batch.m_vms.contains(name)) {
      AdvanceOne(round, vm.m_row);
    }
  }
}

}  // namespace filbertspar::internal
