#include "filbertspar/journal/src/row_parts.h"

#include <algorithm>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace filbertspar {
namespace {

constexpr char kSeparator = '/';

/// Key of the value and number of the part.
std::pair<std::string, std::size_t> ParsePartKey(const std::string& key) {
  const std::size_t separator = key.rfind(kSeparator);
  std::uint32_t part = 0;
  if (separator == std::string::npos ||
      !absl::SimpleAtoi(key.substr(separator + 1), &part) || part == 0) {
    return {key, 0};
  }
  return {key.substr(0, separator), part};
}

}  // namespace

std::size_t MaxPartBytes(std::int64_t row_bytes) {
  constexpr std::int64_t kMinPartBytes = 512;
  return static_cast<std::size_t>(
      std::max(kMinPartBytes, (row_bytes - 4) / 4 * 3));
}

std::size_t MaxValueBytes(std::size_t max_part_bytes) {
  /// Leaves room for the other entries and bytes of a transaction.
  constexpr std::size_t kMaxParts = 80;
  constexpr std::size_t kMaxBytes = 600'000;
  return std::min(kMaxBytes, kMaxParts * max_part_bytes);
}

std::size_t CountParts(std::size_t bytes, std::size_t max_bytes) {
  return std::max<std::size_t>(1, (bytes + max_bytes - 1) / max_bytes);
}

std::vector<std::string> SplitValue(std::string_view value,
                                    std::size_t max_bytes) {
  std::vector<std::string> parts;
  do {
    parts.emplace_back(value.substr(0, max_bytes));
    value.remove_prefix(parts.back().size());
  } while (!value.empty());
  return parts;
}

std::string PartKey(const std::string& key, std::size_t part) {
  return part == 0 ? key : absl::StrCat(key, std::string(1, kSeparator), part);
}

std::map<std::string, JoinedValue> JoinParts(
    const std::vector<StoreRow>& rows) {
  std::map<std::string, std::map<std::size_t, const std::string*>> parts;
  for (const StoreRow& row : rows) {
    const auto [key, part] = ParsePartKey(row.m_key.m_key);
    parts[key][part] = &row.m_value;
  }
  std::map<std::string, JoinedValue> joined;
  for (const auto& [key, values] : parts) {
    JoinedValue& value = joined[key];
    value.m_parts = values.rbegin()->first + 1;
    value.m_is_complete = values.size() == value.m_parts;
    for (const auto& [part, bytes] : values) {
      value.m_value += *bytes;
    }
  }
  return joined;
}

}  // namespace filbertspar
