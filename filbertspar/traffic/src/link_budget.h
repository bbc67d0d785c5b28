#pragma once

#include <cstddef>

#include "filbertspar/base/base.h"

namespace filbertspar {

/// \brief Token buckets, in bytes, over what a VM sends on its link.
///
/// Polls, lease renewals and store writes are charged and never delayed. Starts
/// are sent only while tokens are left, so that a burst of starts cannot delay
/// the others in the queue of the link; a part of the bandwidth is theirs
/// alone.
struct LinkBudget {
  double m_bytes_per_s = 0;
  /// Bytes that may be sent at once; negative after more was sent than the
  /// link takes.
  double m_tokens = 0;
  /// Bytes of the starts' own part that are left.
  double m_start_tokens = 0;
  TimePoint m_at{};
  /// The link counts as loaded until then.
  TimePoint m_loaded_until = TimePoint::min();
};

/// \brief Budget of a link with this bandwidth in megabits per second.
LinkBudget MakeLinkBudget(double link_mbps, TimePoint now);

/// \brief Counts bytes that are being sent now.
void ChargeLink(LinkBudget& budget, TimePoint now, std::size_t bytes);

/// \brief Counts bytes of a start that is being sent now.
void ChargeStart(LinkBudget& budget, TimePoint now, std::size_t bytes);

/// \brief Whether a start fits beside the other traffic now.
bool HasRoom(const LinkBudget& budget, TimePoint now);

/// \brief Time until a start may be sent, at the latest from the part of the
/// bandwidth that is the starts' alone; 0 when it may be sent now.
Duration TimeUntilStart(const LinkBudget& budget, TimePoint now);

/// \brief Whether more was sent lately than the link takes, so that what waits
/// in its queue is late for a reason of this VM's own.
bool IsLoaded(const LinkBudget& budget, TimePoint now);

/// \brief Time that the link needs for these bytes when it gives them `share`
/// of its bandwidth.
Duration TimeOnLink(const LinkBudget& budget, std::size_t bytes, double share);

}  // namespace filbertspar
