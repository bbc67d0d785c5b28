#include "filbertspar/http/src/connection_use.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace filbertspar {

std::string_view ClientFaultName(ClientFault fault) {
  switch (fault) {
    case ClientFault::kHeadTooLarge:
      return "head_too_large";
    case ClientFault::kBodyTooLarge:
      return "body_too_large";
    case ClientFault::kUnreadable:
      return "unreadable";
    case ClientFault::kTooSlow:
      return "too_slow";
    case ClientFault::kAnswerNotRead:
      return "answer_not_read";
    case ClientFault::kMemoryPressure:
      return "memory_pressure";
    case ClientFault::kTooManyConnections:
      return "too_many_connections";
  }
  return "";
}

void ConnectionUses::Remove(ConnectionUse& use) {
  SetHeld(use, 0);
  m_uses.erase(&use);
}

void ConnectionUses::SetHeld(ConnectionUse& use, std::size_t bytes) {
  m_held_bytes += bytes;
  m_held_bytes -= use.m_held_bytes;
  use.m_held_bytes = bytes;
}

ConnectionUse* ConnectionUses::LargestReading() const {
  ConnectionUse* largest = nullptr;
  const auto key = [](const ConnectionUse& use) {
    return std::tuple(use.m_held_bytes, ~use.m_received_bytes);
  };
  for (ConnectionUse* use : m_uses) {
    if (use->m_is_reading &&
        (largest == nullptr || key(*use) > key(*largest))) {
      largest = use;
    }
  }
  return largest;
}

ConnectionUse* ChooseIdle(const std::vector<ConnectionUse*>& uses) {
  std::map<std::string_view, std::size_t> by_address;
  for (const ConnectionUse* use : uses) {
    ++by_address[use->m_address];
  }
  ConnectionUse* oldest = nullptr;
  const auto key = [&by_address](const ConnectionUse& use) {
    return std::tuple(by_address[use.m_address],
                      TimePoint::max() - use.m_last_progress_at);
  };
  for (ConnectionUse* use : uses) {
    if (!use->m_is_reading && !use->m_is_busy &&
        (oldest == nullptr || key(*use) > key(*oldest))) {
      oldest = use;
    }
  }
  return oldest;
}

ConnectionUse* ChooseReading(const std::vector<ConnectionUse*>& uses,
                             TimePoint latest) {
  ConnectionUse* longest = nullptr;
  for (ConnectionUse* use : uses) {
    if (use->m_is_reading && use->m_request_began_at < latest &&
        (longest == nullptr ||
         use->m_request_began_at < longest->m_request_began_at)) {
      longest = use;
    }
  }
  return longest;
}

bool IsTooSlow(const RequestPace& pace, const ConnectionUse& use,
               TimePoint now) {
  if (!use.m_is_reading) {
    return false;
  }
  const Duration age = now - use.m_request_began_at;
  return age > pace.m_read_time ||
         (age > pace.m_grace && static_cast<double>(use.m_received_bytes) <
                                    pace.m_min_bytes_per_s * ToSeconds(age));
}

}  // namespace filbertspar
