#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "boost/asio/awaitable.hpp"
#include "filbertspar/fleet/fleet.h"
#include "filbertspar/store/store.h"

namespace filbertspar {

/// \brief Rows of a fleet write in the order vms, budgets, waves.
std::vector<RowWrite> ToRowWrites(const WriteRows& write);

/// \brief Reads the changes of the tables `budget`, `vm` and `wave`.
class FleetTables {
 public:
  explicit FleetTables(Store& store) : m_store(store) {}

  /// \brief Changes since the last call. The budget table is read to its end
  /// before the VM table, as CorrectBudgets needs it.
  asio::awaitable<absl::StatusOr<RowsRead>> ReadChanges(bool with_waves);

 private:
  struct Cursor {
    std::string m_table;
    std::uint64_t m_sequence = 0;
  };

  asio::awaitable<absl::StatusOr<std::vector<Row>>> ReadToEnd(Cursor& cursor);

  Store& m_store;
  Cursor m_budgets{std::string(kBudgetTable)};
  Cursor m_vms{std::string(kVmTable)};
  Cursor m_waves{std::string(kWaveTable)};
};

/// \brief Takes changed rows over into a view.
void ApplyRows(FleetView& view, const RowsRead& rows);

}  // namespace filbertspar
