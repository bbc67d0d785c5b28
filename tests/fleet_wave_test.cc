#include <catch2/catch.hpp>
#include <memory>
#include <string>

#include "filbertspar/fleet/fleet.h"

namespace filbertspar {
namespace {

/// \brief One planner over a table that takes every write at once.
struct Fixture {
  Planner m_planner;
  std::shared_ptr<Catalogue> m_catalogue = std::make_shared<Catalogue>();
  std::uint64_t m_version = 0;
  // 00:00 UTC on a first day of a month, 1 June 2026.
  TimePoint m_now{Seconds(1'780'272'000)};
  std::vector<WaveStatus> m_reports;

  Fixture() {
    m_catalogue->m_domains = {1, 2};
    m_catalogue->m_pools.push_back({PoolName("a"), 1, 1});
    CatalogueEntry entry;
    entry.m_name = EntryName("quote");
    entry.m_pool = PoolName("a");
    m_catalogue->m_entries.push_back(entry);
    m_planner.m_catalogue = m_catalogue;
    m_planner.m_settings.m_maintain_cycle = false;
    RowsRead rows;
    for (int vm = 0; vm < 9; ++vm) {
      VmRow row;
      row.m_name = VmName("v" + std::to_string(vm));
      row.m_address = "10.0.0." + std::to_string(vm) + ":1";
      row.m_pool = PoolName("a");
      row.m_rack = RackName("r" + std::to_string(vm));
      row.m_zone = ZoneName("z" + std::to_string(vm % 3));
      row.m_capacity.m_slots = Slots(8);
      row.m_last_maintained_ms = UtcMilliseconds(m_now) - 86'400'000;
      rows.m_vms.push_back({row.m_name.Value(), RowVersion(++m_version), row});
    }
    ReadRows(m_planner, rows);
    Step();
  }

  void StartWave(WaveState state = WaveState::kRunning) {
    RowsRead rows;
    rows.m_waves.push_back({"w", RowVersion(++m_version),
                            WaveRow{.m_name = "w",
                                    .m_started_ms = UtcMilliseconds(m_now),
                                    .m_state = state}});
    ReadRows(m_planner, rows);
  }

  void Step() {
    FleetEffects effects;
    Tick(m_planner, m_now, effects);
    for (const FleetEffect& effect : effects) {
      if (const auto* write = std::get_if<WriteRows>(&effect)) {
        std::vector<RowVersion> versions;
        for (std::size_t row = 0; row < write->Size(); ++row) {
          versions.emplace_back(++m_version);
        }
        WriteSettled(m_planner,
                     {write->m_id, WriteResult::kCommitted, versions});
      } else if (const auto* report = std::get_if<ReportWave>(&effect)) {
        m_reports.push_back(report->m_status);
      }
    }
    m_now += Seconds(1);
  }

  void Report(const std::string& vm, bool reachable, std::int64_t running) {
    WorkerReport report;
    report.m_vm = VmName(vm);
    report.m_asked = m_now;
    report.m_reachable = reachable;
    report.m_healthy = reachable;
    report.m_boot = "1";
    report.m_running = running;
    WorkerReported(m_planner, m_now, report);
  }

  std::vector<std::string> Out() const {
    std::vector<std::string> names;
    for (const auto& [name, vm] : m_planner.m_view.m_vms) {
      if (IsOut(vm.m_row)) {
        names.push_back(name.Value());
      }
    }
    return names;
  }

  std::string LastBlocker() const {
    return m_reports.empty() || m_reports.back().m_blockers.empty()
               ? ""
               : m_reports.back().m_blockers.front().m_text;
  }
};

// Guards against a wave that disturbs busy VMs while idle ones wait.
TEST_CASE("an idle VM is drained before busy ones") {
  Fixture fixture;
  for (int vm = 0; vm < 9; ++vm) {
    fixture.Report("v" + std::to_string(vm), true, vm == 5 ? 0 : 3);
  }
  fixture.StartWave();
  fixture.Step();
  CHECK(fixture.Out() == std::vector<std::string>{"v5"});
  fixture.Step();
  CHECK(fixture.m_reports.back().m_blockers.front().m_budget == "pool:a");
  CHECK(fixture.m_reports.back().m_end_ms);
}

// Guards against a drain in a load peak, and against a VM that misses its
// cycle because its pool is always busy.
TEST_CASE("a busy pool waits for a trough unless a VM is due") {
  Fixture fixture;
  PoolLoadReported(fixture.m_planner, {PoolName("a"), 63});
  fixture.StartWave();
  fixture.Step();
  CHECK(fixture.Out().empty());
  CHECK(fixture.LastBlocker().find("trough") != std::string::npos);
  fixture.m_planner.m_view.m_vms[VmName("v7")].m_row.m_last_maintained_ms =
      UtcMilliseconds(fixture.m_now) - 27LL * 86'400'000 - 1;
  fixture.Step();
  CHECK(fixture.Out() == std::vector<std::string>{"v7"});
}

// Guards against a cycle that forgets VMs nobody started a wave for.
TEST_CASE("the cycle drains a VM a week before it is due") {
  Fixture fixture;
  fixture.m_planner.m_settings.m_maintain_cycle = true;
  fixture.m_planner.m_view.m_vms[VmName("v3")].m_row.m_last_maintained_ms =
      UtcMilliseconds(fixture.m_now) - 21LL * 86'400'000 + 3'000;
  fixture.Step();
  CHECK(fixture.Out().empty());
  fixture.m_now += Seconds(5);
  fixture.Step();
  CHECK(fixture.Out() == std::vector<std::string>{"v3"});
}

// Guards against a drain that reaches into a blackout or goes on in one.
TEST_CASE("blackouts stop admissions and roll drains back") {
  Fixture fixture;
  fixture.StartWave();
  fixture.Step();
  REQUIRE(fixture.Out().size() == 1);
  fixture.m_catalogue->m_entries[0].m_blackouts.push_back(
      {.m_start_minute = 1, .m_end_minute = 30});
  fixture.m_now += Seconds(60);
  fixture.Report(fixture.Out()[0], true, 2);
  fixture.Step();
  CHECK(fixture.Out().empty());
  fixture.Step();
  CHECK(fixture.LastBlocker().find("blackout") != std::string::npos);
  // The next drain has to wait for the end of the blackout.
  fixture.m_now = TimePoint(Seconds(1'780'272'000 + 30 * 60));
  fixture.Step();
  CHECK(fixture.Out().size() == 1);
}

// Guards against drains while the extent of a failure is not known yet, and
// against a paused or stopped wave that goes on.
TEST_CASE("a burst of silence, a pause and a stop hold the wave") {
  Fixture fixture;
  for (const char* vm : {"v0", "v1", "v2"}) {
    fixture.Report(vm, false, 0);
  }
  fixture.StartWave();
  fixture.Step();
  CHECK(fixture.Out().empty());
  CHECK(fixture.LastBlocker().find("fell silent") != std::string::npos);
  for (const char* vm : {"v0", "v1", "v2"}) {
    fixture.Report(vm, true, 0);
  }
  fixture.StartWave(WaveState::kPaused);
  fixture.Step();
  CHECK(fixture.Out().empty());
  fixture.StartWave();
  fixture.Step();
  CHECK(fixture.Out().size() == 1);
  fixture.StartWave(WaveState::kStopped);
  fixture.Step();
  CHECK(fixture.Out().empty());
}

// Guards against a silent VM that a drain adds to, before it is written as
// failed: the budget has to hold with it.
TEST_CASE("a silent VM counts in the budgets before it is failed") {
  Fixture fixture;
  fixture.Report("v0", false, 0);
  fixture.StartWave();
  fixture.Step();
  CHECK(fixture.Out().empty());
  CHECK(fixture.LastBlocker().find("pool:a") != std::string::npos);
  fixture.m_now += Seconds(10);
  fixture.Report("v0", false, 0);
  fixture.Step();
  CHECK(fixture.Out() == std::vector<std::string>{"v0"});
  CHECK(fixture.m_planner.m_view.m_budgets.at("pool:a").m_row.m_failed == 1);
}

// Guards against a planner that is cut off and writes its whole fleet failed.
TEST_CASE("a planner that hears nobody writes no failures") {
  Fixture fixture;
  for (int round = 0; round < 3; ++round) {
    for (int vm = 0; vm < 9; ++vm) {
      fixture.Report("v" + std::to_string(vm), false, 0);
    }
    fixture.m_now += Seconds(100);
    fixture.Step();
  }
  CHECK(fixture.Out().empty());
}

}  // namespace
}  // namespace filbertspar
