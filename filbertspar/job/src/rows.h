#pragma once

#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "filbertspar/job/src/progress.h"
#include "filbertspar/job/src/spec.h"

namespace filbertspar {

/// \brief FlatBuffers bytes of a job; also its form between entry VMs.
std::string EncodeJob(const JobSpec& job);

/// \brief kBadField when the bytes are no valid job.
absl::StatusOr<JobSpec> DecodeJob(std::string_view bytes);

std::string EncodeProgress(const JobProgress& progress);

/// \brief kBadField when the bytes are no valid progress.
absl::StatusOr<JobProgress> DecodeProgress(std::string_view bytes);

}  // namespace filbertspar
