#include "tests/lease_explore.h"

#include <catch2/catch.hpp>

namespace filbertspar {
namespace {

using testing::LeaseExplorer;
using testing::LeaseFault;

// Guards against interleavings of writes, late or lost responses, crashes,
// restarts and pauses in which a previous holder changes a row or two processes
// may act at once.
TEST_CASE("no interleaving up to the bound lets a previous holder write") {
  LeaseExplorer two(2, LeaseFault::kNone);
  CHECK(two.Run(8) == 0);
  CHECK(two.States() > 10'000);
  LeaseExplorer three(3, LeaseFault::kNone);
  CHECK(three.Run(6) == 0);
  CHECK(three.States() > 10'000);
}

// Guards against a search depth that is too small to detect protocol faults.
TEST_CASE("lease model checking detects each injected fault") {
  const auto injected_fault =
      GENERATE(LeaseFault::kNoFence, LeaseFault::kNoValidityLimit,
               LeaseFault::kUnsettledAsCommitted);
  LeaseExplorer explorer(2, injected_fault);
  INFO("injected fault " << static_cast<int>(injected_fault));
  CHECK(explorer.Run(8) > 0);
}

}  // namespace
}  // namespace filbertspar
