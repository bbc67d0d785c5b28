#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "filbertspar/wire/src/messages.h"
#include "filbertspar/wire/src/secrets.h"

namespace filbertspar {

/// \brief Bytes before the payload: length (big-endian) and MAC.
inline constexpr std::size_t kLengthBytes = 4;
inline constexpr std::size_t kFrameHeaderBytes = kLengthBytes + kMacBytes;
/// \brief Largest payload unless the caller states another bound.
inline constexpr std::size_t kMaxPayloadBytes = std::size_t{4} << 20;
/// \brief Largest payload before a first frame was authentic, so that a
/// stranger cannot make this process buffer more; room for any valid Hello.
inline constexpr std::size_t kMaxFirstPayloadBytes = 2048;

/// \brief One frame. The MAC covers length and payload. kFrameTooLarge or
/// kFrameBadPayload when the message exceeds a bound.
absl::StatusOr<std::string> EncodeFrame(
    const Envelope& envelope, const Secrets& secrets,
    std::size_t max_payload = kMaxPayloadBytes);

/// \brief Frames that were dropped, by reason.
struct FrameCounters {
  std::uint64_t m_accepted = 0;
  std::uint64_t m_too_large = 0;
  std::uint64_t m_bad_mac = 0;
  std::uint64_t m_bad_payload = 0;
};

/// \brief Takes the bytes of one connection in any split and gives the frames.
///
/// After the first bad frame every call returns the same error, and the
/// connection is to be closed. At most one frame within the size bound plus
/// the bytes of one call are buffered.
class FrameDecoder {
 public:
  explicit FrameDecoder(std::shared_ptr<const Secrets> secrets,
                        std::size_t max_payload = kMaxPayloadBytes)
      : m_secrets(std::move(secrets)), m_max_payload(max_payload) {}

  /// \brief Appends the decoded frames to `out`, also those before an error.
  absl::Status Feed(std::string_view bytes, std::vector<Envelope>& out);

  /// \brief Replaces the secrets of later frames.
  void SetSecrets(std::shared_ptr<const Secrets> secrets) {
    m_secrets = std::move(secrets);
  }
  std::size_t Buffered() const { return m_buffer.size(); }
  const FrameCounters& Counters() const { return m_counters; }

 private:
  absl::Status Fail(Code code, std::uint64_t& counter);

  std::shared_ptr<const Secrets> m_secrets;
  std::size_t m_max_payload;
  std::string m_buffer;
  FrameCounters m_counters;
  absl::Status m_status;
};

}  // namespace filbertspar
