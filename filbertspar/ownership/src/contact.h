#pragma once

#include "filbertspar/base/base.h"

namespace filbertspar {

/// \brief When the store answered this VM.
struct StoreContact {
  /// Time of the last answer; min() before the first.
  TimePoint m_reached_at = TimePoint::min();
  /// Start of the current contact without a gap; max() before the first answer.
  TimePoint m_reached_since = TimePoint::max();
};

void HandleStoreAnswer(StoreContact& contact, TimePoint now);

}  // namespace filbertspar
