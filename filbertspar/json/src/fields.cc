#include "filbertspar/json/src/fields.h"

#include <utility>

#include "absl/strings/str_cat.h"

namespace filbertspar {
namespace {

boost::json::string_view View(std::string_view text) {
  return {text.data(), text.size()};
}

}  // namespace

FieldReader::FieldReader(const JsonObject& object, std::string where)
    : m_object(object), m_where(std::move(where)) {}

bool FieldReader::Has(std::string_view field) const {
  return m_object.contains(View(field));
}

const Json* FieldReader::Find(std::string_view field) {
  m_seen.insert(std::string(field));
  return m_status.ok() ? m_object.if_contains(View(field)) : nullptr;
}

void FieldReader::Fail(std::string_view field, std::string_view expected) {
  if (m_status.ok()) {
    m_status = Error(Code::kBadField,
                     absl::StrCat(m_where, ": field \"", std::string(field),
                                  "\": expected ", std::string(expected)));
  }
}

const Json* FieldReader::Require(std::string_view field,
                                 std::string_view expected) {
  const Json* value = Find(field);
  if (value == nullptr) {
    Fail(field, expected);
  }
  return value;
}

void FieldReader::Read(std::string_view field, std::string& out) {
  const Json* value = Require(field, "a string");
  if (value == nullptr) {
    return;
  }
  if (!value->is_string()) {
    Fail(field, "a string");
    return;
  }
  out.assign(value->as_string().data(), value->as_string().size());
}

void FieldReader::Read(std::string_view field, bool& out) {
  const Json* value = Require(field, "true or false");
  if (value == nullptr) {
    return;
  }
  if (!value->is_bool()) {
    Fail(field, "true or false");
    return;
  }
  out = value->as_bool();
}

void FieldReader::Read(std::string_view field, std::int64_t& out,
                       IntRange range) {
  const std::string expected =
      absl::StrCat("an integer from ", range.m_min, " to ", range.m_max);
  const Json* value = Require(field, expected);
  if (value == nullptr) {
    return;
  }
  boost::json::error_code error;
  const auto number = value->to_number<std::int64_t>(error);
  if (error || number < range.m_min || number > range.m_max) {
    Fail(field, expected);
    return;
  }
  out = number;
}

void FieldReader::Read(std::string_view field, double& out, double min,
                       double max) {
  const std::string expected = absl::StrCat("a number from ", min, " to ", max);
  const Json* value = Require(field, expected);
  if (value == nullptr) {
    return;
  }
  boost::json::error_code error;
  const auto number = value->to_number<double>(error);
  if (error || !(number >= min && number <= max)) {
    Fail(field, expected);
    return;
  }
  out = number;
}

void FieldReader::Read(std::string_view field, Duration& out, Duration min,
                       Duration max) {
  std::int64_t count = 0;
  Read(field, count, IntRange{ToMilliseconds(min), ToMilliseconds(max)});
  if (m_status.ok()) {
    out = Milliseconds(count);
  }
}

void FieldReader::Read(std::string_view field, std::vector<std::string>& out) {
  const Json* value = Require(field, "a list of strings");
  if (value == nullptr) {
    return;
  }
  if (!value->is_array()) {
    Fail(field, "a list of strings");
    return;
  }
  std::vector<std::string> strings;
  for (const Json& item : value->as_array()) {
    if (!item.is_string()) {
      Fail(field, "a list of strings");
      return;
    }
    strings.emplace_back(item.as_string().data(), item.as_string().size());
  }
  out = std::move(strings);
}

absl::Status FieldReader::Finish() {
  for (const auto& pair : m_object) {
    const std::string_view key(pair.key().data(), pair.key().size());
    if (m_status.ok() && !m_seen.contains(key)) {
      Fail(key, "no such field");
    }
  }
  return m_status;
}

}  // namespace filbertspar
