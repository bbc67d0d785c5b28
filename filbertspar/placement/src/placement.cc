#include "filbertspar/placement/src/placement.h"

#include <algorithm>
#include <utility>

namespace filbertspar {
namespace {

using internal::PoolView;
using internal::Room;
using internal::Worker;

Resources FreeOf(const Worker& worker) {
  return {
      .m_slots = worker.m_info.m_capacity.m_slots - worker.m_used.m_slots,
      .m_memory = worker.m_info.m_capacity.m_memory - worker.m_used.m_memory,
      .m_accelerators = worker.m_info.m_capacity.m_accelerators -
                        worker.m_used.m_accelerators};
}

bool Holds(const Resources& room, const Resources& need) {
  return room.m_slots >= need.m_slots && room.m_memory >= need.m_memory &&
         room.m_accelerators >= need.m_accelerators;
}

bool TakesWork(const Worker& worker) {
  return worker.m_listed && worker.m_info.m_in_service && !worker.m_paused &&
         worker.m_connections_used < worker.m_info.m_connections;
}

void Refresh(Placement& placement, Worker& worker) {
  if (!worker.m_listed) {
    return;
  }
  PoolView& pool = placement.m_pools[worker.m_pool];
  Room room;
  if (TakesWork(worker) && !worker.m_bad) {
    const Resources free = FreeOf(worker);
    room = {.m_slots = free.m_slots.Count(),
            .m_memory = free.m_memory.Count(),
            .m_accelerators = free.m_accelerators.Count()};
  }
  internal::Update(worker.m_local ? pool.m_local : pool.m_remote, worker.m_leaf,
                   room);
}

// Ejects bad workers up to the pool's limit, the longest bad first.
void Limit(Placement& placement, PoolView& pool) {
  const auto limit = static_cast<std::int64_t>(
      placement.m_options.m_ejection.m_max_ejected_share *
      static_cast<double>(pool.m_in_service));
  pool.m_ejected = 0;
  for (const WorkerIndex index : pool.m_bad) {
    Worker& worker = placement.m_workers[index];
    worker.m_ejected = worker.m_info.m_in_service && pool.m_ejected < limit;
    pool.m_ejected += worker.m_ejected ? 1 : 0;
  }
}

void Rebuild(Placement& placement) {
  for (PoolView& pool : placement.m_pools) {
    pool.m_workers.clear();
    pool.m_local_workers.clear();
    pool.m_remote_workers.clear();
    pool.m_shapes.clear();
    pool.m_in_service = 0;
    pool.m_capacity = Resources{.m_slots = Slots(0)};
  }
  for (WorkerIndex i = 0; i < placement.m_workers.size(); ++i) {
    Worker& worker = placement.m_workers[i];
    if (!worker.m_listed) {
      continue;
    }
    PoolView& pool = placement.m_pools[worker.m_pool];
    pool.m_workers.push_back(i);
    if (worker.m_info.m_in_service) {
      ++pool.m_in_service;
      pool.m_capacity.m_slots += worker.m_info.m_capacity.m_slots;
      pool.m_capacity.m_memory += worker.m_info.m_capacity.m_memory;
      pool.m_capacity.m_accelerators += worker.m_info.m_capacity.m_accelerators;
    }
    worker.m_local = worker.m_info.m_zone == placement.m_options.m_zone;
    std::vector<WorkerIndex>& leaves =
        worker.m_local ? pool.m_local_workers : pool.m_remote_workers;
    worker.m_leaf = leaves.size();
    leaves.push_back(i);
    if (std::find(pool.m_shapes.begin(), pool.m_shapes.end(),
                  worker.m_info.m_capacity) == pool.m_shapes.end()) {
      pool.m_shapes.push_back(worker.m_info.m_capacity);
    }
  }
  for (PlacementPool i = 0; i < placement.m_pools.size(); ++i) {
    PoolView& pool = placement.m_pools[i];
    internal::Reset(pool.m_local, pool.m_local_workers.size());
    internal::Reset(pool.m_remote, pool.m_remote_workers.size());
    std::erase_if(pool.m_bad, [&](WorkerIndex index) {
      const Worker& worker = placement.m_workers[index];
      return !worker.m_listed || !worker.m_bad || worker.m_pool != i;
    });
    Limit(placement, pool);
  }
  for (Worker& worker : placement.m_workers) {
    Refresh(placement, worker);
  }
}

void ClearRecord(Worker& worker) {
  worker.m_health = {};
  worker.m_bad = false;
  worker.m_ejected = false;
  worker.m_probing = false;
  worker.m_probe_interval = Duration(0);
  worker.m_pause = Duration(0);
}

WorkerIndex AddWorker(Placement& placement, const VmName& name) {
  WorkerIndex index = 0;
  if (placement.m_free.empty()) {
    index = static_cast<WorkerIndex>(placement.m_workers.size());
    placement.m_workers.emplace_back();
  } else {
    index = placement.m_free.back();
    placement.m_free.pop_back();
    placement.m_workers[index] = {};
  }
  placement.m_worker_by_name[name.Value()] = index;
  return index;
}

// Forgets a worker that is neither listed nor occupied, so that its index can
// be used again.
void ForgetIfIdle(Placement& placement, WorkerIndex index) {
  Worker& worker = placement.m_workers[index];
  if (worker.m_listed || worker.m_connections_used > 0 || worker.m_paused) {
    return;
  }
  if (placement.m_worker_by_name.erase(worker.m_info.m_name.Value()) > 0) {
    placement.m_free.push_back(index);
  }
}

void MarkBad(Placement& placement, TimePoint now, WorkerIndex index) {
  Worker& worker = placement.m_workers[index];
  PoolView& pool = placement.m_pools[worker.m_pool];
  const EjectionRules& rules = placement.m_options.m_ejection;
  worker.m_probe_interval =
      worker.m_bad ? std::min(2 * worker.m_probe_interval, rules.m_last_probe)
                   : rules.m_first_probe;
  worker.m_probe_at = now + worker.m_probe_interval;
  worker.m_probing = false;
  if (!worker.m_bad) {
    worker.m_bad = true;
    pool.m_bad.push_back(index);
    Limit(placement, pool);
  }
  pool.m_next_probe = std::min(pool.m_next_probe, worker.m_probe_at);
}

void MarkGood(Placement& placement, WorkerIndex index) {
  Worker& worker = placement.m_workers[index];
  PoolView& pool = placement.m_pools[worker.m_pool];
  ClearRecord(worker);
  std::erase(pool.m_bad, index);
  Limit(placement, pool);
}

std::optional<WorkerIndex> ChooseProbe(Placement& placement, TimePoint now,
                                       PoolView& pool, const Resources& need) {
  if (now < pool.m_next_probe) {
    return std::nullopt;
  }
  pool.m_next_probe = TimePoint::max();
  std::optional<WorkerIndex> found;
  for (const WorkerIndex index : pool.m_bad) {
    Worker& worker = placement.m_workers[index];
    if (!found && worker.m_probe_at <= now && TakesWork(worker) &&
        Holds(FreeOf(worker), need)) {
      found = index;
      worker.m_probing = true;
      // Bounds the wait when the probe's own end never comes.
      worker.m_probe_at = now + placement.m_options.m_ejection.m_last_probe;
    }
    pool.m_next_probe = std::min(pool.m_next_probe, worker.m_probe_at);
  }
  return found;
}

// A bad worker above the ejection limit takes one attempt at a time.
std::optional<WorkerIndex> ChooseLastResort(const Placement& placement,
                                            const PoolView& pool,
                                            const Resources& need) {
  for (const WorkerIndex index : pool.m_bad) {
    const Worker& worker = placement.m_workers[index];
    if (!worker.m_ejected && worker.m_connections_used == 0 &&
        TakesWork(worker) && Holds(FreeOf(worker), need)) {
      return index;
    }
  }
  return std::nullopt;
}

std::optional<WorkerIndex> FindInTree(const PoolView& pool, bool local,
                                      const Resources& need, Rng& rng) {
  const auto leaf =
      internal::FindRoom(local ? pool.m_local : pool.m_remote, need, rng);
  if (!leaf) {
    return std::nullopt;
  }
  return (local ? pool.m_local_workers : pool.m_remote_workers)[*leaf];
}

}  // namespace

Placement MakePlacement(PlacementOptions options) {
  Placement placement;
  placement.m_options = std::move(options);
  return placement;
}

PlacementPool InternPool(Placement& placement, const PoolName& pool) {
  const auto [found, added] = placement.m_pool_by_name.try_emplace(
      pool.Value(), static_cast<PlacementPool>(placement.m_pools.size()));
  if (added) {
    placement.m_pools.emplace_back().m_name = pool;
  }
  return found->second;
}

void SetWorkers(Placement& placement, TimePoint now,
                std::vector<WorkerInfo> workers) {
  std::vector<bool> listed_before(placement.m_workers.size());
  for (std::size_t i = 0; i < placement.m_workers.size(); ++i) {
    listed_before[i] = placement.m_workers[i].m_listed;
    placement.m_workers[i].m_listed = false;
  }
  for (WorkerInfo& info : workers) {
    const auto found = placement.m_worker_by_name.find(info.m_name.Value());
    const bool known = found != placement.m_worker_by_name.end();
    const WorkerIndex index =
        known ? found->second : AddWorker(placement, info.m_name);
    Worker& worker = placement.m_workers[index];
    const PlacementPool pool = InternPool(placement, info.m_pool);
    const bool was_listed =
        index < listed_before.size() && listed_before[index];
    const bool returned =
        known && (!was_listed || worker.m_pool != pool ||
                  (info.m_in_service && !worker.m_info.m_in_service));
    if (returned) {
      ClearRecord(worker);
    }
    worker.m_info = std::move(info);
    worker.m_pool = pool;
    worker.m_listed = true;
  }
  for (WorkerIndex i = 0; i < placement.m_workers.size(); ++i) {
    if (!placement.m_workers[i].m_listed) {
      ClearRecord(placement.m_workers[i]);
      ForgetIfIdle(placement, i);
    }
  }
  Rebuild(placement);
  EndPauses(placement, now);
}

bool CanEverHold(const Placement& placement, PlacementPool pool,
                 const Resources& need) {
  const auto& shapes = placement.m_pools[pool].m_shapes;
  return std::any_of(shapes.begin(), shapes.end(), [&](const Resources& shape) {
    return Holds(shape, need);
  });
}

bool HasRoom(const Placement& placement, TimePoint now, PlacementPool index) {
  const PoolView& pool = placement.m_pools[index];
  return internal::MostSlots(pool.m_local) > 0 ||
         internal::MostSlots(pool.m_remote) > 0 || pool.m_next_probe <= now ||
         static_cast<std::int64_t>(pool.m_bad.size()) > pool.m_ejected;
}

Resources CapacityInService(const Placement& placement, PlacementPool pool) {
  return placement.m_pools[pool].m_capacity;
}

std::optional<WorkerIndex> Choose(Placement& placement, TimePoint now,
                                  PlacementPool pool_index,
                                  const Resources& need, bool may_fail,
                                  Rng& rng) {
  PoolView& pool = placement.m_pools[pool_index];
  if (may_fail) {
    if (const auto probe = ChooseProbe(placement, now, pool, need)) {
      return probe;
    }
  }
  if (const auto found = FindInTree(pool, true, need, rng)) {
    return found;
  }
  if (const auto found = FindInTree(pool, false, need, rng)) {
    return found;
  }
  return may_fail ? ChooseLastResort(placement, pool, need) : std::nullopt;
}

void Occupy(Placement& placement, WorkerIndex index, const Resources& need) {
  Worker& worker = placement.m_workers[index];
  worker.m_used.m_slots += need.m_slots;
  worker.m_used.m_memory += need.m_memory;
  worker.m_used.m_accelerators += need.m_accelerators;
  ++worker.m_connections_used;
  Refresh(placement, worker);
}

void Vacate(Placement& placement, WorkerIndex index, const Resources& need) {
  Worker& worker = placement.m_workers[index];
  FS_ASSERT(worker.m_connections_used > 0,
            "a worker is vacated once per attempt");
  worker.m_used.m_slots -= need.m_slots;
  worker.m_used.m_memory -= need.m_memory;
  worker.m_used.m_accelerators -= need.m_accelerators;
  --worker.m_connections_used;
  Refresh(placement, worker);
  ForgetIfIdle(placement, index);
}

void Judge(Placement& placement, TimePoint now, WorkerIndex index,
           WorkerOutcome outcome) {
  Worker& worker = placement.m_workers[index];
  if (!worker.m_listed) {
    return;
  }
  switch (outcome) {
    case WorkerOutcome::kSuccess:
      worker.m_pause = Duration(0);
      internal::Record(worker.m_health, now, true);
      if (worker.m_bad) {
        MarkGood(placement, index);
      }
      break;
    case WorkerOutcome::kFailure:
      internal::Record(worker.m_health, now, false);
      if (worker.m_bad ? worker.m_probing
                       : internal::LooksBad(worker.m_health, now,
                                            placement.m_options.m_ejection)) {
        MarkBad(placement, now, index);
      }
      break;
    case WorkerOutcome::kRefused: {
      const PlacementOptions& options = placement.m_options;
      worker.m_pause =
          std::clamp(2 * worker.m_pause, options.m_first_refusal_pause,
                     options.m_last_refusal_pause);
      worker.m_paused_until = now + worker.m_pause;
      if (!worker.m_paused) {
        worker.m_paused = true;
        placement.m_paused.push_back(index);
      }
      placement.m_next_unpause =
          std::min(placement.m_next_unpause, worker.m_paused_until);
      break;
    }
    case WorkerOutcome::kNeutral:
      break;
  }
  Refresh(placement, worker);
}

std::vector<PlacementPool> EndPauses(Placement& placement, TimePoint now) {
  std::vector<PlacementPool> pools;
  if (now < placement.m_next_unpause) {
    return pools;
  }
  placement.m_next_unpause = TimePoint::max();
  std::vector<WorkerIndex> ended;
  std::erase_if(placement.m_paused, [&](WorkerIndex index) {
    const Worker& worker = placement.m_workers[index];
    if (worker.m_paused_until > now) {
      placement.m_next_unpause =
          std::min(placement.m_next_unpause, worker.m_paused_until);
      return false;
    }
    ended.push_back(index);
    return true;
  });
  for (const WorkerIndex index : ended) {
    Worker& worker = placement.m_workers[index];
    worker.m_paused = false;
    pools.push_back(worker.m_pool);
    Refresh(placement, worker);
    ForgetIfIdle(placement, index);
  }
  return pools;
}

PoolSummary Summarize(const Placement& placement, PlacementPool index) {
  const PoolView& pool = placement.m_pools[index];
  PoolSummary summary;
  summary.m_listed = static_cast<std::int64_t>(pool.m_workers.size());
  summary.m_in_service = pool.m_in_service;
  summary.m_bad = static_cast<std::int64_t>(pool.m_bad.size());
  summary.m_ejected = pool.m_ejected;
  for (const WorkerIndex worker : pool.m_workers) {
    summary.m_slots +=
        placement.m_workers[worker].m_info.m_capacity.m_slots.Count();
    summary.m_slots_used += placement.m_workers[worker].m_used.m_slots.Count();
  }
  return summary;
}

const VmName& WorkerName(const Placement& placement, WorkerIndex worker) {
  return placement.m_workers[worker].m_info.m_name;
}

}  // namespace filbertspar
