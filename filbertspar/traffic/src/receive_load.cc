#include "filbertspar/traffic/src/receive_load.h"

#include <algorithm>
#include <cmath>

namespace filbertspar {
namespace {

constexpr double kSmoothingSeconds = 1;
/// Share of the link from which it counts as loaded; a surge may double the
/// rate before the other VMs learn of it.
constexpr double kLoadedShare = 0.3;
/// Keeps the others asking between two surges.
constexpr Duration kHoldTime = Seconds(5);

}  // namespace

ReceiveLoad MakeReceiveLoad(double link_mbps, TimePoint now) {
  ReceiveLoad load;
  load.m_link_bytes_per_s = link_mbps * 1e6 / 8;
  load.m_at = now;
  return load;
}

void AddReceived(ReceiveLoad& load, TimePoint now, std::size_t bytes) {
  const double elapsed = std::max(0.0, ToSeconds(now - load.m_at));
  load.m_rate = load.m_rate * std::exp(-elapsed / kSmoothingSeconds) +
                static_cast<double>(bytes) / kSmoothingSeconds;
  load.m_at = now;
  if (load.m_rate > load.m_link_bytes_per_s * kLoadedShare) {
    load.m_loaded_until = now + kHoldTime;
  }
}

bool IsLoaded(const ReceiveLoad& load, TimePoint now) {
  return now < load.m_loaded_until;
}

bool ShouldAskFirst(const ReceiveLoad& load, TimePoint now) {
  return IsLoaded(load, now);
}

}  // namespace filbertspar
