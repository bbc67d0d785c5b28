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
  view.m_owner_first_seen = kNow - Seconds(60);
  view.m_answered_ping_at = view.m_version_first_seen;
  return view;
}

/// A contact with the store without a gap from `since` to kNow.
StoreContact ContactSince(TimePoint since) { return {kNow, since, since}; }

// Guards against replacing an owner that still works.
TEST_CASE("an owner that answers or writes is not replaced") {
  CHECK_FALSE(ShouldClaim(ViewOf(Seconds(9), LinkHealth::kGood), kSelf, kNow));
  CHECK_FALSE(
      ShouldClaim(ViewOf(Milliseconds(500), LinkHealth::kSilent), kSelf, kNow));
  CHECK_FALSE(ShouldClaim(OwnerView(), kSelf, kNow));
}

// Guards against an owner that failed and is not replaced.
TEST_CASE("a failed owner is replaced, the sooner the clearer the evidence") {
  CHECK(ShouldClaim(ViewOf(Seconds(2), LinkHealth::kSilent), kSelf, kNow));
  CHECK(ShouldClaim(ViewOf(Seconds(1), LinkHealth::kStoreUnreachable), kSelf,
                    kNow));
  CHECK(ShouldClaim(ViewOf(Milliseconds(300), LinkHealth::kRefused), kSelf,
                    kNow));
}

// An owner goes on ordering workers while the store is away for all VMs. Guards
// against a next owner, the first to reach the store again, that takes the
// leases of those orders for expired and starts running tasks elsewhere.
TEST_CASE("an owner may have acted until the store could be reached again") {
  const OwnerView view = ViewOf(Milliseconds(4500), LinkHealth::kSilent);
  StoreContact contact;
  HandleStoreAnswer(contact, kNow - Seconds(60));
  for (Duration ago = Seconds(59); ago > Milliseconds(4200);
       ago -= Seconds(1)) {
    HandleStoreAnswer(contact, kNow - ago);
  }
  CHECK(LatestOrderOfOwner(view, kSelf, contact, kNow) ==
        kNow + kMaxStatementAge);
  HandleStoreAnswer(contact, kNow - Milliseconds(2));
  CHECK(LatestOrderOfOwner(view, kSelf, contact, kNow) ==
        kNow - Milliseconds(2) + kMaxStatementAge);
  CHECK(
      LatestOrderOfOwner(view, kSelf, ContactSince(kNow - Seconds(60)), kNow) ==
      kNow - Milliseconds(4500) + kMaxUnconfirmedTime);
}

// Guards against an owner that goes on by what this VM states in a gap of its
// contact which is too short to interrupt the contact.
TEST_CASE("a gap in which this VM states that it lacks the store counts") {
  const OwnerView view = ViewOf(Milliseconds(4500), LinkHealth::kSilent);
  StoreContact contact = ContactSince(kNow - Seconds(60));
  HandleStoreAnswer(contact, kNow + kStoreAwayTime);
  CHECK(contact.m_reached_since == kNow - Seconds(60));
  const TimePoint now = kNow + kStoreAwayTime + Milliseconds(50);
  CHECK(LatestOrderOfOwner(view, kSelf, contact, now) ==
        kNow + kStoreAwayTime + kMaxStatementAge);
}

// Guards against a new owner that starts running tasks elsewhere, because the
// previous owner counts as silent since the time at which the claim was sent
// (review/12).
TEST_CASE("a term begins with what is known when the claim is answered") {
  const bool is_answered = GENERATE(true, false);
  OwnerView view = ViewOf(Milliseconds(900), LinkHealth::kStoreUnreachable);
  view.m_record->m_all_starts_recorded = true;
  StoreContact contact = ContactSince(kNow - Seconds(60));
  const ClaimAttempt attempt =
      MakeClaim(OwnerRecord(), view, kSelf, contact, ClaimAttempt(), kNow);
  const TimePoint answered_at = kNow + Seconds(5);
  HandleStoreAnswer(contact, answered_at);
  const WonClaim won = WinClaim(attempt, kSelf, RowVersion(7), is_answered,
                                contact, answered_at + Milliseconds(1));
  CHECK(won.m_record == attempt.m_record);
  CHECK(won.m_version == RowVersion(7));
  CHECK(won.m_previous_orders_until >= answered_at + kMaxStatementAge);
  // The owner before may have started tasks that it could not record.
  CHECK_FALSE(won.m_all_runs_recorded);
}

// Guards against a take-over that becomes slower although the store answered
// all the while.
TEST_CASE("a claim that is answered at once relies on what was read before") {
  OwnerView view = ViewOf(Milliseconds(900), LinkHealth::kStoreUnreachable);
  view.m_record->m_all_starts_recorded = true;
  StoreContact contact = ContactSince(kNow - Seconds(60));
  const ClaimAttempt attempt =
      MakeClaim(OwnerRecord(), view, kSelf, contact, ClaimAttempt(), kNow);
  HandleStoreAnswer(contact, kNow + Milliseconds(5));
  const WonClaim won =
      WinClaim(attempt, kSelf, RowVersion(7), /*is_answered=*/true, contact,
               kNow + Milliseconds(5));
  CHECK(won.m_previous_orders_until ==
        kNow - Milliseconds(900) + kMaxUnconfirmedTime);
  CHECK(won.m_all_runs_recorded);
}

// A VM reads the row of an owner that answers only every few seconds. Guards
// against starting to watch the row only when the link counts as silent, which
// leaves callers without an owner for as much longer.
TEST_CASE("the row of an owner that is late is read but not claimed") {
  const OwnerView late = ViewOf(Seconds(9), LinkHealth::kLate);
  CHECK_FALSE(ShouldClaim(late, kSelf, kNow));
  CHECK(TimeToNextOwnerRead(late, kSelf, kNow) <= Milliseconds(250));
  CHECK(TimeToNextOwnerRead(ViewOf(Seconds(9), LinkHealth::kGood), kSelf,
                            kNow) >= Seconds(1));
}

// Guards against owners that replace each other while each still reads the
// stored jobs over a slow link, so that none ever schedules.
TEST_CASE("a VM that has just become the owner gets more time") {
  OwnerView view = ViewOf(Milliseconds(1500), LinkHealth::kSilent);
  view.m_owner_first_seen = kNow - Seconds(2);
  CHECK_FALSE(ShouldClaim(view, kSelf, kNow));
  view.m_owner_first_seen = kNow - Seconds(10);
  CHECK(ShouldClaim(view, kSelf, kNow));
  view = ViewOf(Milliseconds(2500), LinkHealth::kSilent);
  view.m_owner_first_seen = kNow - Seconds(3);
  CHECK(ShouldClaim(view, kSelf, kNow));
  view = ViewOf(Milliseconds(300), LinkHealth::kRefused);
  view.m_owner_first_seen = kNow - Seconds(2);
  CHECK(ShouldClaim(view, kSelf, kNow));
}

// Guards against a change of owner because the store is slow for all VMs.
TEST_CASE("a slow store delays the claim") {
  OwnerView view = ViewOf(Milliseconds(1500), LinkHealth::kSilent);
  CHECK(ShouldClaim(view, kSelf, kNow));
  view.m_read_time = Milliseconds(240);
  CHECK_FALSE(ShouldClaim(view, kSelf, kNow));
}

// Guards against waiting for an owner that gave up or never existed.
TEST_CASE("a free row or one left by this VM is claimed immediately") {
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

// Guards against jobs without an owner for ever when the last write of an owner
// that hands over got no response and no other VM claims.
TEST_CASE("an earlier term of this process that was not given up is replaced") {
  OwnerView view = ViewOf(Seconds(2), LinkHealth::kSilent);
  view.m_record->m_vm = kSelf.m_vm;
  view.m_record->m_incarnation = kSelf.m_incarnation;
  CHECK(ShouldClaim(view, kSelf, kNow));
  CHECK(TimeToNextOwnerRead(view, kSelf, kNow) < Seconds(1));
  view.m_version_first_seen = kNow - Milliseconds(500);
  CHECK_FALSE(ShouldClaim(view, kSelf, kNow));
  // A larger VM, to which the owner has handed over, goes first.
  view.m_version_first_seen = kNow - Seconds(2);
  view.m_record->m_strongest_cpu = Millicores(1000);
  CHECK_FALSE(ShouldClaim(view, kSelf, kNow));
}

// Guards against a small VM that claims before a large one, and against VMs of
// equal CPU capacity whose claims always collide.
TEST_CASE("VMs with more CPU capacity claim first") {
  const OwnerView unknown;
  const auto delay = [&unknown](std::int64_t capacity, double jitter) {
    return ClaimDelay(unknown, {VmName("a"), 1, Millicores(capacity), jitter});
  };
  CHECK(delay(500, 0.5) < delay(120, 0.5));
  CHECK(delay(250, 0.1) < delay(250, 0.9));
}

// Guards against a small VM that takes over and is overloaded while large ones
// are about to claim. The slowest large VM must claim before the fastest small
// one even if it detects the loss of the owner 1.3 s later.
TEST_CASE("a VM smaller than the previous owner lets larger ones go first") {
  OwnerView view = ViewOf(Milliseconds(1400), LinkHealth::kSilent);
  view.m_record->m_strongest_cpu = Millicores(500);
  const Candidate large{VmName("s"), 1, Millicores(500), 0.99};
  const Candidate small{VmName("w"), 2, Millicores(120), 0};
  CHECK(ClaimDelay(view, large) + Milliseconds(1300) < ClaimDelay(view, small));
  CHECK(ShouldClaim(view, large, kNow));
  CHECK_FALSE(ShouldClaim(view, small, kNow));
  view.m_version_first_seen = kNow - Milliseconds(3300);
  CHECK(ShouldClaim(view, small, kNow));
}

// Guards against a long delay when all VMs have the same CPU capacity, and
// against ownership that moves back and forth between similar VMs.
TEST_CASE("VMs of equal capacity claim soon and keep the ownership") {
  OwnerView view = ViewOf(Milliseconds(1400), LinkHealth::kSilent);
  view.m_record->m_strongest_cpu = Millicores(250);
  CHECK(ShouldClaim(view, kSelf, kNow));
  CHECK_FALSE(ShouldHandOver(Millicores(250), Millicores(250)));
  CHECK_FALSE(ShouldHandOver(Millicores(250), Millicores(300)));
  CHECK(ShouldHandOver(Millicores(120), Millicores(500)));
  CHECK_FALSE(ShouldHandOver(Millicores(500), Millicores(120)));
}

// Guards against a small VM that claims first because the large one reads the
// row too rarely.
TEST_CASE("the next read is scheduled for when the claim is due") {
  OwnerView view = ViewOf(Milliseconds(850), LinkHealth::kSilent);
  view.m_record->m_strongest_cpu = Millicores(250);
  CHECK(TimeToNextOwnerRead(view, {VmName("me"), 5, Millicores(250), 0.75},
                            kNow) == Milliseconds(40));
  view.m_record->m_strongest_cpu = Millicores(0);
  const Candidate small{VmName("weak"), 6, Millicores(100), 0.99};
  CHECK(TimeToNextOwnerRead(view, small, kNow) == Milliseconds(250));
  CHECK(TimeToNextOwnerRead(ViewOf(Seconds(9), LinkHealth::kGood), kSelf,
                            kNow) >= Seconds(1));
}

// Guards against a new owner that relies on stored progress in which the
// previous owner could not record all runs.
TEST_CASE("recorded starts are relied on only if they must be complete") {
  const StoreContact reached = ContactSince(kNow - Seconds(9));
  OwnerView view = ViewOf(Milliseconds(1400), LinkHealth::kSilent);
  CHECK_FALSE(CanRelyOnRecordedStarts(view, kSelf, reached, kNow));
  view.m_record->m_all_starts_recorded = true;
  CHECK(CanRelyOnRecordedStarts(view, kSelf, reached, kNow));
  // While this VM did not reach the store, it could not see whether the owner
  // did.
  CHECK_FALSE(CanRelyOnRecordedStarts(view, kSelf,
                                      ContactSince(kNow - Seconds(3)), kNow));
  CHECK_FALSE(CanRelyOnRecordedStarts(view, kSelf, StoreContact(), kNow));
  view.m_version_first_seen = kNow - Seconds(3);
  CHECK_FALSE(CanRelyOnRecordedStarts(view, kSelf, reached, kNow));
  view.m_record->m_released = true;
  CHECK(CanRelyOnRecordedStarts(view, kSelf, ContactSince(kNow - Seconds(3)),
                                kNow));
}

// Guards against workers that get no more tasks because their registrations
// expired in an outage and another one began before they could be renewed.
TEST_CASE("time without the store does not count as time to renew") {
  StoreContact contact = ContactSince(kNow - Seconds(60));
  const TimePoint expired_at = kNow - Milliseconds(100);
  CHECK(ReachableFor(contact, expired_at, kNow + Seconds(1)) ==
        Milliseconds(1100));
  CHECK(ReachableFor(contact, expired_at, kNow + Seconds(5)) == Duration(0));
  HandleStoreAnswer(contact, kNow + Seconds(5));
  CHECK(ReachableFor(contact, expired_at, kNow + Seconds(6)) == Seconds(1));
}

// Guards against an owner that sends orders for longer than the next one
// expects: its row was written long before a later attempt found it written.
TEST_CASE("a write that is found in the row counts from its first attempt") {
  OwnerConfirmation confirmation{kNow, std::nullopt, {}};
  HandleWriteSent(confirmation, kNow + Seconds(1));
  HandleWriteSent(confirmation, kNow + Seconds(2));
  HandleWriteSent(confirmation, kNow + Seconds(4));
  OwnerConfirmation answered = confirmation;
  HandleWriteFound(confirmation);
  CHECK(confirmation.m_confirmed_at == kNow + Seconds(1));
  HandleWriteAnswered(answered);
  CHECK(answered.m_confirmed_at == kNow + Seconds(4));
  HandleWriteSent(answered, kNow + Seconds(5));
  HandleWriteRejected(answered);
  HandleWriteSent(answered, kNow + Seconds(6));
  HandleWriteFound(answered);
  CHECK(answered.m_confirmed_at == kNow + Seconds(6));
}

// The same for the claim that begins a term.
TEST_CASE("a claim that is found in the row counts from its first attempt") {
  const OwnerView view = ViewOf(Milliseconds(900), LinkHealth::kSilent);
  const StoreContact contact = ContactSince(kNow - Seconds(60));
  const ClaimAttempt first =
      MakeClaim(OwnerRecord(), view, kSelf, contact, ClaimAttempt(), kNow);
  const ClaimAttempt second =
      MakeClaim(OwnerRecord(), view, kSelf, contact, first, kNow + Seconds(2));
  const TimePoint now = kNow + Seconds(3);
  CHECK(WinClaim(second, kSelf, RowVersion(7), false, contact, now)
            .m_claimed_at == kNow);
  CHECK(
      WinClaim(second, kSelf, RowVersion(7), true, contact, now).m_claimed_at ==
      kNow + Seconds(2));
  OwnerView later = view;
  later.m_version = RowVersion(6);
  const ClaimAttempt third = MakeClaim(OwnerRecord(), later, kSelf, contact,
                                       second, kNow + Seconds(4));
  CHECK(
      WinClaim(third, kSelf, RowVersion(7), false, contact, now).m_claimed_at ==
      kNow + Seconds(4));
}

// Guards against an owner that goes on in an outage of its peers while this VM,
// of which it does not know, reaches the store and takes over.
TEST_CASE("an owner that does not count this VM as a peer may go on longer") {
  const StoreContact contact = ContactSince(kNow - Seconds(60));
  OwnerView view = ViewOf(Milliseconds(900), LinkHealth::kSilent);
  view.m_record->m_all_starts_recorded = true;
  const TimePoint read_at = view.m_version_first_seen;
  const auto latest = [&] {
    return LatestOrderOfOwner(view, kSelf, contact, kNow);
  };
  CHECK(latest() == read_at + kMaxUnconfirmedTime);
  CHECK(CanRelyOnRecordedStarts(view, kSelf, contact, kNow));
  // The link has been down for so long that the owner may have forgotten it.
  view.m_answered_ping_at = read_at - kPeerMemory;
  CHECK(latest() == read_at + kMaxOutageTime);
  CHECK_FALSE(CanRelyOnRecordedStarts(view, kSelf, contact, kNow));
  view.m_answered_ping_at = read_at - kPeerMemory + Milliseconds(1);
  CHECK(latest() == read_at + kMaxUnconfirmedTime);
  // The owner's process answered in an earlier term only.
  view.m_owner_first_seen = view.m_answered_ping_at + Milliseconds(1);
  CHECK(latest() == read_at + kMaxOutageTime);
  // No process listens at its address any more.
  view.m_link = LinkHealth::kRefused;
  CHECK(latest() == read_at + kMaxUnconfirmedTime);
}

// The same for an owner before the one that this VM is linked to.
TEST_CASE("owners that this VM has not followed may go on for a while") {
  OwnerRecord record = *ViewOf(Duration(0), LinkHealth::kSilent).m_record;
  const auto earlier = [&](OwnerView view, FencingNumber epoch) {
    record.m_epoch = epoch;
    UpdateOwnerView(view, kSelf, record, RowVersion(9), kNow, kNow);
    return view.m_earlier_orders_until;
  };
  const FencingNumber first = NextEpoch(FencingNumber());
  const FencingNumber second = NextEpoch(first);
  // A VM that has just started knows nothing of them.
  CHECK(earlier(OwnerView(), first) == TimePoint::min());
  CHECK(earlier(OwnerView(), second) == kNow + kMaxOutageTime);
  OwnerView view = ViewOf(Milliseconds(900), LinkHealth::kSilent);
  view.m_record->m_epoch = view.m_last_epoch = first;
  CHECK(earlier(view, second) == TimePoint::min());
  CHECK(earlier(view, NextEpoch(second)) == kNow + kMaxOutageTime);
  // It may have gone on writing, and forgotten this VM, since the last read.
  view.m_answered_ping_at = kNow - kPeerMemory;
  view.m_version_first_seen = kNow - kPeerMemory;
  CHECK(earlier(view, second) == kNow + kMaxOutageTime);
  // Unless the owner states that all of them have stopped.
  record.m_is_sole = true;
  CHECK(earlier(view, second) == TimePoint::min());
  record.m_is_sole = false;
  WonClaim won;
  won.m_record.m_epoch = first;
  won.m_previous_orders_until = kNow + Seconds(2);
  CHECK(earlier(ViewAfterTerm(won), second) == kNow + Seconds(2));
}

// Guards against a record that other VMs cannot read.
TEST_CASE("the owner record survives encoding and decoding") {
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
  const auto decoded = DecodeOwner(EncodeOwner(record));
  REQUIRE(decoded.ok());
  CHECK(*decoded == record);
  const FencingNumber epoch(3'000'000);
  CHECK(DecodeSoleTerm(EncodeSoleTerm(epoch)) == epoch);
  CHECK(DecodeSoleTerm("") == FencingNumber());
  CHECK(DecodeSoleTerm("{}") == FencingNumber());
  CHECK_FALSE(DecodeOwner("").ok());
  CHECK_FALSE(DecodeOwner("{}").ok());
}

// Guards against an owner that never acts: the answers to its claim and to the
// read after it were lost (review/further/sole.py).
TEST_CASE("a claim that a later read shows counts as won, once") {
  OwnerView view = ViewOf(Seconds(1), LinkHealth::kSilent);
  CHECK_FALSE(IsOwnUnansweredClaim(OwnerView(), kSelf, FencingNumber(0)));
  CHECK_FALSE(IsOwnUnansweredClaim(view, kSelf, FencingNumber(0)));
  view.m_record->m_vm = kSelf.m_vm;
  CHECK_FALSE(IsOwnUnansweredClaim(view, kSelf, FencingNumber(0)));
  view.m_record->m_incarnation = kSelf.m_incarnation;
  CHECK(IsOwnUnansweredClaim(view, kSelf, FencingNumber(0)));
  CHECK(IsOwnUnansweredClaim(view, kSelf, FencingNumber(2)));
  // A term that this process has begun, and one that it gave up.
  CHECK_FALSE(IsOwnUnansweredClaim(view, kSelf, FencingNumber(3)));
  view.m_record->m_released = true;
  CHECK_FALSE(IsOwnUnansweredClaim(view, kSelf, FencingNumber(2)));
}

// Guards against workers that refuse the orders of an owner because its
// predecessor, of this release or an earlier one, had higher numbers.
TEST_CASE("each term has fencing numbers above those of all terms before") {
  const FencingNumber first = NextEpoch(FencingNumber());
  CHECK(FirstFencingNumber(first) == FencingNumber(1));
  const FencingNumber second = NextEpoch(first);
  CHECK(FirstFencingNumber(second) > first);
  // Owners of earlier releases raise the epoch by one and use it.
  const FencingNumber earlier_release(second.Value() + 1);
  CHECK(FirstFencingNumber(NextEpoch(earlier_release)) > earlier_release);
}

}  // namespace
}  // namespace filbertspar
