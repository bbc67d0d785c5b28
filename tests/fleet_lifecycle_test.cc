#include <catch2/catch.hpp>
#include <string>

#include "filbertspar/fleet/fleet.h"

namespace filbertspar {
namespace {

/// \brief Life cycle written as nested conditions, independent of the machine.
std::optional<VmState> NaiveNext(VmState state, VmEvent event,
                                 Purpose purpose) {
  using S = VmState;
  const bool worker_up =
      state == S::kCordoned || state == S::kDraining || state == S::kDrained;
  switch (event) {
    case VmEvent::kAdmit:
      return state == S::kInService ? std::optional(S::kCordoned)
                                    : std::nullopt;
    case VmEvent::kCordonConfirmed:
      return state == S::kCordoned ? std::optional(S::kDraining) : std::nullopt;
    case VmEvent::kWorkEnded:
      return state == S::kDraining ? std::optional(S::kDrained) : std::nullopt;
    case VmEvent::kWorkSeen:
      return state == S::kDrained ? std::optional(S::kDraining) : std::nullopt;
    case VmEvent::kReboot:
      return state == S::kDrained && purpose == Purpose::kMaintain
                 ? std::optional(S::kRebooting)
                 : std::nullopt;
    case VmEvent::kMoved:
      return state == S::kDrained && purpose == Purpose::kMove
                 ? std::optional(S::kInService)
                 : std::nullopt;
    case VmEvent::kBooted:
      return state == S::kRebooting ? std::optional(S::kVerifying)
                                    : std::nullopt;
    case VmEvent::kVerified:
      return state == S::kVerifying ? std::optional(S::kInService)
                                    : std::nullopt;
    case VmEvent::kRollBack:
      return worker_up ? std::optional(S::kInService) : std::nullopt;
    case VmEvent::kFail:
      return state == S::kFailed ? std::nullopt : std::optional(S::kFailed);
    case VmEvent::kRecover:
      return state == S::kFailed ? std::optional(S::kVerifying) : std::nullopt;
  }
  return std::nullopt;
}

// Guards against a transition that skips the drain or the verification.
TEST_CASE("the life cycle allows exactly the listed transitions") {
  for (int state = 0; state < kVmStates; ++state) {
    for (int event = 0; event < kVmEvents; ++event) {
      for (int purpose = 0; purpose < 4; ++purpose) {
        const auto from = static_cast<VmState>(state);
        const auto what = static_cast<VmEvent>(event);
        const auto why = static_cast<Purpose>(purpose);
        INFO(ToString(from) << " " << ToString(what) << " " << ToString(why));
        CHECK(NextState(from, what, why) == NaiveNext(from, what, why));
      }
    }
  }
}

// Guards against a drain that starts in, or reaches into, a blackout.
TEST_CASE("blackouts cover their days, midnight and the time before") {
  constexpr std::int64_t kMinute = 60'000;
  constexpr std::int64_t kDay = 1440 * kMinute;
  // Day 0 is 1 January 1970; day 31 is 1 February.
  const std::vector<Blackout> night = {
      {.m_start_minute = 1380, .m_end_minute = 60}};
  CHECK(BlackoutEnd(night, kDay + 30 * kMinute, kMinute) ==
        kDay + 60 * kMinute);
  CHECK_FALSE(BlackoutEnd(night, kDay + 60 * kMinute, kMinute));
  CHECK(BlackoutEnd(night, 1370 * kMinute, 11 * kMinute) ==
        kDay + 60 * kMinute);
  CHECK(NextOpen(night, 1375 * kMinute, 10 * kMinute) == kDay + 60 * kMinute);
  const std::vector<Blackout> month_start = {{.m_start_minute = 0,
                                              .m_end_minute = 1440,
                                              .m_first_day = 1,
                                              .m_last_day = 2}};
  CHECK(NextOpen(month_start, 0, kMinute) == 2 * kDay);
  CHECK(NextOpen(month_start, 31 * kDay - 1, kMinute) == 33 * kDay);
  const std::vector<Blackout> always = {{.m_end_minute = 1440}};
  CHECK_FALSE(NextOpen(always, 0, kMinute));
}

}  // namespace
}  // namespace filbertspar
