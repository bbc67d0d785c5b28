#include "filbertspar/platform/src/json_rows.h"

#include <utility>

#include "filbertspar/platform/src/codec.h"

namespace filbertspar {
namespace internal {
namespace {

Json ValueOrNull(const std::optional<Json>& value) {
  return value ? *value : Json(nullptr);
}

absl::Status FinishLoosely(FieldReader& reader, const JsonObject& object) {
  for (const auto& pair : object) {
    reader.Find({pair.key().data(), pair.key().size()});
  }
  return reader.Finish();
}

template <typename Tag>
void ReadId(FieldReader& reader, std::string_view field, Id<Tag>& out) {
  std::int64_t number = 0;
  reader.Read(field, number);
  out = Id<Tag>(static_cast<std::uint64_t>(number));
}

void ReadSequence(FieldReader& reader, std::uint64_t& out) {
  std::int64_t number = 0;
  reader.Read("sequence", number);
  out = static_cast<std::uint64_t>(number);
}

void ReadValue(FieldReader& reader, std::optional<Json>& out) {
  const Json* value = reader.Find("value");
  if (value == nullptr) {
    reader.Fail("value", "a value or null");
  } else if (!value->is_null()) {
    out = *value;
  }
}

// Calls `read(object, item)` for each element of an array of objects.
template <typename Item, typename Read>
absl::Status ReadItems(FieldReader& reader, std::string_view field,
                       std::vector<Item>& out, Read read) {
  const Json* list = reader.Find(field);
  if (list == nullptr || !list->is_array()) {
    reader.Fail(field, "a list of objects");
    return absl::OkStatus();
  }
  for (const Json& json : list->as_array()) {
    if (!json.is_object()) {
      reader.Fail(field, "a list of objects");
      return absl::OkStatus();
    }
    Item item;
    FS_RETURN_IF_ERROR(read(json.as_object(), item));
    out.push_back(std::move(item));
  }
  return absl::OkStatus();
}

absl::Status ChangeFromJson(const JsonObject& object, Row& out) {
  FieldReader reader(object, "change");
  reader.Read("key", out.m_row.m_key);
  ReadId(reader, "version", out.m_version);
  ReadSequence(reader, out.m_sequence);
  ReadValue(reader, out.m_value);
  return FinishLoosely(reader, object);
}

absl::Status VmFromJson(const JsonObject& object, PlatformVm& out) {
  FieldReader reader(object, "vm");
  std::string state;
  reader.Read("id", out.m_id);
  reader.Read("address", out.m_address);
  reader.Read("zone", out.m_zone);
  reader.Read("state", state);
  if (state != "live" && state != "leaving") {
    reader.Fail("state", "live or leaving");
  }
  out.m_leaving = state == "leaving";
  return FinishLoosely(reader, object);
}

absl::Status WriteRowFromJson(const JsonObject& object, RowWrite& out) {
  FieldReader reader(object, "row");
  reader.Read("table", out.m_row.m_table);
  reader.Read("key", out.m_row.m_key);
  ReadId(reader, "expect", out.m_expect);
  ReadValue(reader, out.m_value);
  return reader.Finish();
}

absl::Status ConflictFromJson(const JsonObject& object, RowConflict& out) {
  FieldReader reader(object, "conflict");
  reader.Read("table", out.m_row.m_table);
  reader.Read("key", out.m_row.m_key);
  ReadId(reader, "version", out.m_version);
  reader.ReadOptional("attempt", out.m_attempt);
  return FinishLoosely(reader, object);
}

}  // namespace

JsonObject WriteToJson(const WriteBody& write) {
  JsonArray rows;
  for (const RowWrite& row : write.m_rows) {
    rows.push_back(JsonObject{{"table", row.m_row.m_table},
                              {"key", row.m_row.m_key},
                              {"expect", row.m_expect.Value()},
                              {"value", ValueOrNull(row.m_value)}});
  }
  return {{"attempt", write.m_attempt}, {"rows", std::move(rows)}};
}

absl::Status RowFromJson(const JsonObject& object, Row& out) {
  FieldReader reader(object, "row");
  ReadId(reader, "version", out.m_version);
  reader.Read("attempt", out.m_attempt);
  ReadValue(reader, out.m_value);
  return FinishLoosely(reader, object);
}

absl::Status ChangesFromJson(const JsonObject& object, ChangeList& out) {
  FieldReader reader(object, "changes");
  FS_RETURN_IF_ERROR(ReadItems(reader, "rows", out.m_rows, ChangeFromJson));
  for (Row& row : out.m_rows) {
    row.m_row.m_table = out.m_table;
  }
  ReadSequence(reader, out.m_sequence);
  return FinishLoosely(reader, object);
}

absl::Status VmsFromJson(const JsonObject& object, VmList& out) {
  FieldReader reader(object, "vms");
  FS_RETURN_IF_ERROR(ReadItems(reader, "vms", out.m_vms, VmFromJson));
  return FinishLoosely(reader, object);
}

}  // namespace internal

absl::StatusOr<std::vector<RowVersion>> DecodeVersions(std::string_view body) {
  absl::StatusOr<JsonObject> object = ParseJsonObject(body);
  if (!object.ok()) {
    return object.status();
  }
  std::vector<RowVersion> versions;
  const Json* list = object->if_contains("versions");
  if (list == nullptr || !list->is_array()) {
    return Error(Code::kPlatformBadAnswer, "expected a list of versions");
  }
  for (const Json& item : list->as_array()) {
    boost::json::error_code error;
    const auto number = item.to_number<std::uint64_t>(error);
    if (error) {
      return Error(Code::kPlatformBadAnswer, "expected a list of versions");
    }
    versions.emplace_back(number);
  }
  return versions;
}

absl::StatusOr<std::vector<RowConflict>> DecodeConflicts(
    std::string_view body) {
  absl::StatusOr<JsonObject> object = ParseJsonObject(body);
  if (!object.ok()) {
    return object.status();
  }
  FieldReader reader(*object, "conflict answer");
  std::vector<RowConflict> conflicts;
  FS_RETURN_IF_ERROR(internal::ReadItems(reader, "conflicts", conflicts,
                                         internal::ConflictFromJson));
  FS_RETURN_IF_ERROR(internal::FinishLoosely(reader, *object));
  if (conflicts.empty()) {
    return Error(Code::kPlatformBadAnswer, "expected at least one conflict");
  }
  return conflicts;
}

absl::StatusOr<WriteBody> DecodeWrite(std::string_view body) {
  absl::StatusOr<JsonObject> object = ParseJsonObject(body);
  if (!object.ok()) {
    return object.status();
  }
  FieldReader reader(*object, "write");
  WriteBody write;
  reader.Read("attempt", write.m_attempt);
  FS_RETURN_IF_ERROR(internal::ReadItems(reader, "rows", write.m_rows,
                                         internal::WriteRowFromJson));
  FS_RETURN_IF_ERROR(reader.Finish());
  return write;
}

std::string EncodeVersions(const std::vector<RowVersion>& versions) {
  JsonArray list;
  for (const RowVersion version : versions) {
    list.push_back(Json(version.Value()));
  }
  return ToText(JsonObject{{"versions", std::move(list)}});
}

std::string EncodeConflicts(const std::vector<RowConflict>& conflicts) {
  JsonArray list;
  for (const RowConflict& conflict : conflicts) {
    list.push_back(JsonObject{{"table", conflict.m_row.m_table},
                              {"key", conflict.m_row.m_key},
                              {"version", conflict.m_version.Value()},
                              {"attempt", conflict.m_attempt}});
  }
  return ToText(JsonObject{{"conflicts", std::move(list)}});
}

std::string EncodeRow(const Row& row) {
  return ToText(JsonObject{{"version", row.m_version.Value()},
                           {"attempt", row.m_attempt},
                           {"value", internal::ValueOrNull(row.m_value)}});
}

std::string EncodeChanges(const ChangeList& changes) {
  JsonArray rows;
  for (const Row& row : changes.m_rows) {
    rows.push_back(JsonObject{{"key", row.m_row.m_key},
                              {"version", row.m_version.Value()},
                              {"sequence", row.m_sequence},
                              {"value", internal::ValueOrNull(row.m_value)}});
  }
  return ToText(
      JsonObject{{"rows", std::move(rows)}, {"sequence", changes.m_sequence}});
}

std::string EncodeVms(const VmList& vms) {
  JsonArray list;
  for (const PlatformVm& vm : vms.m_vms) {
    list.push_back(JsonObject{{"id", vm.m_id.Value()},
                              {"address", vm.m_address},
                              {"zone", vm.m_zone.Value()},
                              {"state", vm.m_leaving ? "leaving" : "live"}});
  }
  return ToText(JsonObject{{"vms", std::move(list)}});
}

}  // namespace filbertspar
