#pragma once

#include <string>
#include <vector>

#include "filbertspar/catalogue/catalogue.h"

namespace filbertspar {

/// \brief Differences of two documents, one line each, in the document's order:
/// "teams/desk: added", "keys/k1: removed", "teams/desk/weight: 1 -> 2".
/// Hashes are not shown. The version is left out.
std::vector<std::string> DiffCatalogues(const Catalogue& from,
                                        const Catalogue& to);

}  // namespace filbertspar
