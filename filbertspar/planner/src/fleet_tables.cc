#include "filbertspar/planner/src/fleet_tables.h"

#include <optional>
#include <utility>

namespace filbertspar {
namespace {

constexpr Duration kReadDeadline = Seconds(1);

std::string TableKeyOf(const VmRow& row) { return row.m_name.Value(); }
std::string TableKeyOf(const BudgetRow& row) { return KeyOf(row); }
std::string TableKeyOf(const WaveRow& row) { return row.m_name; }

template <typename FleetRow>
void AddWrites(std::string_view table,
               const std::vector<FleetRowWrite<FleetRow>>& writes,
               std::vector<RowWrite>& out) {
  for (const FleetRowWrite<FleetRow>& write : writes) {
    RowWrite row;
    row.m_row = {std::string(table), TableKeyOf(write.m_row)};
    row.m_expect = write.m_expect;
    if (!write.m_erase) {
      row.m_value = ToJson(write.m_row);
    }
    out.push_back(std::move(row));
  }
}

/// A row that cannot be read is passed over: whoever wrote it is newer than
/// this process and its rows are for newer processes.
template <typename FleetRow>
void AddReads(const std::vector<Row>& rows,
              std::vector<RowRead<FleetRow>>& out) {
  for (const Row& row : rows) {
    RowRead<FleetRow> read;
    read.m_key = row.m_row.m_key;
    read.m_version = row.m_version;
    if (row.m_value) {
      FleetRow value;
      if (!row.m_value->is_object() ||
          !FromJson(row.m_value->as_object(), value).ok()) {
        continue;
      }
      read.m_row = std::move(value);
    }
    out.push_back(std::move(read));
  }
}

}  // namespace

std::vector<RowWrite> ToRowWrites(const WriteRows& write) {
  std::vector<RowWrite> rows;
  AddWrites(kVmTable, write.m_vms, rows);
  AddWrites(kBudgetTable, write.m_budgets, rows);
  AddWrites(kWaveTable, write.m_waves, rows);
  return rows;
}

asio::awaitable<absl::StatusOr<std::vector<Row>>> FleetTables::ReadToEnd(
    Cursor& cursor) {
  std::vector<Row> rows;
  while (true) {
    absl::StatusOr<ChangeList> changes = co_await m_store.ReadChanges(
        cursor.m_table, cursor.m_sequence, kReadDeadline);
    if (!changes.ok()) {
      co_return changes.status();
    }
    const bool is_last = changes->m_rows.size() <
                         static_cast<std::size_t>(ChangesQuery{}.m_limit);
    cursor.m_sequence = changes->m_sequence;
    for (Row& row : changes->m_rows) {
      rows.push_back(std::move(row));
    }
    if (is_last) {
      co_return rows;
    }
  }
}

asio::awaitable<absl::StatusOr<RowsRead>> FleetTables::ReadChanges(
    bool with_waves) {
  // A cursor moves only after all tables were read, so that no change is lost
  // when a later read fails.
  Cursor budgets = m_budgets;
  Cursor vms = m_vms;
  Cursor waves = m_waves;
  RowsRead read;
  const auto budget_rows = co_await ReadToEnd(budgets);
  if (!budget_rows.ok()) {
    co_return budget_rows.status();
  }
  const auto vm_rows = co_await ReadToEnd(vms);
  if (!vm_rows.ok()) {
    co_return vm_rows.status();
  }
  if (with_waves) {
    const auto wave_rows = co_await ReadToEnd(waves);
    if (!wave_rows.ok()) {
      co_return wave_rows.status();
    }
    AddReads(*wave_rows, read.m_waves);
  }
  AddReads(*budget_rows, read.m_budgets);
  AddReads(*vm_rows, read.m_vms);
  m_budgets = budgets;
  m_vms = vms;
  m_waves = waves;
  co_return read;
}

namespace {

template <typename Key, typename FleetRow>
void ApplyList(std::map<Key, Versioned<FleetRow>>& rows,
               const std::vector<RowRead<FleetRow>>& reads) {
  for (const RowRead<FleetRow>& read : reads) {
    const Key key(read.m_key);
    if (read.m_row) {
      rows[key] = {*read.m_row, read.m_version};
    } else {
      rows.erase(key);
    }
  }
}

}  // namespace

void ApplyRows(FleetView& view, const RowsRead& rows) {
  ApplyList(view.m_budgets, rows.m_budgets);
  ApplyList(view.m_vms, rows.m_vms);
  ApplyList(view.m_waves, rows.m_waves);
}

}  // namespace filbertspar
