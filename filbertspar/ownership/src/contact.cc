#include "filbertspar/ownership/src/contact.h"

namespace filbertspar {
namespace {

/// Answers further apart than this do not count as one continuous contact.
constexpr Duration kMaxContactGap = Milliseconds(1500);

}  // namespace

void HandleStoreAnswer(StoreContact& contact, TimePoint now) {
  if (now > contact.m_reached_at + kMaxContactGap) {
    contact.m_reached_since = now;
  }
  contact.m_reached_at = now;
}

}  // namespace filbertspar
