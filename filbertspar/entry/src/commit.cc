#include "filbertspar/entry/src/commit.h"

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "filbertspar/rollout/rollout.h"

namespace filbertspar {
namespace {

HttpResponse DryRun(const Config& config, std::optional<ConfigVersion> base,
                    const Config::Change& change) {
  const ConfigVersion version = config.Version();
  if (base && *base != version) {
    return CodeResponse(Code::kConfigConflict,
                        absl::StrCat("version ", version.Value(),
                                     " is in force, not ", base->Value()));
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

absl::StatusOr<std::optional<ConfigVersion>> BaseOf(
    const HttpRequest& request) {
  const std::string text(QueryOf(request, "base"));
  if (text.empty()) {
    return std::nullopt;
  }
  std::uint64_t number = 0;
  if (!absl::SimpleAtoi(text, &number)) {
    return Error(Code::kBadField, "base: expected a version number");
  }
  return ConfigVersion(number);
}

asio::awaitable<HttpResponse> CommitChange(Config& config,
                                           const HttpRequest& request,
                                           std::string author,
                                           Config::Change change,
                                           JsonObject extra) {
  absl::StatusOr<std::optional<ConfigVersion>> base = BaseOf(request);
  if (!base.ok()) {
    co_return StatusResponse(base.status());
  }
  if (!QueryOf(request, "dry_run").empty()) {
    co_return DryRun(config, *base, change);
  }
  absl::StatusOr<ConfigVersion> version =
      co_await config.Commit(*base, std::move(author), std::move(change));
  if (!version.ok()) {
    co_return StatusResponse(version.status());
  }
  extra["version"] = version->Value();
  co_return JsonResponse(200, std::move(extra));
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
