#pragma once

#include <cstdint>

#include "filbertspar/scheduler/src/state.h"

namespace filbertspar::scheduler {

/// \brief Whether no run of the previous owner can stand in the way of the
/// job's tasks.
bool MayStartTasks(const Scheduler& scheduler, const Job& job);

/// \brief Whether the task waits for a start and may be started now.
bool IsStartable(const Task& task, TimePoint now);

/// \brief Whether all steps that the step depends on are done; notes when that
/// was seen first.
bool IsReady(const Job& job, Occurrence& occurrence, std::uint32_t step,
             TimePoint now);

/// \brief Whether a workspace may hold `additional` resources.
bool IsWithinQuota(const Scheduler& scheduler, const WorkspaceName& workspace,
                   const ResourceVector& additional);

/// \brief Run number above those of all previous owners and below this one's.
std::uint64_t LastInheritedRun(const Scheduler& scheduler);

/// \brief Number of the task's next run.
std::uint64_t NextRun(const Scheduler& scheduler, const Task& task);

}  // namespace filbertspar::scheduler
