#include <catch2/catch.hpp>

#include "filbertspar/ownership/ownership.h"

namespace filbertspar {
namespace {

constexpr TimePoint kNow{Seconds(100)};
const Candidate kSelf{VmName("me"), 5, Milliseconds(100)};

OwnerView ViewOf(Duration unchanged, LinkHealth link) {
  OwnerView view;
  OwnerRecord record;
  record.m_vm = VmName("other");
  record.m_incarnation = 9;
  record.m_epoch = FencingNumber(3);
  view.m_record = record;
  view.m_read = true;
  view.m_version_since = kNow - unchanged;
  view.m_confirmed_at = kNow;
  view.m_link = link;
  return view;
}

// Guards against a working owner that is replaced.
TEST_CASE("an owner that answers and writes is left in place") {
  CHECK_FALSE(ShouldClaim(ViewOf(Seconds(9), LinkHealth::kGood), kSelf, kNow));
  CHECK_FALSE(
      ShouldClaim(ViewOf(Milliseconds(500), LinkHealth::kSilent), kSelf, kNow));
  CHECK_FALSE(ShouldClaim(OwnerView(), kSelf, kNow));
}

// Guards against an owner that is gone and not replaced.
TEST_CASE("an owner that is gone is replaced, the surer the sooner") {
  CHECK(ShouldClaim(ViewOf(Seconds(2), LinkHealth::kSilent), kSelf, kNow));
  CHECK(ShouldClaim(ViewOf(Seconds(1), LinkHealth::kUnconfirmed), kSelf, kNow));
  CHECK(ShouldClaim(ViewOf(Milliseconds(300), LinkHealth::kRefused), kSelf,
                    kNow));
}

// Guards against a change of owner because the store is slow for all.
TEST_CASE("a slow store delays the claim") {
  OwnerView view = ViewOf(Milliseconds(1500), LinkHealth::kSilent);
  CHECK(ShouldClaim(view, kSelf, kNow));
  view.m_read_time = Milliseconds(240);
  CHECK_FALSE(ShouldClaim(view, kSelf, kNow));
}

// Guards against a wait for an owner that has given up or never was.
TEST_CASE("a row that is free or left by this VM is claimed at once") {
  OwnerView view = ViewOf(Milliseconds(200), LinkHealth::kGood);
  view.m_record->m_released = true;
  CHECK(ShouldClaim(view, kSelf, kNow));
  view = ViewOf(Duration(0), LinkHealth::kSilent);
  view.m_record->m_vm = VmName("me");
  CHECK(ShouldClaim(view, kSelf, kNow));
  view.m_record->m_incarnation = kSelf.m_incarnation;
  CHECK_FALSE(ShouldClaim(view, kSelf, kNow));
  view.m_record.reset();
  view.m_version_since = kNow - Milliseconds(150);
  CHECK(ShouldClaim(view, kSelf, kNow));
}

// Guards against a weak VM that wins over a strong one, and equal ones that
// always collide.
TEST_CASE("stronger VMs claim first") {
  CHECK(ClaimDelay(0.5, 0.5) < ClaimDelay(0.12, 0.5));
  CHECK(ClaimDelay(0.25, 0.1) < ClaimDelay(0.25, 0.9));
}

// Guards against a weak VM that claims first because the strong one reads the
// row too seldom.
TEST_CASE("the next read comes when the claim is due") {
  const OwnerView view = ViewOf(Milliseconds(1250), LinkHealth::kSilent);
  CHECK(NextOwnerRead(view, kSelf, kNow) == Milliseconds(50));
  const Candidate weak{VmName("weak"), 6, Milliseconds(300)};
  CHECK(NextOwnerRead(view, weak, kNow) == Milliseconds(250));
  CHECK(NextOwnerRead(ViewOf(Seconds(9), LinkHealth::kGood), kSelf, kNow) >=
        Seconds(1));
}

// Guards against a row that a successor cannot read.
TEST_CASE("the owner's row is read as written") {
  OwnerRecord record;
  record.m_vm = VmName("me");
  record.m_incarnation = 0xffffffffffffffffULL;
  record.m_link = {"10.0.0.1", 7000};
  record.m_epoch = FencingNumber(12);
  record.m_link_secret = "secret";
  record.m_write = 99;
  record.m_released = true;
  const auto read = DecodeOwner(EncodeOwner(record));
  REQUIRE(read.ok());
  CHECK(*read == record);
  CHECK_FALSE(DecodeOwner("").ok());
  CHECK_FALSE(DecodeOwner("{}").ok());
}

}  // namespace
}  // namespace filbertspar
