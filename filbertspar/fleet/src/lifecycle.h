#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "filbertspar/fleet/src/rows.h"

namespace filbertspar {

/// \brief What happens to a VM. Each is one conditional write of its row.
enum class VmEvent : std::uint8_t {
  /// A drain is admitted by the budgets.
  kAdmit,
  /// The worker confirmed that it takes no new work.
  kCordonConfirmed,
  kWorkEnded,
  /// A drained worker has work again, because it lost its cordon.
  kWorkSeen,
  kReboot,
  kMoved,
  kBooted,
  kVerified,
  /// The drain is given up and the VM serves its pool as before.
  kRollBack,
  kFail,
  /// A failed VM answers again.
  kRecover,
};
inline constexpr int kVmEvents = 11;

std::string_view ToString(VmEvent event);

/// \brief State that follows, or nothing when the event is not allowed.
std::optional<VmState> NextState(VmState state, VmEvent event, Purpose purpose);

}  // namespace filbertspar
