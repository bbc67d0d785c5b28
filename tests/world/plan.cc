#include <algorithm>
#include <iterator>

#include "tests/world/world.h"

namespace filbertspar::world {

void World::PlanFaults() {
  const FaultRates& faults = Faults();
  const auto worker_at = [this](std::size_t index) -> FakeWorker& {
    return std::next(m_workers.begin(), static_cast<std::ptrdiff_t>(index))
        ->second;
  };
  if (faults.m_store_outage) {
    After(Random(Duration(0), m_options.m_load_time / 2), [this] {
      m_store_down = true;
      After(Random(Seconds(1), Seconds(15)), [this] { m_store_down = false; });
    });
  }
  if (faults.m_cancel_waves) {
    Every(Random(Seconds(1), Seconds(6)), [this] { CancelWave(); });
  }
  if (faults.m_pauses) {
    const std::size_t n = m_rng.Below(m_nodes.size());
    After(Random(Duration(0), m_options.m_load_time),
          [this, n] { Pause(n, Random(Milliseconds(50), Seconds(20))); });
  }
  if (faults.m_worker_loss) {
    Every(Random(Seconds(2), Seconds(10)), [this, worker_at] {
      LoseWorker(worker_at(m_rng.Below(m_workers.size())),
                 Random(Milliseconds(500), Seconds(12)));
    });
  }
  if (faults.m_bad_workers) {
    worker_at(m_rng.Below(m_workers.size())).m_fails_all = true;
    worker_at(m_rng.Below(m_workers.size())).m_refuses_all = true;
  }
  if (faults.m_config_changes) {
    After(Random(Duration(0), m_options.m_load_time),
          [this] { ChangeConfig(); });
  }
  if (faults.m_grant_moves) {
    Every(Milliseconds(300), [this] { MoveGrant(); });
  }
}

void World::FailAll(const VmName& worker, Duration from) {
  After(from, [this, worker] { m_workers.at(worker).m_fails_all = true; });
}

void World::TakeDown(const VmName& worker, Duration from) {
  After(from, [this, worker] {
    LoseWorker(m_workers.at(worker), m_options.m_load_time);
  });
}

void World::Pause(std::size_t n, Duration length) {
  if (m_nodes[n].m_paused) {
    return;
  }
  m_nodes[n].m_paused = true;
  After(length, [this, n] {
    m_nodes[n].m_paused = false;
    // A process that was paused reads the configuration before it acts.
    Change(n, [this](EngineApi& engine, TimePoint now, Effects& effects) {
      engine.Configure(now, m_catalogue, effects);
    });
    for (const Event& event : std::exchange(m_nodes[n].m_deferred, {})) {
      event();
    }
  });
}

void World::LoseWorker(FakeWorker& worker, Duration length) {
  if (worker.m_down) {
    return;
  }
  worker.m_down = true;
  for (const auto& [attempt, task] : worker.m_tasks) {
    if (task->m_state != TaskState::kRunning) {
      continue;
    }
    task->m_state = TaskState::kStopped;
    HistoryRecord& record = Record(HistoryEvent::kEnded);
    Fill(record, *task);
    record.m_outcome = "stopped";
    const WirePtr wire = m_wires.at(attempt);
    After(Hop(), [this, wire] { Report(wire, AttemptResult::kLost); });
  }
  worker.m_tasks.clear();
  worker.m_slots_used = 0;
  After(length, [&worker] { worker.m_down = false; });
}

void World::CancelWave() {
  for (const auto& [request, n] : m_open) {
    if (!m_origins.contains(request) && m_rng.Chance(0.7)) {
      After(Hop(), [this, n = n, request = request] {
        Change(n,
               [request](EngineApi& engine, TimePoint now, Effects& effects) {
                 engine.Cancel(now, request, effects);
               });
      });
    }
  }
}

// Revokes a key, and withdraws or resizes an entry.
void World::ChangeConfig() {
  auto changed = std::make_shared<Catalogue>(*m_catalogue);
  Key& key = changed->m_keys[m_rng.Below(changed->m_keys.size())];
  key.m_revoked = true;
  HistoryRecord& record = Record(HistoryEvent::kKeyRevoked);
  record.m_key = key.m_name.Value();
  CatalogueEntry& entry =
      changed->m_entries[m_rng.Below(changed->m_entries.size())];
  if (m_rng.Chance(0.5)) {
    entry.m_withdrawn = true;
  } else {
    entry.m_resources.m_memory += Megabytes(1);
  }
  m_catalogue = changed;
  for (std::size_t n = 0; n < m_nodes.size(); ++n) {
    After(Random(Milliseconds(1), Seconds(1)), [this, n] {
      Change(n, [this](EngineApi& engine, TimePoint now, Effects& effects) {
        engine.Configure(now, m_catalogue, effects);
      });
    });
  }
}

// Moves a unit that its holder does not use, as the grant rows do.
void World::MoveGrant() {
  const auto& teams = m_catalogue->m_teams;
  const TeamName team = teams[m_rng.Below(teams.size())].m_name;
  const std::size_t from = m_rng.Below(m_nodes.size());
  const std::size_t to = m_rng.Below(m_nodes.size());
  if (from == to || m_nodes[from].m_paused || m_nodes[to].m_paused) {
    return;
  }
  for (const TeamPoolUse& line : m_nodes[from].m_engine->Use()) {
    if (line.m_team != team || line.m_free_grant <= 0) {
      continue;
    }
    const std::int64_t less = --m_nodes[from].m_granted[team];
    const std::int64_t more = ++m_nodes[to].m_granted[team];
    Change(from, [=](EngineApi& engine, TimePoint now, Effects& effects) {
      engine.Grant(now, team, less, effects);
    });
    Change(to, [=](EngineApi& engine, TimePoint now, Effects& effects) {
      engine.Grant(now, team, more, effects);
    });
    return;
  }
}

}  // namespace filbertspar::world
