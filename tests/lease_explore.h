#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "tests/lease_cluster.h"

namespace filbertspar::testing {

struct FlyingLeaseWrite {
  LeaseWriteId m_id;
  std::vector<RowWrite> m_rows;
  std::uint64_t m_fencing = 0;
  NodeName m_writer;
  std::optional<WriteReport> m_report;
  bool m_told_unsettled = false;
};

struct ExploredLease {
  Lease m_lease;
  std::uint64_t m_incarnation = 1;
  std::optional<FlyingLeaseWrite> m_write;
  /// The lease row as read, not delivered yet.
  std::optional<Row> m_read;
};

struct LeaseWorld {
  TimePoint m_now{Seconds(1000)};
  Row m_row{.m_row = LeaseRowKey("planner")};
  RowVersion m_plan;
  std::vector<ExploredLease> m_nodes;
  /// Writes of crashed processes that the network still carries.
  std::vector<FlyingLeaseWrite> m_late;
  bool m_broken = false;
};

/// \brief Explores every interleaving of the lease protocol up to a depth. A
/// pause is any run of steps in which a process takes none.
class LeaseExplorer {
 public:
  LeaseExplorer(int nodes, LeaseFault planted) : m_planted(planted) {
    m_start.m_nodes.resize(static_cast<std::size_t>(nodes));
    for (std::size_t node = 0; node < m_start.m_nodes.size(); ++node) {
      m_start.m_nodes[node].m_lease =
          MakeLease("planner", Name(node, 1), node, m_start.m_now);
    }
    GiveToFirst();
  }

  std::uint64_t Run(int depth) {
    Visit(m_start, depth);
    return m_violations;
  }
  std::uint64_t States() const { return m_seen.size(); }

 private:
  static NodeName Name(std::size_t node, std::uint64_t incarnation) {
    return NodeName("p" + std::to_string(node) + "#" +
                    std::to_string(incarnation));
  }

  // Starts with the first process as holder, known to the others.
  void GiveToFirst() {
    ExploredLease& first = m_start.m_nodes[0];
    LeaseEffects effects;
    LeaseRead(first.m_lease, m_start.m_now, Code::kOk, m_start.m_row, effects);
    m_start.m_now += kTakeOverJitter;
    Advance(m_start, 0);
    ServeAndAnswer(m_start, 0);
    for (std::size_t node = 1; node < m_start.m_nodes.size(); ++node) {
      LeaseRead(m_start.m_nodes[node].m_lease, m_start.m_now, Code::kOk,
                m_start.m_row, effects);
    }
  }

  void Visit(const LeaseWorld& world, int depth) {
    if (m_violations > 0 || Broken(world)) {
      ++m_violations;
      return;
    }
    const std::uint64_t key = std::hash<std::string>{}(Key(world));
    const auto [seen, is_new] = m_seen.try_emplace(key, depth);
    if (!is_new) {
      if (seen->second >= depth) {
        return;
      }
      seen->second = depth;
    }
    if (depth == 0) {
      return;
    }
    for (std::size_t node = 0; node < world.m_nodes.size(); ++node) {
      VisitNode(world, node, depth);
    }
    for (std::size_t late = 0; late < world.m_late.size(); ++late) {
      Step(world, depth, [late](LeaseWorld& next) {
        FlyingLeaseWrite write = next.m_late[late];
        next.m_late.erase(next.m_late.begin() +
                          static_cast<std::ptrdiff_t>(late));
        Serve(next, write);
      });
    }
    for (const Duration pause :
         {Duration(kLeaseRenewal), kLeaseSilence + kTakeOverJitter}) {
      Step(world, depth, [pause](LeaseWorld& next) { next.m_now += pause; });
    }
  }

  void Step(const LeaseWorld& world, int depth,
            const std::function<void(LeaseWorld&)>& act) {
    LeaseWorld next = world;
    act(next);
    Visit(next, depth - 1);
  }

  void VisitNode(const LeaseWorld& world, std::size_t node, int depth) {
    const ExploredLease& now = world.m_nodes[node];
    if (NextTick(now.m_lease) <= world.m_now) {
      Step(world, depth,
           [this, node](LeaseWorld& next) { Advance(next, node); });
    }
    if (now.m_read) {
      Step(world, depth, [this, node](LeaseWorld& next) {
        const Row row = *next.m_nodes[node].m_read;
        next.m_nodes[node].m_read.reset();
        InNode(next, node, [&](Lease& lease, LeaseEffects& effects) {
          LeaseRead(lease, next.m_now, Code::kOk, row, effects);
        });
      });
    }
    if (IsHolder(now.m_lease) && now.m_lease.m_waiting.empty()) {
      Step(world, depth, [this, node](LeaseWorld& next) {
        InNode(next, node, [&](Lease& lease, LeaseEffects& effects) {
          WriteFenced(lease, next.m_now, FencedWriteId(1),
                      {{kPlanRow, next.m_plan, Json(1)}}, effects);
        });
      });
    }
    if (now.m_write) {
      VisitWrite(world, node, depth);
    }
    if (now.m_incarnation < 2) {
      Step(world, depth, [node](LeaseWorld& next) { Crash(next, node); });
    }
  }

  void VisitWrite(const LeaseWorld& world, std::size_t node, int depth) {
    if (!world.m_nodes[node].m_write->m_report) {
      Step(world, depth, [node](LeaseWorld& next) {
        Serve(next, *next.m_nodes[node].m_write);
      });
    }
    Step(world, depth,
         [this, node](LeaseWorld& next) { ServeAndAnswer(next, node); });
    if (!world.m_nodes[node].m_write->m_told_unsettled) {
      Step(world, depth, [this, node](LeaseWorld& next) {
        FlyingLeaseWrite& write = *next.m_nodes[node].m_write;
        write.m_told_unsettled = true;
        WriteReport report;
        if (m_planted == LeaseFault::kGuessCommit) {
          report.m_outcome = WriteOutcome::kCommitted;
          for (const RowWrite& row : write.m_rows) {
            report.m_versions.emplace_back(row.m_expect.Value() + 1);
          }
        }
        InNode(next, node, [&](Lease& lease, LeaseEffects& effects) {
          LeaseWriteEnded(lease, next.m_now, write.m_id, report, effects);
        });
      });
    }
  }

  static RowVersion VersionOf(const LeaseWorld& world, const RowKey& key) {
    return key == kPlanRow ? world.m_plan : world.m_row.m_version;
  }

  static void Serve(LeaseWorld& world, FlyingLeaseWrite& write) {
    WriteReport report;
    for (const RowWrite& row : write.m_rows) {
      const RowVersion version = VersionOf(world, row.m_row);
      if (version != row.m_expect) {
        report.m_conflicts.push_back({row.m_row, version, ""});
      }
      report.m_versions.emplace_back(row.m_expect.Value() + 1);
    }
    if (!report.m_conflicts.empty()) {
      report.m_outcome = WriteOutcome::kConflict;
      write.m_report = report;
      return;
    }
    report.m_outcome = WriteOutcome::kCommitted;
    for (const RowWrite& row : write.m_rows) {
      if (row.m_row != kPlanRow) {
        world.m_row.m_version = RowVersion(row.m_expect.Value() + 1);
        world.m_row.m_value = row.m_value;
        continue;
      }
      world.m_plan = RowVersion(row.m_expect.Value() + 1);
      // A plan may only be written by the holder of the moment.
      world.m_broken |=
          LeaseRowFromJson(*world.m_row.m_value)->m_fencing.Value() !=
          write.m_fencing;
    }
    write.m_report = report;
  }

  void ServeAndAnswer(LeaseWorld& world, std::size_t node) {
    ExploredLease& writer = world.m_nodes[node];
    if (!writer.m_write->m_report) {
      Serve(world, *writer.m_write);
    }
    const FlyingLeaseWrite write = *writer.m_write;
    writer.m_write.reset();
    WriteReport report = *write.m_report;
    if (m_planted == LeaseFault::kNoFence &&
        write.m_rows[0].m_row == kPlanRow) {
      report.m_versions.insert(report.m_versions.begin(),
                               writer.m_lease.m_version);
    }
    InNode(world, node, [&](Lease& lease, LeaseEffects& effects) {
      LeaseWriteEnded(lease, world.m_now, write.m_id, report, effects);
    });
  }

  void Advance(LeaseWorld& world, std::size_t node) {
    InNode(world, node, [&](Lease& lease, LeaseEffects& effects) {
      Tick(lease, world.m_now, effects);
    });
  }

  void InNode(LeaseWorld& world, std::size_t node,
              const std::function<void(Lease&, LeaseEffects&)>& act) {
    ExploredLease& target = world.m_nodes[node];
    LeaseEffects effects;
    act(target.m_lease, effects);
    for (const LeaseEffect& effect : effects) {
      if (std::holds_alternative<ReadLease>(effect)) {
        target.m_read = world.m_row;
      } else if (const auto* write = std::get_if<WriteLease>(&effect)) {
        if (target.m_write && !target.m_write->m_report) {
          world.m_late.push_back(*target.m_write);
        }
        target.m_write =
            FlyingLeaseWrite{write->m_write,
                             write->m_rows,
                             target.m_lease.m_pending->m_row.m_fencing.Value(),
                             target.m_lease.m_self,
                             std::nullopt,
                             false};
        if (m_planted == LeaseFault::kNoFence && write->m_rows.size() > 1) {
          target.m_write->m_rows.erase(target.m_write->m_rows.begin());
        }
      }
    }
  }

  static void Crash(LeaseWorld& world, std::size_t node) {
    ExploredLease& crashed = world.m_nodes[node];
    if (crashed.m_write && !crashed.m_write->m_report) {
      world.m_late.push_back(*crashed.m_write);
    }
    const std::uint64_t incarnation = crashed.m_incarnation + 1;
    crashed = ExploredLease();
    crashed.m_incarnation = incarnation;
    crashed.m_lease =
        MakeLease("planner", Name(node, incarnation), node, world.m_now);
  }

  bool Broken(const LeaseWorld& world) const {
    int acting = 0;
    for (const ExploredLease& node : world.m_nodes) {
      acting += (m_planted == LeaseFault::kNoActingBound
                     ? IsHolder(node.m_lease)
                     : MayAct(node.m_lease, world.m_now))
                    ? 1
                    : 0;
    }
    return world.m_broken || acting > 1;
  }

  static void Add(std::string& key, std::uint64_t number) {
    key += std::to_string(number);
    key += ',';
  }
  static void Add(std::string& key, TimePoint time) {
    Add(key, static_cast<std::uint64_t>(time.time_since_epoch().count()));
  }
  static void Add(std::string& key, const FlyingLeaseWrite& write) {
    key += write.m_writer.Value();
    Add(key, write.m_fencing);
    for (const RowWrite& row : write.m_rows) {
      key += row.m_row.m_table;
      Add(key, row.m_expect.Value());
    }
    Add(key, write.m_report
                 ? static_cast<std::uint64_t>(write.m_report->m_outcome)
                 : 9);
    Add(key, write.m_told_unsettled ? 1 : 0);
  }
  static void Add(std::string& key, const Row& row) {
    Add(key, row.m_version.Value());
    key += row.m_value ? ToText(*row.m_value) : "-";
  }

  static std::string Key(const LeaseWorld& world) {
    std::string key;
    key.reserve(512);
    Add(key, world.m_now);
    Add(key, world.m_row);
    Add(key, world.m_plan.Value());
    for (const FlyingLeaseWrite& late : world.m_late) {
      Add(key, late);
    }
    for (const ExploredLease& node : world.m_nodes) {
      const Lease& lease = node.m_lease;
      key += '|';
      Add(key, node.m_incarnation);
      Add(key, lease.m_version.Value());
      key += lease.m_row.m_holder.Value();
      Add(key, lease.m_row.m_fencing.Value());
      Add(key, (lease.m_known ? 1U : 0U) + (lease.m_holding ? 2U : 0U));
      Add(key, lease.m_confirmed);
      Add(key, lease.m_next_poll);
      Add(key, lease.m_next_renewal);
      Add(key, lease.m_take_over_at);
      Add(key, lease.m_waiting.size());
      Add(key, lease.m_pending ? 1 : 0);
      if (node.m_write) {
        Add(key, lease.m_pending && lease.m_pending->m_id == node.m_write->m_id
                     ? 1
                     : 0);
        Add(key, *node.m_write);
      }
      if (node.m_read) {
        key += 'r';
        Add(key, *node.m_read);
      }
    }
    return key;
  }

  LeaseFault m_planted;
  LeaseWorld m_start;
  std::unordered_map<std::uint64_t, int> m_seen;
  std::uint64_t m_violations = 0;
};

}  // namespace filbertspar::testing
