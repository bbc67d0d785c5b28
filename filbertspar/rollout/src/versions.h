#pragma once

#include <memory>
#include <string>

#include "absl/status/statusor.h"
#include "filbertspar/catalogue/catalogue.h"
#include "filbertspar/platform/platform.h"

namespace filbertspar {

/// \brief One accepted version, as its row `config`/`version/N` holds it.
struct ConfigRecord {
  Catalogue m_catalogue;
  /// Name of the operator that proposed it.
  std::string m_author;
  std::string m_note;
};
using ConfigRecordPtr = std::shared_ptr<const ConfigRecord>;

RowKey HeadRowKey();
RowKey VersionRowKey(ConfigVersion version);

/// \brief Value of the head row: {"version":N}.
Json HeadToJson(ConfigVersion version);
absl::StatusOr<ConfigVersion> HeadFromJson(const Json& value);

/// \brief Value of a version row: {"document":{..},"author":"..","note":".."}.
Json RecordToJson(const ConfigRecord& record);
/// \brief Inverse of RecordToJson; the document is validated as a whole.
absl::StatusOr<ConfigRecordPtr> RecordFromJson(const Json& value);

}  // namespace filbertspar
