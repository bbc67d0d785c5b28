#include <catch2/catch.hpp>

#include "filbertspar/ownership/ownership.h"

namespace filbertspar {
namespace {

constexpr TimePoint kNow{Seconds(100)};
const Candidate kSelf{VmName("me"), 5, Millicores(250), 0.5};

OwnerView ViewOf(Duration unchanged, LinkHealth link) {
  OwnerView view;
  OwnerRecord record;
  record.m_vm = VmName("other");
  record.m_incarnation = 9;
  record.m_epoch = FencingNumber(3);
  record.m_strongest_cpu = kSelf.m_cpu_capacity;
  view.m_record = record;
  view.m_has_read = true;
  view.m_version_first_seen = kNow - unchanged;
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
  CHECK(ShouldClaim(ViewOf(Seconds(1), LinkHealth::kStoreUnreachable), kSelf,
                    kNow));
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
  view.m_version_first_seen = kNow - Milliseconds(300);
  CHECK(ShouldClaim(view, kSelf, kNow));
}

// Guards against a weak VM that wins over a strong one, and equal ones that
// always collide.
TEST_CASE("stronger VMs claim first") {
  const OwnerView unknown;
  const auto delay = [&unknown](std::int64_t strength, double random) {
    return ClaimDelay(unknown, {VmName("a"), 1, Millicores(strength), random});
  };
  CHECK(delay(500, 0.5) < delay(120, 0.5));
  CHECK(delay(250, 0.1) < delay(250, 0.9));
}

// Guards against a weak VM that takes over, and is overloaded, while strong
// ones are about to claim: the slowest of these must come before the fastest
// weak one, also when they noticed the loss 1.3 s later.
TEST_CASE("a VM weaker than the last owner leaves the others time") {
  OwnerView view = ViewOf(Milliseconds(1400), LinkHealth::kSilent);
  view.m_record->m_strongest_cpu = Millicores(500);
  const Candidate strong{VmName("s"), 1, Millicores(500), 0.99};
  const Candidate weak{VmName("w"), 2, Millicores(120), 0};
  CHECK(ClaimDelay(view, strong) + Milliseconds(1300) < ClaimDelay(view, weak));
  CHECK(ShouldClaim(view, strong, kNow));
  CHECK_FALSE(ShouldClaim(view, weak, kNow));
  view.m_version_first_seen = kNow - Milliseconds(3300);
  CHECK(ShouldClaim(view, weak, kNow));
}

// Guards against a long wait where all VMs are equal, and against a term that
// goes back and forth between VMs of about the same strength.
TEST_CASE("equal VMs claim soon and keep the term") {
  OwnerView view = ViewOf(Milliseconds(1400), LinkHealth::kSilent);
  view.m_record->m_strongest_cpu = Millicores(250);
  CHECK(ShouldClaim(view, kSelf, kNow));
  CHECK_FALSE(ShouldHandOver(Millicores(250), Millicores(250)));
  CHECK_FALSE(ShouldHandOver(Millicores(250), Millicores(300)));
  CHECK(ShouldHandOver(Millicores(120), Millicores(500)));
  CHECK_FALSE(ShouldHandOver(Millicores(500), Millicores(120)));
}

// Guards against a weak VM that claims first because the strong one reads the
// row too seldom.
TEST_CASE("the next read comes when the claim is due") {
  OwnerView view = ViewOf(Milliseconds(850), LinkHealth::kSilent);
  view.m_record->m_strongest_cpu = Millicores(250);
  CHECK(TimeToNextOwnerRead(view, {VmName("me"), 5, Millicores(250), 0.75},
                            kNow) == Milliseconds(40));
  view.m_record->m_strongest_cpu = Millicores(0);
  const Candidate weak{VmName("weak"), 6, Millicores(100), 0.99};
  CHECK(TimeToNextOwnerRead(view, weak, kNow) == Milliseconds(250));
  CHECK(TimeToNextOwnerRead(ViewOf(Seconds(9), LinkHealth::kGood), kSelf,
                            kNow) >= Seconds(1));
}

// Guards against a successor that relies on a list of runs which the last
// owner could not keep complete.
TEST_CASE("the list of runs is relied on only when it must be complete") {
  constexpr TimePoint kReached = kNow - Seconds(9);
  OwnerView view = ViewOf(Milliseconds(1400), LinkHealth::kSilent);
  CHECK_FALSE(CanRelyOnRecordedStarts(view, kReached, kNow));
  view.m_record->m_all_starts_recorded = true;
  CHECK(CanRelyOnRecordedStarts(view, kReached, kNow));
  // Without the store this VM may have missed that the owner was without it.
  CHECK_FALSE(CanRelyOnRecordedStarts(view, kNow - Seconds(3), kNow));
  CHECK_FALSE(CanRelyOnRecordedStarts(view, TimePoint::max(), kNow));
  view.m_version_first_seen = kNow - Seconds(3);
  CHECK_FALSE(CanRelyOnRecordedStarts(view, kReached, kNow));
  view.m_record->m_released = true;
  CHECK(CanRelyOnRecordedStarts(view, kNow - Seconds(3), kNow));
}

// Guards against a row that a successor cannot read.
TEST_CASE("the owner's row is read as written") {
  OwnerRecord record;
  record.m_vm = VmName("me");
  record.m_incarnation = 0xffffffffffffffffULL;
  record.m_link = {"10.0.0.1", 7000};
  record.m_epoch = FencingNumber(12);
  record.m_link_secret = "secret";
  record.m_write_number = 99;
  record.m_strongest_cpu = Millicores(500);
  record.m_all_starts_recorded = true;
  record.m_released = true;
  const auto read = DecodeOwner(EncodeOwner(record));
  REQUIRE(read.ok());
  CHECK(*read == record);
  CHECK_FALSE(DecodeOwner("").ok());
  CHECK_FALSE(DecodeOwner("{}").ok());
}

}  // namespace
}  // namespace filbertspar
