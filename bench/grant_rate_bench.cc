#include <cstdint>
#include <string>
#include <vector>

#include "bench/state_figures.h"
#include "filbertspar/grant/grant.h"
#include "tests/fake_table.h"

namespace filbertspar {
namespace {

using testing::FakeTable;

constexpr std::uint64_t kSeed = 31;
constexpr int kSeconds = 60;

struct Rate {
  double m_reads = 0;
  double m_writes = 0;
  double m_rows = 0;
  /// Writes of the baseline, one per change of demand.
  double m_baseline_writes = 0;
};

Catalogue MakeCatalogue(int count) {
  Catalogue catalogue;
  catalogue.m_version = ConfigVersion(1);
  for (int i = 0; i < count; ++i) {
    catalogue.m_teams.push_back({.m_name = TeamName("t" + std::to_string(i)),
                                 .m_workspace = WorkspaceName("w"),
                                 .m_weight = 1,
                                 .m_ceiling = 200});
  }
  return catalogue;
}

// Store reads, batched writes and rows written by one process, per second. Each
// second each team's demand changes at each node with probability `change`.
Rate Measure(int teams, int nodes, double change) {
  Rng rng(kSeed);
  const Catalogue catalogue = MakeCatalogue(teams);
  FakeTable table;
  TimePoint now{Seconds(100)};
  std::vector<Grants> processes;
  for (int node = 0; node < nodes; ++node) {
    processes.push_back(
        MakeGrants(NodeName("n" + std::to_string(node) + "#1"), rng(), now));
    UpdateCeilings(processes.back(), catalogue);
  }
  Rate rate;
  std::uint64_t attempt = 0;
  for (int second = 0; second < kSeconds; ++second) {
    now += Seconds(1);
    for (Grants& grants : processes) {
      for (const Team& team : catalogue.m_teams) {
        if (rng.Chance(change)) {
          SetDemand(grants, team.m_name,
                    static_cast<std::int64_t>(rng.Below(8)));
          rate.m_baseline_writes += 1;
        }
      }
      GrantEffects effects;
      Tick(grants, grants.m_next_round, effects);
      GrantEffects writes;
      HandleGrantChanges(grants, now, Code::kOk,
                         ReadChanges(table, "grant", grants.m_sequence),
                         writes);
      rate.m_reads += 1;
      const std::size_t batches =
          (writes.size() + kMaxBatchRows - 1) / kMaxBatchRows;
      rate.m_writes += static_cast<double>(batches);
      rate.m_rows += static_cast<double>(writes.size());
      for (const GrantEffect& effect : writes) {
        const auto& write = std::get<WriteGrant>(effect);
        std::vector<RowVersion> versions;
        const bool committed =
            WriteRows(table, {std::to_string(++attempt), {write.m_row}},
                      &versions)
                .empty();
        HandleGrantWriteOutcome(
            grants, now, write.m_team, write.m_write,
            committed ? WriteOutcome::kCommitted : WriteOutcome::kConflict,
            committed ? versions[0] : RowVersion());
      }
    }
  }
  const double total = static_cast<double>(nodes) * kSeconds;
  return {rate.m_reads / total, rate.m_writes / total, rate.m_rows / total,
          rate.m_baseline_writes / total};
}

void PrintSlope(const char* name, const Rate& low, const Rate& high,
                double steps) {
  const std::string prefix = std::string("grant_") + name;
  bench::Print((prefix + "_writes_slope").c_str(),
               (high.m_writes - low.m_writes) / steps, "writes/s",
               (high.m_baseline_writes - low.m_baseline_writes) / steps, kSeed);
  bench::Print((prefix + "_rows_slope").c_str(),
               (high.m_rows - low.m_rows) / steps, "rows/s",
               (high.m_baseline_writes - low.m_baseline_writes) / steps, kSeed);
  bench::Print((prefix + "_reads_slope").c_str(),
               (high.m_reads - low.m_reads) / steps, "reads/s",
               (high.m_baseline_writes - low.m_baseline_writes) / steps, kSeed);
}

void Run() {
  const Rate base = Measure(10, 12, 0.2);
  bench::Print("grant_reads", base.m_reads, "reads/s", base.m_baseline_writes,
               kSeed);
  bench::Print("grant_writes", base.m_writes, "writes/s",
               base.m_baseline_writes, kSeed);
  PrintSlope("per_team", base, Measure(50, 12, 0.2), 40);
  PrintSlope("per_peer", base, Measure(10, 48, 0.2), 36);
  // The last slope is per change of demand per second at one node.
  const Rate busy = Measure(10, 12, 0.8);
  PrintSlope("per_change", base, busy,
             busy.m_baseline_writes - base.m_baseline_writes);
}

}  // namespace
}  // namespace filbertspar

int main() {
  filbertspar::Run();
  return 0;
}
