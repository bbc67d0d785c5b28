#include "filbertspar/job/src/spec.h"

#include "absl/strings/str_cat.h"

namespace filbertspar {
namespace {

/// Longest duration in a job: about a hundred years, far below the range in
/// which sums of microseconds overflow.
constexpr Duration kMaxDuration = Seconds(3'200'000'000);
/// Latest point in time in a job.
constexpr std::int64_t kMaxUnixMs = 1LL << 52;
constexpr std::uint32_t kMaxOccurrences = 1'000'000;

bool IsValidDuration(Duration duration) {
  return duration >= Duration(0) && duration <= kMaxDuration;
}

bool IsValidUnixMs(std::int64_t milliseconds) {
  return milliseconds >= 0 && milliseconds <= kMaxUnixMs;
}

absl::Status CheckStep(const StepSpec& step, std::size_t number) {
  if (step.m_count == 0) {
    return Error(Code::kBadField,
                 absl::StrCat("step ", number, " has no tasks"));
  }
  if (!IsValidDuration(step.m_estimate) ||
      !IsValidDuration(step.m_tail_latency_target)) {
    return Error(Code::kBadField,
                 absl::StrCat("step ", number, " states a time out of range"));
  }
  for (const std::uint32_t dependency : step.m_depends_on) {
    if (dependency >= number) {
      return Error(Code::kBadField,
                   absl::StrCat("step ", number, " waits for step ", dependency,
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
  if (!IsValidDuration(job.m_interval) ||
      !IsValidDuration(job.m_policy.m_target) ||
      !IsValidUnixMs(job.m_first_due_ms) || !IsValidUnixMs(job.m_received_ms) ||
      job.m_occurrence_count > kMaxOccurrences) {
    return Error(Code::kBadField, "a time of the job is out of range");
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
