#include "filbertspar/sizing/src/surge.h"

#include <algorithm>
#include <cmath>

#include "filbertspar/base/base.h"

namespace filbertspar {
namespace {

/// \brief Late part of an arrival that queues behind `ahead`.
double LatePart(double ahead, double arrived, double in_time) {
  return std::clamp(ahead + arrived - in_time, 0.0, arrived);
}

std::int64_t CeilVms(double slots, std::int64_t slots_per_vm) {
  return static_cast<std::int64_t>(
      std::ceil(slots / static_cast<double>(slots_per_vm)));
}

}  // namespace

void Observe(SurgeHistory& history, LoadSample sample) {
  if (history.m_samples.size() < kSurgeSamples) {
    history.m_samples.push_back(sample);
    return;
  }
  history.m_samples[history.m_next] = sample;
  history.m_next = (history.m_next + 1) % kSurgeSamples;
}

Replay ReplayHistory(const SurgeHistory& history, std::int64_t slots,
                     StartBounds bounds) {
  Replay replay;
  const auto capacity = static_cast<double>(slots);
  const double urgent_in_time = capacity * ToSeconds(bounds.m_urgent);
  const double other_in_time = capacity * ToSeconds(bounds.m_other);
  double urgent = 0;
  double other = 0;
  const std::size_t count = history.m_samples.size();
  for (std::size_t step = 0; step < count; ++step) {
    std::size_t at = history.m_next + step;
    at = at >= count ? at - count : at;
    const LoadSample& sample = history.m_samples[at];
    // The pool serves while the second's work arrives, so what is served in
    // this second is not ahead of the last of it.
    replay.m_urgent += sample.m_urgent;
    replay.m_late_urgent +=
        LatePart(urgent, sample.m_urgent, urgent_in_time + capacity);
    urgent += sample.m_urgent;
    const double served = std::min(urgent, capacity);
    urgent -= served;
    replay.m_other += sample.m_other;
    replay.m_late_other +=
        LatePart(urgent + other, sample.m_other, other_in_time);
    other += sample.m_other;
    other -= std::min(other, capacity - served);
  }
  return replay;
}

double AllowedLate(const Weights& weights) {
  constexpr double kAllowed = 0.001;
  const double ratio =
      weights.m_nearness > 0 ? weights.m_buffer / weights.m_nearness : 1.0;
  return kAllowed * std::clamp(ratio, 0.25, 1.0);
}

PoolNeed SizePool(const SurgeHistory& history, std::int64_t slots_per_vm,
                  const Weights& weights, StartBounds bounds) {
  FS_ASSERT(slots_per_vm > 0, "a VM has at least one slot");
  PoolNeed need;
  double sum = 0;
  double peak = 0;
  for (const LoadSample& sample : history.m_samples) {
    const double load = static_cast<double>(sample.m_urgent) + sample.m_other;
    sum += load;
    peak = std::max(peak, load);
  }
  if (history.m_samples.empty()) {
    return need;
  }
  const double mean = sum / static_cast<double>(history.m_samples.size());
  need.m_mean_vms = CeilVms(mean, slots_per_vm);
  need.m_peak_vms = CeilVms(peak, slots_per_vm);
  const double allowed = AllowedLate(weights);
  std::int64_t low = CeilVms(mean / kMaxMeanLoad, slots_per_vm);
  std::int64_t high = std::max(low, need.m_peak_vms);
  // A pool of the peak's size starts everything at once, and more VMs never
  // start less in time, so the smallest size is found by bisection.
  while (low < high) {
    const std::int64_t middle = (low + high) / 2;
    const Replay replay = ReplayHistory(history, middle * slots_per_vm, bounds);
    if (replay.m_late_urgent <= allowed * replay.m_urgent) {
      high = middle;
    } else {
      low = middle + 1;
    }
  }
  need.m_vms = low;
  return need;
}

}  // namespace filbertspar
