#include "tests/grant_explore.h"

#include <catch2/catch.hpp>

namespace filbertspar {
namespace {

using testing::GrantExplorer;
using testing::GrantFault;
using testing::GrantInitialState;

// Guards against interleavings of reads, writes, lost responses, crashes,
// restarts and pauses in which more units are in use than the ceiling allows.
TEST_CASE("no interleaving up to the bound exceeds the ceiling") {
  const auto initial =
      GENERATE(GrantInitialState::kEmpty, GrantInitialState::kBusy,
               GrantInitialState::kIdle);
  GrantExplorer two(2, 1, initial, GrantFault::kNone);
  CHECK(two.Run(7) == 0);
  CHECK(two.States() > 10'000);
  GrantExplorer three(3, 1, initial, GrantFault::kNone);
  CHECK(three.Run(5) == 0);
  CHECK(three.States() > 10'000);
}

// Guards against a search depth that is too small to detect protocol faults.
TEST_CASE("grant model checking detects each injected fault") {
  struct InjectedFault {
    GrantFault m_fault;
    GrantInitialState m_initial_state;
    int m_depth;
  };
  const auto injected_fault = GENERATE(
      InjectedFault{GrantFault::kUseBeforeCommit, GrantInitialState::kEmpty, 6},
      InjectedFault{GrantFault::kInheritUnits, GrantInitialState::kBusy, 3},
      InjectedFault{GrantFault::kNoReclaimDelay, GrantInitialState::kBusy, 6},
      InjectedFault{GrantFault::kUseAfterRelease, GrantInitialState::kIdle, 7},
      InjectedFault{GrantFault::kUnsettledAsNotWritten,
                    GrantInitialState::kIdle, 8});
  GrantExplorer explorer(2, 1, injected_fault.m_initial_state,
                         injected_fault.m_fault);
  INFO("injected fault " << static_cast<int>(injected_fault.m_fault));
  CHECK(explorer.Run(injected_fault.m_depth) > 0);
}

}  // namespace
}  // namespace filbertspar
