#include "filbertspar/rollout/src/diff.h"

#include <string_view>

#include "absl/strings/str_cat.h"
#include "filbertspar/json/json.h"

namespace filbertspar {
namespace {

using Lines = std::vector<std::string>;

std::string Text(boost::json::string_view text) {
  return {text.data(), text.size()};
}

// Items of a list are told apart by name; objectives by workspace and class.
std::string ItemName(const JsonObject& item) {
  if (const Json* name = item.if_contains("name")) {
    return Text(name->as_string());
  }
  const Json* workspace = item.if_contains("workspace");
  const Json* work_class = item.if_contains("class");
  if (workspace == nullptr || work_class == nullptr) {
    return "";
  }
  return absl::StrCat(Text(workspace->as_string()), ":",
                      Text(work_class->as_string()));
}

const JsonObject* FindItem(const JsonArray& items, const std::string& name) {
  for (const Json& item : items) {
    if (ItemName(item.as_object()) == name) {
      return &item.as_object();
    }
  }
  return nullptr;
}

bool IsNamedList(const Json& value) {
  if (!value.is_array()) {
    return false;
  }
  for (const Json& item : value.as_array()) {
    if (!item.is_object() || ItemName(item.as_object()).empty()) {
      return false;
    }
  }
  return true;
}

void DiffObjects(const JsonObject& from, const JsonObject& to,
                 const std::string& path, Lines& lines);

void DiffLists(const JsonArray& from, const JsonArray& to,
               const std::string& path, Lines& lines) {
  for (const Json& item : from) {
    const std::string name = ItemName(item.as_object());
    const JsonObject* other = FindItem(to, name);
    if (other == nullptr) {
      lines.push_back(absl::StrCat(path, "/", name, ": removed"));
    } else {
      DiffObjects(item.as_object(), *other, absl::StrCat(path, "/", name),
                  lines);
    }
  }
  for (const Json& item : to) {
    const std::string name = ItemName(item.as_object());
    if (FindItem(from, name) == nullptr) {
      lines.push_back(absl::StrCat(path, "/", name, ": added"));
    }
  }
}

// Both objects come from the codec, which writes every field of a kind.
void DiffObjects(const JsonObject& from, const JsonObject& to,
                 const std::string& path, Lines& lines) {
  for (const auto& pair : from) {
    const std::string key = Text(pair.key());
    const Json& a = pair.value();
    const Json& b = to.at(pair.key());
    const std::string where = path.empty() ? key : absl::StrCat(path, "/", key);
    if (a == b || (path.empty() && key == "version")) {
      continue;
    }
    if (key == "hash") {
      lines.push_back(where + ": changed");
    } else if (a.is_object() && b.is_object()) {
      DiffObjects(a.as_object(), b.as_object(), where, lines);
    } else if (IsNamedList(a) && IsNamedList(b)) {
      DiffLists(a.as_array(), b.as_array(), where, lines);
    } else {
      lines.push_back(absl::StrCat(where, ": ", ToText(a), " -> ", ToText(b)));
    }
  }
}

}  // namespace

std::vector<std::string> DiffCatalogues(const Catalogue& from,
                                        const Catalogue& to) {
  Lines lines;
  DiffObjects(ToJson(from), ToJson(to), "", lines);
  return lines;
}

}  // namespace filbertspar
