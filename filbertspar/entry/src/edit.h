#pragma once

#include <string>

#include "absl/status/status.h"
#include "filbertspar/catalogue/catalogue.h"
#include "filbertspar/json/json.h"

namespace filbertspar {

/// \brief Adds or replaces the item `name` of a kind ("workspaces", "teams",
/// "entries", "pools", "objectives"; the last one named WORKSPACE.CLASS).
/// kNotFound for another kind, kBadField for a bad item.
absl::Status PutItem(Catalogue& catalogue, const std::string& kind,
                     const std::string& name, const JsonObject& item);

/// \brief Withdraws an entry, revokes a key, or removes an item of another
/// kind. kNotFound when it is not there.
absl::Status RemoveItem(Catalogue& catalogue, const std::string& kind,
                        const std::string& name);

}  // namespace filbertspar
