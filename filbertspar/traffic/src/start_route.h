#pragma once

#include "filbertspar/traffic/src/link_budget.h"

namespace filbertspar {

enum class StartPath : std::uint8_t {
  /// From this VM to the worker.
  kDirect,
  /// Through the VM that forwarded the job and has its payload.
  kRelay,
  /// Later; the order was not sent.
  kWait,
};

struct StartRoute {
  StartPath m_path = StartPath::kDirect;
  /// With kWait, the time after which to choose again.
  Duration m_wait{0};
};

/// \brief How the owner sends a start now.
///
/// Answers the load of a turn on a slow link: a job's payload of some kilobytes
/// goes to the worker of each of its tasks. A relay sends it over another link
/// and costs the owner about a tenth of the bytes.
StartRoute ChooseStartRoute(const LinkBudget& budget, TimePoint now,
                            bool relay_is_available);

}  // namespace filbertspar
