#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <optional>
#include <set>
#include <vector>

#include "filbertspar/queue/queue.h"
#include "tests/fixed_seed.h"

namespace filbertspar {
namespace {

constexpr std::size_t kPools = 2;
constexpr std::size_t kTeams = 3;
constexpr std::size_t kEntries = 4;
constexpr std::size_t kKeys = 5;

Queue MakeQueue(const QueueSettings& settings = {}) {
  Queue queue;
  queue.m_settings = settings;
  Reserve(queue, kPools, kTeams, kEntries, kKeys);
  return queue;
}

struct Waiting {
  Arrival m_arrival;
  Ticket m_ticket;
};

// One list in order of service; every question goes through all of it.
struct NaiveQueue {
  QueueSettings m_settings;
  std::vector<Waiting> m_waiting;
  // Since when each pool, team and class has waited without a start.
  TimePoint m_unserved[kPools][kTeams][kWorkClasses]{};

  template <typename Match>
  std::int64_t Count(Match match) const {
    return std::count_if(
        m_waiting.begin(), m_waiting.end(),
        [&](const Waiting& waiting) { return match(waiting.m_arrival); });
  }

  const Waiting* First(PoolIndex pool, TeamIndex team, WorkClass c) const {
    for (const Waiting& waiting : m_waiting) {
      if (waiting.m_arrival.m_pool == pool &&
          waiting.m_arrival.m_team == team && waiting.m_arrival.m_class == c) {
        return &waiting;
      }
    }
    return nullptr;
  }

  TimePoint& Unserved(const Arrival& arrival) {
    return m_unserved[arrival.m_pool.Value()][arrival.m_team.Value()]
                     [static_cast<int>(arrival.m_class)];
  }

  void Add(TimePoint now, const Arrival& arrival, Ticket ticket, bool front) {
    if (First(arrival.m_pool, arrival.m_team, arrival.m_class) == nullptr) {
      Unserved(arrival) = now;
    }
    m_waiting.insert(front ? m_waiting.begin() : m_waiting.end(),
                     {arrival, ticket});
  }

  double WaitSeconds(const Arrival& arrival, double share) const {
    double ahead = 0;
    double variance = 0;
    for (const Waiting& waiting : m_waiting) {
      const Arrival& other = waiting.m_arrival;
      if (other.m_pool == arrival.m_pool && other.m_team == arrival.m_team &&
          other.m_class <= arrival.m_class) {
        ahead += other.m_work;
        variance += other.m_work * other.m_work;
      }
    }
    return (ahead + std::sqrt(variance)) / share;
  }

  Code Verdict(TimePoint now, const Arrival& arrival, double share) const {
    if (arrival.m_deadline <= now) {
      return Code::kDeadlinePassed;
    }
    if (Count([](const Arrival&) { return true; }) >= m_settings.m_max_total) {
      return Code::kTooManyRequests;
    }
    if (Count([&](const Arrival& other) {
          return other.m_team == arrival.m_team &&
                 other.m_class == arrival.m_class;
        }) >= m_settings.m_max_per_class ||
        Count([&](const Arrival& other) {
          return other.m_team == arrival.m_team &&
                 other.m_entry == arrival.m_entry;
        }) >= arrival.m_max_queue) {
      return Code::kQueueFull;
    }
    return ToSeconds(arrival.m_deadline - now) < WaitSeconds(arrival, share)
               ? Code::kDeadlineTooShort
               : Code::kOk;
  }

  std::optional<Ticket> Next(TimePoint now, PoolIndex pool,
                             TeamIndex team) const {
    const auto since = [&](WorkClass c) {
      return now - m_unserved[pool.Value()][team.Value()][static_cast<int>(c)];
    };
    const Waiting* urgent = First(pool, team, WorkClass::kUrgent);
    const Waiting* standard = First(pool, team, WorkClass::kStandard);
    const Waiting* overnight = First(pool, team, WorkClass::kOvernight);
    const Waiting* next = urgent ? urgent : standard ? standard : overnight;
    if (standard &&
        since(WorkClass::kStandard) >= m_settings.m_standard_bound) {
      next = standard;
    }
    if (overnight &&
        since(WorkClass::kOvernight) >= m_settings.m_overnight_bound) {
      next = overnight;
    }
    return next ? std::optional(next->m_ticket) : std::nullopt;
  }

  template <typename Match>
  std::set<std::uint64_t> Take(Match match) {
    std::set<std::uint64_t> taken;
    std::erase_if(m_waiting, [&](const Waiting& waiting) {
      const bool matches = match(waiting);
      if (matches) {
        taken.insert(waiting.m_arrival.m_request.Value());
      }
      return matches;
    });
    return taken;
  }
};

std::set<std::uint64_t> Ids(const std::vector<Arrival>& arrivals) {
  std::set<std::uint64_t> ids;
  for (const Arrival& arrival : arrivals) {
    RC_ASSERT(ids.insert(arrival.m_request.Value()).second);
  }
  return ids;
}

Arrival RandomArrival(Rng& rng, TimePoint now, std::uint64_t id) {
  return {.m_request = RequestId(id),
          .m_pool = PoolIndex(rng.Below(kPools)),
          .m_team = TeamIndex(rng.Below(kTeams)),
          .m_class = static_cast<WorkClass>(rng.Below(kWorkClasses)),
          .m_entry = EntryIndex(rng.Below(kEntries)),
          .m_key = KeyIndex(rng.Below(kKeys)),
          .m_deadline =
              now + Milliseconds(static_cast<std::int64_t>(rng.Below(40'000))),
          .m_work = 0.01 * static_cast<double>(1 + rng.Below(20)),
          .m_size = {},
          .m_max_queue = 12};
}

struct Histories {
  Queue m_queue;
  NaiveQueue m_naive;
  std::vector<Waiting> m_all;
  TimePoint m_now{};
};

void AdmitOne(Histories& pair, Rng& rng) {
  const Arrival arrival = RandomArrival(rng, pair.m_now, pair.m_all.size() + 1);
  const double share = 0.05 + 0.2 * rng.Uniform();
  const double wait = pair.m_naive.WaitSeconds(arrival, share);
  const Code verdict = pair.m_naive.Verdict(pair.m_now, arrival, share);
  const bool retried = rng.Chance(0.1);
  Ticket ticket;
  if (retried) {
    ticket = PutBack(pair.m_queue, pair.m_now, arrival);
  } else {
    const Admission admission = Admit(pair.m_queue, pair.m_now, arrival, share);
    RC_ASSERT(static_cast<int>(admission.m_code) == static_cast<int>(verdict));
    ticket = admission.m_ticket;
    if (verdict == Code::kOk || verdict == Code::kDeadlineTooShort) {
      RC_ASSERT(std::abs(ToSeconds(admission.m_estimated_start - pair.m_now) -
                         wait) < 1e-5);
    }
  }
  if (retried || verdict == Code::kOk) {
    pair.m_naive.Add(pair.m_now, arrival, ticket, retried);
    pair.m_all.push_back({arrival, ticket});
  }
}

void RandomStep(Histories& pair, Rng& rng) {
  std::vector<Arrival> taken;
  switch (rng.Below(12)) {
    case 0: {
      pair.m_now += Milliseconds(static_cast<std::int64_t>(rng.Below(4000)));
      TakeExpired(pair.m_queue, pair.m_now, taken);
      RC_ASSERT(Ids(taken) == pair.m_naive.Take([&](const Waiting& waiting) {
        return waiting.m_arrival.m_deadline <= pair.m_now;
      }));
      break;
    }
    case 1:
      if (!pair.m_all.empty()) {
        // Includes tickets of requests that are gone.
        const Waiting& chosen = pair.m_all[rng.Below(pair.m_all.size())];
        const auto removed = Remove(pair.m_queue, chosen.m_ticket);
        const auto naive = pair.m_naive.Take([&](const Waiting& waiting) {
          return waiting.m_arrival.m_request == chosen.m_arrival.m_request;
        });
        RC_ASSERT(removed.has_value() == !naive.empty());
        RC_ASSERT(!removed || naive.contains(removed->m_request.Value()));
      }
      break;
    case 2:
      if (rng.Chance(0.2)) {
        const KeyIndex key(rng.Below(kKeys));
        TakeByKey(pair.m_queue, key, taken);
        RC_ASSERT(Ids(taken) == pair.m_naive.Take([&](const Waiting& waiting) {
          return waiting.m_arrival.m_key == key;
        }));
      }
      break;
    case 3:
      if (rng.Chance(0.2)) {
        const EntryIndex entry(rng.Below(kEntries));
        TakeByEntry(pair.m_queue, entry, taken);
        RC_ASSERT(Ids(taken) == pair.m_naive.Take([&](const Waiting& waiting) {
          return waiting.m_arrival.m_entry == entry;
        }));
      }
      break;
    case 4:
    case 5: {
      const PoolIndex pool(rng.Below(kPools));
      const TeamIndex team(rng.Below(kTeams));
      if (const auto next = NextRequest(pair.m_queue, pair.m_now, pool, team)) {
        const Arrival started = TakeForStart(pair.m_queue, pair.m_now, *next);
        pair.m_naive.Take([&](const Waiting& waiting) {
          return waiting.m_arrival.m_request == started.m_request;
        });
        pair.m_naive.Unserved(started) = pair.m_now;
      }
      break;
    }
    default:
      AdmitOne(pair, rng);
  }
}

void CompareAll(const Histories& pair) {
  RC_ASSERT(CountWaiting(pair.m_queue) ==
            static_cast<std::int64_t>(pair.m_naive.m_waiting.size()));
  std::optional<TimePoint> first;
  for (const Waiting& waiting : pair.m_naive.m_waiting) {
    const Arrival* found = Find(pair.m_queue, waiting.m_ticket);
    RC_ASSERT(found != nullptr);
    RC_ASSERT(found->m_request == waiting.m_arrival.m_request);
    first = std::min(first.value_or(TimePoint::max()),
                     waiting.m_arrival.m_deadline);
  }
  RC_ASSERT(NextExpiry(pair.m_queue) == first);
  for (std::size_t p = 0; p < kPools; ++p) {
    for (std::size_t t = 0; t < kTeams; ++t) {
      RC_ASSERT(
          (NextRequest(pair.m_queue, pair.m_now, PoolIndex(p), TeamIndex(t)) ==
           pair.m_naive.Next(pair.m_now, PoolIndex(p), TeamIndex(t))));
    }
  }
}

// Guards against an admission, order, expiry or removal that differs from one
// found by going through all waiting requests.
TEST_CASE("queue agrees with a naive version over random histories") {
  CHECK(rc::check([](std::uint64_t seed) {
    Rng rng(seed);
    const QueueSettings settings{.m_max_per_class = 15, .m_max_total = 60};
    Histories pair;
    pair.m_queue = MakeQueue(settings);
    pair.m_naive.m_settings = settings;
    for (int step = 0; step < 300; ++step) {
      RandomStep(pair, rng);
      CompareAll(pair);
    }
  }));
}

// Guards against overnight or standard work that never starts while urgent
// work keeps coming, and against a bound that is longer than stated.
TEST_CASE("lower classes start within their bound plus two starts") {
  Queue queue = MakeQueue();
  TimePoint now{};
  std::uint64_t id = 0;
  const auto add = [&](WorkClass c) {
    Arrival arrival{.m_request = RequestId(++id),
                    .m_class = c,
                    .m_deadline = now + Seconds(100'000),
                    .m_max_queue = 1'000'000};
    REQUIRE(Admit(queue, now, arrival, 1.0).m_code == Code::kOk);
  };
  for (int i = 0; i < 2000; ++i) {
    add(WorkClass::kOvernight);
    add(WorkClass::kStandard);
    add(WorkClass::kUrgent);
  }
  const Duration step = Milliseconds(100);
  TimePoint last[kWorkClasses]{};
  int starts[kWorkClasses]{};
  for (int i = 0; i < 6000; ++i) {
    now += step;
    add(WorkClass::kUrgent);
    const Arrival started = TakeForStart(
        queue, now, *NextRequest(queue, now, PoolIndex(0), TeamIndex(0)));
    const auto c = static_cast<std::size_t>(started.m_class);
    const Duration bound = c == 1   ? queue.m_settings.m_standard_bound
                           : c == 2 ? queue.m_settings.m_overnight_bound
                                    : 2 * step;
    CHECK(now - last[c] <= bound + 2 * step);
    last[c] = now;
    ++starts[c];
  }
  CHECK(starts[1] >= 110);
  CHECK(starts[2] >= 19);
  CHECK(starts[0] >= 5800);
}

// Guards against a caller that cannot place the head losing the work behind.
TEST_CASE("following walks through the class and on to the lower ones") {
  Queue queue = MakeQueue();
  std::vector<Ticket> tickets;
  for (const WorkClass c : {WorkClass::kUrgent, WorkClass::kUrgent,
                            WorkClass::kStandard, WorkClass::kOvernight}) {
    const Arrival arrival{.m_request = RequestId(tickets.size() + 1),
                          .m_class = c,
                          .m_deadline = TimePoint() + Seconds(10)};
    tickets.push_back(Admit(queue, TimePoint(), arrival, 1.0).m_ticket);
  }
  std::optional<Ticket> at =
      NextRequest(queue, TimePoint(), PoolIndex(0), TeamIndex(0));
  for (const Ticket& ticket : tickets) {
    REQUIRE(at == ticket);
    at = Following(queue, *at);
  }
  CHECK_FALSE(at);
}

// Guards against waiting work that is lost or mixed up when a configuration
// brings more pools, teams, entries or keys.
TEST_CASE("waiting requests survive a larger configuration") {
  Queue queue = MakeQueue();
  const Arrival arrival{.m_request = RequestId(1),
                        .m_pool = PoolIndex(1),
                        .m_team = TeamIndex(2),
                        .m_entry = EntryIndex(3),
                        .m_key = KeyIndex(4),
                        .m_deadline = TimePoint() + Seconds(10),
                        .m_max_queue = 1};
  const Ticket ticket = Admit(queue, TimePoint(), arrival, 1.0).m_ticket;
  Reserve(queue, 5, 7, 9, 11);
  CHECK(NextRequest(queue, TimePoint(), PoolIndex(1), TeamIndex(2)) == ticket);
  CHECK(Admit(queue, TimePoint(), arrival, 1.0).m_code == Code::kQueueFull);
  std::vector<Arrival> taken;
  TakeByKey(queue, KeyIndex(4), taken);
  CHECK(taken.size() == 1);
  CHECK(CountWaiting(queue) == 0);
}

// Guards against an estimate when the pool has no capacity for the team.
TEST_CASE("work that cannot start before its deadline is refused") {
  Queue queue = MakeQueue();
  const Arrival arrival{.m_request = RequestId(1),
                        .m_deadline = TimePoint() + Seconds(20),
                        .m_work = 1.0};
  CHECK(Admit(queue, TimePoint(), arrival, 0.0).m_code ==
        Code::kDeadlineTooShort);
  CHECK(Admit(queue, TimePoint(), arrival, 0.1).m_code == Code::kOk);
  CHECK(Admit(queue, TimePoint(), arrival, 0.1).m_code == Code::kOk);
  CHECK(Admit(queue, TimePoint(), arrival, 0.1).m_code ==
        Code::kDeadlineTooShort);
}

}  // namespace
}  // namespace filbertspar
