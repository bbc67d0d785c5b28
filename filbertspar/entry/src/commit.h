#pragma once

#include <optional>
#include <string>

#include "boost/asio/awaitable.hpp"
#include "filbertspar/catalogue/catalogue.h"
#include "filbertspar/entry/src/config.h"
#include "filbertspar/http/http.h"

namespace filbertspar {

/// \brief The version that a change was made against, from the query "base".
absl::StatusOr<std::optional<ConfigVersion>> BaseOf(const HttpRequest& request);

/// \brief Commits a change against the version of the query "base", and
/// answers {"version"} together with the fields of `extra`. With the query
/// "dry_run=1" nothing is committed and the answer is
/// {"dry_run":true,"base","changes"}; errors are the same as without.
asio::awaitable<HttpResponse> CommitChange(Config& config,
                                           const HttpRequest& request,
                                           std::string author,
                                           Config::Change change,
                                           JsonObject extra = {});

/// \brief Gives each key and operator of a document that comes without a hash
/// the hash of its namesake in force, so that a document that was read can be
/// written back. A key keeps its hash only within its team.
/// kBadField when there is no such namesake.
absl::Status FillHashes(const Catalogue& current, JsonObject& document);

}  // namespace filbertspar
