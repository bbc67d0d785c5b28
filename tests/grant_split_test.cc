#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <vector>

#include "filbertspar/grant/grant.h"

namespace filbertspar {
namespace {

using Amounts = std::map<NodeName, std::int64_t>;

Amounts RandomAmounts() {
  Amounts amounts;
  const auto units = *rc::gen::container<std::vector<std::int64_t>>(
      rc::gen::inRange<std::int64_t>(0, 40));
  for (std::size_t i = 0; i < units.size(); ++i) {
    amounts[NodeName("n" + std::to_string(i) + "#1")] = units[i];
  }
  return amounts;
}

std::int64_t Sum(const Amounts& amounts) {
  std::int64_t sum = 0;
  for (const auto& [node, units] : amounts) {
    sum += units;
  }
  return sum;
}

// Largest excess over one unit of a node's distance to its exact proportion,
// scaled by the total; at most 0 when all are within one unit.
std::int64_t MaxDeviation(const Amounts& split, const Amounts& demand,
                          std::int64_t ceiling) {
  std::int64_t total = 0;
  for (const auto& [node, units] : demand) {
    total += std::min(units, ceiling);
  }
  std::int64_t max_deviation = 0;
  for (const auto& [node, units] : demand) {
    const auto found = split.find(node);
    const std::int64_t assigned = found == split.end() ? 0 : found->second;
    // |got - ceiling * d / total| < 1, in whole numbers.
    max_deviation = std::max(
        max_deviation,
        std::abs(assigned * total - ceiling * std::min(units, ceiling)) -
            (total - 1));
  }
  return max_deviation;
}

// Guards against shares whose sum exceeds the ceiling, and against shares that
// are a unit or more off the exact proportion.
TEST_CASE("a split stays within the ceiling and near the proportion") {
  CHECK(rc::check([] {
    const Amounts demand = RandomAmounts();
    const Amounts held = RandomAmounts();
    const auto ceiling = *rc::gen::inRange<std::int64_t>(1, 60);
    const Amounts split = SplitByDemand(ceiling, demand, held);
    std::int64_t wanted = 0;
    for (const auto& [node, units] : demand) {
      wanted += UnitsWithHeadroom(units);
    }
    RC_ASSERT(Sum(split) == std::min(wanted, ceiling));
    if (wanted > ceiling) {
      RC_ASSERT(MaxDeviation(split, demand, ceiling) <= 0);
    }
    const Amounts trimmed = TrimToCeiling(ceiling, held);
    RC_ASSERT(Sum(trimmed) == std::min(Sum(held), ceiling));
    for (const auto& [node, units] : trimmed) {
      RC_ASSERT(units <= held.at(node));
    }
  }));
}

// Guards against a row that another process decodes to different values.
TEST_CASE("a grant row survives a round trip, and an invalid one is rejected") {
  CHECK(rc::check([] {
    GrantRow row;
    row.m_ceiling = *rc::gen::inRange<std::int64_t>(0, 1000);
    row.m_config_version =
        ConfigVersion(*rc::gen::inRange<std::uint64_t>(0, 1000));
    for (const auto& [node, units] : RandomAmounts()) {
      if (units > 0) {
        row.m_holders[node] = units;
      }
    }
    RC_ASSERT(GrantRowFromJson(ToJson(row)).value() == row);
  }));
  CHECK_FALSE(GrantRowFromJson(Json(JsonObject{{"ceiling", 3}})).ok());
  CHECK_FALSE(GrantRowFromJson(
                  *ParseJson(R"({"ceiling":3,"config":1,"holders":{"a#1":0}})"))
                  .ok());
}

struct Process {
  Grants m_grants;
  std::int64_t m_in_use = 0;
};

// Guards against units that stay unused despite demand: with a fault-free store
// the total in use must converge to what a central counter would allow.
TEST_CASE("the total in use converges to that of a central counter") {
  const TeamName team("desk");
  CHECK(rc::check([&] {
    const auto ceiling = *rc::gen::inRange<std::int64_t>(0, 12);
    const auto count = *rc::gen::inRange<std::size_t>(1, 6);
    Catalogue catalogue;
    catalogue.m_version = ConfigVersion(1);
    catalogue.m_teams.push_back({.m_name = team,
                                 .m_workspace = WorkspaceName("w"),
                                 .m_weight = 1,
                                 .m_ceiling = ceiling});
    TimePoint now{Seconds(100)};
    std::vector<Process> processes(count);
    for (std::size_t i = 0; i < count; ++i) {
      processes[i].m_grants =
          MakeGrants(NodeName("n" + std::to_string(i) + "#1"), i, now);
      UpdateCeilings(processes[i].m_grants, catalogue);
    }
    Row row{.m_row = GrantRowKey(team)};
    for (int phase = 0; phase < 3; ++phase) {
      std::vector<std::int64_t> demand(count);
      std::int64_t total = 0;
      for (std::int64_t& units : demand) {
        units = *rc::gen::inRange<std::int64_t>(0, 8);
        total += units;
      }
      for (int round = 0; round < 40; ++round) {
        now += Seconds(1);
        for (std::size_t i = 0; i < count; ++i) {
          Process& process = processes[i];
          while (process.m_in_use > 0) {
            ReleaseGrantUnit(process.m_grants, team);
            --process.m_in_use;
          }
          SetDemand(process.m_grants, team, demand[i]);
          GrantEffects effects;
          ChangeList changes{.m_table = "grant"};
          if (!row.m_version.IsNone()) {
            changes.m_rows.push_back(row);
          }
          HandleGrantChanges(process.m_grants, now, Code::kOk, changes,
                             effects);
          for (const GrantEffect& effect : effects) {
            const auto& write = std::get<WriteGrant>(effect);
            RC_ASSERT(write.m_row.m_expect == row.m_version);
            row.m_version = RowVersion(row.m_version.Value() + 1);
            row.m_value = write.m_row.m_value;
            HandleGrantWriteOutcome(process.m_grants, now, team, write.m_write,
                                    WriteOutcome::kCommitted, row.m_version);
          }
          while (process.m_in_use < demand[i] &&
                 AcquireGrantUnit(process.m_grants, team)) {
            ++process.m_in_use;
          }
          for (Process& peer : processes) {
            UpdatePeerDemand(peer.m_grants, now, process.m_grants.m_self, team,
                             process.m_in_use, demand[i] - process.m_in_use,
                             FreeUnits(process.m_grants, team));
          }
        }
      }
      std::int64_t in_use = 0;
      for (const Process& process : processes) {
        in_use += process.m_in_use;
      }
      RC_ASSERT(in_use == std::min(ceiling, total));
    }
  }));
}

}  // namespace
}  // namespace filbertspar
