#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "filbertspar/fleetview/fleetview.h"

namespace filbertspar {

/// \brief Largest part that a row takes whose value may have `row_bytes` as
/// base64.
std::size_t MaxPartBytes(std::int64_t row_bytes);

/// \brief Largest value that fits, in parts, into one transaction.
std::size_t MaxValueBytes(std::size_t max_part_bytes);

/// \brief Number of rows of `max_bytes` that a value of `bytes` takes, at least
/// one.
std::size_t CountParts(std::size_t bytes, std::size_t max_bytes);

/// \brief Cuts a value into the values of its rows.
std::vector<std::string> SplitValue(std::string_view value,
                                    std::size_t max_bytes);

/// \brief Key of the row with a part of the value; part 0 has the value's key,
/// which must not contain a slash.
std::string PartKey(const std::string& key, std::size_t part);

/// \brief A value that was read from the rows of its parts.
struct JoinedValue {
  std::string m_value;
  /// Highest number of a part that was found, plus one.
  std::size_t m_parts = 0;
  /// Whether no part before the last one is missing.
  bool m_is_complete = true;
};

/// \brief Values by key. The parts of a value must have been read at the same
/// version. Rows whose key names no part are values of their own.
std::map<std::string, JoinedValue> JoinParts(const std::vector<StoreRow>& rows);

}  // namespace filbertspar
