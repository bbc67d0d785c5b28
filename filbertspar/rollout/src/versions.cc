#include "filbertspar/rollout/src/versions.h"

#include <utility>

#include "absl/strings/str_cat.h"

namespace filbertspar {

RowKey HeadRowKey() { return {"config", "head"}; }

RowKey VersionRowKey(ConfigVersion version) {
  return {"config", absl::StrCat("version/", version.Value())};
}

Json HeadToJson(ConfigVersion version) {
  return JsonObject{{"version", version.Value()}};
}

absl::StatusOr<ConfigVersion> HeadFromJson(const Json& value) {
  if (!value.is_object()) {
    return Error(Code::kPlatformBadAnswer, "head: expected an object");
  }
  FieldReader reader(value.as_object(), "head");
  std::int64_t version = 0;
  reader.Read("version", version, IntRange{1});
  FS_RETURN_IF_ERROR(reader.Finish());
  return ConfigVersion(static_cast<std::uint64_t>(version));
}

Json RecordToJson(const ConfigRecord& record) {
  return JsonObject{{"document", ToJson(record.m_catalogue)},
                    {"author", record.m_author},
                    {"note", record.m_note}};
}

absl::StatusOr<ConfigRecordPtr> RecordFromJson(const Json& value) {
  if (!value.is_object()) {
    return Error(Code::kBadField, "version: expected an object");
  }
  FieldReader reader(value.as_object(), "version");
  ConfigRecord record;
  reader.Read("author", record.m_author);
  reader.Read("note", record.m_note);
  const Json* document = reader.Find("document");
  if (document == nullptr || !document->is_object()) {
    reader.Fail("document", "an object");
  }
  FS_RETURN_IF_ERROR(reader.Finish());
  FS_RETURN_IF_ERROR(FromJson(document->as_object(), record.m_catalogue));
  FS_RETURN_IF_ERROR(Validate(record.m_catalogue));
  return std::make_shared<const ConfigRecord>(std::move(record));
}

}  // namespace filbertspar
