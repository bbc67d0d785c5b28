#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "filbertspar/base/base.h"

namespace filbertspar {

/// \brief Address of a row in the metadata store.
struct TableKey {
  std::string m_table;
  /// Rows of one part can change together.
  std::string m_part;
  std::string m_key;

  friend bool operator==(const TableKey&, const TableKey&) = default;
  friend auto operator<=>(const TableKey&, const TableKey&) = default;
};

struct TableRow {
  TableKey m_key;
  std::string m_value;
  RowVersion m_version;
  bool m_deleted = false;
};

/// \brief Changes that take effect together, or not at all.
struct TableChange {
  struct Condition {
    TableKey m_key;
    /// None when the row must not exist.
    RowVersion m_version;
  };
  struct Value {
    TableKey m_key;
    std::string m_value;
  };
  std::vector<Condition> m_conditions;
  std::vector<Value> m_values;
  std::vector<TableKey> m_removals;

  std::size_t Entries() const {
    return m_conditions.size() + m_values.size() + m_removals.size();
  }
};

enum class StoreResult : std::uint8_t {
  kDone,
  /// A condition did not hold.
  kConflict,
  /// Nothing was done: over the rate, or unavailable.
  kRefused,
  /// The history asked for is gone.
  kHistoryGone,
  /// The store will not take the call as it is.
  kInvalid,
  /// No answer; the call may have taken effect or may still do so.
  kUnknown,
};

std::string_view StoreResultName(StoreResult result);

struct TableAnswer {
  StoreResult m_result = StoreResult::kUnknown;
  /// Rows read, or those whose condition did not hold.
  std::vector<TableRow> m_rows;
  /// Newest version of the store.
  RowVersion m_version;
  bool m_more = false;
  /// A steady clock of the store in milliseconds.
  std::int64_t m_now_ms = 0;
};

}  // namespace filbertspar
