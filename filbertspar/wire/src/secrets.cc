#include "filbertspar/wire/src/secrets.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <algorithm>
#include <utility>

#include "absl/strings/ascii.h"
#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"
#include "filbertspar/base/base.h"
#include "filbertspar/settings/settings.h"

namespace filbertspar {
namespace {

constexpr std::size_t kMinSecretBytes = 32;

absl::StatusOr<std::string> FromHex(const std::string& name,
                                    std::string_view key,
                                    const std::string& text) {
  const bool is_hex = std::all_of(text.begin(), text.end(), [](char c) {
    return absl::ascii_isxdigit(static_cast<unsigned char>(c));
  });
  if (!is_hex || text.size() % 2 != 0 || text.size() < 2 * kMinSecretBytes) {
    return Error(Code::kSettingsBadValue,
                 absl::StrCat(name, ": secrets.",
                              absl::string_view(key.data(), key.size()),
                              ": expected at least 64 hexadecimal digits"));
  }
  return absl::HexStringToBytes(text);
}

absl::StatusOr<Secrets> Read(const std::string& name, Settings settings) {
  const std::string current = settings.GetText("secrets.current");
  const std::string previous = settings.GetText("secrets.previous", "");
  FS_RETURN_IF_ERROR(settings.Finish());
  Secrets secrets;
  absl::StatusOr<std::string> bytes = FromHex(name, "current", current);
  FS_RETURN_IF_ERROR(bytes.status());
  secrets.m_current = *std::move(bytes);
  if (!previous.empty()) {
    bytes = FromHex(name, "previous", previous);
    FS_RETURN_IF_ERROR(bytes.status());
    secrets.m_previous = *std::move(bytes);
  }
  return secrets;
}

}  // namespace

absl::StatusOr<Secrets> LoadSecrets(const std::string& path) {
  absl::StatusOr<Settings> settings = Settings::Load(path);
  FS_RETURN_IF_ERROR(settings.status());
  return Read(path, *std::move(settings));
}

absl::StatusOr<Secrets> ParseSecrets(std::string name,
                                     const std::string& text) {
  absl::StatusOr<Settings> settings = Settings::Parse(name, text);
  FS_RETURN_IF_ERROR(settings.status());
  return Read(name, *std::move(settings));
}

Mac ComputeMac(std::string_view secret, std::string_view signed_bytes) {
  std::array<std::uint8_t, EVP_MAX_MD_SIZE> digest{};
  unsigned int size = 0;
  const auto* result =
      HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()),
           reinterpret_cast<const unsigned char*>(signed_bytes.data()),
           signed_bytes.size(), digest.data(), &size);
  FS_ASSERT(result != nullptr && size >= kMacBytes, "HMAC-SHA-256 works");
  Mac mac;
  std::copy_n(digest.begin(), kMacBytes, mac.begin());
  return mac;
}

bool VerifyMac(const Secrets& secrets, std::string_view signed_bytes,
               std::string_view mac) {
  if (mac.size() != kMacBytes) {
    return false;
  }
  const auto fits = [&](std::string_view secret) {
    const Mac expected = ComputeMac(secret, signed_bytes);
    return CRYPTO_memcmp(expected.data(), mac.data(), kMacBytes) == 0;
  };
  return fits(secrets.m_current) ||
         (secrets.m_previous.has_value() && fits(*secrets.m_previous));
}

}  // namespace filbertspar
