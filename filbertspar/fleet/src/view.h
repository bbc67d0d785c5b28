#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "filbertspar/catalogue/catalogue.h"
#include "filbertspar/fleet/src/rows.h"

namespace filbertspar {

/// \brief Rows as last read or written, with their versions.
struct FleetView {
  std::map<VmName, Versioned<VmRow>> m_vms;
  std::map<std::string, Versioned<BudgetRow>> m_budgets;
  std::map<std::string, Versioned<WaveRow>> m_waves;
};

/// \brief One write of a row; erased when `m_erase`. An expected version of
/// none means that the row must not exist.
template <typename Row>
struct FleetRowWrite {
  Row m_row;
  RowVersion m_expect = {};
  bool m_erase = false;
};

/// \brief Conditional write of several rows: all of them or none.
struct WriteRows {
  /// Number within the planner; the shell derives the attempt id from it.
  std::uint64_t m_id = 0;
  std::vector<FleetRowWrite<VmRow>> m_vms;
  std::vector<FleetRowWrite<BudgetRow>> m_budgets;
  std::vector<FleetRowWrite<WaveRow>> m_waves;

  bool Empty() const {
    return m_vms.empty() && m_budgets.empty() && m_waves.empty();
  }
  std::size_t Size() const {
    return m_vms.size() + m_budgets.size() + m_waves.size();
  }
};

/// \brief The `rows` array of `POST /write`.
JsonArray ToWriteJson(const WriteRows& write);

/// \brief Takes over rows that a write committed with the versions that the
/// platform answered, in the order vms, budgets, waves.
void ApplyCommitted(FleetView& view, const WriteRows& write,
                    const std::vector<RowVersion>& versions);

/// \brief Keys of the budgets that a VM counts in: its pool, the guarded
/// entries of its pool, its rack and its zone.
std::vector<std::string> BudgetsOf(const FleetView& view, const VmRow& vm);

/// \brief True when limits hold with `extra_out` more VMs out than the row
/// says.
bool Holds(const BudgetRow& row, std::int64_t extra_out = 0);

/// \brief More VMs that may go out before the budget stops them; negative when
/// it is broken.
std::int64_t Room(const BudgetRow& row, std::int64_t extra_out = 0);

/// \brief Budget rows that the catalogue and the vm rows call for, counted
/// anew from the vm rows.
std::map<std::string, BudgetRow> CountBudgets(const FleetView& view,
                                              const Catalogue& catalogue);

/// \brief Writes that create, correct or drop budget rows, at most `max_rows`
/// rows each.
///
/// The view must hold budget rows that were read before its vm rows. Every
/// write that changes a count also changes the budget's version, so a count of
/// vm rows that is newer than the budget row fails on the version.
std::vector<WriteRows> CorrectBudgets(const FleetView& view,
                                      const Catalogue& catalogue,
                                      std::size_t max_rows);

}  // namespace filbertspar
