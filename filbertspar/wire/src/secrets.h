#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"

namespace filbertspar {

/// \brief Bytes of the truncated HMAC-SHA-256 in a frame.
inline constexpr std::size_t kMacBytes = 16;
using Mac = std::array<std::uint8_t, kMacBytes>;

/// \brief Secrets shared by the entry VMs. Frames are signed with the current
/// secret and accepted with either.
///
/// To rotate without rejected frames: add the new secret as `previous`
/// everywhere, then exchange the two, then replace `previous`.
struct Secrets {
  std::string m_current;
  std::optional<std::string> m_previous;
};

/// \brief Reads a key file with the section [secrets], keys `current` and
/// optionally `previous`, each at least 64 hexadecimal digits. Messages name
/// the key but never its value.
absl::StatusOr<Secrets> LoadSecrets(const std::string& path);
absl::StatusOr<Secrets> ParseSecrets(std::string name, const std::string& text);

/// \brief HMAC-SHA-256 over length and payload, first 16 bytes.
Mac ComputeMac(std::string_view secret, std::string_view signed_bytes);

/// \brief Whether the MAC fits the current or the previous secret; the
/// comparison takes the same time whatever the difference.
bool VerifyMac(const Secrets& secrets, std::string_view signed_bytes,
               std::string_view mac);

}  // namespace filbertspar
