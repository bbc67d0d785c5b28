#include <catch2/catch.hpp>
#include <vector>

#include "filbertspar/http/http.h"

namespace filbertspar {
namespace {

constexpr TimePoint kStart{Seconds(1000)};

ConnectionUse Reading(const char* address, std::size_t received) {
  ConnectionUse use;
  use.m_address = address;
  use.m_is_reading = true;
  use.m_received_bytes = received;
  use.m_request_began_at = kStart;
  use.m_last_progress_at = kStart;
  return use;
}

// Guards against half requests that take all memory, and against cutting off a
// small request in place of the one that holds most.
TEST_CASE("over the budget the largest request is cut off") {
  ConnectionUses uses(1000);
  ConnectionUse small = Reading("10.0.0.1", 100);
  ConnectionUse large = Reading("10.0.0.2", 800);
  ConnectionUse whole = Reading("10.0.0.3", 5000);
  whole.m_is_reading = false;
  whole.m_is_busy = true;
  for (ConnectionUse* use : {&small, &large, &whole}) {
    uses.Add(*use);
  }
  uses.SetHeld(small, 100);
  uses.SetHeld(large, 800);
  CHECK_FALSE(uses.IsOverBudget());
  uses.SetHeld(small, 300);
  REQUIRE(uses.IsOverBudget());
  CHECK(uses.LargestReading() == &large);
  uses.Remove(large);
  CHECK(uses.HeldBytes() == 300);
  CHECK_FALSE(uses.IsOverBudget());
}

// Guards against cutting off a client that sends while another one stands still
// with as much held.
TEST_CASE("of equal requests the one that received least is cut off") {
  ConnectionUses uses(100);
  ConnectionUse stalled = Reading("10.0.0.1", 100);
  ConnectionUse moving = Reading("10.0.0.2", 900);
  uses.Add(stalled);
  uses.Add(moving);
  uses.SetHeld(stalled, 80);
  uses.SetHeld(moving, 80);
  CHECK(uses.LargestReading() == &stalled);
}

// Guards against one address that holds all connections idle while the idle
// connections of others are closed.
TEST_CASE("the oldest idle connection of the busiest address is closed") {
  ConnectionUse only = Reading("10.0.0.1", 0);
  ConnectionUse older = Reading("10.0.0.2", 0);
  ConnectionUse newer = Reading("10.0.0.2", 0);
  ConnectionUse reading = Reading("10.0.0.2", 0);
  only.m_last_progress_at = kStart;
  older.m_last_progress_at = kStart + Seconds(1);
  newer.m_last_progress_at = kStart + Seconds(2);
  only.m_is_reading = older.m_is_reading = newer.m_is_reading = false;
  CHECK(ChooseIdle({&only, &newer, &older, &reading}) == &older);
  CHECK(ChooseIdle({&only, &reading}) == &only);
  CHECK(ChooseIdle({&reading}) == nullptr);
}

// Guards against half requests on all connections that keep new clients out,
// and against cutting off a request that has just begun.
TEST_CASE("of connections that read the one that began first is closed") {
  ConnectionUse first = Reading("10.0.0.1", 1);
  ConnectionUse second = Reading("10.0.0.2", 1);
  second.m_request_began_at = kStart + Seconds(1);
  CHECK(ChooseReading({&second, &first}, kStart + Seconds(2)) == &first);
  CHECK(ChooseReading({&second, &first}, kStart) == nullptr);
}

// Guards against a client that keeps a connection by sending a byte now and
// then, and against cutting off a small request on a slow link.
TEST_CASE("a request must keep a least rate and end in time") {
  const RequestPace pace{Seconds(10), 256, Seconds(3)};
  ConnectionUse dripping = Reading("10.0.0.1", 3);
  CHECK_FALSE(IsTooSlow(pace, dripping, kStart + Seconds(3)));
  CHECK(IsTooSlow(pace, dripping, kStart + Milliseconds(3100)));
  ConnectionUse steady = Reading("10.0.0.1", 4000);
  CHECK_FALSE(IsTooSlow(pace, steady, kStart + Seconds(9)));
  CHECK(IsTooSlow(pace, steady, kStart + Seconds(11)));
  steady.m_is_reading = false;
  CHECK_FALSE(IsTooSlow(pace, steady, kStart + Seconds(60)));
}

}  // namespace
}  // namespace filbertspar
