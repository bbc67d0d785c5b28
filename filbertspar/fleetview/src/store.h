#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "filbertspar/base/base.h"

namespace filbertspar {

/// \brief Key of a row in the metadata store.
struct StoreKey {
  std::string m_table;
  /// Rows of one partition can change in one transaction.
  std::string m_partition;
  std::string m_key;

  friend bool operator==(const StoreKey&, const StoreKey&) = default;
  friend auto operator<=>(const StoreKey&, const StoreKey&) = default;
};

struct StoreRow {
  StoreKey m_key;
  std::string m_value;
  RowVersion m_version;
  /// Whether the row was removed.
  bool m_deleted = false;
};

/// \brief Conditional writes and deletes that the store applies atomically.
struct StoreTransaction {
  struct Condition {
    StoreKey m_key;
    /// Expected version; the default value requires that the row not exist.
    RowVersion m_version;
  };
  struct Write {
    StoreKey m_key;
    std::string m_value;
  };
  std::vector<Condition> m_conditions;
  std::vector<Write> m_writes;
  std::vector<StoreKey> m_deletes;

  /// \brief Number of entries that count toward the store's limit.
  std::size_t EntryCount() const {
    return m_conditions.size() + m_writes.size() + m_deletes.size();
  }
};

enum class StoreResult : std::uint8_t {
  kDone,
  /// A condition of the transaction was not met; nothing was written.
  kConflict,
  /// Not executed: rate limit exceeded, or the store is unavailable.
  kRefused,
  /// The store no longer has the changes after the requested version.
  kHistoryGone,
  /// The store rejects the request as it stands.
  kInvalid,
  /// No usable response; a transaction may have been applied, or may still be.
  kUnknown,
};

/// \brief Label of a result in logs and metrics.
std::string_view StoreResultName(StoreResult result);

struct StoreResponse {
  StoreResult m_result = StoreResult::kUnknown;
  /// Rows read; on a conflict, the rows whose condition was not met.
  std::vector<StoreRow> m_rows;
  /// Latest version of the store.
  RowVersion m_version;
  /// Whether more rows follow the last row of this response.
  bool m_more = false;
  /// Monotonic clock of the store in milliseconds; 0 when not stated.
  std::int64_t m_now_ms = 0;
};

}  // namespace filbertspar
