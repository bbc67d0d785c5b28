#include "filbertspar/entry/src/dry_run.h"

#include <algorithm>
#include <memory>
#include <string>
#include <utility>

#include "absl/strings/str_cat.h"
#include "filbertspar/rollout/rollout.h"

namespace filbertspar {
namespace {

std::string TextField(const JsonObject& object, const char* field) {
  const Json* value = object.if_contains(field);
  if (value == nullptr || !value->is_string()) {
    return "";
  }
  return {value->as_string().data(), value->as_string().size()};
}

template <typename Find>
absl::Status FillList(JsonObject& document, const char* list, Find find) {
  Json* items = document.if_contains(list);
  if (items == nullptr || !items->is_array()) {
    return absl::OkStatus();
  }
  for (Json& item : items->as_array()) {
    if (!item.is_object() || item.as_object().contains("hash")) {
      continue;
    }
    const std::string* hash = find(item.as_object());
    if (hash == nullptr) {
      return Error(Code::kBadField,
                   absl::StrCat(list, "/", TextField(item.as_object(), "name"),
                                ": a new item needs a hash"));
    }
    item.as_object()["hash"] = *hash;
  }
  return absl::OkStatus();
}

}  // namespace

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

absl::Status FillHashes(const Catalogue& current, JsonObject& document) {
  FS_RETURN_IF_ERROR(FillList(
      document, "keys", [&](const JsonObject& item) -> const std::string* {
        const auto found = std::find_if(
            current.m_keys.begin(), current.m_keys.end(), [&](const Key& key) {
              return key.m_name.Value() == TextField(item, "name") &&
                     key.m_team.Value() == TextField(item, "team");
            });
        return found == current.m_keys.end() ? nullptr : &found->m_hash;
      }));
  return FillList(
      document, "operators", [&](const JsonObject& item) -> const std::string* {
        const auto found =
            std::find_if(current.m_operators.begin(), current.m_operators.end(),
                         [&](const Operator& op) {
                           return op.m_name.Value() == TextField(item, "name");
                         });
        return found == current.m_operators.end() ? nullptr : &found->m_hash;
      });
}

}  // namespace filbertspar
