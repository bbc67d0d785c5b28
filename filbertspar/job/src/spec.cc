#include "filbertspar/job/src/spec.h"

#include "absl/strings/str_cat.h"

namespace filbertspar {
namespace {

/// Longest time a job may state: about a hundred years, far from where sums
/// of microseconds overflow.
constexpr Duration kLongestTime = Seconds(3'200'000'000);
/// Latest point in time, in Unix milliseconds.
constexpr std::int64_t kLatestUnixMs = 1LL << 52;
constexpr std::uint32_t kMostTimes = 1'000'000;

bool IsTime(Duration duration) {
  return duration >= Duration(0) && duration <= kLongestTime;
}

bool IsUnixMs(std::int64_t milliseconds) {
  return milliseconds >= 0 && milliseconds <= kLatestUnixMs;
}

absl::Status CheckStep(const StepSpec& step, std::size_t number) {
  if (step.m_count == 0) {
    return Error(Code::kBadField,
                 absl::StrCat("step ", number, " has no tasks"));
  }
  if (!IsTime(step.m_estimate) || !IsTime(step.m_tail_latency_target)) {
    return Error(Code::kBadField,
                 absl::StrCat("step ", number, " states a time out of range"));
  }
  for (const std::uint32_t earlier : step.m_depends_on) {
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
  if (!IsTime(job.m_interval) || !IsTime(job.m_policy.m_target) ||
      !IsUnixMs(job.m_first_due_ms) || !IsUnixMs(job.m_received_ms) ||
      job.m_occurrence_count > kMostTimes) {
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
