#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "filbertspar/fleet/src/view.h"

namespace filbertspar {

/// \brief What stops a change.
struct Blocker {
  Code m_code = Code::kBudgetWouldBreak;
  /// Key of the budget that stops the change; empty for another reason.
  std::string m_budget;
  std::string m_text;

  friend bool operator==(const Blocker&, const Blocker&) = default;
};

/// \brief Whether budgets may refuse the change; failures are only counted.
enum class Consent : std::uint8_t { kForced, kVoluntary };

/// \brief Rows of "TABLE/KEY" with a write in flight.
using LockedRows = absl::flat_hash_set<std::string>;

/// \brief VMs per budget key that are believed dead and not yet written so.
using SuspectCounts = absl::flat_hash_map<std::string, std::int64_t>;

/// \brief What staging reads besides the rows; null members are empty.
struct StageContext {
  const FleetView& m_view;
  const LockedRows* m_locked = nullptr;
  const SuspectCounts* m_suspected = nullptr;
  /// Limits for the row of a rack or zone that appears with a new VM.
  const Catalogue* m_catalogue = nullptr;
};

/// \brief Changes that are collected for one write.
struct Batch {
  /// Staged row, or nothing for a deleted one.
  std::map<VmName, std::optional<VmRow>> m_vms;
  std::map<std::string, BudgetRow> m_budgets;

  std::size_t Size() const { return m_vms.size() + m_budgets.size(); }
};

/// \brief Adds the change of a VM row, with every budget row whose counts it
/// changes. `before` is null for a new VM, `after` for a deleted one.
///
/// A voluntary change is refused when a budget that it takes from would not
/// hold. Nothing is added when a blocker is returned.
std::optional<Blocker> Stage(Batch& batch, const StageContext& context,
                             const VmRow* before, const VmRow* after,
                             Consent consent);

/// \brief The batch as one conditional write against the view's versions.
WriteRows ToWrite(const Batch& batch, const FleetView& view);

std::string LockKey(std::string_view table, std::string_view key);

/// \brief Adds or removes the locks of all rows of a write.
void Lock(LockedRows& locked, const WriteRows& write);
void Unlock(LockedRows& locked, const WriteRows& write);

/// \brief "pool:quotes has 1 of at most 1 out (1 failed), 5 in service, needs
/// 5".
std::string DescribeBudget(const BudgetRow& row);

}  // namespace filbertspar
