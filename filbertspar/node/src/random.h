#pragma once

#include <cstdint>
#include <random>

namespace filbertspar {

/// \brief Number from the system's random source.
inline std::uint64_t RandomNumber() {
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32) | device();
}

/// \brief Random number that is not 0.
inline std::uint64_t RandomNonce() { return RandomNumber() | 1U; }

}  // namespace filbertspar
