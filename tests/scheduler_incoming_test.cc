#include <catch2/catch.hpp>

#include "tests/scheduler_world.h"

namespace filbertspar::scheduler {
namespace {

// Guards against callers who are refused at the begin of a surge although the
// VMs that will serve them were ordered already.
TEST_CASE("admission counts VMs that are on their way") {
  World world;
  world.AddWorker("w1", "p", 4);
  world.Run(Milliseconds(100));
  for (int i = 0; i < 8; ++i) {
    const std::string id = "first" + std::to_string(i);
    world.Submit(World::MakeJob(id, "p", 4, Seconds(1)));
  }
  const JobSpec job = World::MakeJob("job", "p", 4, Seconds(1));
  REQUIRE(world.TryAdmit(job).m_code == Code::kDeadlineTooShort);
  world.m_owner->m_pools[PoolName("p")].m_incoming_cores = 64;
  CHECK(world.TryAdmit(job).m_code == Code::kOk);
}

}  // namespace
}  // namespace filbertspar::scheduler
