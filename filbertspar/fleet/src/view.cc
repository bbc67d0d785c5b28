#include "filbertspar/fleet/src/view.h"

#include <algorithm>
#include <optional>
#include <string_view>
#include <utility>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "filbertspar/base/base.h"

namespace filbertspar {
namespace {

boost::json::string Text(std::string_view text) {
  return boost::json::string(text.data(), text.size());
}

const std::string& RowKey(const VmRow& row) { return row.m_name.Value(); }
std::string RowKey(const BudgetRow& row) { return KeyOf(row); }
const std::string& RowKey(const WaveRow& row) { return row.m_name; }

template <typename Row>
void AddWrites(JsonArray& array, std::string_view table,
               const std::vector<FleetRowWrite<Row>>& writes) {
  for (const FleetRowWrite<Row>& write : writes) {
    JsonObject object{{"table", Text(table)},
                      {"key", RowKey(write.m_row)},
                      {"expect", write.m_expect.Value()}};
    if (write.m_erase) {
      object["value"] = nullptr;
    } else {
      object["value"] = ToJson(write.m_row);
    }
    array.push_back(std::move(object));
  }
}

template <typename Map, typename Row, typename Key>
void Apply(Map& rows, const FleetRowWrite<Row>& write, const Key& key,
           RowVersion version) {
  if (write.m_erase) {
    rows.erase(key);
    return;
  }
  auto& slot = rows[key];
  slot.m_row = write.m_row;
  slot.m_version = version;
}

void Count(BudgetRow& budget, const VmRow& vm) {
  ++budget.m_size;
  budget.m_out += IsOut(vm) ? 1 : 0;
  budget.m_failed += vm.m_state == VmState::kFailed ? 1 : 0;
}

/// \brief Guarded entries per pool, in the order of the catalogue.
absl::flat_hash_map<std::string, std::vector<const CatalogueEntry*>> GuardsOf(
    const Catalogue& catalogue) {
  absl::flat_hash_map<std::string, std::vector<const CatalogueEntry*>> guards;
  for (const CatalogueEntry& entry : catalogue.m_entries) {
    if (entry.m_min_available > 0 && !entry.m_withdrawn) {
      guards[entry.m_pool.Value()].push_back(&entry);
    }
  }
  return guards;
}

}  // namespace

JsonArray ToWriteJson(const WriteRows& write) {
  JsonArray array;
  AddWrites(array, kVmTable, write.m_vms);
  AddWrites(array, kBudgetTable, write.m_budgets);
  AddWrites(array, kWaveTable, write.m_waves);
  return array;
}

void ApplyCommitted(FleetView& view, const WriteRows& write,
                    const std::vector<RowVersion>& versions) {
  FS_ASSERT(versions.size() == write.Size(), "one version per written row");
  std::size_t next = 0;
  for (const auto& row : write.m_vms) {
    Apply(view.m_vms, row, row.m_row.m_name, versions[next++]);
  }
  for (const auto& row : write.m_budgets) {
    Apply(view.m_budgets, row, KeyOf(row.m_row), versions[next++]);
  }
  for (const auto& row : write.m_waves) {
    Apply(view.m_waves, row, row.m_row.m_name, versions[next++]);
  }
}

std::vector<std::string> BudgetsOf(const FleetView& view, const VmRow& vm) {
  std::vector<std::string> keys;
  keys.push_back(BudgetKey(BudgetKind::kPool, vm.m_pool.Value()));
  const auto pool = view.m_budgets.find(keys.front());
  if (pool != view.m_budgets.end()) {
    for (const std::string& guard : pool->second.m_row.m_guards) {
      keys.push_back(BudgetKey(BudgetKind::kEntry, guard));
    }
  }
  keys.push_back(BudgetKey(BudgetKind::kRack, vm.m_rack.Value()));
  keys.push_back(BudgetKey(BudgetKind::kZone, vm.m_zone.Value()));
  return keys;
}

std::int64_t Room(const BudgetRow& row, std::int64_t extra_out) {
  const std::int64_t out = row.m_out + extra_out;
  return std::min(row.m_max_out - out, row.m_size - out - row.m_min_available);
}

bool Holds(const BudgetRow& row, std::int64_t extra_out) {
  return Room(row, extra_out) >= 0;
}

std::map<std::string, BudgetRow> CountBudgets(const FleetView& view,
                                              const Catalogue& catalogue) {
  std::map<std::string, BudgetRow> rows;
  const auto guards = GuardsOf(catalogue);
  for (const Pool& pool : catalogue.m_pools) {
    BudgetRow row{.m_kind = BudgetKind::kPool,
                  .m_name = pool.m_name.Value(),
                  .m_max_out = pool.m_max_out,
                  .m_min_size = pool.m_min_size};
    if (const auto found = guards.find(row.m_name); found != guards.end()) {
      for (const CatalogueEntry* entry : found->second) {
        row.m_guards.push_back(entry->m_name.Value());
      }
    }
    rows.emplace(KeyOf(row), std::move(row));
  }
  const auto domain = [&rows](BudgetKind kind, const std::string& name,
                              std::int64_t max_out) -> BudgetRow& {
    const auto [at, added] = rows.try_emplace(BudgetKey(kind, name));
    if (added) {
      at->second.m_kind = kind;
      at->second.m_name = name;
      at->second.m_max_out = max_out;
    }
    return at->second;
  };
  for (const auto& [name, vm] : view.m_vms) {
    const VmRow& row = vm.m_row;
    // A pool that left the catalogue keeps its VMs, of which none may go out.
    Count(domain(BudgetKind::kPool, row.m_pool.Value(), 0), row);
    Count(domain(BudgetKind::kRack, row.m_rack.Value(),
                 catalogue.m_domains.m_rack_max_out),
          row);
    Count(domain(BudgetKind::kZone, row.m_zone.Value(),
                 catalogue.m_domains.m_zone_max_out),
          row);
  }
  for (const auto& [pool_name, entries] : guards) {
    const auto pool = rows.find(BudgetKey(BudgetKind::kPool, pool_name));
    for (const CatalogueEntry* entry : entries) {
      BudgetRow row{.m_kind = BudgetKind::kEntry,
                    .m_name = entry->m_name.Value(),
                    .m_min_available = entry->m_min_available};
      if (pool != rows.end()) {
        row.m_size = pool->second.m_size;
        row.m_out = pool->second.m_out;
        row.m_failed = pool->second.m_failed;
      }
      rows.emplace(KeyOf(row), std::move(row));
    }
  }
  return rows;
}

std::vector<WriteRows> CorrectBudgets(const FleetView& view,
                                      const Catalogue& catalogue,
                                      std::size_t max_rows) {
  std::vector<WriteRows> writes;
  // A pool and its guards change in one write, because the pool's row lists
  // the guards that every later write has to change with it.
  const auto add = [&](std::vector<FleetRowWrite<BudgetRow>> group) {
    if (group.empty()) {
      return;
    }
    if (writes.empty() ||
        writes.back().m_budgets.size() + group.size() > max_rows) {
      writes.emplace_back();
    }
    auto& rows = writes.back().m_budgets;
    rows.insert(rows.end(), group.begin(), group.end());
  };
  std::map<std::string, BudgetRow> wanted = CountBudgets(view, catalogue);
  const auto version_of = [&view](const std::string& key) {
    const auto found = view.m_budgets.find(key);
    return found == view.m_budgets.end() ? RowVersion()
                                         : found->second.m_version;
  };
  const auto differs = [&view](const std::string& key, const BudgetRow& row) {
    const auto found = view.m_budgets.find(key);
    return found == view.m_budgets.end() || !(found->second.m_row == row);
  };
  for (const auto& [key, row] : wanted) {
    if (row.m_kind == BudgetKind::kRack || row.m_kind == BudgetKind::kZone) {
      if (differs(key, row)) {
        add({{row, version_of(key), false}});
      }
      continue;
    }
    if (row.m_kind != BudgetKind::kPool) {
      continue;
    }
    bool changed = differs(key, row);
    std::vector<FleetRowWrite<BudgetRow>> group{{row, version_of(key), false}};
    for (const std::string& guard : row.m_guards) {
      const std::string guard_key = BudgetKey(BudgetKind::kEntry, guard);
      const BudgetRow& guard_row = wanted.at(guard_key);
      changed = changed || differs(guard_key, guard_row);
      group.push_back({guard_row, version_of(guard_key), false});
    }
    const auto old = view.m_budgets.find(key);
    if (old != view.m_budgets.end()) {
      for (const std::string& guard : old->second.m_row.m_guards) {
        const std::string guard_key = BudgetKey(BudgetKind::kEntry, guard);
        const auto row_now = view.m_budgets.find(guard_key);
        if (!wanted.contains(guard_key) && row_now != view.m_budgets.end()) {
          group.push_back(
              {row_now->second.m_row, row_now->second.m_version, true});
          changed = true;
        }
      }
    }
    if (changed) {
      add(std::move(group));
    }
  }
  return writes;
}

}  // namespace filbertspar
