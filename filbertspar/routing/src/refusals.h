#pragma once

#include <deque>
#include <optional>

#include "absl/container/flat_hash_map.h"
#include "filbertspar/base/base.h"
#include "filbertspar/job/job.h"

namespace filbertspar {

/// \brief Reply to a submission that was refused.
struct Refusal {
  Code m_code = Code::kOk;
  Duration m_retry_after{0};
  TimePoint m_at{};
};

/// \brief Refused submissions of one owner, whose clock gives all times.
///
/// A caller that was refused is told that its job never runs, while a copy of
/// the call may still be on its way: a refusal therefore holds for every copy
/// that a VM received from a caller before it.
struct Refusals {
  /// The last refusal of each job.
  absl::flat_hash_map<JobId, Refusal> m_by_job;
  std::deque<std::pair<TimePoint, JobId>> m_oldest_first;
  /// Time of the last refusal that was dropped to bound the memory.
  TimePoint m_dropped_until = TimePoint::min();
};

void RecordRefusal(Refusals& refusals, const JobId& job,
                   const Refusal& refusal);

/// \brief The refusal that holds for a submission received at `received_at`;
/// nullopt if it may be admitted. kDeadlinePassed: the call is older than the
/// refusals that are kept.
std::optional<Refusal> FindRefusal(const Refusals& refusals, const JobId& job,
                                   TimePoint received_at);

}  // namespace filbertspar
