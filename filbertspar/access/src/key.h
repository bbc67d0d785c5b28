#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"

namespace filbertspar {

/// \brief SHA-256 of a key.
using KeyDigest = std::array<std::uint8_t, 32>;

/// \brief Longest key that is hashed; longer ones are unknown.
inline constexpr std::size_t kMaxKeyLength = 256;

/// \brief New key: 32 random bytes as 64 hexadecimal digits. It is shown to
/// its owner once and kept nowhere. kInternal when the system has no random
/// numbers.
absl::StatusOr<std::string> NewKey();

KeyDigest DigestOf(std::string_view key);

/// \brief Lower-case hexadecimal SHA-256 of a key, as the catalogue keeps it.
std::string HashOf(std::string_view key);

/// \brief Digest of 64 hexadecimal digits.
std::optional<KeyDigest> DigestFromHex(std::string_view hex);

/// \brief Compares without a branch on the content.
bool EqualDigests(const KeyDigest& a, const KeyDigest& b);

}  // namespace filbertspar
