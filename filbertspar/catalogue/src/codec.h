#pragma once

#include "absl/status/statusor.h"
#include "filbertspar/catalogue/src/document.h"
#include "filbertspar/json/json.h"

namespace filbertspar {

/// \brief JSON form of the document; field names are the members' without m_,
/// durations are whole milliseconds with the suffix _ms.
JsonObject ToJson(const Catalogue& catalogue);
JsonObject ToJson(const Workspace& workspace);
JsonObject ToJson(const Team& team);
JsonObject ToJson(const Key& key);
JsonObject ToJson(const Operator& op);
JsonObject ToJson(const CatalogueEntry& entry);
JsonObject ToJson(const Pool& pool);
JsonObject ToJson(const Objective& objective);
JsonObject ToJson(const Blackout& blackout);
JsonObject ToJson(const Weights& weights);
JsonObject ToJson(const DomainBudgets& domains);

/// \brief Strict inverse of ToJson; kBadField on an unknown or bad field.
absl::Status FromJson(const JsonObject& object, Catalogue& out);
absl::Status FromJson(const JsonObject& object, Workspace& out);
absl::Status FromJson(const JsonObject& object, Team& out);
absl::Status FromJson(const JsonObject& object, Key& out);
absl::Status FromJson(const JsonObject& object, Operator& out);
absl::Status FromJson(const JsonObject& object, CatalogueEntry& out);
absl::Status FromJson(const JsonObject& object, Pool& out);
absl::Status FromJson(const JsonObject& object, Objective& out);
absl::Status FromJson(const JsonObject& object, Blackout& out);
absl::Status FromJson(const JsonObject& object, Weights& out);
absl::Status FromJson(const JsonObject& object, DomainBudgets& out);

}  // namespace filbertspar
