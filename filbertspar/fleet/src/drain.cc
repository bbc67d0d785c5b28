#include "filbertspar/fleet/src/drain.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "filbertspar/fleet/src/blackout.h"

namespace filbertspar {
namespace {

const VmRow* FindVm(const FleetView& view, const VmName& name) {
  const auto found = view.m_vms.find(name);
  return found == view.m_vms.end() ? nullptr : &found->second.m_row;
}

Blocker UnknownVm(const VmName& name) {
  return {Code::kVmUnknown, "",
          absl::StrCat("there is no VM \"", name.Value(), "\"")};
}

Blocker WrongState(const VmRow& row) {
  return {Code::kVmWrongState, "",
          absl::StrCat("VM \"", row.m_name.Value(), "\" is ",
                       std::string(ToString(row.m_state)))};
}

ChangePlan Refused(Blocker blocker) {
  ChangePlan plan;
  plan.m_blockers.push_back(std::move(blocker));
  return plan;
}

ChangePlan StageAlone(const StageContext& context, const VmRow* before,
                      const VmRow* after, Consent consent) {
  ChangePlan plan;
  Batch batch;
  if (auto blocker = Stage(batch, context, before, after, consent)) {
    plan.m_blockers.push_back(*std::move(blocker));
    return plan;
  }
  plan.m_write = ToWrite(batch, context.m_view);
  return plan;
}

/// \brief VMs that are on their way out of a pool. The pool's size counts them
/// until they arrive, so its smallest size has to be kept without them.
std::int64_t MovesUnderWay(const FleetView& view, const PoolName& pool) {
  return std::count_if(view.m_vms.begin(), view.m_vms.end(),
                       [&pool](const auto& item) {
                         const VmRow& row = item.second.m_row;
                         return row.m_pool == pool && IsOut(row) &&
                                row.m_purpose == Purpose::kMove;
                       });
}

void CheckMove(const FleetView& view, const Catalogue& catalogue, TimePoint now,
               const VmRow& row, const DrainRequest& request,
               std::vector<Blocker>& blockers) {
  if (request.m_target_pool == row.m_pool ||
      FindPool(catalogue, request.m_target_pool) == nullptr) {
    blockers.push_back({Code::kMoveRefused, "",
                        absl::StrCat("\"", request.m_target_pool.Value(),
                                     "\" is no other pool")});
  }
  if (row.m_moved_ms != 0 && row.m_moved_from == request.m_target_pool &&
      UtcMilliseconds(now) - row.m_moved_ms < ToMilliseconds(kMoveBackBound)) {
    blockers.push_back({Code::kMoveRefused, "",
                        absl::StrCat("VM \"", row.m_name.Value(),
                                     "\" came from that pool less than 10 "
                                     "minutes ago")});
  }
  const std::string key = BudgetKey(BudgetKind::kPool, row.m_pool.Value());
  const auto pool = view.m_budgets.find(key);
  if (pool != view.m_budgets.end() &&
      pool->second.m_row.m_size - MovesUnderWay(view, row.m_pool) - 1 <
          pool->second.m_row.m_min_size) {
    blockers.push_back({Code::kMoveRefused, key,
                        absl::StrCat(key, " keeps at least ",
                                     pool->second.m_row.m_min_size, " VMs")});
  }
}

}  // namespace

absl::Status ToStatus(const ChangePlan& plan) {
  if (plan.Allowed()) {
    return absl::OkStatus();
  }
  std::string text;
  for (const Blocker& blocker : plan.m_blockers) {
    absl::StrAppend(&text, text.empty() ? "" : "; ", blocker.m_text);
  }
  return Error(plan.m_blockers.front().m_code, text);
}

std::int64_t UtcMilliseconds(TimePoint now) {
  return ToMilliseconds(now.time_since_epoch());
}

std::vector<Blocker> DrainBlockers(const FleetView& view,
                                   const Catalogue& catalogue, TimePoint now,
                                   const DrainRequest& request) {
  std::vector<Blocker> blockers;
  const VmRow* row = FindVm(view, request.m_vm);
  if (row == nullptr) {
    blockers.push_back(UnknownVm(request.m_vm));
    return blockers;
  }
  if (row->m_state != VmState::kInService) {
    blockers.push_back(WrongState(*row));
  }
  if (request.m_purpose == Purpose::kMove) {
    CheckMove(view, catalogue, now, *row, request, blockers);
  }
  if (const auto end =
          BlackoutEnd(BlackoutsOf(catalogue, row->m_pool), UtcMilliseconds(now),
                      ToMilliseconds(request.m_expected))) {
    blockers.push_back({Code::kWaveBlocked, "",
                        absl::StrCat("pool \"", row->m_pool.Value(),
                                     "\" has a blackout until ", *end)});
  }
  return blockers;
}

std::optional<VmRow> AfterEvent(const VmRow& row, TimePoint now, VmEvent event,
                                const DrainRequest& request) {
  const std::optional<VmState> state =
      NextState(row.m_state, event, row.m_purpose);
  if (!state) {
    return std::nullopt;
  }
  const std::int64_t now_ms = UtcMilliseconds(now);
  VmRow after = row;
  after.m_state = *state;
  ++after.m_epoch;
  after.m_since_ms = now_ms;
  if (event == VmEvent::kAdmit) {
    after.m_purpose = request.m_purpose;
    after.m_target_pool = request.m_target_pool;
    after.m_wave = request.m_wave;
  }
  if (event == VmEvent::kMoved) {
    after.m_moved_from = row.m_pool;
    after.m_moved_ms = now_ms;
    after.m_pool = row.m_target_pool;
  }
  if (event == VmEvent::kVerified && row.m_purpose == Purpose::kMaintain) {
    after.m_last_maintained_ms = now_ms;
  }
  // A reboot that came up late still counts as maintenance, so a VM that
  // failed while rebooting keeps its purpose.
  const bool rebooted_late =
      event == VmEvent::kFail && row.m_state == VmState::kRebooting;
  if (*state == VmState::kInService ||
      (*state == VmState::kFailed && !rebooted_late)) {
    after.m_purpose = Purpose::kNone;
    after.m_target_pool = PoolName();
    after.m_wave.clear();
  }
  return after;
}

ChangePlan PlanDrain(const FleetView& view, const Catalogue& catalogue,
                     TimePoint now, const DrainRequest& request) {
  ChangePlan plan;
  plan.m_blockers = DrainBlockers(view, catalogue, now, request);
  const VmRow* row = FindVm(view, request.m_vm);
  if (row == nullptr || row->m_state != VmState::kInService) {
    return plan;
  }
  for (const std::string& key : BudgetsOf(view, *row)) {
    const auto budget = view.m_budgets.find(key);
    if (budget == view.m_budgets.end()) {
      plan.m_blockers.push_back(
          {Code::kNotFound, key,
           absl::StrCat("budget ", key, " is not in the table")});
    } else if (Room(budget->second.m_row) < 1) {
      plan.m_blockers.push_back(
          {Code::kBudgetWouldBreak, key, DescribeBudget(budget->second.m_row)});
    }
  }
  if (!plan.Allowed()) {
    return plan;
  }
  const std::optional<VmRow> after =
      AfterEvent(*row, now, VmEvent::kAdmit, request);
  return StageAlone({view}, row, &*after, Consent::kVoluntary);
}

ChangePlan PlanRollBack(const FleetView& view, TimePoint now,
                        const VmName& vm) {
  const VmRow* row = FindVm(view, vm);
  if (row == nullptr) {
    return Refused(UnknownVm(vm));
  }
  const std::optional<VmRow> after = AfterEvent(*row, now, VmEvent::kRollBack);
  if (!after) {
    return Refused(WrongState(*row));
  }
  return StageAlone({view}, row, &*after, Consent::kForced);
}

ChangePlan PlanRegister(const FleetView& view, const Catalogue& catalogue,
                        TimePoint now, VmRow row) {
  if (const VmRow* old = FindVm(view, row.m_name)) {
    return Refused(WrongState(*old));
  }
  if (FindPool(catalogue, row.m_pool) == nullptr) {
    return Refused(
        {Code::kNotFound, "",
         absl::StrCat("there is no pool \"", row.m_pool.Value(), "\"")});
  }
  row.m_state = VmState::kVerifying;
  row.m_epoch = 1;
  row.m_since_ms = UtcMilliseconds(now);
  row.m_purpose = Purpose::kMaintain;
  return StageAlone({view, nullptr, nullptr, &catalogue}, nullptr, &row,
                    Consent::kForced);
}

ChangePlan PlanReplace(const FleetView& view, TimePoint now, const VmName& old,
                       const VmName& name, const std::string& address) {
  const VmRow* before = FindVm(view, old);
  if (before == nullptr) {
    return Refused(UnknownVm(old));
  }
  if (const VmRow* taken = FindVm(view, name)) {
    return Refused(WrongState(*taken));
  }
  VmRow after = *before;
  after.m_name = name;
  after.m_address = address;
  after.m_state = VmState::kVerifying;
  ++after.m_epoch;
  after.m_since_ms = UtcMilliseconds(now);
  after.m_purpose = Purpose::kMaintain;
  after.m_target_pool = PoolName();
  after.m_wave.clear();
  after.m_moved_from = PoolName();
  after.m_moved_ms = 0;
  after.m_boot.clear();
  return StageAlone({view}, before, &after, Consent::kForced);
}

ChangePlan PlanRemove(const FleetView& view, const VmName& vm) {
  const VmRow* row = FindVm(view, vm);
  if (row == nullptr) {
    return Refused(UnknownVm(vm));
  }
  if (row->m_state != VmState::kFailed && row->m_state != VmState::kDrained) {
    return Refused(WrongState(*row));
  }
  return StageAlone({view}, row, nullptr, Consent::kForced);
}

}  // namespace filbertspar
