#pragma once

#include <cstdint>

#include "filbertspar/base/base.h"

namespace filbertspar {

/// \brief Number of samples that weigh as much as the declaration.
inline constexpr double kPriorSamples = 4;
/// \brief Largest weight of the samples; beyond it older ones fade, so that an
/// estimate follows an entry whose tasks change.
inline constexpr double kMaxSamples = 64;

/// \brief Size and run time of the tasks of one catalogue entry: the declared
/// values blended with observed ones, (prior * 4 + sum) / (4 + n).
struct TaskEstimate {
  Resources m_declared;
  Duration m_declared_run_time = Milliseconds(100);
  double m_size_samples = 0;
  double m_memory_sum = 0;
  double m_time_samples = 0;
  double m_time_sum_us = 0;
};

/// \brief Estimate that starts at the declared values. A changed declaration
/// keeps the samples.
void Declare(TaskEstimate& estimate, const Resources& resources,
             Duration run_time);

/// \brief Adds the run time of a task that ran to its end.
void ObserveRunTime(TaskEstimate& estimate, Duration run_time);

/// \brief Adds the memory that a task was seen to use. Slots and accelerators
/// are assigned whole, so their declaration is exact.
void ObserveMemory(TaskEstimate& estimate, Megabytes memory);

Duration EstimatedRunTime(const TaskEstimate& estimate);
Resources EstimatedResources(const TaskEstimate& estimate);

}  // namespace filbertspar
