#pragma once

#include <string>
#include <vector>

#include "filbertspar/json/json.h"

namespace filbertspar::ctl {

/// \brief Rows of text under a heading; columns of numbers align right.
struct Table {
  std::vector<std::string> m_heading;
  std::vector<std::vector<std::string>> m_rows;
};

/// \brief Prints to standard output. A row may be shorter than the heading.
void Print(const Table& table);

/// \brief A value as people read it: text without quotes, a list as
/// comma-separated items, an empty one as "-".
std::string Readable(const Json& value);

/// \brief Table of objects with the given fields as columns.
Table TableOf(const JsonArray& items, const std::vector<std::string>& fields);

/// \brief Table with one line per field.
Table FieldsOf(const JsonObject& object);

}  // namespace filbertspar::ctl
