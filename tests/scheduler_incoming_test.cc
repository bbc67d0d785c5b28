#include <catch2/catch.hpp>

#include "tests/scheduler_simulation.h"

namespace filbertspar::scheduler {
namespace {

// Callers must not be refused at the start of a surge when VMs that will serve
// them have already been ordered.
TEST_CASE("admission counts VMs that are on their way") {
  Simulation simulation;
  simulation.AddWorker("w1", "p", 4);
  simulation.RunFor(Milliseconds(100));
  for (int i = 0; i < 8; ++i) {
    const std::string id = "first" + std::to_string(i);
    simulation.Submit(Simulation::MakeJob(id, "p", 4, Seconds(1)));
  }
  const JobSpec job = Simulation::MakeJob("job", "p", 4, Seconds(1));
  REQUIRE(simulation.CheckAdmission(job).m_code == Code::kDeadlineTooShort);
  simulation.m_owner->m_pools[PoolName("p")].m_incoming_cores = 64;
  CHECK(simulation.CheckAdmission(job).m_code == Code::kOk);
}

}  // namespace
}  // namespace filbertspar::scheduler
