#include "filbertspar/access/src/key.h"

#include <openssl/crypto.h>
#include <openssl/rand.h>
#include <openssl/sha.h>

#include <span>

#include "filbertspar/base/base.h"

namespace filbertspar {
namespace {

std::string ToHex(std::span<const std::uint8_t> bytes) {
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string hex;
  hex.reserve(2 * bytes.size());
  for (const std::uint8_t byte : bytes) {
    hex.push_back(kDigits[byte >> 4]);
    hex.push_back(kDigits[byte & 15]);
  }
  return hex;
}

int HexValue(char digit) {
  if (digit >= '0' && digit <= '9') {
    return digit - '0';
  }
  if (digit >= 'a' && digit <= 'f') {
    return digit - 'a' + 10;
  }
  return -1;
}

}  // namespace

absl::StatusOr<std::string> NewKey() {
  std::array<std::uint8_t, 32> bytes;
  if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1) {
    return Error(Code::kInternal, "no random numbers for a new key");
  }
  std::string key = ToHex(bytes);
  OPENSSL_cleanse(bytes.data(), bytes.size());
  return key;
}

KeyDigest DigestOf(std::string_view key) {
  KeyDigest digest;
  SHA256(reinterpret_cast<const unsigned char*>(key.data()), key.size(),
         digest.data());
  return digest;
}

std::string HashOf(std::string_view key) { return ToHex(DigestOf(key)); }

std::optional<KeyDigest> DigestFromHex(std::string_view hex) {
  KeyDigest digest;
  if (hex.size() != 2 * digest.size()) {
    return std::nullopt;
  }
  for (std::size_t i = 0; i < digest.size(); ++i) {
    const int high = HexValue(hex[2 * i]);
    const int low = HexValue(hex[2 * i + 1]);
    if (high < 0 || low < 0) {
      return std::nullopt;
    }
    digest[i] = static_cast<std::uint8_t>(16 * high + low);
  }
  return digest;
}

bool EqualDigests(const KeyDigest& a, const KeyDigest& b) {
  return CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

}  // namespace filbertspar
