#pragma once

#include "filbertspar/base/base.h"

namespace filbertspar {

/// \brief When the store answered this VM.
struct StoreContact {
  /// Time of the last answer; min() before the first.
  TimePoint m_reached_at = TimePoint::min();
  /// Start of the current contact without a gap; max() before the first answer.
  TimePoint m_reached_since = TimePoint::max();
  /// End of the last time for which this VM may have stated to the owner that
  /// the store does not answer it; min() before the first answer.
  TimePoint m_away_until = TimePoint::min();
};

void HandleStoreAnswer(StoreContact& contact, TimePoint now);

/// \brief Latest time for which this VM may have stated to the owner that the
/// store does not answer it.
TimePoint AwayUntil(const StoreContact& contact, TimePoint now);

/// \brief How long the store has answered this VM since `since`, without a gap
/// in which it counts as away.
Duration ReachableFor(const StoreContact& contact, TimePoint since,
                      TimePoint now);

}  // namespace filbertspar
