#include "filbertspar/entry/src/edit.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

namespace filbertspar {
namespace {

std::string NameOf(const Objective& objective) {
  return absl::StrCat(objective.m_workspace.Value(), ".",
                      std::string(ToString(objective.m_class)));
}

template <typename Item>
std::string NameOf(const Item& item) {
  return item.m_name.Value();
}

template <typename Item>
auto FindItem(std::vector<Item>& items, const std::string& name) {
  return std::find_if(items.begin(), items.end(),
                      [&](const Item& item) { return NameOf(item) == name; });
}

template <typename Item>
absl::Status Put(std::vector<Item>& items, const std::string& name,
                 const JsonObject& object) {
  Item item;
  FS_RETURN_IF_ERROR(FromJson(object, item));
  if (NameOf(item) != name) {
    return Error(Code::kBadField,
                 absl::StrCat("expected an item named \"", name, "\""));
  }
  const auto found = FindItem(items, name);
  if (found == items.end()) {
    items.push_back(std::move(item));
  } else {
    *found = std::move(item);
  }
  return absl::OkStatus();
}

template <typename Item>
absl::Status Remove(std::vector<Item>& items, const std::string& name) {
  const auto found = FindItem(items, name);
  if (found == items.end()) {
    return Error(Code::kNotFound, absl::StrCat("there is no \"", name, "\""));
  }
  items.erase(found);
  return absl::OkStatus();
}

absl::Status NoSuchKind(const std::string& kind) {
  return Error(Code::kNotFound, absl::StrCat("there is no kind \"", kind,
                                             "\" of item to change"));
}

}  // namespace

absl::Status PutItem(Catalogue& catalogue, const std::string& kind,
                     const std::string& name, const JsonObject& item) {
  if (kind == "workspaces") {
    return Put(catalogue.m_workspaces, name, item);
  }
  if (kind == "teams") {
    return Put(catalogue.m_teams, name, item);
  }
  if (kind == "entries") {
    return Put(catalogue.m_entries, name, item);
  }
  if (kind == "pools") {
    return Put(catalogue.m_pools, name, item);
  }
  if (kind == "objectives") {
    return Put(catalogue.m_objectives, name, item);
  }
  return NoSuchKind(kind);
}

absl::Status RemoveItem(Catalogue& catalogue, const std::string& kind,
                        const std::string& name) {
  if (kind == "entries") {
    const auto found = FindItem(catalogue.m_entries, name);
    if (found == catalogue.m_entries.end()) {
      return Error(Code::kNotFound, absl::StrCat("there is no \"", name, "\""));
    }
    found->m_withdrawn = true;
    return absl::OkStatus();
  }
  if (kind == "keys") {
    const auto found = FindItem(catalogue.m_keys, name);
    if (found == catalogue.m_keys.end()) {
      return Error(Code::kNotFound, absl::StrCat("there is no \"", name, "\""));
    }
    found->m_revoked = true;
    return absl::OkStatus();
  }
  if (kind == "workspaces") {
    return Remove(catalogue.m_workspaces, name);
  }
  if (kind == "teams") {
    return Remove(catalogue.m_teams, name);
  }
  if (kind == "pools") {
    return Remove(catalogue.m_pools, name);
  }
  if (kind == "operators") {
    return Remove(catalogue.m_operators, name);
  }
  if (kind == "objectives") {
    return Remove(catalogue.m_objectives, name);
  }
  return NoSuchKind(kind);
}

void RestoreDocument(Catalogue& catalogue, const Catalogue& earlier) {
  Catalogue next = earlier;
  next.m_operators = std::move(catalogue.m_operators);
  next.m_keys = std::move(catalogue.m_keys);
  std::erase_if(next.m_keys, [&](const Key& key) {
    return FindTeam(next, key.m_team) == nullptr;
  });
  catalogue = std::move(next);
}

}  // namespace filbertspar
