#include "tests/grant_explore.h"

#include <catch2/catch.hpp>

namespace filbertspar {
namespace {

using testing::GrantExplorer;
using testing::GrantFault;
using testing::GrantStart;

// Guards against any interleaving of reads, writes, lost answers, crashes,
// restarts and pauses in which more units are in use than the ceiling allows.
TEST_CASE("no interleaving up to the bound breaks the ceiling") {
  const auto start =
      GENERATE(GrantStart::kEmpty, GrantStart::kBusy, GrantStart::kIdle);
  GrantExplorer two(2, 1, start, GrantFault::kNone);
  CHECK(two.Run(7) == 0);
  CHECK(two.States() > 10'000);
  GrantExplorer three(3, 1, start, GrantFault::kNone);
  CHECK(three.Run(5) == 0);
  CHECK(three.States() > 10'000);
}

// Guards against an exploration that is too shallow to find a broken rule.
TEST_CASE("the exploration finds each planted fault") {
  struct Planted {
    GrantFault m_fault;
    GrantStart m_start;
    int m_depth;
  };
  const auto planted =
      GENERATE(Planted{GrantFault::kEarlyGrowth, GrantStart::kEmpty, 6},
               Planted{GrantFault::kInherit, GrantStart::kBusy, 3},
               Planted{GrantFault::kNoWait, GrantStart::kBusy, 6},
               Planted{GrantFault::kLateReturn, GrantStart::kIdle, 7},
               Planted{GrantFault::kGuessNotWritten, GrantStart::kIdle, 8});
  GrantExplorer explorer(2, 1, planted.m_start, planted.m_fault);
  INFO("planted fault " << static_cast<int>(planted.m_fault));
  CHECK(explorer.Run(planted.m_depth) > 0);
}

}  // namespace
}  // namespace filbertspar
