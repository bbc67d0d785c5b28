#pragma once

#include <cstdint>

#include "filbertspar/scheduler/src/state.h"

namespace filbertspar::scheduler {

/// \brief Opens an occurrence of the job, whatever its due time.
Occurrence& AddOccurrence(Job& job, std::uint32_t number);

/// \brief Opens the occurrences of the job that are due, as many as may be open
/// at a time.
void OpenDueOccurrences(Job& job, std::int64_t unix_ms);

/// \brief Opens the occurrences of a job up to one of which a worker lists a
/// run. The previous owner had opened it and may not have stored that.
void OpenListedOccurrence(Scheduler& scheduler, const TaskId& task);

/// \brief Opens the occurrences that are due, of each job as many as may be
/// open at a time.
void AdvanceOccurrences(Scheduler& scheduler, TimePoint now);

}  // namespace filbertspar::scheduler
