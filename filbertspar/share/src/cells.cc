#include "filbertspar/share/src/cells.h"

#include <algorithm>

namespace filbertspar::internal {
namespace {

double DominantOf(const SharePool& pool, const Amounts& amounts) {
  double dominant = 0;
  for (int kind = 0; kind < kResourceKinds; ++kind) {
    dominant = std::max(dominant, static_cast<double>(amounts.m_units[kind]) *
                                      pool.m_inverse[kind]);
  }
  return dominant;
}

}  // namespace

std::array<std::int64_t, kResourceKinds> Units(const Resources& size) {
  return {size.m_slots.Count(), size.m_memory.Count(),
          size.m_accelerators.Count()};
}

void Add(Amounts& amounts, const Resources& size, std::int64_t sign) {
  const auto units = Units(size);
  for (int kind = 0; kind < kResourceKinds; ++kind) {
    amounts.m_units[kind] += sign * units[kind];
    FS_ASSERT(amounts.m_units[kind] >= 0,
              "sizes are counted out as counted in");
  }
}

Fractions RunningFractions(const SharePool& pool, const ShareCell& cell) {
  Fractions result;
  for (int kind = 0; kind < kResourceKinds; ++kind) {
    result[kind] =
        (static_cast<double>(cell.m_running.m_units[kind]) +
         static_cast<double>(cell.m_peer_running) * cell.m_mean_size[kind]) *
        pool.m_inverse[kind];
  }
  return result;
}

Fractions MeanFractions(const SharePool& pool, const ShareCell& cell) {
  Fractions result;
  for (int kind = 0; kind < kResourceKinds; ++kind) {
    result[kind] = cell.m_mean_size[kind] * pool.m_inverse[kind];
  }
  return result;
}

double Received(const SharePool& pool, const ShareCell& cell) {
  return DominantShare(RunningFractions(pool, cell));
}

double OwnReceived(const SharePool& pool, const ShareCell& cell) {
  return DominantOf(pool, cell.m_running);
}

double AdvanceOf(const ShareSettings& settings, const SharePool& pool,
                 const ShareCell& cell, double due, double part) {
  const double urgent = DominantOf(pool, cell.m_waiting_urgent) / part;
  return std::min(ToSeconds(settings.m_urgent_lookahead) * urgent,
                  ToSeconds(settings.m_urgent_advance) * due);
}

double PartOf(const Share& share) {
  return 1.0 / (1.0 + static_cast<double>(share.m_peers.size()));
}

void CountReceived(const SharePool& pool, ShareCell& cell, TimePoint now) {
  if (now > cell.m_counted_to) {
    const double seconds = ToSeconds(now - cell.m_counted_to);
    cell.m_received_seconds += Received(pool, cell) * seconds;
    cell.m_own_received_seconds += OwnReceived(pool, cell) * seconds;
    cell.m_counted_to = now;
  }
}

}  // namespace filbertspar::internal
