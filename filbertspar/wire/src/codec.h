#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "filbertspar/wire/src/messages.h"

namespace filbertspar {

/// \brief Longest name in a message; longer ones are refused by both sides.
inline constexpr std::size_t kMaxNameBytes = 255;
/// \brief Most items of a list. FlatBuffers lets many items refer to the same
/// bytes, so without it a small payload could decode to a huge message.
inline constexpr std::size_t kMaxListItems = 4096;

/// \brief Builds a payload; kFrameBadPayload when a bound is exceeded.
absl::StatusOr<std::string> EncodePayload(const Envelope& envelope);

/// \brief Verifies and reads a payload from untrusted bytes at any alignment;
/// kFrameBadPayload when it is malformed, out of bounds or of unknown kind.
absl::StatusOr<Envelope> DecodePayload(std::string_view payload);

}  // namespace filbertspar
