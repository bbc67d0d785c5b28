#include <catch2/catch.hpp>
#include <cstdlib>

#include "tests/outage_world.h"

namespace filbertspar::testing {
namespace {

constexpr std::size_t kVms = 3;
constexpr std::size_t kWorkers = 4;

std::string Describe(const OutageWorld& world, std::uint64_t seed) {
  std::string text = absl::StrCat("seed=", seed);
  for (const auto& breach : world.m_breaches) {
    absl::StrAppend(&text, "\n", breach.m_rule,
                    " at_ms=", ToMilliseconds(breach.m_at.time_since_epoch()),
                    " ", breach.m_detail);
  }
  return text;
}

/// The outage of review/12: the owner is rejected until another VM claims, then
/// nobody is answered, and the first call that is answered may be a claim.
void PlayClaimAfterOutage(OutageWorld& world, Duration silence) {
  world.RunUntil(world.Now() + Seconds(20));
  const std::size_t owner = world.Holder().value();
  const TimePoint began = world.Now();
  world.StoreFaults(owner).push_back(
      {began, began + Seconds(3), StoreFault::kBusy});
  bool is_silent = false;
  world.m_on_claim = [&world, &is_silent, owner, silence] {
    if (is_silent) {
      return;
    }
    is_silent = true;
    const TimePoint back = world.Now() + silence;
    world.StoreFaults(owner).clear();
    for (std::size_t vm = 0; vm < kVms; ++vm) {
      world.StoreFaults(vm).push_back({world.Now(), back, StoreFault::kSilent});
    }
    // Of a worker that is late at first the next owner knows nothing but the
    // lease.
    world.Workers()[0].m_silent.push_back(
        {back - Milliseconds(50), back + Seconds(4)});
  };
  world.RunUntil(began + silence + Seconds(20));
}

/// Plays it for silences of 0.5 to 10 s; returns the number of breaches and of
/// take-overs.
std::pair<std::size_t, std::size_t> PlaySilences(bool is_planted) {
  std::size_t breaches = 0;
  std::size_t takeovers = 0;
  for (int silence_ms = 500; silence_ms <= 10000; silence_ms += 25) {
    OutageWorld world(1, kVms, kWorkers);
    world.m_plant_stale_claim = is_planted;
    PlayClaimAfterOutage(world, Milliseconds(silence_ms));
    INFO("silence_ms=" << silence_ms << " " << Describe(world, 1));
    CHECK((is_planted || world.m_breaches.empty()));
    breaches += world.m_breaches.size();
    takeovers += world.m_takeovers.size();
  }
  return {breaches, takeovers};
}

// Guards against runs that are started again beside the ones that the previous
// owner let go on: a claim that is the first call answered after an outage
// counted the previous owner as silent since before the outage (review/12).
TEST_CASE("a claim after an outage waits for what the owner ordered in it") {
  CHECK(PlaySilences(/*is_planted=*/false).second > 0);
}

TEST_CASE("the outages show a claim that knows only what was before it") {
  CHECK(PlaySilences(/*is_planted=*/true).first > 0);
}

template <typename Kind>
Impairment<Kind> DrawImpairment(Rng& rng, TimePoint from, Duration max_delay,
                                Duration min, Duration max, Kind kind) {
  const TimePoint began = from + RandomDuration(rng, Duration(0), max_delay);
  return {began, began + RandomDuration(rng, min, max), kind};
}

StoreFault DrawStoreFault(Rng& rng) {
  constexpr StoreFault kFaults[] = {StoreFault::kBusy,   StoreFault::kSilent,
                                    StoreFault::kSilent, StoreFault::kLost,
                                    StoreFault::kLate,   StoreFault::kSlow};
  return kFaults[rng.Below(std::size(kFaults))];
}

/// Who is rejected or not answered, when and how, up to `until`.
void DrawStoreOutage(OutageWorld& world, Rng& rng, TimePoint from) {
  const StoreFault fault = DrawStoreFault(rng);
  const Duration silence =
      RandomDuration(rng, Milliseconds(500), Milliseconds(10000));
  TimePoint common = from;
  if (rng.Below(2) == 0) {
    // First for one VM, mostly the owner.
    const std::size_t first = rng.Below(4) > 0
                                  ? world.Holder().value_or(0)
                                  : static_cast<std::size_t>(rng.Below(kVms));
    common = from + RandomDuration(rng, Duration(0), Seconds(3));
    world.StoreFaults(first).push_back({from, common, DrawStoreFault(rng)});
  }
  const bool has_exception = rng.Below(4) == 0;
  const std::size_t exception = rng.Below(kVms);
  for (std::size_t vm = 0; vm < kVms; ++vm) {
    if (has_exception && vm == exception) {
      continue;
    }
    const TimePoint began =
        common + RandomDuration(rng, Duration(0), Milliseconds(300));
    const TimePoint back =
        common + silence + RandomDuration(rng, Duration(0), Milliseconds(1500));
    world.StoreFaults(vm).push_back({began, back, fault});
  }
}

/// Claims that are performed without an answer, at once or later.
void DrawClaimFaults(OutageWorld& world, Rng& rng, TimePoint from) {
  for (std::size_t vm = 0; vm < kVms; ++vm) {
    if (rng.Below(4) == 0) {
      world.ClaimFaults(vm).push_back(DrawImpairment(
          rng, from, Seconds(8), Milliseconds(500), Seconds(8),
          rng.Below(2) == 0 ? StoreFault::kLost : StoreFault::kLate));
    }
  }
}

void DrawLinks(OutageWorld& world, Rng& rng, TimePoint from) {
  for (std::size_t a = 0; a < kVms; ++a) {
    for (std::size_t b = 0; b < kVms; ++b) {
      if (a == b || rng.Below(6) > 0) {
        continue;
      }
      const LinkFault fault =
          rng.Below(2) == 0 ? LinkFault::kCut : LinkFault::kSlow;
      const TimePoint began =
          from - RandomDuration(rng, Duration(0), Seconds(15));
      const Impairment<LinkFault> drawn = DrawImpairment(
          rng, began, Seconds(25), Milliseconds(500), Seconds(20), fault);
      world.LinkFaults(a, b).push_back(drawn);
      if (rng.Below(2) == 0) {
        world.LinkFaults(b, a).push_back(drawn);
      }
    }
  }
}

void DrawWorkers(OutageWorld& world, Rng& rng, TimePoint from) {
  for (std::size_t worker = 0; worker < kWorkers; ++worker) {
    world.Workers()[worker].m_delay =
        RandomDuration(rng, Duration(0), Milliseconds(400));
    if (rng.Below(2) == 0) {
      world.Workers()[worker].m_silent.push_back(DrawImpairment(
          rng, from, Seconds(12), Milliseconds(500), Seconds(8), true));
    }
    for (std::size_t vm = 0; vm < kVms; ++vm) {
      if (rng.Below(4) == 0) {
        world.WorkerCuts(vm, worker)
            .push_back(DrawImpairment(rng, from, Seconds(12), Milliseconds(500),
                                      Seconds(15), true));
      }
    }
  }
}

void PlayDrawn(OutageWorld& world, std::uint64_t seed) {
  Rng rng(seed);
  world.m_slow_link = RandomDuration(rng, Milliseconds(100), Seconds(2));
  world.RunUntil(world.Now() + (rng.Below(4) == 0 ? Seconds(2) : Seconds(20)));
  TimePoint from = world.Now();
  const std::size_t outages = 1 + rng.Below(3);
  for (std::size_t i = 0; i < outages; ++i) {
    DrawStoreOutage(world, rng, from);
    DrawClaimFaults(world, rng, from);
    DrawLinks(world, rng, from);
    DrawWorkers(world, rng, from);
    for (std::size_t vm = 0; vm < kVms; ++vm) {
      if (rng.Below(4) == 0) {
        world.Freezes(vm).push_back(DrawImpairment(
            rng, from, Seconds(12), Milliseconds(300), Seconds(8), true));
      }
    }
    from += RandomDuration(rng, Seconds(1), Seconds(18));
    world.RunUntil(from);
  }
  world.RunUntil(from + Seconds(60));
}

// Guards against an owner that sends orders after the time from which the next
// one takes its leases for over, and against two runs of one task.
TEST_CASE("no owner sends orders later than the next one reckons with") {
  const char* text = std::getenv("OUTAGE_SEEDS");
  const std::uint64_t seeds =
      text == nullptr ? 500 : std::strtoull(text, nullptr, 10);
  std::size_t takeovers = 0;
  std::size_t broken = 0;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    OutageWorld world(seed, kVms, kWorkers);
    PlayDrawn(world, seed);
    takeovers += world.m_takeovers.size();
    broken += world.m_breaches.empty() ? 0 : 1;
    INFO(Describe(world, seed));
    CHECK(world.m_breaches.empty());
    CHECK(world.CountSenders() == 1);
  }
  CHECK(broken == 0);
  CHECK(takeovers > seeds / 2);
}

TEST_CASE("the drawn outages show each fault that is planted") {
  constexpr std::uint64_t kSeeds = 1000;
  const auto plant = GENERATE(&OutageWorld::m_plant_undated,
                              &OutageWorld::m_plant_late_confirmation);
  std::size_t broken = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds && broken == 0; ++seed) {
    OutageWorld world(seed, kVms, kWorkers);
    world.*plant = true;
    PlayDrawn(world, seed);
    broken += world.m_breaches.empty() ? 0 : 1;
  }
  CHECK(broken > 0);
}

}  // namespace
}  // namespace filbertspar::testing
