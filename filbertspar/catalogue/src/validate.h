#pragma once

#include "absl/status/status.h"
#include "filbertspar/catalogue/src/document.h"

namespace filbertspar {

inline constexpr std::size_t kMaxTeams = 512;
inline constexpr std::size_t kMaxKeys = 4096;
inline constexpr std::size_t kMaxEntries = 4096;
inline constexpr std::size_t kMaxPools = 256;
inline constexpr std::size_t kMaxNameLength = 64;

/// \brief Checks the whole document: names, references, uniqueness, bounds.
/// kConfigInvalid with the first fault found.
absl::Status Validate(const Catalogue& catalogue);

}  // namespace filbertspar
