#include "filbertspar/share/src/estimate.h"

#include <algorithm>
#include <cmath>

namespace filbertspar {
namespace {

void AddSample(double& samples, double& sum, double value) {
  if (samples >= kMaxSamples) {
    sum *= (kMaxSamples - 1) / samples;
    samples = kMaxSamples - 1;
  }
  samples += 1;
  sum += value;
}

double Blend(double prior, double samples, double sum) {
  return (prior * kPriorSamples + sum) / (kPriorSamples + samples);
}

}  // namespace

void Declare(TaskEstimate& estimate, const Resources& resources,
             Duration run_time) {
  estimate.m_declared = resources;
  estimate.m_declared_run_time = run_time;
}

void ObserveRunTime(TaskEstimate& estimate, Duration run_time) {
  AddSample(estimate.m_time_samples, estimate.m_time_sum_us,
            static_cast<double>(std::max<std::int64_t>(1, run_time.count())));
}

void ObserveMemory(TaskEstimate& estimate, Megabytes memory) {
  AddSample(estimate.m_size_samples, estimate.m_memory_sum,
            static_cast<double>(std::max<std::int64_t>(0, memory.Count())));
}

Duration EstimatedRunTime(const TaskEstimate& estimate) {
  return Duration(std::llround(
      Blend(static_cast<double>(estimate.m_declared_run_time.count()),
            estimate.m_time_samples, estimate.m_time_sum_us)));
}

Resources EstimatedResources(const TaskEstimate& estimate) {
  Resources resources = estimate.m_declared;
  resources.m_memory = Megabytes(std::llround(
      Blend(static_cast<double>(estimate.m_declared.m_memory.Count()),
            estimate.m_size_samples, estimate.m_memory_sum)));
  return resources;
}

}  // namespace filbertspar
