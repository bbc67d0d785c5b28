#pragma once

#include <cstdint>
#include <limits>

namespace filbertspar {

/// \brief Seeded generator (SplitMix64); equal seeds give equal sequences.
class Rng {
 public:
  using result_type = std::uint64_t;

  explicit Rng(std::uint64_t seed) : m_state(seed) {}

  static constexpr result_type min() { return 0; }
  static constexpr result_type max() {
    return std::numeric_limits<result_type>::max();
  }

  result_type operator()() {
    m_state += 0x9e3779b97f4a7c15ULL;
    std::uint64_t z = m_state;
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
    return z ^ (z >> 31);
  }

  /// \brief In [0, bound), bound > 0; uniform for bounds far below 2^64.
  std::uint64_t Below(std::uint64_t bound) { return (*this)() % bound; }

  /// \brief Uniform in [0, 1).
  double Uniform() { return static_cast<double>((*this)() >> 11) * 0x1.0p-53; }

  /// \brief True with the given probability.
  bool Chance(double probability) { return Uniform() < probability; }

 private:
  std::uint64_t m_state;
};

}  // namespace filbertspar
