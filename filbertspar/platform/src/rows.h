#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "filbertspar/base/base.h"
#include "filbertspar/json/json.h"

namespace filbertspar {

/// \brief Address of a row.
struct RowKey {
  std::string m_table;
  std::string m_key;

  friend bool operator==(const RowKey&, const RowKey&) = default;
  // NOLINTNEXTLINE(modernize-use-nullptr): false alarm on defaulted <=>.
  friend auto operator<=>(const RowKey&, const RowKey&) = default;
};

/// \brief A row as read; version 0 and no value when it does not exist.
struct Row {
  RowKey m_row;
  RowVersion m_version{};
  /// Attempt id of the last write; empty in a list of changes.
  std::string m_attempt{};
  /// Position in the table's order of changes; 0 in a read of one row.
  std::uint64_t m_sequence = 0;
  std::optional<Json> m_value{};
};

/// \brief One row of a write; without a value the row is deleted.
struct RowWrite {
  RowKey m_row;
  /// Version that the row must have; 0 when it must not exist. It must have
  /// been read: a late packet that expects a version still to come may take
  /// effect after the write was reported as a conflict.
  RowVersion m_expect{};
  std::optional<Json> m_value{};
};

/// \brief A row whose version was not the expected one.
struct RowConflict {
  RowKey m_row;
  RowVersion m_version{};
  std::string m_attempt{};
};

/// \brief All rows of a write are changed, or none.
struct WriteBody {
  std::string m_attempt{};
  std::vector<RowWrite> m_rows{};
};

/// \brief Rows of one table changed after a sequence, deleted ones included.
struct ChangeList {
  std::string m_table;
  std::vector<Row> m_rows{};
  /// The next read of changes starts after this sequence.
  std::uint64_t m_sequence = 0;
};

/// \brief A VM as the platform's list shows it; the list lags.
struct PlatformVm {
  VmName m_id;
  std::string m_address;
  ZoneName m_zone;
  bool m_leaving = false;
};

struct VmList {
  std::vector<PlatformVm> m_vms;
};

struct ObjectContent {
  std::string m_bytes;
};

struct RowQuery {
  RowKey m_row;
};

struct ChangesQuery {
  std::string m_table;
  std::uint64_t m_since = 0;
  std::int64_t m_limit = 500;
};

struct VmsQuery {};

struct ObjectQuery {
  std::string m_name;
};

/// \brief Storing an object is idempotent: a name always has one content.
struct ObjectPut {
  std::string m_name;
  std::string m_bytes;
};

/// \brief A call that may be repeated without harm.
using PlatformCall =
    std::variant<RowQuery, ChangesQuery, VmsQuery, ObjectQuery, ObjectPut>;

/// \brief Answer of a call: std::monostate after an ObjectPut or an error.
using PlatformAnswer =
    std::variant<std::monostate, Row, ChangeList, VmList, ObjectContent>;

}  // namespace filbertspar
