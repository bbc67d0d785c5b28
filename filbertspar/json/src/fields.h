#pragma once

#include <cstdint>
#include <limits>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"
#include "filbertspar/base/base.h"
#include "filbertspar/json/src/parse.h"

namespace filbertspar {

/// \brief Smallest and largest allowed value of an integer field.
struct IntRange {
  std::int64_t m_min = 0;
  std::int64_t m_max = std::numeric_limits<std::int64_t>::max();
};

/// \brief Reads typed fields of one object and keeps the first error.
///
/// `where` names the object in error messages. Finish() also reports a field
/// that no call has read, so that a misspelt field is not ignored.
class FieldReader {
 public:
  FieldReader(const JsonObject& object, std::string where);

  void Read(std::string_view field, std::string& out);
  void Read(std::string_view field, bool& out);
  void Read(std::string_view field, std::int64_t& out, IntRange range = {});
  void Read(std::string_view field, double& out, double min, double max);
  void Read(std::string_view field, Duration& out, Duration min, Duration max);
  void Read(std::string_view field, std::vector<std::string>& out);
  template <typename Tag>
  void Read(std::string_view field, Name<Tag>& out) {
    std::string text;
    Read(field, text);
    out = Name<Tag>(std::move(text));
  }
  template <typename Tag>
  void Read(std::string_view field, Quantity<Tag>& out, IntRange range = {}) {
    std::int64_t count = out.Count();
    Read(field, count, range);
    out = Quantity<Tag>(count);
  }

  /// \brief Like Read, but leaves `out` as it is when the field is absent.
  template <typename T, typename... Range>
  void ReadOptional(std::string_view field, T& out, Range... range) {
    if (Has(field)) {
      Read(field, out, range...);
    } else {
      m_seen.insert(std::string(field));
    }
  }

  /// \brief The field's value, or null when absent or after an error.
  const Json* Find(std::string_view field);

  bool Has(std::string_view field) const;
  void Fail(std::string_view field, std::string_view expected);

  /// \brief First error, or kBadField for a field that was never read.
  absl::Status Finish();

 private:
  const Json* Require(std::string_view field, std::string_view expected);

  const JsonObject& m_object;
  std::string m_where;
  std::set<std::string, std::less<>> m_seen;
  absl::Status m_status;
};

}  // namespace filbertspar
