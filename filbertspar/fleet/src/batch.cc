#include "filbertspar/fleet/src/batch.h"

#include <utility>

#include "absl/strings/str_cat.h"

namespace filbertspar {
namespace {

struct Delta {
  std::int64_t m_size = 0;
  std::int64_t m_out = 0;
  std::int64_t m_failed = 0;

  bool IsNone() const { return m_size == 0 && m_out == 0 && m_failed == 0; }
  /// \brief True when fewer VMs are in service or more are out.
  bool Takes() const { return m_out > 0 || m_size - m_out < 0; }
};

void AddDeltas(std::map<std::string, Delta>& deltas, const FleetView& view,
               const VmRow& vm, std::int64_t sign) {
  for (std::string& key : BudgetsOf(view, vm)) {
    Delta& delta = deltas[std::move(key)];
    delta.m_size += sign;
    delta.m_out += IsOut(vm) ? sign : 0;
    delta.m_failed += vm.m_state == VmState::kFailed ? sign : 0;
  }
}

const BudgetRow* FindBudget(const Batch& batch, const FleetView& view,
                            const std::string& key) {
  if (const auto staged = batch.m_budgets.find(key);
      staged != batch.m_budgets.end()) {
    return &staged->second;
  }
  const auto row = view.m_budgets.find(key);
  return row == view.m_budgets.end() ? nullptr : &row->second.m_row;
}

/// \brief Row of a rack or zone in which a first VM appears.
std::optional<BudgetRow> NewDomain(const StageContext& context,
                                   const std::string& key, const VmRow& vm) {
  if (context.m_catalogue == nullptr) {
    return std::nullopt;
  }
  const DomainBudgets& limits = context.m_catalogue->m_domains;
  if (key == BudgetKey(BudgetKind::kRack, vm.m_rack.Value())) {
    return BudgetRow{.m_kind = BudgetKind::kRack,
                     .m_name = vm.m_rack.Value(),
                     .m_max_out = limits.m_rack_max_out};
  }
  if (key == BudgetKey(BudgetKind::kZone, vm.m_zone.Value())) {
    return BudgetRow{.m_kind = BudgetKind::kZone,
                     .m_name = vm.m_zone.Value(),
                     .m_max_out = limits.m_zone_max_out};
  }
  return std::nullopt;
}

bool IsLocked(const StageContext& context, std::string_view table,
              std::string_view key) {
  return context.m_locked != nullptr && !context.m_locked->empty() &&
         context.m_locked->contains(LockKey(table, key));
}

Blocker InFlight(std::string_view key) {
  return {Code::kPlatformUnsettled, "",
          absl::StrCat("a write of ", std::string(key), " is in flight")};
}

std::optional<Blocker> CheckBudget(const StageContext& context,
                                   const std::string& key,
                                   const BudgetRow& after, const Delta& delta) {
  std::int64_t suspected = 0;
  if (context.m_suspected != nullptr) {
    const auto found = context.m_suspected->find(key);
    suspected = found == context.m_suspected->end() ? 0 : found->second;
  }
  if (delta.Takes() && !Holds(after, suspected)) {
    BudgetRow now = after;
    now.m_out -= delta.m_out;
    now.m_size -= delta.m_size;
    return Blocker{Code::kBudgetWouldBreak, key,
                   suspected == 0 ? DescribeBudget(now)
                                  : absl::StrCat(DescribeBudget(now), ", ",
                                                 suspected, " more silent")};
  }
  if (delta.m_size < 0 && after.m_size < after.m_min_size) {
    return Blocker{
        Code::kMoveRefused, key,
        absl::StrCat(key, " keeps at least ", after.m_min_size, " VMs")};
  }
  return std::nullopt;
}

}  // namespace

std::optional<Blocker> Stage(Batch& batch, const StageContext& context,
                             const VmRow* before, const VmRow* after,
                             Consent consent) {
  std::map<std::string, Delta> deltas;
  for (const VmRow* vm : {before, after}) {
    if (vm != nullptr) {
      if (IsLocked(context, kVmTable, vm->m_name.Value())) {
        return InFlight(vm->m_name.Value());
      }
      AddDeltas(deltas, context.m_view, *vm, vm == before ? -1 : 1);
    }
  }
  std::map<std::string, BudgetRow> changed;
  for (const auto& [key, delta] : deltas) {
    if (delta.IsNone()) {
      continue;
    }
    if (IsLocked(context, kBudgetTable, key)) {
      return InFlight(key);
    }
    const BudgetRow* found = FindBudget(batch, context.m_view, key);
    std::optional<BudgetRow> row;
    if (found != nullptr) {
      row = *found;
    } else if (before == nullptr && after != nullptr) {
      row = NewDomain(context, key, *after);
    }
    if (!row) {
      return Blocker{Code::kNotFound, key,
                     absl::StrCat("budget ", key, " is not in the table")};
    }
    row->m_size += delta.m_size;
    row->m_out += delta.m_out;
    row->m_failed += delta.m_failed;
    if (row->m_size < 0 || row->m_out < 0 || row->m_failed < 0) {
      return Blocker{Code::kPlatformConflict, key,
                     absl::StrCat("budget ", key, " awaits a recount")};
    }
    if (consent == Consent::kVoluntary) {
      if (auto blocker = CheckBudget(context, key, *row, delta)) {
        return blocker;
      }
    }
    changed.emplace(key, *std::move(row));
  }
  for (auto& [key, row] : changed) {
    batch.m_budgets[key] = std::move(row);
  }
  if (before != nullptr &&
      (after == nullptr || before->m_name != after->m_name)) {
    batch.m_vms[before->m_name] = std::nullopt;
  }
  if (after != nullptr) {
    batch.m_vms[after->m_name] = *after;
  }
  return std::nullopt;
}

WriteRows ToWrite(const Batch& batch, const FleetView& view) {
  WriteRows write;
  for (const auto& [name, row] : batch.m_vms) {
    const auto old = view.m_vms.find(name);
    const bool exists = old != view.m_vms.end();
    if (row) {
      write.m_vms.push_back(
          {*row, exists ? old->second.m_version : RowVersion(), false});
    } else if (exists) {
      write.m_vms.push_back({old->second.m_row, old->second.m_version, true});
    }
  }
  for (const auto& [key, row] : batch.m_budgets) {
    const auto old = view.m_budgets.find(key);
    write.m_budgets.push_back(
        {row,
         old == view.m_budgets.end() ? RowVersion() : old->second.m_version,
         false});
  }
  return write;
}

std::string LockKey(std::string_view table, std::string_view key) {
  std::string lock(table);
  lock += '/';
  lock += key;
  return lock;
}

void Lock(LockedRows& locked, const WriteRows& write) {
  for (const auto& row : write.m_vms) {
    locked.insert(LockKey(kVmTable, row.m_row.m_name.Value()));
  }
  for (const auto& row : write.m_budgets) {
    locked.insert(LockKey(kBudgetTable, KeyOf(row.m_row)));
  }
  for (const auto& row : write.m_waves) {
    locked.insert(LockKey(kWaveTable, row.m_row.m_name));
  }
}

void Unlock(LockedRows& locked, const WriteRows& write) {
  for (const auto& row : write.m_vms) {
    locked.erase(LockKey(kVmTable, row.m_row.m_name.Value()));
  }
  for (const auto& row : write.m_budgets) {
    locked.erase(LockKey(kBudgetTable, KeyOf(row.m_row)));
  }
  for (const auto& row : write.m_waves) {
    locked.erase(LockKey(kWaveTable, row.m_row.m_name));
  }
}

std::string DescribeBudget(const BudgetRow& row) {
  std::string text = absl::StrCat(KeyOf(row), " has ", row.m_out);
  if (row.m_max_out < kNoLimit) {
    absl::StrAppend(&text, " of at most ", row.m_max_out);
  }
  return absl::StrCat(text, " out (", row.m_failed, " failed), ",
                      row.m_size - row.m_out, " in service, needs ",
                      row.m_min_available);
}

}  // namespace filbertspar
