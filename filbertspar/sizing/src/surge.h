#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "filbertspar/catalogue/catalogue.h"

namespace filbertspar {

/// \brief Work that arrived at a pool within one second, in slot-seconds.
struct LoadSample {
  float m_urgent = 0;
  /// Standard and overnight work.
  float m_other = 0;
};

/// \brief Samples of one pool that are kept: one hour.
inline constexpr std::size_t kSurgeSamples = 3600;

/// \brief A pool's latest samples, oldest first from `m_next` once full.
struct SurgeHistory {
  std::vector<LoadSample> m_samples;
  std::size_t m_next = 0;
};

/// \brief Adds the sample of the next second; the oldest one is dropped.
void Observe(SurgeHistory& history, LoadSample sample);

/// \brief What a replay of a history against a number of slots gives, in
/// slot-seconds.
struct Replay {
  double m_urgent = 0;
  /// Urgent work that did not start within the bound.
  double m_late_urgent = 0;
  double m_other = 0;
  /// Other work that waited longer than its bound.
  double m_late_other = 0;

  double UrgentInTime() const {
    return m_urgent > 0 ? 1.0 - m_late_urgent / m_urgent : 1.0;
  }
};

/// \brief Bounds of waiting that a replay counts against.
struct StartBounds {
  /// 1.3 s less the time until a running task frees its slot.
  Duration m_urgent = Milliseconds(1000);
  Duration m_other = Seconds(30);
};

/// \brief Replays the arrivals as a fluid through `slots` servers, urgent work
/// first. Work whose backlog ahead exceeds slots times bound is late.
Replay ReplayHistory(const SurgeHistory& history, std::int64_t slots,
                     StartBounds bounds = {});

/// \brief What a pool needs in service, in VMs.
struct PoolNeed {
  std::int64_t m_vms = 0;
  /// VMs that the mean load alone keeps busy.
  std::int64_t m_mean_vms = 0;
  /// VMs that the highest sample would keep busy.
  std::int64_t m_peak_vms = 0;

  std::int64_t Buffer() const { return m_vms - m_mean_vms; }
};

/// \brief Largest share of a pool's slots that its mean load may keep busy.
inline constexpr double kMaxMeanLoad = 0.9;

/// \brief Share of urgent work that may start late: 0.1%, and less where the
/// deployment weighs nearness higher than buffer cost.
double AllowedLate(const Weights& weights);

/// \brief Smallest number of VMs that starts enough urgent work in time and
/// carries the mean load of all work.
PoolNeed SizePool(const SurgeHistory& history, std::int64_t slots_per_vm,
                  const Weights& weights, StartBounds bounds = {});

}  // namespace filbertspar
