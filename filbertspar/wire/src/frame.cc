#include "filbertspar/wire/src/frame.h"

#include <algorithm>
#include <utility>

#include "filbertspar/wire/src/codec.h"

namespace filbertspar {
namespace {

std::string EncodeLength(std::size_t length) {
  std::string bytes(kLengthBytes, '\0');
  for (std::size_t i = 0; i < kLengthBytes; ++i) {
    bytes[i] = static_cast<char>((length >> (24 - 8 * i)) & 0xff);
  }
  return bytes;
}

std::size_t DecodeLength(std::string_view bytes) {
  std::size_t length = 0;
  for (std::size_t i = 0; i < kLengthBytes; ++i) {
    length = length << 8 | static_cast<unsigned char>(bytes[i]);
  }
  return length;
}

}  // namespace

absl::StatusOr<std::string> EncodeFrame(const Envelope& envelope,
                                        const Secrets& secrets,
                                        std::size_t max_payload) {
  absl::StatusOr<std::string> payload = EncodePayload(envelope);
  FS_RETURN_IF_ERROR(payload.status());
  if (payload->size() > max_payload) {
    return Error(Code::kFrameTooLarge, "wire: message larger than a frame");
  }
  std::string frame = EncodeLength(payload->size());
  frame += *payload;
  const Mac mac = ComputeMac(secrets.m_current, frame);
  frame.insert(kLengthBytes, reinterpret_cast<const char*>(mac.data()),
               mac.size());
  return frame;
}

absl::Status FrameDecoder::Fail(Code code, std::uint64_t& counter) {
  ++counter;
  m_buffer.clear();
  m_buffer.shrink_to_fit();
  m_status = Error(code, "wire: bad frame");
  return m_status;
}

absl::Status FrameDecoder::Feed(std::string_view bytes,
                                std::vector<Envelope>& out) {
  if (!m_status.ok()) {
    return m_status;
  }
  m_buffer.append(bytes);
  std::size_t begin = 0;
  while (m_buffer.size() - begin >= kLengthBytes) {
    const std::string_view rest = std::string_view(m_buffer).substr(begin);
    const std::size_t length = DecodeLength(rest);
    const std::size_t bound =
        m_counters.m_accepted > 0
            ? m_max_payload
            : std::min(m_max_payload, kMaxFirstPayloadBytes);
    if (length > bound) {
      return Fail(Code::kFrameTooLarge, m_counters.m_too_large);
    }
    if (rest.size() < kFrameHeaderBytes + length) {
      break;
    }
    const std::string_view mac = rest.substr(kLengthBytes, kMacBytes);
    std::string signed_bytes(rest.substr(0, kLengthBytes));
    signed_bytes += rest.substr(kFrameHeaderBytes, length);
    if (!VerifyMac(*m_secrets, signed_bytes, mac)) {
      return Fail(Code::kFrameBadMac, m_counters.m_bad_mac);
    }
    absl::StatusOr<Envelope> envelope =
        DecodePayload(rest.substr(kFrameHeaderBytes, length));
    if (!envelope.ok()) {
      return Fail(Code::kFrameBadPayload, m_counters.m_bad_payload);
    }
    out.push_back(*std::move(envelope));
    ++m_counters.m_accepted;
    begin += kFrameHeaderBytes + length;
  }
  m_buffer.erase(0, begin);
  return absl::OkStatus();
}

}  // namespace filbertspar
