#pragma once

#include <cstdint>
#include <random>

namespace filbertspar {

/// \brief 64 random bits from std::random_device.
inline std::uint64_t RandomNumber() {
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32) | device();
}

/// \brief Random odd number, hence never 0.
inline std::uint64_t RandomNonce() { return RandomNumber() | 1U; }

}  // namespace filbertspar
