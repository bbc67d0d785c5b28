#include <catch2/catch.hpp>

#include "filbertspar/ownership/ownership.h"

namespace filbertspar {
namespace {

constexpr TimePoint kNow{Seconds(100)};

PeerStatement StatementOf(Duration store_age, Duration stated_ago) {
  return {/*m_connected=*/true, kNow - stated_ago, store_age};
}

// Guards against workers whose leases end although no VM reaches the store.
TEST_CASE("an owner goes on while all peers state that they lack the store") {
  CHECK(IsRecentlyConfirmed(kNow - Milliseconds(1500), kNow));
  CHECK_FALSE(IsRecentlyConfirmed(kNow - Milliseconds(1600), kNow));
  const PeerStatement lacking = StatementOf(Seconds(2), Milliseconds(300));
  CHECK(MayGoOnUnconfirmed(kNow - Seconds(5), {lacking, lacking}, kNow));
  CHECK_FALSE(MayGoOnUnconfirmed(kNow - Seconds(5), {}, kNow));
  CHECK_FALSE(MayGoOnUnconfirmed(
      kNow - Seconds(5),
      {lacking, StatementOf(Milliseconds(1200), Milliseconds(300))}, kNow));
  PeerStatement disconnected = lacking;
  disconnected.m_connected = false;
  CHECK_FALSE(
      MayGoOnUnconfirmed(kNow - Seconds(5), {lacking, disconnected}, kNow));
}

// Guards against an owner that sends orders beside the next one, because a
// statement that was held up on a slow link, or in a process that was
// suspended, counts from when it arrives.
TEST_CASE("a statement counts from when it was made") {
  CHECK(MayGoOnUnconfirmed(kNow - Seconds(5),
                           {StatementOf(Seconds(5), Milliseconds(900))}, kNow));
  CHECK_FALSE(MayGoOnUnconfirmed(kNow - Seconds(5),
                                 {StatementOf(Seconds(5), Seconds(1))}, kNow));
  PeerStatement undated = StatementOf(Seconds(5), Duration(0));
  undated.m_stated_at = TimePoint::min();
  CHECK_FALSE(MayGoOnUnconfirmed(kNow - Seconds(5), {undated}, kNow));
}

// Guards against an owner that goes on for as long as its peers lack the store,
// beside a VM that it does not know of.
TEST_CASE("an owner goes on for a bounded time") {
  const std::vector<PeerStatement> lacking = {
      StatementOf(Seconds(9), Milliseconds(300))};
  CHECK(MayGoOnUnconfirmed(kNow - kMaxOutageTime + Milliseconds(1), lacking,
                           kNow));
  CHECK_FALSE(MayGoOnUnconfirmed(kNow - kMaxOutageTime, lacking, kNow));
  CHECK_FALSE(MayStartUnrecorded(kNow - kMaxOutageTime, lacking, false, kNow));
}

// Guards against starts that no successor knows of while a VM may take over.
TEST_CASE("starts are not recorded only in a long outage of all") {
  const std::vector<PeerStatement> lacking = {
      StatementOf(Milliseconds(2100), Milliseconds(300))};
  CHECK(MayStartUnrecorded(kNow - Milliseconds(3100), lacking, false, kNow));
  CHECK_FALSE(MayStartUnrecorded(kNow - Seconds(3), lacking, false, kNow));
  CHECK_FALSE(MayStartUnrecorded(kNow - Seconds(5),
                                 {StatementOf(Milliseconds(1900), Duration(0))},
                                 false, kNow));
}

// Guards against a successor that starts tasks again, because the row that it
// relies on was stored without an answer before they were started.
TEST_CASE("an owner that is giving up starts nothing that is not recorded") {
  const std::vector<PeerStatement> lacking = {
      StatementOf(Seconds(4), Milliseconds(300))};
  CHECK(MayStartUnrecorded(kNow - Seconds(5), lacking, false, kNow));
  CHECK_FALSE(MayStartUnrecorded(kNow - Seconds(5), lacking, true, kNow));
}

}  // namespace
}  // namespace filbertspar
