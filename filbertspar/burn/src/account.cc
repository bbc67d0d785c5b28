#include "filbertspar/burn/src/account.h"

#include "absl/strings/str_cat.h"
#include "filbertspar/base/base.h"
#include "filbertspar/json/json.h"

namespace filbertspar {
namespace {

double NumberOf(const JsonObject& object, const char* field) {
  const Json* value = object.if_contains(field);
  if (value == nullptr || !value->is_number()) {
    return 0;
  }
  return value->to_number<double>();
}

std::int64_t CountOf(const JsonObject& object, const char* field) {
  return static_cast<std::int64_t>(NumberOf(object, field));
}

std::string TextOf(const JsonObject& object, const char* field) {
  const Json* value = object.if_contains(field);
  if (value == nullptr || !value->is_string()) {
    return "";
  }
  return {value->as_string().data(), value->as_string().size()};
}

bool AddRow(const JsonObject& row, AccountRecord& account) {
  if (row.contains("team") && row.contains("owed")) {
    ShareHour hour{.m_hour = CountOf(row, "hour"),
                   .m_team = TextOf(row, "team"),
                   .m_owed = NumberOf(row, "owed"),
                   .m_got = NumberOf(row, "got"),
                   .m_lent = NumberOf(row, "lent"),
                   .m_borrowed = NumberOf(row, "borrowed")};
    if (const Json* touches = row.if_contains("touches");
        touches != nullptr && touches->is_array()) {
      for (const Json& touch : touches->as_array()) {
        if (touch.is_object()) {
          hour.m_touched_tasks += CountOf(touch.as_object(), "tasks");
        }
      }
    }
    account.m_shares.push_back(std::move(hour));
    return true;
  }
  if (row.contains("pool") && row.contains("buffer_vm_hours")) {
    account.m_pools.push_back(
        {.m_hour = CountOf(row, "hour"),
         .m_pool = TextOf(row, "pool"),
         .m_buffer_vm_hours = NumberOf(row, "buffer_vm_hours"),
         .m_moves = CountOf(row, "moves")});
    return true;
  }
  if (row.contains("wave") && row.contains("started_ms")) {
    account.m_waves.push_back({.m_name = TextOf(row, "wave"),
                               .m_started_ms = CountOf(row, "started_ms"),
                               .m_ended_ms = CountOf(row, "ended_ms"),
                               .m_vms = CountOf(row, "vms")});
    return true;
  }
  return false;
}

/// Adds an object that is a row or a list of rows.
bool AddObject(const JsonObject& object, AccountRecord& account) {
  const Json* rows = object.if_contains("rows");
  if (rows == nullptr || !rows->is_array()) {
    return AddRow(object, account);
  }
  for (const Json& row : rows->as_array()) {
    const Json* value =
        row.is_object() ? row.as_object().if_contains("value") : nullptr;
    const bool deleted = value != nullptr && value->is_null();
    if (!deleted && (value == nullptr || !value->is_object() ||
                     !AddRow(value->as_object(), account))) {
      return false;
    }
  }
  return true;
}

}  // namespace

absl::Status ReadAccount(std::istream& in, const std::string& name,
                         AccountRecord& account) {
  std::string text;
  std::size_t line = 0;
  while (std::getline(in, text)) {
    ++line;
    if (text.empty()) {
      continue;
    }
    absl::StatusOr<JsonObject> object = ParseJsonObject(text);
    if (!object.ok() || !AddObject(*object, account)) {
      return Error(Code::kBadField,
                   absl::StrCat(name, ":", line, ": not a row of an account"));
    }
  }
  return absl::OkStatus();
}

}  // namespace filbertspar
