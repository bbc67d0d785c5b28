#include <catch2/catch.hpp>
#include <map>
#include <vector>

#include "filbertspar/routing/routing.h"

namespace filbertspar {
namespace {

constexpr TimePoint kStart{Seconds(1000)};

/// A VM whose clock has an offset from the owner's and runs at another rate.
struct ForwardingVm {
  Duration m_offset{0};
  double m_rate = 1;
  PeerClock m_owner_clock;

  TimePoint Local(TimePoint owner_time) const {
    return TimePoint(m_offset +
                     Duration(static_cast<std::int64_t>(
                         m_rate * static_cast<double>(
                                      owner_time.time_since_epoch().count()))));
  }
};

Duration AnyDuration(Rng& rng, Duration max) {
  return Duration(static_cast<std::int64_t>(
      rng.Below(static_cast<std::uint64_t>(max.count()) + 1)));
}

struct Copy {
  JobId m_job;
  /// When the VM received the caller's request, by the owner's clock.
  TimePoint m_received{};
  /// The same as the VM states it.
  TimePoint m_stated{};
};

/// Attempts of callers at several VMs, each sent several times, reach one owner
/// in any order and any time later. The owner admits what it likes unless an
/// earlier refusal holds for it.
void PlayAttempts(std::uint64_t seed) {
  Rng rng(seed);
  std::vector<ForwardingVm> vms(3);
  for (ForwardingVm& vm : vms) {
    vm.m_offset = Seconds(static_cast<std::int64_t>(rng.Below(5000)));
    vm.m_rate = 0.99 + 0.001 * static_cast<double>(rng.Below(21));
  }
  std::multimap<TimePoint, Copy> arrivals;
  for (int attempt = 0; attempt < 60; ++attempt) {
    ForwardingVm& vm = vms[rng.Below(vms.size())];
    const TimePoint received = kStart + AnyDuration(rng, Seconds(20));
    const TimePoint asked = received - AnyDuration(rng, Seconds(1));
    const TimePoint read = asked + AnyDuration(rng, Milliseconds(300));
    const TimePoint answered = read + AnyDuration(rng, Milliseconds(300));
    vm.m_owner_clock = {vm.Local(asked), vm.Local(answered), read};
    const JobId job(std::to_string(rng.Below(8)));
    const auto copies = 1 + rng.Below(3);
    for (std::uint64_t i = 0; i < copies; ++i) {
      arrivals.emplace(
          received + AnyDuration(rng, Seconds(4)),
          Copy{job, received,
               EarliestReading(vm.m_owner_clock, vm.Local(received))});
    }
  }
  Refusals refusals;
  std::map<JobId, TimePoint> refused_at;
  for (const auto& [now, copy] : arrivals) {
    REQUIRE(copy.m_stated <= copy.m_received);
    const bool must_refuse = refused_at.contains(copy.m_job) &&
                             copy.m_received <= refused_at[copy.m_job];
    const auto earlier = FindRefusal(refusals, copy.m_job, copy.m_stated);
    if (earlier) {
      CHECK(earlier->m_code == Code::kDeadlineTooShort);
      continue;
    }
    INFO("seed " << seed << " job " << copy.m_job.Value());
    REQUIRE_FALSE(must_refuse);
    if (rng.Chance(0.5)) {
      RecordRefusal(refusals, copy.m_job,
                    {Code::kDeadlineTooShort, Seconds(1), now});
      refused_at[copy.m_job] = now;
    }
  }
}

// Guards against a job that runs although its caller was refused: a copy of the
// call that a cut had held up was admitted after the refusal of a later copy.
TEST_CASE("a refusal holds for copies of the call that arrive after it") {
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    PlayAttempts(seed);
  }
}

// Guards against a caller that never gets in again after a refusal.
TEST_CASE("a call received after a refusal may be admitted") {
  Refusals refusals;
  RecordRefusal(refusals, JobId("j"),
                {Code::kDeadlineTooShort, Seconds(1), kStart});
  CHECK(FindRefusal(refusals, JobId("j"), kStart));
  CHECK_FALSE(FindRefusal(refusals, JobId("j"), kStart + Milliseconds(1)));
  CHECK_FALSE(FindRefusal(refusals, JobId("other"), kStart));
}

// Guards against refusals that fill the memory, and against one that is
// forgotten while a copy of its call may still arrive.
TEST_CASE("refusals that are dropped still hold") {
  Refusals refusals;
  constexpr int kCalls = 200'000;
  for (int i = 0; i < kCalls; ++i) {
    RecordRefusal(
        refusals, JobId(std::to_string(i)),
        {Code::kDeadlineTooShort, Seconds(1), kStart + Milliseconds(i / 100)});
  }
  CHECK(refusals.m_by_job.size() < kCalls / 2);
  CHECK(refusals.m_oldest_first.size() == refusals.m_by_job.size());
  const auto dropped = FindRefusal(refusals, JobId("0"), kStart);
  REQUIRE(dropped);
  CHECK(dropped->m_code == Code::kDeadlinePassed);
  CHECK_FALSE(FindRefusal(refusals, JobId("new"), kStart + Seconds(3)));
}

// Guards against a job that is refused twice, of which only the second refusal
// is kept but dropped with the first.
TEST_CASE("dropping an older refusal of a job keeps the last one") {
  Refusals refusals;
  RecordRefusal(refusals, JobId("j"),
                {Code::kDeadlineTooShort, Seconds(1), kStart});
  RecordRefusal(refusals, JobId("j"),
                {Code::kDeadlineTooShort, Seconds(1), kStart + Seconds(50)});
  RecordRefusal(refusals, JobId("k"),
                {Code::kDeadlineTooShort, Seconds(1), kStart + Seconds(100)});
  const auto found = FindRefusal(refusals, JobId("j"), kStart + Seconds(40));
  REQUIRE(found);
  CHECK(found->m_at == kStart + Seconds(50));
}

}  // namespace
}  // namespace filbertspar
