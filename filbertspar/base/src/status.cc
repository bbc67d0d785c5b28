#include "filbertspar/base/src/status.h"

#include <string>

#include "absl/strings/cord.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace filbertspar {
namespace {

constexpr std::string_view kPayloadUrl = "filbertspar/code";

absl::StatusCode CanonicalCode(Code code) {
  switch (Describe(code).m_http_status) {
    case 200:
      return absl::StatusCode::kOk;
    case 400:
    case 413:
    case 422:
      return absl::StatusCode::kInvalidArgument;
    case 401:
      return absl::StatusCode::kUnauthenticated;
    case 403:
      return absl::StatusCode::kPermissionDenied;
    case 404:
    case 410:
      return absl::StatusCode::kNotFound;
    case 409:
      return absl::StatusCode::kAborted;
    case 429:
      return absl::StatusCode::kResourceExhausted;
    case 408:
    case 504:
      return absl::StatusCode::kDeadlineExceeded;
    case 503:
      return absl::StatusCode::kUnavailable;
    default:
      return absl::StatusCode::kInternal;
  }
}

}  // namespace

absl::Status Error(Code code, std::string_view message) {
  absl::Status status(CanonicalCode(code),
                      absl::string_view(message.data(), message.size()));
  if (!status.ok()) {
    status.SetPayload(absl::string_view(kPayloadUrl.data(), kPayloadUrl.size()),
                      absl::Cord(absl::StrCat(static_cast<int>(code))));
  }
  return status;
}

Code CodeOf(const absl::Status& status) {
  if (status.ok()) {
    return Code::kOk;
  }
  auto payload = status.GetPayload(
      absl::string_view(kPayloadUrl.data(), kPayloadUrl.size()));
  int number = 0;
  if (!payload || !absl::SimpleAtoi(std::string(*payload), &number)) {
    return Code::kInternal;
  }
  return CodeFromNumber(number).value_or(Code::kInternal);
}

}  // namespace filbertspar
