#pragma once

#include <cstddef>

#include "filbertspar/base/base.h"

namespace filbertspar {

/// \brief How much of its link a VM receives on.
struct ReceiveLoad {
  double m_link_bytes_per_s = 0;
  /// Bytes a second, smoothed over about a second.
  double m_rate = 0;
  TimePoint m_at{};
  /// The link counts as loaded until then.
  TimePoint m_loaded_until = TimePoint::min();
};

ReceiveLoad MakeReceiveLoad(double link_mbps, TimePoint now);

void AddReceived(ReceiveLoad& load, TimePoint now, std::size_t bytes);

/// \brief Whether much of the link was used lately.
bool IsLoaded(const ReceiveLoad& load, TimePoint now);

/// \brief Whether other VMs should ask first, without the payload, whether a
/// job would be admitted.
///
/// Answers the load of a turn beyond what the pools hold: most submissions are
/// then refused, and their payloads would fill the owner's link. Asking costs a
/// round trip, which a link with room does not need.
bool ShouldAskFirst(const ReceiveLoad& load, TimePoint now);

}  // namespace filbertspar
