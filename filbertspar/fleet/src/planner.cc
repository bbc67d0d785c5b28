#include "filbertspar/fleet/src/planner.h"

#include <algorithm>
#include <utility>

#include "filbertspar/fleet/src/round.h"

namespace filbertspar {
namespace {

// Weight of one maintenance in the observed mean; about the last eight count.
constexpr std::int64_t kObservedShare = 8;

template <typename Map, typename Row, typename MakeKey>
void ApplyRead(Map& rows, const std::vector<RowRead<Row>>& reads,
               MakeKey make_key) {
  for (const RowRead<Row>& read : reads) {
    const auto key = make_key(read.m_key);
    const auto found = rows.find(key);
    // A read that was under way while this planner wrote the row is older.
    if (found != rows.end() && read.m_version < found->second.m_version) {
      continue;
    }
    if (read.m_row) {
      rows[key] = {*read.m_row, read.m_version};
    } else if (found != rows.end()) {
      rows.erase(found);
    }
  }
}

void AddObserved(std::optional<Duration>& mean, Duration took) {
  mean = mean ? *mean + (took - *mean) / kObservedShare : took;
}

/// \brief Takes the time since a VM entered an earlier state, if that is known.
std::optional<Duration> TakeSince(std::map<VmName, std::int64_t>& entered,
                                  const VmRow& row) {
  const auto found = entered.find(row.m_name);
  if (found == entered.end()) {
    return std::nullopt;
  }
  const Duration took = Milliseconds(row.m_since_ms - found->second);
  entered.erase(found);
  return took;
}

void ObserveMaintenance(Planner& planner, const VmRow& row) {
  if (row.m_state == VmState::kCordoned) {
    planner.m_admitted_ms[row.m_name] = row.m_since_ms;
  } else if (row.m_state == VmState::kRebooting) {
    planner.m_rebooting_ms[row.m_name] = row.m_since_ms;
  } else if (row.m_state == VmState::kVerifying) {
    if (const auto took = TakeSince(planner.m_rebooting_ms, row)) {
      AddObserved(planner.m_observed_reboot, *took);
    }
  } else if (row.m_state == VmState::kInService) {
    const auto took = TakeSince(planner.m_admitted_ms, row);
    if (took && row.m_last_maintained_ms == row.m_since_ms) {
      AddObserved(planner.m_observed, *took);
    }
  } else if (row.m_state == VmState::kFailed) {
    planner.m_admitted_ms.erase(row.m_name);
    planner.m_rebooting_ms.erase(row.m_name);
  }
}

}  // namespace

Duration ExpectedMaintenance(const Planner& planner) {
  return planner.m_observed.value_or(planner.m_settings.m_expected);
}

void ReadRows(Planner& planner, const RowsRead& rows) {
  const auto text = [](const std::string& key) { return key; };
  ApplyRead(planner.m_view.m_budgets, rows.m_budgets, text);
  ApplyRead(planner.m_view.m_vms, rows.m_vms,
            [](const std::string& key) { return VmName(key); });
  ApplyRead(planner.m_view.m_waves, rows.m_waves, text);
  planner.m_view_is_fresh = true;
}

void WriteSettled(Planner& planner, const FleetWriteReport& report) {
  const auto found = planner.m_in_flight.find(report.m_id);
  if (found == planner.m_in_flight.end()) {
    return;
  }
  const WriteRows write = std::move(found->second);
  planner.m_in_flight.erase(found);
  Unlock(planner.m_locked, write);
  // Rows read while the write was in flight may be newer than what it wrote,
  // so a recount waits for the next read.
  planner.m_view_is_fresh = false;
  if (report.m_result != WriteResult::kCommitted) {
    return;
  }
  FS_ASSERT(report.m_versions.size() == write.Size(),
            "a committed write reports the version of each row");
  std::size_t next = 0;
  const auto is_newer = [&](const auto& rows, const auto& key) {
    const auto row = rows.find(key);
    return row == rows.end() || row->second.m_version < report.m_versions[next];
  };
  for (const auto& row : write.m_vms) {
    ObserveMaintenance(planner, row.m_row);
    if (row.m_erase) {
      planner.m_view.m_vms.erase(row.m_row.m_name);
      planner.m_watches.erase(row.m_row.m_name);
    } else if (is_newer(planner.m_view.m_vms, row.m_row.m_name)) {
      planner.m_view.m_vms[row.m_row.m_name] = {row.m_row,
                                                report.m_versions[next]};
    }
    // The next call for the new state does not wait for the retry of the last.
    if (const auto watch = planner.m_watches.find(row.m_row.m_name);
        watch != planner.m_watches.end()) {
      watch->second.m_called.reset();
    }
    ++next;
  }
  for (const auto& row : write.m_budgets) {
    const std::string key = KeyOf(row.m_row);
    if (row.m_erase) {
      planner.m_view.m_budgets.erase(key);
    } else if (is_newer(planner.m_view.m_budgets, key)) {
      planner.m_view.m_budgets[key] = {row.m_row, report.m_versions[next]};
    }
    ++next;
  }
  for (const auto& row : write.m_waves) {
    if (is_newer(planner.m_view.m_waves, row.m_row.m_name)) {
      planner.m_view.m_waves[row.m_row.m_name] = {row.m_row,
                                                  report.m_versions[next]};
    }
    ++next;
  }
}

void WorkerReported(Planner& planner, TimePoint now,
                    const WorkerReport& report) {
  if (!planner.m_view.m_vms.contains(report.m_vm)) {
    return;
  }
  VmWatch& watch = planner.m_watches[report.m_vm];
  watch.m_probed.reset();
  if (!report.m_reachable) {
    if (!watch.m_silent_since) {
      watch.m_silent_since = now;
    }
    ++watch.m_silent_reports;
    watch.m_healthy_since.reset();
    return;
  }
  if (report.m_asked < watch.m_last.m_asked) {
    return;
  }
  watch.m_silent_since.reset();
  watch.m_silent_reports = 0;
  if (!watch.m_last.m_boot.empty() && watch.m_last.m_boot != report.m_boot) {
    watch.m_boot_changed = now;
  }
  if (!report.m_healthy) {
    watch.m_healthy_since.reset();
  } else if (!watch.m_healthy_since) {
    watch.m_healthy_since = now;
  }
  watch.m_last = report;
}

void VmsListed(Planner& planner, TimePoint now,
               const std::vector<FleetListedVm>& vms) {
  planner.m_listed.clear();
  for (const FleetListedVm& vm : vms) {
    planner.m_listed[vm.m_name] = vm;
  }
  for (const auto& [name, row] : planner.m_view.m_vms) {
    VmWatch& watch = planner.m_watches[name];
    if (planner.m_listed.contains(name)) {
      watch.m_unlisted_since.reset();
    } else if (!watch.m_unlisted_since) {
      watch.m_unlisted_since = now;
    }
  }
}

void PoolLoadReported(Planner& planner, const PoolLoad& load) {
  planner.m_loads[load.m_pool] = load.m_slots;
}

void WantMove(Planner& planner, const MoveRequest& move) {
  if (planner.m_moves.size() < kMaxWaitingMoves) {
    planner.m_moves.push_back(move);
  }
}

void Tick(Planner& planner, TimePoint now, FleetEffects& effects) {
  if (planner.m_catalogue == nullptr) {
    return;
  }
  internal::Round round{planner, now, effects, {}, {}, 0, false};
  internal::NoteEpochs(round);
  internal::CorrectCounts(round);
  internal::CountSuspects(round);
  // Failures are a write of their own, so that a conflict of another change
  // does not delay their being counted.
  internal::WriteFailures(round);
  internal::Flush(round);
  internal::FollowList(round);
  internal::RollBackBroken(round);
  internal::AdvanceDrains(round);
  internal::Flush(round);
  if (!round.m_cut_off) {
    internal::AdmitMoves(round);
    internal::AdmitWaves(round);
    internal::Flush(round);
  }
  internal::EmitProbes(round);
}

}  // namespace filbertspar
