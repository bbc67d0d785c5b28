#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "filbertspar/base/base.h"

namespace filbertspar {

/// \brief Address of a row in the metadata store.
struct StoreKey {
  std::string m_table;
  /// Rows of one part can change together.
  std::string m_partition;
  std::string m_key;

  friend bool operator==(const StoreKey&, const StoreKey&) = default;
  friend auto operator<=>(const StoreKey&, const StoreKey&) = default;
};

struct StoreRow {
  StoreKey m_key;
  std::string m_value;
  RowVersion m_version;
  bool m_deleted = false;
};

/// \brief Changes that take effect together, or not at all.
struct StoreTransaction {
  struct Condition {
    StoreKey m_key;
    /// None when the row must not exist.
    RowVersion m_version;
  };
  struct Write {
    StoreKey m_key;
    std::string m_value;
  };
  std::vector<Condition> m_conditions;
  std::vector<Write> m_writes;
  std::vector<StoreKey> m_deletes;

  std::size_t EntryCount() const {
    return m_conditions.size() + m_writes.size() + m_deletes.size();
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

struct StoreResponse {
  StoreResult m_result = StoreResult::kUnknown;
  /// Rows read, or those whose condition did not hold.
  std::vector<StoreRow> m_rows;
  /// Newest version of the store.
  RowVersion m_version;
  bool m_more = false;
  /// A steady clock of the store in milliseconds.
  std::int64_t m_now_ms = 0;
};

}  // namespace filbertspar
