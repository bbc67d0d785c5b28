#pragma once

#include <cstdint>
#include <cstdio>
#include <string>

namespace filbertspar {

/// \brief Prints one line of a bench; the ratio is figure over baseline.
inline void PrintFigure(const std::string& name, double figure,
                        const std::string& unit, double baseline,
                        std::uint64_t seed) {
  std::printf("%s figure=%.4g unit=%s baseline=%.4g ratio=%.4g seed=%llu\n",
              name.c_str(), figure, unit.c_str(), baseline,
              baseline == 0 ? 0.0 : figure / baseline,
              static_cast<unsigned long long>(seed));
}

}  // namespace filbertspar
