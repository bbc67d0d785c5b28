#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <iterator>
#include <limits>
#include <map>
#include <string>
#include <vector>

#include "filbertspar/share/share.h"
#include "tests/fixed_seed.h"

namespace filbertspar {
namespace {

Resources Size(std::int64_t slots, std::int64_t memory,
               std::int64_t accelerators) {
  return {Slots(slots), Megabytes(memory), Accelerators(accelerators)};
}

ShareConfig Config(std::size_t teams, std::size_t pools) {
  ShareConfig config;
  for (std::size_t i = 0; i < teams; ++i) {
    config.m_teams.push_back({.m_name = TeamName("team-" + std::to_string(i)),
                              .m_weight = 1.0 + static_cast<double>(i % 3)});
  }
  for (std::size_t p = 0; p < pools; ++p) {
    config.m_pools.emplace_back("pool-" + std::to_string(p));
  }
  return config;
}

struct Piece {
  std::size_t m_pool = 0;
  std::size_t m_team = 0;
  Resources m_size;
  WorkClass m_class = WorkClass::kStandard;
};

// Keeps plain lists of work and goes through all of them at every question.
struct NaiveShare {
  ShareSettings m_settings;
  ShareConfig m_config;
  std::vector<Resources> m_capacity;
  std::vector<Piece> m_waiting;
  std::vector<Piece> m_running;
  std::vector<bool> m_blocked;
  std::map<std::pair<std::size_t, std::size_t>, bool> m_skipped;
  std::map<std::pair<std::size_t, std::size_t>, double> m_lag;
  std::map<std::pair<std::size_t, std::size_t>, double> m_due;
  std::map<std::pair<std::size_t, std::size_t>, double> m_received_seconds;
  std::map<std::pair<std::size_t, std::size_t>, double> m_settled;
  TimePoint m_now{};
  TimePoint m_settled_at{};

  Resources Sum(const std::vector<Piece>& pieces, std::size_t pool,
                std::size_t team) const {
    Resources sum = Size(0, 0, 0);
    for (const Piece& piece : pieces) {
      if (piece.m_pool == pool && piece.m_team == team) {
        sum.m_slots += piece.m_size.m_slots;
        sum.m_memory += piece.m_size.m_memory;
        sum.m_accelerators += piece.m_size.m_accelerators;
      }
    }
    return sum;
  }

  double Received(std::size_t pool, std::size_t team) const {
    return DominantShare(
        FractionsOf(Sum(m_running, pool, team), m_capacity[pool]));
  }

  void Advance(TimePoint now) {
    for (std::size_t p = 0; p < m_capacity.size(); ++p) {
      for (std::size_t t = 0; t < m_blocked.size(); ++t) {
        m_received_seconds[{p, t}] += Received(p, t) * ToSeconds(now - m_now);
      }
    }
    m_now = now;
  }

  double Scale(std::size_t team) const {
    const auto count = [&](const std::vector<Piece>& pieces) {
      return std::count_if(
          pieces.begin(), pieces.end(),
          [&](const Piece& piece) { return piece.m_team == team; });
    };
    const double room = static_cast<double>(std::max<std::int64_t>(
        0, m_config.m_teams[team].m_ceiling - count(m_running)));
    return count(m_waiting) == 0
               ? 1.0
               : std::min(1.0, room / static_cast<double>(count(m_waiting)));
  }

  void Settle() {
    const double seconds = ToSeconds(m_now - m_settled_at);
    const double decay =
        std::exp2(-seconds / ToSeconds(m_settings.m_half_life));
    for (std::size_t p = 0; p < m_capacity.size(); ++p) {
      std::vector<TeamDemand> demands;
      for (std::size_t t = 0; t < m_blocked.size(); ++t) {
        const std::pair cell(p, t);
        const double kept = std::clamp(m_lag[cell], 0.0, Advance(p, t));
        m_lag[cell] = kept + (m_lag[cell] - kept) * decay +
                      m_received_seconds[cell] - m_settled[cell] -
                      m_due[cell] * seconds;
        m_settled[cell] = m_received_seconds[cell];
        const Fractions running =
            FractionsOf(Sum(m_running, p, t), m_capacity[p]);
        const Fractions waiting =
            FractionsOf(Sum(m_waiting, p, t), m_capacity[p]);
        TeamDemand demand{m_config.m_teams[t].m_weight, {}};
        for (int kind = 0; kind < kResourceKinds; ++kind) {
          demand.m_demand[kind] = running[kind] + Scale(t) * waiting[kind];
        }
        demands.push_back(demand);
      }
      std::vector<double> due(demands.size());
      WaterFillScratch scratch;
      WaterFill(demands, due, scratch);
      for (std::size_t t = 0; t < demands.size(); ++t) {
        m_due[{p, t}] = due[t];
      }
    }
    m_settled_at = m_now;
  }

  double Advance(std::size_t pool, std::size_t team) const {
    std::vector<Piece> urgent;
    std::copy_if(
        m_waiting.begin(), m_waiting.end(), std::back_inserter(urgent),
        [](const Piece& piece) { return piece.m_class == WorkClass::kUrgent; });
    const auto due = m_due.find({pool, team});
    return std::min(2.0 * DominantShare(FractionsOf(Sum(urgent, pool, team),
                                                    m_capacity[pool])),
                    5.0 * (due == m_due.end() ? 0.0 : due->second));
  }

  double FleetLag(std::size_t team) const {
    double slots = 0;
    double lag = 0;
    for (std::size_t p = 0; p < m_capacity.size(); ++p) {
      slots += static_cast<double>(m_capacity[p].m_slots.Count());
      const auto it = m_lag.find({p, team});
      lag += (it == m_lag.end() ? 0 : it->second) *
             static_cast<double>(m_capacity[p].m_slots.Count());
    }
    return lag / slots;
  }

  double Key(std::size_t pool, std::size_t team) const {
    const auto value = [&](const auto& map) {
      const auto it = map.find({pool, team});
      return it == map.end() ? 0.0 : it->second;
    };
    const bool waits = std::any_of(
        m_waiting.begin(), m_waiting.end(), [&](const Piece& piece) {
          return piece.m_pool == pool && piece.m_team == team;
        });
    if (!waits || m_blocked[team] || value(m_skipped) != 0) {
      return std::numeric_limits<double>::infinity();
    }
    return (value(m_lag) + FleetLag(team) + Received(pool, team) -
            value(m_due) - Advance(pool, team)) /
           m_config.m_teams[team].m_weight;
  }
};

struct Pair {
  Share m_share;
  NaiveShare m_naive;
};

Pair MakePair(Rng& rng) {
  Pair pair;
  const std::size_t teams = 1 + rng.Below(9);
  const std::size_t pools = 1 + rng.Below(3);
  pair.m_naive.m_config = Config(teams, pools);
  for (ShareTeam& team : pair.m_naive.m_config.m_teams) {
    team.m_ceiling = static_cast<std::int64_t>(2 + rng.Below(40));
  }
  Configure(pair.m_share, TimePoint(), pair.m_naive.m_config);
  pair.m_naive.m_blocked.resize(teams);
  for (std::size_t p = 0; p < pools; ++p) {
    const Resources capacity = Size(10 + static_cast<int>(rng.Below(20)), 1000,
                                    static_cast<int>(rng.Below(5)));
    pair.m_naive.m_capacity.push_back(capacity);
    SetCapacity(pair.m_share, TimePoint(), PoolIndex(p), capacity);
  }
  Settle(pair.m_share, TimePoint());
  pair.m_naive.Settle();
  return pair;
}

void CompareAll(const Pair& pair) {
  const NaiveShare& naive = pair.m_naive;
  for (std::size_t p = 0; p < naive.m_capacity.size(); ++p) {
    double best = std::numeric_limits<double>::infinity();
    for (std::size_t t = 0; t < naive.m_blocked.size(); ++t) {
      best = std::min(best, naive.Key(p, t));
      const TeamShare share =
          Explain(pair.m_share, naive.m_now, PoolIndex(p), TeamIndex(t));
      RC_ASSERT(std::abs(share.m_received - naive.Received(p, t)) < 1e-9);
      RC_ASSERT(std::abs(share.m_due - naive.m_due.at({p, t})) < 1e-9);
      const auto received = naive.m_received_seconds.find({p, t});
      if (received != naive.m_received_seconds.end()) {
        RC_ASSERT(std::abs(share.m_received_seconds - received->second) < 1e-6);
      }
    }
    const std::optional<TeamIndex> next = NextTeam(pair.m_share, PoolIndex(p));
    RC_ASSERT(next.has_value() == std::isfinite(best));
    if (next) {
      RC_ASSERT(std::abs(naive.Key(p, next->Value()) - best) < 1e-6);
    }
  }
}

void RandomStep(Pair& pair, Rng& rng, TimePoint& now) {
  Share& share = pair.m_share;
  NaiveShare& naive = pair.m_naive;
  const std::size_t p = rng.Below(naive.m_capacity.size());
  const std::size_t t = rng.Below(naive.m_blocked.size());
  switch (rng.Below(10)) {
    case 0:
      now += Milliseconds(static_cast<std::int64_t>(rng.Below(3000)));
      naive.Advance(now);
      if (naive.m_now - naive.m_settled_at >=
          share.m_settings.m_settle_interval) {
        naive.Settle();
      }
      Settle(share, now);
      break;
    case 1:
      naive.m_blocked[t] = rng.Chance(0.5);
      SetBlocked(share, TeamIndex(t), naive.m_blocked[t]);
      break;
    case 2:
      naive.m_skipped[{p, t}] = true;
      Skip(share, PoolIndex(p), TeamIndex(t));
      break;
    case 3:
      for (std::size_t i = 0; i < naive.m_blocked.size(); ++i) {
        naive.m_skipped[{p, i}] = false;
      }
      ClearSkips(share, PoolIndex(p));
      break;
    case 4:
    case 5:
    case 6: {
      const Piece piece{p, t,
                        Size(1 + static_cast<int>(rng.Below(2)),
                             static_cast<int>(rng.Below(100)),
                             static_cast<int>(rng.Below(2))),
                        static_cast<WorkClass>(rng.Below(kWorkClasses))};
      naive.m_waiting.push_back(piece);
      AddWaiting(share, PoolIndex(p), TeamIndex(t), piece.m_size,
                 piece.m_class);
      break;
    }
    case 7:
    case 8:
      if (!naive.m_waiting.empty()) {
        const std::size_t i = rng.Below(naive.m_waiting.size());
        const Piece piece = naive.m_waiting[i];
        naive.m_waiting.erase(naive.m_waiting.begin() +
                              static_cast<std::ptrdiff_t>(i));
        RemoveWaiting(share, PoolIndex(piece.m_pool), TeamIndex(piece.m_team),
                      piece.m_size, piece.m_class);
        if (rng.Chance(0.8)) {
          naive.m_running.push_back(piece);
          TaskStarted(share, now, PoolIndex(piece.m_pool),
                      TeamIndex(piece.m_team), piece.m_size);
        }
      }
      break;
    default:
      if (!naive.m_running.empty()) {
        const std::size_t i = rng.Below(naive.m_running.size());
        const Piece piece = naive.m_running[i];
        naive.m_running.erase(naive.m_running.begin() +
                              static_cast<std::ptrdiff_t>(i));
        TaskEnded(share, now, PoolIndex(piece.m_pool), TeamIndex(piece.m_team),
                  piece.m_size);
      }
  }
}

// Guards against a choice, due share or account that differs from one that is
// computed afresh from all work.
TEST_CASE("share agrees with a naive version over random histories") {
  CHECK(rc::check([](std::uint64_t seed) {
    Rng rng(seed);
    Pair pair = MakePair(rng);
    TimePoint now{};
    for (int step = 0; step < 150; ++step) {
      RandomStep(pair, rng, now);
      CompareAll(pair);
    }
  }));
}

// Guards against use of lent idle share being held against the borrower, which
// would stop it for seconds when the lender returns.
TEST_CASE("a borrower keeps its due share when the lender returns") {
  Share share;
  Configure(share, TimePoint(), Config(1, 1));
  ShareConfig config = Config(1, 1);
  config.m_teams.push_back({.m_name = TeamName("lender")});
  Configure(share, TimePoint(), config);
  const Resources one = Size(1, 0, 0);
  const PoolIndex pool(0);
  SetCapacity(share, TimePoint(), pool, Size(10, 0, 0));
  for (int i = 0; i < 1000; ++i) {
    AddWaiting(share, pool, TeamIndex(0), one);
  }
  for (int i = 0; i < 10; ++i) {
    TaskStarted(share, TimePoint(), pool, TeamIndex(0), one);
  }
  TimePoint now{};
  for (int i = 0; i < 600; ++i) {
    now += Milliseconds(100);
    Settle(share, now);
  }
  for (int i = 0; i < 1000; ++i) {
    AddWaiting(share, pool, TeamIndex(1), one);
  }
  // One task of 1 s length ends each 100 ms and another starts.
  std::vector<std::size_t> running(10, 0);
  double borrower_slot_seconds = 0;
  for (int i = 0; i < 200; ++i) {
    now += Milliseconds(100);
    Settle(share, now);
    std::size_t& slot = running[static_cast<std::size_t>(i % 10)];
    TaskEnded(share, now, pool, TeamIndex(slot), one);
    slot = NextTeam(share, pool)->Value();
    TaskStarted(share, now, pool, TeamIndex(slot), one);
    borrower_slot_seconds += 0.1 * static_cast<double>(std::count(
                                       running.begin(), running.end(), 0));
  }
  CHECK(borrower_slot_seconds == Approx(100.0).margin(3.0));
}

// Guards against share that stays lent to long tasks without a bound.
TEST_CASE("borrowed share is reclaimed after the lending bound, not before") {
  Share share;
  ShareConfig config = Config(1, 1);
  config.m_teams.push_back({.m_name = TeamName("lender")});
  Configure(share, TimePoint(), config);
  const PoolIndex pool(0);
  SetCapacity(share, TimePoint(), pool, Size(10, 0, 0));
  for (int i = 0; i < 10; ++i) {
    TaskStarted(share, TimePoint(), pool, TeamIndex(0), Size(1, 0, 0));
    AddWaiting(share, pool, TeamIndex(1), Size(1, 0, 0));
  }
  Settle(share, TimePoint() + Milliseconds(100));
  Settle(share, TimePoint() + Seconds(30));
  CHECK(ReclaimsDue(share, TimePoint() + Seconds(30)).empty());
  const TimePoint late = TimePoint() + Milliseconds(30'100);
  const std::vector<Reclaim> reclaims = ReclaimsDue(share, late);
  REQUIRE(reclaims.size() == 1);
  CHECK(reclaims[0].m_borrower == TeamIndex(0));
  CHECK(reclaims[0].m_excess == Approx(0.5));
  TaskStarted(share, late, pool, TeamIndex(1), Size(5, 0, 0));
  Settle(share, late + Milliseconds(100));
  CHECK(ReclaimsDue(share, late + Milliseconds(100)).empty());
}

// Guards against peers' use that is left out, counted twice or kept after the
// peer is gone.
TEST_CASE("use on peers counts until it is replaced or the peer is dropped") {
  Share share;
  Configure(share, TimePoint(), Config(2, 1));
  const PoolIndex pool(0);
  SetCapacity(share, TimePoint(), pool, Size(10, 0, 0));
  AddWaiting(share, pool, TeamIndex(0), Size(1, 0, 0));
  AddWaiting(share, pool, TeamIndex(1), Size(1, 0, 0));
  const NodeName peer("vm-2#1");
  const auto received = [&] {
    return Explain(share, TimePoint(), pool, TeamIndex(0)).m_received;
  };
  for (const std::int64_t running : {4, 7, 2}) {
    SetPeerUse(share, TimePoint(), peer,
               std::vector<PeerCell>{{pool, TeamIndex(0), running, 3}});
    CHECK(received() == Approx(static_cast<double>(running) / 10));
  }
  CHECK(NextTeam(share, pool) == TeamIndex(1));
  DropPeer(share, TimePoint(), peer);
  CHECK(received() == Approx(0.0));
}

// Guards against counts that move to another team when the configuration
// changes while work runs.
TEST_CASE("indices stay with their names while work is there") {
  Share share;
  Configure(share, TimePoint(), Config(3, 2));
  SetCapacity(share, TimePoint(), PoolIndex(1), Size(10, 0, 0));
  TaskStarted(share, TimePoint(), PoolIndex(1), TeamIndex(1), Size(5, 0, 0));
  ShareConfig config = Config(3, 2);
  config.m_teams.erase(config.m_teams.begin() + 1);
  for (int i = 0; i < 6; ++i) {
    config.m_teams.push_back({.m_name = TeamName("new-" + std::to_string(i))});
  }
  config.m_pools.insert(config.m_pools.begin(), PoolName("extra"));
  Configure(share, TimePoint(), config);
  CHECK_FALSE(FindTeamIndex(share, TeamName("team-1")));
  CHECK(FindTeamIndex(share, TeamName("team-2")) == TeamIndex(2));
  CHECK(FindPoolIndex(share, PoolName("pool-1")) == PoolIndex(1));
  CHECK(Explain(share, TimePoint(), PoolIndex(1), TeamIndex(1)).m_received ==
        Approx(0.5));
  TaskEnded(share, TimePoint(), PoolIndex(1), TeamIndex(1), Size(5, 0, 0));
  config.m_teams.push_back({.m_name = TeamName("reuse")});
  Configure(share, TimePoint(), config);
  CHECK(FindTeamIndex(share, TeamName("reuse")) == TeamIndex(1));
}

}  // namespace
}  // namespace filbertspar
