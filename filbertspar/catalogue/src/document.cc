#include "filbertspar/catalogue/src/document.h"

#include <algorithm>
#include <array>
#include <utility>

namespace filbertspar {
namespace {

constexpr std::array<std::string_view, kWorkClasses> kClassNames = {
    "urgent", "standard", "overnight"};
constexpr std::array<std::string_view, 3> kRoleNames = {"viewer", "fleet",
                                                        "admin"};

template <typename Enum, std::size_t N>
std::optional<Enum> FromString(const std::array<std::string_view, N>& names,
                               std::string_view text) {
  const auto found = std::find(names.begin(), names.end(), text);
  if (found == names.end()) {
    return std::nullopt;
  }
  return static_cast<Enum>(found - names.begin());
}

template <typename Item, typename ItemName>
const Item* FindByName(const std::vector<Item>& items, const ItemName& name) {
  const auto found =
      std::find_if(items.begin(), items.end(),
                   [&](const Item& item) { return item.m_name == name; });
  return found == items.end() ? nullptr : &*found;
}

}  // namespace

std::string_view ToString(WorkClass work_class) {
  return kClassNames[static_cast<std::size_t>(work_class)];
}

std::optional<WorkClass> WorkClassFromString(std::string_view text) {
  return FromString<WorkClass>(kClassNames, text);
}

std::string_view ToString(Role role) {
  return kRoleNames[static_cast<std::size_t>(role)];
}

std::optional<Role> RoleFromString(std::string_view text) {
  return FromString<Role>(kRoleNames, text);
}

const Team* FindTeam(const Catalogue& catalogue, const TeamName& name) {
  return FindByName(catalogue.m_teams, name);
}

const Workspace* FindWorkspace(const Catalogue& catalogue,
                               const WorkspaceName& name) {
  return FindByName(catalogue.m_workspaces, name);
}

const CatalogueEntry* FindEntry(const Catalogue& catalogue,
                                const EntryName& name) {
  return FindByName(catalogue.m_entries, name);
}

const Pool* FindPool(const Catalogue& catalogue, const PoolName& name) {
  return FindByName(catalogue.m_pools, name);
}

}  // namespace filbertspar
