#include "filbertspar/traffic/src/start_route.h"

namespace filbertspar {

StartRoute ChooseStartRoute(const LinkBudget& budget, TimePoint now,
                            bool relay_is_available) {
  if (HasRoom(budget, now)) {
    return {StartPath::kDirect};
  }
  if (relay_is_available) {
    return {StartPath::kRelay};
  }
  const Duration wait = TimeUntilStart(budget, now);
  return wait == Duration(0) ? StartRoute{StartPath::kDirect}
                             : StartRoute{StartPath::kWait, wait};
}

}  // namespace filbertspar
