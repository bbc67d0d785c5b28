#include "filbertspar/job/src/spec.h"

#include "absl/strings/str_cat.h"

namespace filbertspar {
namespace {

absl::Status CheckStep(const StepSpec& step, std::size_t number) {
  if (step.m_count == 0) {
    return Error(Code::kBadField,
                 absl::StrCat("step ", number, " has no tasks"));
  }
  for (const std::uint32_t earlier : step.m_after) {
    if (earlier >= number) {
      return Error(Code::kBadField,
                   absl::StrCat("step ", number, " waits for step ", earlier,
                                ", which does not come before it"));
    }
  }
  return absl::OkStatus();
}

}  // namespace

absl::Status CheckJob(const JobSpec& job) {
  if (job.m_steps.empty() || job.m_steps.size() > kMaxStepsPerJob) {
    return Error(Code::kBadField,
                 absl::StrCat("expected 1 to ", kMaxStepsPerJob, " steps"));
  }
  std::uint64_t tasks = 0;
  for (std::size_t i = 0; i < job.m_steps.size(); ++i) {
    FS_RETURN_IF_ERROR(CheckStep(job.m_steps[i], i));
    tasks += job.m_steps[i].m_count;
  }
  if (tasks > kMaxTasksPerJob) {
    return Error(Code::kBadField,
                 absl::StrCat("expected at most ", kMaxTasksPerJob, " tasks"));
  }
  return absl::OkStatus();
}

}  // namespace filbertspar
