#pragma once

#include <compare>
#include <cstdint>

namespace filbertspar {

/// \brief Amount in one unit, distinct per Tag.
template <typename Tag>
class Quantity {
 public:
  constexpr Quantity() = default;
  constexpr explicit Quantity(std::int64_t count) : m_count(count) {}

  constexpr std::int64_t Count() const { return m_count; }

  friend constexpr bool operator==(Quantity, Quantity) = default;
  friend constexpr auto operator<=>(Quantity, Quantity) = default;
  friend constexpr Quantity operator+(Quantity a, Quantity b) {
    return Quantity(a.m_count + b.m_count);
  }
  friend constexpr Quantity operator-(Quantity a, Quantity b) {
    return Quantity(a.m_count - b.m_count);
  }
  constexpr Quantity& operator+=(Quantity other) {
    m_count += other.m_count;
    return *this;
  }
  constexpr Quantity& operator-=(Quantity other) {
    m_count -= other.m_count;
    return *this;
  }

 private:
  std::int64_t m_count = 0;
};

using Megabytes = Quantity<struct MegabytesTag>;
using Slots = Quantity<struct SlotsTag>;
/// \brief Thousandths of a core.
using Millicores = Quantity<struct MillicoresTag>;
using Accelerators = Quantity<struct AcceleratorsTag>;
using Cores = Quantity<struct CoresTag>;

/// \brief What one task occupies on a worker, and what a worker has.
struct Resources {
  Slots m_slots{1};
  Megabytes m_memory{0};
  Accelerators m_accelerators{0};

  friend bool operator==(const Resources&, const Resources&) = default;
};

}  // namespace filbertspar
