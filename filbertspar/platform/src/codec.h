#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "filbertspar/platform/src/rows.h"

namespace filbertspar {

/// \brief An HTTP request to the platform.
struct PlatformRequest {
  std::string m_method;
  std::string m_target;
  std::string m_body;
};

/// \brief Percent-encodes all but unreserved characters, '/' and ':'. Keys
/// contain '/', so the key is the rest of the target after the table's name.
std::string EncodeKey(std::string_view key);
/// \brief Inverse of EncodeKey; kBadField on a broken escape.
absl::StatusOr<std::string> DecodeKey(std::string_view text);

PlatformRequest EncodeWrite(const WriteBody& write);
PlatformRequest EncodeCall(const PlatformCall& call);

/// \brief Versions of the rows after a write, in the order of the write.
absl::StatusOr<std::vector<RowVersion>> DecodeVersions(std::string_view body);
absl::StatusOr<std::vector<RowConflict>> DecodeConflicts(std::string_view body);
/// \brief Answer of a call; kPlatformBadAnswer when it cannot be read. Status
/// 404 is an absent row, and kNotFound for an object.
absl::StatusOr<PlatformAnswer> DecodeAnswer(const PlatformCall& call,
                                            int status, std::string_view body);

/// \brief The platform's side of the protocol, for stand-ins.
absl::StatusOr<WriteBody> DecodeWrite(std::string_view body);
/// \brief Call of a request other than a write; kUnknownPath when there is no
/// such target.
absl::StatusOr<PlatformCall> DecodeCall(const PlatformRequest& request);
std::string EncodeVersions(const std::vector<RowVersion>& versions);
std::string EncodeConflicts(const std::vector<RowConflict>& conflicts);
std::string EncodeRow(const Row& row);
std::string EncodeChanges(const ChangeList& changes);
std::string EncodeVms(const VmList& vms);

}  // namespace filbertspar
