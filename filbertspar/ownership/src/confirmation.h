#pragma once

#include <optional>

#include "filbertspar/base/base.h"

namespace filbertspar {

/// \brief The time at which an owner can prove that it still was the owner. The
/// next owner reckons from when it saw the row that the last write left, so
/// this must not be later.
struct OwnerConfirmation {
  /// When the last write that took effect was sent.
  TimePoint m_confirmed_at{};
  /// When the first and the last attempt of the current write were sent.
  std::optional<TimePoint> m_first_sent_at;
  TimePoint m_last_sent_at{};
};

/// \brief Called before each attempt of a write is sent.
void HandleWriteSent(OwnerConfirmation& confirmation, TimePoint now);

/// \brief Called when the last attempt was answered: it took effect.
void HandleWriteAnswered(OwnerConfirmation& confirmation);

/// \brief Called when the row shows that one of the attempts took effect, maybe
/// the first.
void HandleWriteFound(OwnerConfirmation& confirmation);

/// \brief Called when the write will not be attempted again.
void HandleWriteRejected(OwnerConfirmation& confirmation);

}  // namespace filbertspar
