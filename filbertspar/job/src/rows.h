#pragma once

#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "filbertspar/job/src/progress.h"
#include "filbertspar/job/src/spec.h"

namespace filbertspar {

/// \brief FlatBuffers encoding of a job, for its stored row and for calls
/// between VMs.
std::string EncodeJob(const JobSpec& job);

/// \brief Returns kBadField unless the bytes are a job row that CheckJob
/// accepts.
absl::StatusOr<JobSpec> DecodeJob(std::string_view bytes);

/// \brief Progress that is larger is stored without checkpoints.
inline constexpr std::size_t kMaxProgressBytes = 700'000;

/// \brief FlatBuffers encoding of a job's progress, for its stored row.
std::string EncodeProgress(const JobProgress& progress);

/// \brief Returns kBadField unless the bytes are a valid progress row.
absl::StatusOr<JobProgress> DecodeProgress(std::string_view bytes);

}  // namespace filbertspar
