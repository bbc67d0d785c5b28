#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <string_view>
#include <utility>

namespace filbertspar {

/// \brief Name of a thing in the catalogue or the fleet, distinct per Tag.
template <typename Tag>
class Name {
 public:
  Name() = default;
  explicit Name(std::string value) : m_value(std::move(value)) {}

  const std::string& Value() const { return m_value; }
  bool Empty() const { return m_value.empty(); }

  friend bool operator==(const Name&, const Name&) = default;
  friend auto operator<=>(const Name&, const Name&) = default;
  friend std::ostream& operator<<(std::ostream& out, const Name& name) {
    return out << name.m_value;
  }
  template <typename H>
  friend H AbslHashValue(H state, const Name& name) {
    return H::combine(std::move(state), name.m_value);
  }

 private:
  std::string m_value;
};

/// \brief Number that identifies a thing, distinct per Tag. Zero means none.
template <typename Tag>
class Id {
 public:
  constexpr Id() = default;
  constexpr explicit Id(std::uint64_t value) : m_value(value) {}

  constexpr std::uint64_t Value() const { return m_value; }
  constexpr bool IsNone() const { return m_value == 0; }

  friend constexpr bool operator==(Id, Id) = default;
  friend constexpr auto operator<=>(Id, Id) = default;
  friend std::ostream& operator<<(std::ostream& out, Id id) {
    return out << id.m_value;
  }
  template <typename H>
  friend H AbslHashValue(H state, Id id) {
    return H::combine(std::move(state), id.m_value);
  }

 private:
  std::uint64_t m_value = 0;
};

using WorkspaceName = Name<struct WorkspaceTag>;
using TeamName = Name<struct TeamTag>;
using PoolName = Name<struct PoolTag>;
using EntryName = Name<struct CatalogueEntryTag>;
using KeyName = Name<struct KeyTag>;
using OperatorName = Name<struct OperatorTag>;
using ZoneName = Name<struct ZoneTag>;
using RegionName = Name<struct RegionTag>;
using RackName = Name<struct RackTag>;
using VmName = Name<struct VmTag>;
/// \brief One process of the system: VM name plus incarnation,
/// "vm#incarnation".
using NodeName = Name<struct NodeTag>;

using RequestId = Id<struct RequestTag>;
using AttemptId = Id<struct AttemptTag>;
/// \brief Fencing number of a single-actor duty; a larger one is newer.
using FencingNumber = Id<struct FencingTag>;
/// \brief Version of the configuration document; 0 means none.
using ConfigVersion = Id<struct ConfigTag>;
/// \brief Version of a table row; 0 means the row does not exist.
using RowVersion = Id<struct RowTag>;

}  // namespace filbertspar

template <typename Tag>
struct std::hash<filbertspar::Name<Tag>> {
  std::size_t operator()(const filbertspar::Name<Tag>& name) const {
    return std::hash<std::string>{}(name.Value());
  }
};

template <typename Tag>
struct std::hash<filbertspar::Id<Tag>> {
  std::size_t operator()(filbertspar::Id<Tag> id) const {
    return std::hash<std::uint64_t>{}(id.Value());
  }
};
