#include "programs/ctl/table.h"

#include <algorithm>
#include <cstdio>
#include <utility>

#include "absl/strings/numbers.h"

namespace filbertspar::ctl {
namespace {

bool IsNumber(const std::string& text) {
  double number = 0;
  return absl::SimpleAtod(text, &number);
}

std::string Text(boost::json::string_view text) {
  return {text.data(), text.size()};
}

}  // namespace

void Print(const Table& table) {
  const std::size_t columns = table.m_heading.size();
  std::vector<std::size_t> widths(columns);
  std::vector<bool> numbers(columns, !table.m_rows.empty());
  for (std::size_t i = 0; i < columns; ++i) {
    widths[i] = table.m_heading[i].size();
    for (const auto& row : table.m_rows) {
      if (i < row.size()) {
        widths[i] = std::max(widths[i], row[i].size());
        numbers[i] = numbers[i] && IsNumber(row[i]);
      }
    }
  }
  const auto print_row = [&](const std::vector<std::string>& row) {
    std::string line;
    for (std::size_t i = 0; i < std::min(columns, row.size()); ++i) {
      const std::string pad(widths[i] - row[i].size(), ' ');
      line += i == 0 ? "" : "  ";
      line += numbers[i] ? pad + row[i] : row[i] + pad;
    }
    line.erase(line.find_last_not_of(' ') + 1);
    std::printf("%s\n", line.c_str());
  };
  print_row(table.m_heading);
  for (const auto& row : table.m_rows) {
    print_row(row);
  }
}

std::string Readable(const Json& value) {
  if (value.is_string()) {
    return value.as_string().empty() ? "-" : Text(value.as_string());
  }
  if (value.is_bool()) {
    return value.as_bool() ? "yes" : "no";
  }
  if (value.is_array()) {
    std::string text;
    for (const Json& item : value.as_array()) {
      text += text.empty() ? "" : ",";
      text += Readable(item);
    }
    return text.empty() ? "-" : text;
  }
  if (value.is_double()) {
    char text[32];
    std::snprintf(text, sizeof text, "%.6g", value.as_double());
    return text;
  }
  return value.is_null() ? "-" : ToText(value);
}

Table TableOf(const JsonArray& items, const std::vector<std::string>& fields) {
  Table table;
  table.m_heading = fields;
  for (const Json& item : items) {
    std::vector<std::string> row;
    for (const std::string& field : fields) {
      const Json* value =
          item.is_object() ? item.as_object().if_contains(field) : nullptr;
      row.push_back(value == nullptr ? "-" : Readable(*value));
    }
    table.m_rows.push_back(std::move(row));
  }
  return table;
}

Table FieldsOf(const JsonObject& object) {
  Table table;
  table.m_heading = {"field", "value"};
  for (const auto& pair : object) {
    table.m_rows.push_back({Text(pair.key()), Readable(pair.value())});
  }
  return table;
}

}  // namespace filbertspar::ctl
