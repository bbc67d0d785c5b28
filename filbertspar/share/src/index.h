#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>

namespace filbertspar {

/// \brief Dense number of a thing within one process, distinct per Tag.
template <typename Tag>
class Index {
 public:
  constexpr Index() = default;
  constexpr explicit Index(std::size_t value)
      : m_value(static_cast<std::uint32_t>(value)) {}

  constexpr std::size_t Value() const { return m_value; }

  friend constexpr bool operator==(Index, Index) = default;
  friend constexpr auto operator<=>(Index, Index) = default;

 private:
  std::uint32_t m_value = 0;
};

using TeamIndex = Index<struct TeamIndexTag>;
using PoolIndex = Index<struct PoolIndexTag>;

}  // namespace filbertspar
