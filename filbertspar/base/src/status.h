#pragma once

#include <string_view>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "filbertspar/base/src/codes.h"

namespace filbertspar {

/// \brief Status that carries a numbered result code and a message.
absl::Status Error(Code code, std::string_view message);

/// \brief Code of a status; kOk for ok, kInternal when it carries none.
Code CodeOf(const absl::Status& status);

}  // namespace filbertspar

/// \brief Leaves the function with the status when it is not ok.
#define FS_RETURN_IF_ERROR(expression)                            \
  do {                                                            \
    if (absl::Status fs_status = (expression); !fs_status.ok()) { \
      return fs_status;                                           \
    }                                                             \
  } while (false)
