#include "filbertspar/burn/src/record.h"

#include <string_view>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/str_cat.h"
#include "filbertspar/json/json.h"

namespace filbertspar {
namespace {

std::string TextOf(const JsonObject& object, const char* field) {
  const Json* value = object.if_contains(field);
  if (value == nullptr || !value->is_string()) {
    return "";
  }
  return {value->as_string().data(), value->as_string().size()};
}

std::int64_t NumberOf(const JsonObject& object, const char* field,
                      std::int64_t fallback) {
  const Json* value = object.if_contains(field);
  return value != nullptr && value->is_int64() ? value->as_int64() : fallback;
}

absl::Status BadLine(const std::string& name, std::size_t line,
                     std::string_view fault) {
  return Error(Code::kBadField,
               absl::StrCat(name, ":", line, ": ", std::string(fault)));
}

}  // namespace

absl::Status ReadHistory(std::istream& in, const std::string& name,
                         std::vector<CallRecord>& calls) {
  absl::flat_hash_map<std::int64_t, std::size_t> open;
  std::string text;
  std::size_t line = 0;
  while (std::getline(in, text)) {
    ++line;
    if (text.empty()) {
      continue;
    }
    absl::StatusOr<JsonObject> event = ParseJsonObject(text);
    if (!event.ok()) {
      return BadLine(name, line, "not a JSON object");
    }
    const std::string kind = TextOf(*event, "event");
    const std::int64_t call = NumberOf(*event, "call", -1);
    const std::int64_t time = NumberOf(*event, "time_us", -1);
    if ((kind != "submitted" && kind != "answered") || call < 0 || time < 0) {
      return BadLine(name, line,
                     "expected a submitted or answered event with call and "
                     "time_us");
    }
    if (kind == "submitted") {
      if (!open.emplace(call, calls.size()).second) {
        return BadLine(name, line, "the call was submitted before");
      }
      calls.push_back({.m_team = TeamName(TextOf(*event, "team")),
                       .m_entry = EntryName(TextOf(*event, "entry")),
                       .m_sent_us = time});
      continue;
    }
    const auto found = open.find(call);
    if (found == open.end()) {
      return BadLine(name, line, "an answer to a call that was not submitted");
    }
    CallRecord& record = calls[found->second];
    record.m_answered_us = time;
    record.m_code = static_cast<int>(NumberOf(*event, "code", -1));
  }
  return absl::OkStatus();
}

}  // namespace filbertspar
