#include "filbertspar/fleet/src/round.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

namespace filbertspar::internal {
namespace {

bool IsSilent(const VmWatch& watch) { return watch.m_silent_since.has_value(); }

/// \brief Share of each zone's VMs that are silent, as (silent, all).
std::map<ZoneName, std::pair<std::int64_t, std::int64_t>> SilencePerZone(
    Round& round) {
  std::map<ZoneName, std::pair<std::int64_t, std::int64_t>> zones;
  for (const auto& [name, vm] : round.m_planner.m_view.m_vms) {
    auto& zone = zones[vm.m_row.m_zone];
    ++zone.second;
    const auto watch = round.m_planner.m_watches.find(name);
    if (watch != round.m_planner.m_watches.end() && IsSilent(watch->second) &&
        vm.m_row.m_state != VmState::kRebooting) {
      ++zone.first;
    }
  }
  return zones;
}

bool IsPastBound(const Round& round, const VmRow& row, Duration bound) {
  return UtcMilliseconds(round.m_now) - row.m_since_ms >= ToMilliseconds(bound);
}

}  // namespace

VmWatch& WatchOf(Round& round, const VmName& vm) {
  return round.m_planner.m_watches[vm];
}

const WorkerReport* FreshReport(Round& round, const VmRow& row) {
  const VmWatch& watch = WatchOf(round, row.m_name);
  const bool fresh = watch.m_last.m_reachable && !IsSilent(watch) &&
                     watch.m_epoch == row.m_epoch &&
                     watch.m_last.m_asked >= watch.m_epoch_seen;
  return fresh ? &watch.m_last : nullptr;
}

void Notify(Round& round, Code code, const VmName& vm, std::string text) {
  round.m_effects.emplace_back(Notice{code, vm, std::move(text)});
}

std::optional<Blocker> StageChange(Round& round, const VmRow& before,
                                   const VmRow* after, Consent consent) {
  // A VM counts in a pool, a rack, a zone and the guarded entries of its pool.
  constexpr std::size_t kRowsPerVm = 8;
  if (round.m_batch.Size() + kRowsPerVm >
      round.m_planner.m_settings.m_max_write_rows) {
    Flush(round);
  }
  return Stage(round.m_batch,
               {round.m_planner.m_view, &round.m_planner.m_locked,
                &round.m_suspected, nullptr},
               &before, after, consent);
}

bool StageEvent(Round& round, const VmRow& row, VmEvent event,
                const DrainRequest& request) {
  if (round.m_batch.m_vms.contains(row.m_name)) {
    return false;
  }
  const auto after = AfterEvent(row, round.m_now, event, request);
  // A move that would leave its pool too small is refused on arrival too,
  // since two planners may have admitted moves of different VMs.
  const Consent consent =
      event == VmEvent::kMoved ? Consent::kVoluntary : Consent::kForced;
  return after && !StageChange(round, row, &*after, consent);
}

void Flush(Round& round) {
  if (round.m_batch.m_vms.empty()) {
    return;
  }
  Planner& planner = round.m_planner;
  WriteRows write = ToWrite(round.m_batch, planner.m_view);
  write.m_id = planner.m_next_write++;
  Lock(planner.m_locked, write);
  planner.m_in_flight[write.m_id] = write;
  round.m_effects.emplace_back(std::move(write));
  round.m_batch = {};
}

void CorrectCounts(Round& round) {
  Planner& planner = round.m_planner;
  if (!planner.m_view_is_fresh || !planner.m_in_flight.empty()) {
    return;
  }
  planner.m_view_is_fresh = false;
  for (WriteRows& write : CorrectBudgets(planner.m_view, *planner.m_catalogue,
                                         planner.m_settings.m_max_write_rows)) {
    write.m_id = planner.m_next_write++;
    Lock(planner.m_locked, write);
    planner.m_in_flight[write.m_id] = write;
    round.m_effects.emplace_back(std::move(write));
  }
}

void NoteEpochs(Round& round) {
  for (const auto& [name, vm] : round.m_planner.m_view.m_vms) {
    VmWatch& watch = WatchOf(round, name);
    if (watch.m_epoch != vm.m_row.m_epoch) {
      watch.m_epoch = vm.m_row.m_epoch;
      watch.m_epoch_seen = round.m_now;
    }
  }
}

void CountSuspects(Round& round) {
  const Planner& planner = round.m_planner;
  const std::int64_t now_ms = UtcMilliseconds(round.m_now);
  std::int64_t silent = 0;
  for (const auto& [name, vm] : planner.m_view.m_vms) {
    const VmRow& row = vm.m_row;
    if (row.m_state == VmState::kFailed &&
        now_ms - row.m_since_ms <
            ToMilliseconds(planner.m_settings.m_settle_after_burst)) {
      ++round.m_recent_failures;
    }
    const auto watch = planner.m_watches.find(name);
    if (watch == planner.m_watches.end() || !IsSilent(watch->second) ||
        row.m_state == VmState::kRebooting || row.m_state == VmState::kFailed) {
      continue;
    }
    ++silent;
    if (row.m_state == VmState::kInService) {
      for (std::string& key : BudgetsOf(planner.m_view, row)) {
        ++round.m_suspected[std::move(key)];
      }
    }
  }
  round.m_recent_failures += silent;
  // Below this many VMs a rack that goes down is already half of the fleet.
  constexpr std::size_t kFewVms = 8;
  round.m_cut_off =
      planner.m_view.m_vms.size() >= kFewVms &&
      2 * static_cast<std::size_t>(silent) > planner.m_view.m_vms.size();
  if (round.m_cut_off) {
    Notify(round, Code::kPeerSilent, VmName(),
           absl::StrCat(silent, " of ", planner.m_view.m_vms.size(),
                        " workers are silent; the planner may be cut off"));
  }
}

void WriteFailures(Round& round) {
  Planner& planner = round.m_planner;
  const PlannerSettings& settings = planner.m_settings;
  const auto zones = SilencePerZone(round);
  for (const auto& [name, vm] : planner.m_view.m_vms) {
    const VmRow& row = vm.m_row;
    if (row.m_state == VmState::kFailed) {
      continue;
    }
    bool failed = false;
    Code code = Code::kOk;
    if (row.m_state == VmState::kRebooting) {
      failed = IsPastBound(round, row, settings.m_reboot_bound);
      code = Code::kVerifyFailed;
    } else if (row.m_state == VmState::kVerifying &&
               IsPastBound(round, row, settings.m_verify_bound)) {
      failed = true;
      code = Code::kVerifyFailed;
    } else {
      const auto watch = planner.m_watches.find(name);
      if (watch != planner.m_watches.end() && IsSilent(watch->second) &&
          watch->second.m_silent_reports >= 2 && !round.m_cut_off) {
        const auto [silent, all] = zones.at(row.m_zone);
        const bool zone_is_silent = all >= 4 && 2 * silent > all;
        const bool left = watch->second.m_unlisted_since.has_value();
        failed = round.m_now - *watch->second.m_silent_since >=
                 (zone_is_silent && !left ? settings.m_zone_dead_after
                                          : settings.m_dead_after);
        code = Code::kPeerSilent;
      }
    }
    if (failed && StageEvent(round, row, VmEvent::kFail)) {
      Notify(round, code, name,
             absl::StrCat("failed while ", std::string(ToString(row.m_state))));
    }
  }
}

void FollowList(Round& round) {
  Planner& planner = round.m_planner;
  if (planner.m_listed.empty()) {
    return;
  }
  std::map<std::string, const VmRow*> by_address;
  for (const auto& [name, vm] : planner.m_view.m_vms) {
    by_address[vm.m_row.m_address] = &vm.m_row;
  }
  for (const auto& [name, listed] : planner.m_listed) {
    const auto known = planner.m_view.m_vms.find(name);
    if (known != planner.m_view.m_vms.end()) {
      // The platform takes a leaving VM whatever the budgets say, so its drain
      // is counted like a failure.
      if (listed.m_leaving &&
          known->second.m_row.m_state == VmState::kInService &&
          StageEvent(round, known->second.m_row, VmEvent::kAdmit,
                     {.m_vm = name, .m_purpose = Purpose::kHold})) {
        Notify(round, Code::kOk, name, "leaves by the platform's decision");
      }
      continue;
    }
    const auto old = by_address.find(listed.m_address);
    if (old == by_address.end() || listed.m_leaving ||
        planner.m_listed.contains(old->second->m_name)) {
      continue;
    }
    // The list lags and may still name the VM that this one replaced, so the
    // address itself has to show that another VM answers or none does.
    const VmWatch& watch = WatchOf(round, old->second->m_name);
    const bool gone = old->second->m_state == VmState::kFailed ||
                      IsSilent(watch) ||
                      (watch.m_boot_changed && watch.m_unlisted_since);
    if (!gone || round.m_batch.m_vms.contains(old->second->m_name)) {
      continue;
    }
    const ChangePlan plan =
        PlanReplace(planner.m_view, round.m_now, old->second->m_name, name,
                    listed.m_address);
    if (plan.Allowed()) {
      for (const auto& write : plan.m_write.m_vms) {
        if (!write.m_erase &&
            !StageChange(round, *old->second, &write.m_row, Consent::kForced)) {
          Notify(
              round, Code::kOk, name,
              absl::StrCat("replaces \"", old->second->m_name.Value(), "\""));
        }
      }
    }
  }
  for (const auto& [name, vm] : planner.m_view.m_vms) {
    const VmWatch& watch = WatchOf(round, name);
    if (vm.m_row.m_state == VmState::kFailed && watch.m_unlisted_since &&
        round.m_now - *watch.m_unlisted_since >=
            planner.m_settings.m_forget_after &&
        !round.m_batch.m_vms.contains(name) &&
        !StageChange(round, vm.m_row, nullptr, Consent::kForced)) {
      Notify(round, Code::kOk, name, "left the fleet");
    }
  }
}

void EmitProbes(Round& round) {
  Planner& planner = round.m_planner;
  const auto& vms = planner.m_view.m_vms;
  std::size_t left = planner.m_settings.m_probes_per_tick;
  const auto probe = [&](const VmName& name, const VmRow& row) {
    VmWatch& watch = WatchOf(round, name);
    if (left == 0 || (watch.m_probed && round.m_now - *watch.m_probed <
                                            planner.m_settings.m_call_retry)) {
      return;
    }
    watch.m_probed = round.m_now;
    --left;
    round.m_effects.emplace_back(ProbeWorker{name, row.m_address});
  };
  // Silent workers and VMs under way decide what happens next; the rest take
  // turns. At most three quarters go to the former, so that a lost zone does
  // not keep the planner from seeing other failures.
  const std::size_t for_rest = left / 4;
  left -= for_rest;
  const std::int64_t now_ms = UtcMilliseconds(round.m_now);
  for (const auto& [name, vm] : vms) {
    const auto watch = planner.m_watches.find(name);
    const bool silent = watch != planner.m_watches.end() &&
                        IsSilent(watch->second) &&
                        vm.m_row.m_state != VmState::kFailed;
    const bool cordon_left = vm.m_row.m_state == VmState::kInService &&
                             now_ms - vm.m_row.m_since_ms < 30'000;
    const bool under_way = vm.m_row.m_state != VmState::kInService &&
                           vm.m_row.m_state != VmState::kFailed;
    if (silent || under_way || cordon_left) {
      probe(name, vm.m_row);
    }
  }
  left += for_rest;
  auto next = vms.upper_bound(planner.m_probe_cursor);
  for (std::size_t tried = 0; left > 0 && tried < vms.size(); ++tried) {
    if (next == vms.end()) {
      next = vms.begin();
    }
    probe(next->first, next->second.m_row);
    planner.m_probe_cursor = next->first;
    ++next;
  }
}

}  // namespace filbertspar::internal
