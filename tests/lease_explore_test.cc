#include "tests/lease_explore.h"

#include <catch2/catch.hpp>

namespace filbertspar {
namespace {

using testing::LeaseExplorer;
using testing::LeaseFault;

// Guards against any interleaving of sends, late or lost answers, crashes,
// restarts and pauses in which a former holder changes a row or two processes
// may act.
TEST_CASE("no interleaving up to the bound lets a former holder write") {
  LeaseExplorer two(2, LeaseFault::kNone);
  CHECK(two.Run(8) == 0);
  CHECK(two.States() > 10'000);
  LeaseExplorer three(3, LeaseFault::kNone);
  CHECK(three.Run(6) == 0);
  CHECK(three.States() > 10'000);
}

// Guards against an exploration that is too shallow to find a broken rule.
TEST_CASE("the exploration of the lease finds each planted fault") {
  const auto injected_fault =
      GENERATE(LeaseFault::kNoFence, LeaseFault::kNoValidityLimit,
               LeaseFault::kUnsettledAsCommitted);
  LeaseExplorer explorer(2, injected_fault);
  INFO("planted fault " << static_cast<int>(injected_fault));
  CHECK(explorer.Run(8) > 0);
}

}  // namespace
}  // namespace filbertspar
