#include "tests/world/scenario.h"

#include <utility>

namespace filbertspar::world {
namespace {

void AddTeam(Catalogue& catalogue, const std::string& name,
             std::int64_t ceiling) {
  Team& team = catalogue.m_teams.emplace_back();
  team.m_name = TeamName(name);
  team.m_ceiling = ceiling;
  Key& key = catalogue.m_keys.emplace_back();
  key.m_name = KeyName(name + "-key");
  key.m_team = team.m_name;
}

CatalogueEntry& AddEntry(Catalogue& catalogue, const std::string& name,
                         const std::string& pool, WorkClass work_class) {
  CatalogueEntry& entry = catalogue.m_entries.emplace_back();
  entry.m_name = EntryName(name);
  entry.m_owner = catalogue.m_teams.front().m_name;
  for (const Team& team : catalogue.m_teams) {
    entry.m_allowed_teams.push_back(team.m_name.Value());
  }
  entry.m_pool = PoolName(pool);
  entry.m_class = work_class;
  entry.m_resources.m_memory = Megabytes(100);
  entry.m_max_queue = 30;
  return entry;
}

WorkerInfo WorkerOf(const std::string& pool, int number, std::int64_t slots) {
  WorkerInfo info;
  info.m_name = VmName(pool + std::to_string(number));
  info.m_pool = PoolName(pool);
  info.m_zone = ZoneName(number % 2 == 0 ? "a" : "b");
  info.m_capacity = {.m_slots = Slots(slots), .m_memory = Megabytes(1000)};
  return info;
}

}  // namespace

WorldOptions RandomFaults(std::uint64_t seed) {
  Rng rng(seed * 7919 + 1);
  WorldOptions options;
  options.m_seed = seed;
  FaultRates& faults = options.m_faults;
  for (double* rate :
       {&faults.m_not_sent, &faults.m_lose_request, &faults.m_delay_request,
        &faults.m_refuse, &faults.m_fail, &faults.m_long_task,
        &faults.m_lose_answer, &faults.m_late, &faults.m_duplicate,
        &faults.m_cross, &faults.m_truncate, &faults.m_lose_claim_answer,
        &faults.m_lose_forward}) {
    *rate = rng.Chance(0.4) ? 0.4 * rng.Uniform() : 0.0;
  }
  for (bool* fault :
       {&faults.m_store_outage, &faults.m_cancel_waves, &faults.m_pauses,
        &faults.m_worker_loss, &faults.m_bad_workers, &faults.m_config_changes,
        &faults.m_grant_moves}) {
    *fault = rng.Chance(0.4);
  }
  return options;
}

std::unique_ptr<World> MixedWorld(const WorldOptions& options) {
  return MixedWorld(options, [&](std::uint32_t node) {
    EngineOptions engine;
    engine.m_node = node;
    engine.m_zone = ZoneName(node == 1 ? "a" : "b");
    engine.m_seed = options.m_seed + node;
    return std::make_unique<RealEngine>(engine);
  });
}

std::unique_ptr<World> MixedWorld(const WorldOptions& options,
                                  const EngineFactory& factory) {
  auto catalogue = std::make_shared<Catalogue>();
  catalogue->m_pools.push_back({.m_name = PoolName("quotes")});
  catalogue->m_pools.push_back({.m_name = PoolName("ledgers")});
  AddTeam(*catalogue, "desk", 5);
  AddTeam(*catalogue, "depot", 3);
  AddTeam(*catalogue, "office", 2);
  AddEntry(*catalogue, "price-quote", "quotes", WorkClass::kUrgent);
  AddEntry(*catalogue, "stock-check", "quotes", WorkClass::kStandard)
      .m_resources.m_memory = Megabytes(900);
  AddEntry(*catalogue, "invoice-run", "ledgers", WorkClass::kStandard)
      .m_repeatable = false;
  AddEntry(*catalogue, "payout", "quotes", WorkClass::kUrgent).m_repeatable =
      false;
  AddEntry(*catalogue, "ledger", "ledgers", WorkClass::kOvernight);
  AddEntry(*catalogue, "open-check", "quotes", WorkClass::kStandard).m_open =
      true;
  std::vector<WorkerInfo> workers;
  for (int i = 0; i < 4; ++i) {
    workers.push_back(WorkerOf("quotes", i, 2));
    workers.push_back(WorkerOf("ledgers", i, 1));
  }
  std::vector<std::unique_ptr<EngineApi>> engines;
  for (std::uint32_t node = 1; node <= 2; ++node) {
    engines.push_back(factory(node));
  }
  return std::make_unique<World>(options, catalogue, workers,
                                 std::move(engines));
}

std::unique_ptr<World> PoolWorld(const WorldOptions& options, int workers,
                                 std::unique_ptr<EngineApi> engine) {
  constexpr std::int64_t kSlots = 8;
  auto catalogue = std::make_shared<Catalogue>();
  catalogue->m_pools.push_back({.m_name = PoolName("quotes")});
  AddTeam(*catalogue, "desk", workers * kSlots);
  AddEntry(*catalogue, "price-quote", "quotes", WorkClass::kUrgent)
      .m_max_queue = 10000;
  std::vector<WorkerInfo> list;
  list.reserve(static_cast<std::size_t>(workers));
  for (int i = 0; i < workers; ++i) {
    list.push_back(WorkerOf("quotes", i, kSlots));
  }
  std::vector<std::unique_ptr<EngineApi>> engines;
  engines.push_back(std::move(engine));
  return std::make_unique<World>(options, catalogue, list, std::move(engines));
}

}  // namespace filbertspar::world
