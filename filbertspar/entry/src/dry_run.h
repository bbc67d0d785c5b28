#pragma once

#include <functional>

#include "filbertspar/catalogue/catalogue.h"
#include "filbertspar/entry/src/config.h"
#include "filbertspar/http/http.h"

namespace filbertspar {

/// \brief True for a request with the query "dry_run=1".
bool IsDryRun(const HttpRequest& request);

/// \brief What a change against version `base` would do, without doing it:
/// {"dry_run":true,"base","changes"}; errors are those of the change itself.
HttpResponse DryRun(const Config& config, ConfigVersion base,
                    const std::function<absl::Status(Catalogue&)>& change);

}  // namespace filbertspar
