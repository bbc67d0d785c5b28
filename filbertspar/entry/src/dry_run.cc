#include "filbertspar/entry/src/dry_run.h"

#include <memory>

#include "absl/strings/str_cat.h"
#include "filbertspar/rollout/rollout.h"

namespace filbertspar {

bool IsDryRun(const HttpRequest& request) {
  return QueryOf(request, "dry_run") == "1";
}

HttpResponse DryRun(const Config& config, ConfigVersion base,
                    const std::function<absl::Status(Catalogue&)>& change) {
  const ConfigVersion version = config.Version();
  if (base != version) {
    return CodeResponse(Code::kConfigConflict,
                        absl::StrCat("version ", version.Value(),
                                     " is in force, not ", base.Value()));
  }
  const std::shared_ptr<const Catalogue> current = config.Current();
  const Catalogue before = current == nullptr ? Catalogue() : *current;
  Catalogue after = before;
  absl::Status status = change(after);
  if (status.ok()) {
    after.m_version = ConfigVersion(version.Value() + 1);
    status = Validate(after);
  }
  if (!status.ok()) {
    return StatusResponse(status);
  }
  JsonArray changes;
  for (const std::string& line : DiffCatalogues(before, after)) {
    changes.push_back(Json(line));
  }
  return JsonResponse(200, JsonObject{{"dry_run", true},
                                      {"base", version.Value()},
                                      {"changes", std::move(changes)}});
}

}  // namespace filbertspar
