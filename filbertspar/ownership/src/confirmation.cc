#include "filbertspar/ownership/src/confirmation.h"

#include <algorithm>

namespace filbertspar {

void HandleWriteSent(OwnerConfirmation& confirmation, TimePoint now) {
  confirmation.m_first_sent_at = confirmation.m_first_sent_at.value_or(now);
  confirmation.m_last_sent_at = now;
}

void HandleWriteAnswered(OwnerConfirmation& confirmation) {
  confirmation.m_confirmed_at =
      std::max(confirmation.m_confirmed_at, confirmation.m_last_sent_at);
  confirmation.m_first_sent_at.reset();
}

void HandleWriteFound(OwnerConfirmation& confirmation) {
  confirmation.m_confirmed_at =
      std::max(confirmation.m_confirmed_at,
               confirmation.m_first_sent_at.value_or(TimePoint::min()));
  confirmation.m_first_sent_at.reset();
}

void HandleWriteRejected(OwnerConfirmation& confirmation) {
  confirmation.m_first_sent_at.reset();
}

}  // namespace filbertspar
