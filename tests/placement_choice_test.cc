#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "filbertspar/placement/placement.h"

namespace filbertspar {
namespace {

WorkerInfo WorkerOf(int number, const std::string& zone, std::int64_t slots) {
  WorkerInfo info;
  info.m_name = VmName("w" + std::to_string(number));
  info.m_pool = PoolName("p");
  info.m_zone = ZoneName(zone);
  info.m_capacity = {.m_slots = Slots(slots), .m_memory = Megabytes(1000)};
  info.m_connections = 3;
  return info;
}

struct Model {
  WorkerInfo m_info;
  Resources m_used{.m_slots = Slots(0)};
  std::int64_t m_connections = 0;

  std::int64_t FreeSlots() const {
    return (m_info.m_capacity.m_slots - m_used.m_slots).Count();
  }
  bool Takes(const Resources& need) const {
    return m_info.m_in_service && m_connections < m_info.m_connections &&
           FreeSlots() >= need.m_slots.Count() &&
           m_info.m_capacity.m_memory - m_used.m_memory >= need.m_memory;
  }
};

// Most free slots among the workers that take the work: own zone first.
std::int64_t BestBySearch(const std::vector<Model>& models,
                          const Resources& need) {
  for (const bool local : {true, false}) {
    std::int64_t best = -1;
    for (const Model& model : models) {
      if ((model.m_info.m_zone == ZoneName("a")) == local &&
          model.Takes(need)) {
        best = std::max(best, model.FreeSlots());
      }
    }
    if (best >= 0) {
      return best + (local ? 1000 : 0);
    }
  }
  return -1;
}

// Guards against a choice that misses room, overfills a worker, uses one out
// of service, or leaves the own zone while it has room.
TEST_CASE("choice agrees with a search over all workers") {
  rc::check([](std::uint64_t seed) {
    Rng rng(seed);
    Placement placement = MakePlacement({.m_zone = ZoneName("a")});
    const PlacementPool pool = InternPool(placement, PoolName("p"));
    std::vector<Model> models;
    std::vector<WorkerInfo> infos;
    const int count = 1 + static_cast<int>(rng.Below(9));
    for (int i = 0; i < count; ++i) {
      infos.push_back(WorkerOf(i, rng.Chance(0.5) ? "a" : "b",
                               1 + static_cast<std::int64_t>(rng.Below(4))));
      infos.back().m_in_service = !rng.Chance(0.2);
      models.push_back({.m_info = infos.back()});
    }
    SetWorkers(placement, TimePoint(), infos);
    std::vector<std::pair<std::size_t, Resources>> held;
    for (int step = 0; step < 60; ++step) {
      if (!held.empty() && rng.Chance(0.4)) {
        std::swap(held[rng.Below(held.size())], held.back());
        const auto [index, need] = held.back();
        held.pop_back();
        models[index].m_used.m_slots -= need.m_slots;
        models[index].m_used.m_memory -= need.m_memory;
        --models[index].m_connections;
        Vacate(placement, static_cast<WorkerIndex>(index), need);
        continue;
      }
      const Resources need{
          .m_slots = Slots(1 + static_cast<std::int64_t>(rng.Below(2))),
          .m_memory = Megabytes(static_cast<std::int64_t>(rng.Below(700)))};
      const std::int64_t best = BestBySearch(models, need);
      const auto chosen = Choose(placement, TimePoint(), pool, need, true, rng);
      RC_ASSERT(chosen.has_value() == (best >= 0));
      if (chosen) {
        Model& model = models[*chosen];
        RC_ASSERT(model.Takes(need));
        RC_ASSERT((model.m_info.m_zone == ZoneName("a")) == (best >= 1000));
        model.m_used.m_slots += need.m_slots;
        model.m_used.m_memory += need.m_memory;
        ++model.m_connections;
        Occupy(placement, *chosen, need);
        held.emplace_back(*chosen, need);
      }
    }
  });
}

// Guards against ejection after the wrong number of failures, above the
// pool's limit, or without a way back.
TEST_CASE("ejection, its limit, probes and return") {
  Rng rng(1);
  Placement placement = MakePlacement({.m_zone = ZoneName("a")});
  const PlacementPool pool = InternPool(placement, PoolName("p"));
  std::vector<WorkerInfo> infos;
  infos.reserve(10);
  for (int i = 0; i < 10; ++i) {
    infos.push_back(WorkerOf(i, "a", 8));
  }
  TimePoint now(Seconds(100));
  SetWorkers(placement, now, infos);
  for (WorkerIndex worker = 0; worker < 5; ++worker) {
    for (int i = 0; i < 4; ++i) {
      Judge(placement, now, worker, WorkerOutcome::kFailure);
    }
    CHECK(Summarize(placement, pool).m_bad == worker);
    Judge(placement, now, worker, WorkerOutcome::kFailure);
    CHECK(Summarize(placement, pool).m_bad == worker + 1);
  }
  CHECK(Summarize(placement, pool).m_ejected == 3);
  const Resources need;
  CHECK(*Choose(placement, now, pool, need, true, rng) >= 5);
  now += Seconds(5);
  const auto probe = Choose(placement, now, pool, need, true, rng);
  REQUIRE(probe.has_value());
  CHECK(*probe < 5);
  CHECK(*Choose(placement, now, pool, need, false, rng) >= 5);
  Judge(placement, now, *probe, WorkerOutcome::kSuccess);
  CHECK(Summarize(placement, pool).m_bad == 4);
}

}  // namespace
}  // namespace filbertspar
