#include <catch2/catch.hpp>

#include "tests/scheduler_simulation.h"

namespace filbertspar::scheduler {
namespace {

// Guards against a VM that is taken down, or moved, with ends that nobody has
// read.
TEST_CASE("a VM whose worker has unread ends is not empty") {
  Simulation simulation;
  simulation.m_max_listed_ends = 4;
  simulation.AddWorker("w1", "p", 8);
  simulation.RunFor(Milliseconds(100));
  REQUIRE(
      simulation.Submit(Simulation::MakeJob("job", "p", 8, Milliseconds(200))));
  simulation.RunFor(Milliseconds(100));
  simulation.m_store_is_down = true;
  simulation.RunFor(Milliseconds(400));
  REQUIRE(simulation.m_workers[0]->m_running.empty());
  REQUIRE(simulation.m_workers[0]->m_finished.size() == 8);
  // Tasks whose ends were not listed are placed there still; those of a new
  // owner are not.
  simulation.TakeOver();
  simulation.RunFor(Milliseconds(40));
  REQUIRE(simulation.m_owner->m_workers[0].m_tasks.empty());
  CHECK_FALSE(IsMachineEmpty(*simulation.m_owner, simulation.m_now, 0));
  simulation.m_store_is_down = false;
  simulation.RunFor(Seconds(1));
  CHECK(IsMachineEmpty(*simulation.m_owner, simulation.m_now, 0));
}

}  // namespace
}  // namespace filbertspar::scheduler
