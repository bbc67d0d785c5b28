#include "filbertspar/upkeep/src/plan.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"

namespace filbertspar::upkeep {
namespace {

/// A VM counts as removed when it is missing from a VM list and from all that
/// were read after it, the last of them requested this much later. The platform
/// gives no bound; lists lag about 1 s. A gap between lists shows nothing, nor
/// does a list with entries that do not show their VM.
constexpr Duration kMissingTimeout = Seconds(5);
/// Largest share of a pool's VMs that may be draining or down at a time while
/// the wave is on schedule.
constexpr double kMaxPoolShare = 0.25;
/// The same once more than kLateShare of the wave's duration has passed.
constexpr double kLateMaxPoolShare = 0.5;
constexpr double kLateShare = 0.7;
/// An order whose response was lost is repeated after this time.
constexpr Duration kOrderRetryDelay = Milliseconds(600);
/// The platform may learn of a wave, or of a VM, later than this owner, so that
/// a refused order is repeated after this time.
constexpr Duration kRefusalRetryDelay = Seconds(1);
/// Refusals stand once they have gone on for this long, as an absence does. The
/// VM then takes tasks again and holds up no others.
constexpr Duration kRefusalTimeout = Seconds(5);
/// The platform is asked again this long after refusals that stand.
constexpr Duration kStandingRefusalRetryDelay = Seconds(30);
/// Most names of VMs of a kind in a log line.
constexpr std::size_t kMaxNames = 8;

bool IsOrderedOrDown(const VmProgress& progress) {
  return progress.m_phase == Phase::kOrdered ||
         progress.m_phase == Phase::kDown;
}

bool IsRemoved(const State& state, const VmName& vm) {
  const auto missing = state.m_missing_since.find(vm);
  return missing != state.m_missing_since.end() &&
         state.m_whole_list_requested_at - missing->second > kMissingTimeout;
}

bool HasStandingRefusal(const VmProgress& progress) {
  return progress.m_refusals &&
         progress.m_refusals->m_last - progress.m_refusals->m_first >=
             kRefusalTimeout;
}

/// The platform maintains that the VM is not part of the wave. That a VM does
/// not exist is shown by the list alone.
bool IsKeptOut(const VmProgress& progress) {
  return HasStandingRefusal(progress) &&
         progress.m_refusals->m_reason == VmOrderResult::kNotInWave;
}

/// Why a VM does not hold up the completion of its wave.
enum class Evidence : std::uint8_t { kNone, kBegun, kRemoved, kKeptOut };

Evidence FindEvidence(const State& state, const VmName& vm,
                      const VmProgress& progress) {
  if (progress.m_phase == Phase::kDown || progress.m_phase == Phase::kDone) {
    return Evidence::kBegun;
  }
  if (IsRemoved(state, vm)) {
    return Evidence::kRemoved;
  }
  return IsKeptOut(progress) ? Evidence::kKeptOut : Evidence::kNone;
}

bool MayBeOrdered(const VmProgress& progress, TimePoint now) {
  if (!progress.m_refusals) {
    return true;
  }
  const Duration delay = HasStandingRefusal(progress)
                             ? kStandingRefusalRetryDelay
                             : kRefusalRetryDelay;
  return now - progress.m_refusals->m_last >= delay;
}

void RecordRefusal(VmProgress& progress, TimePoint now, VmOrderResult reason) {
  if (!progress.m_refusals || progress.m_refusals->m_reason != reason) {
    progress.m_refusals = Refusals{reason, now, now};
  }
  progress.m_refusals->m_last = now;
  progress.m_phase =
      HasStandingRefusal(progress) ? Phase::kPending : Phase::kDraining;
  progress.m_since = now;
}

/// Whether a previous owner ordered the VM down, or elsewhere, so lately that
/// it may be down, though a list that lags shows it up. Which of the two it was
/// is not recorded.
bool MayBeDownByOrder(const State& state, const VmName& vm) {
  return state.m_inherited_orders.contains(vm) && !IsRemoved(state, vm);
}

std::size_t CountDownVms(const State& state, const Wave& wave) {
  std::size_t down = 0;
  for (const auto& [vm, progress] : wave.m_vms) {
    const auto record = state.m_vms.find(vm);
    const bool listed_down = record != state.m_vms.end() &&
                             record->second.m_state == VmStatus::kUpkeep;
    down += (IsOrderedOrDown(progress) && !IsRemoved(state, vm)) ||
            listed_down || MayBeDownByOrder(state, vm);
  }
  return down;
}

/// Whether the upkeep that was ordered is over, although a list may lag by any
/// time. The list shows another worker than before, or has shown the upkeep
/// before the VM was up again, or it was requested when the platform had ended
/// the upkeep.
bool IsBack(const State& state, const VmProgress& progress,
            const VmRecord& record) {
  if (record.m_state != VmStatus::kUp) {
    return false;
  }
  const bool has_other_worker = !progress.m_worker_before.Empty() &&
                                !record.m_worker.Empty() &&
                                record.m_worker != progress.m_worker_before;
  return has_other_worker || progress.m_was_seen_down ||
         state.m_list_requested_at >
             progress.m_since + state.m_upkeep_time + kMaxReturnDelay;
}

void Define(Wave& wave, const UpkeepWave& spec) {
  wave.m_is_defined = true;
  wave.m_spec = spec;
  for (auto& [vm, progress] : wave.m_vms) {
    progress.m_is_member = false;
    progress.m_refusals.reset();
  }
  for (const VmName& vm : spec.m_vms) {
    wave.m_vms[vm].m_is_member = true;
  }
}

/// Whether nothing is left to remember of a VM that is not part of the wave.
/// An order that is under way, or whose answer was lost, may still take it
/// down.
bool IsForgettable(const State& state, const VmName& vm,
                   const VmProgress& progress) {
  if (progress.m_is_member || progress.m_order_in_flight) {
    return false;
  }
  switch (progress.m_phase) {
    case Phase::kPending:
    case Phase::kDraining:
      return true;
    case Phase::kOrdered: {
      const auto record = state.m_vms.find(vm);
      return record == state.m_vms.end()
                 ? IsRemoved(state, vm)
                 : IsBack(state, progress, record->second);
    }
    case Phase::kDown:
    case Phase::kDone:
      break;
  }
  return false;
}

void RefreshProgress(State& state, Wave& wave, TimePoint now) {
  std::erase_if(wave.m_vms, [&state](const auto& entry) {
    return IsForgettable(state, entry.first, entry.second);
  });
  for (auto& [vm, progress] : wave.m_vms) {
    const auto record = state.m_vms.find(vm);
    if (progress.m_phase == Phase::kDown && record != state.m_vms.end() &&
        IsBack(state, progress, record->second)) {
      progress.m_phase = Phase::kDone;
      progress.m_since = now;
    }
  }
}

/// Notes which VMs the list shows in the upkeep that was ordered.
void NoteUpkeep(State& state, const std::map<VmName, VmRecord>& listed) {
  const auto is_in_upkeep = [&listed](const VmName& vm) {
    const auto record = listed.find(vm);
    return record != listed.end() &&
           record->second.m_state == VmStatus::kUpkeep;
  };
  for (auto& [number, wave] : state.m_waves) {
    for (auto& [vm, progress] : wave.m_vms) {
      progress.m_was_seen_down =
          progress.m_was_seen_down ||
          (IsOrderedOrDown(progress) && is_in_upkeep(vm));
    }
  }
  for (auto& [vm, order] : state.m_inherited_orders) {
    order.m_was_seen_down = order.m_was_seen_down || is_in_upkeep(vm);
  }
}

/// Drops the orders of previous owners whose VMs cannot be down any more.
void RefreshInheritedOrders(State& state, TimePoint now) {
  std::erase_if(state.m_inherited_orders, [&](const auto& entry) {
    const auto& [vm, order] = entry;
    const auto record = state.m_vms.find(vm);
    const bool is_back = order.m_was_seen_down && record != state.m_vms.end() &&
                         record->second.m_state == VmStatus::kUp;
    return is_back || now > order.m_until;
  });
}

double MaxPoolShare(const Wave& wave, TimePoint now) {
  const Duration late_after(static_cast<std::int64_t>(
      kLateShare * static_cast<double>(wave.m_spec.m_duration.count())));
  return now - wave.m_started_at > late_after ? kLateMaxPoolShare
                                              : kMaxPoolShare;
}

}  // namespace

void UpdateWaves(State& state, TimePoint now,
                 const std::map<std::uint64_t, UpkeepWave>& waves) {
  for (const auto& [number, spec] : waves) {
    Wave& wave = state.m_waves[number];
    if (wave.m_started_at == TimePoint{}) {
      wave.m_started_at = now;
    }
    if (!wave.m_is_defined || wave.m_spec != spec) {
      Define(wave, spec);
    }
  }
}

void MarkDone(State& state, std::uint64_t wave,
              const std::vector<VmName>& vms) {
  for (const VmName& vm : vms) {
    state.m_waves[wave].m_vms[vm].m_phase = Phase::kDone;
  }
}

void UpdateVms(State& state, const VmList& list) {
  std::map<VmName, VmRecord> listed;
  for (const VmRecord& vm : list.m_vms) {
    listed[vm.m_name] = vm;
    state.m_missing_since.erase(vm.m_name);
  }
  for (const VmName& vm : list.m_invalid_vms) {
    state.m_missing_since.erase(vm);
  }
  state.m_list_requested_at = list.m_requested_at;
  NoteUpkeep(state, listed);
  if (list.m_nameless_count > 0) {
    // Such an entry may be that of any VM.
    state.m_vms = std::move(listed);
    return;
  }
  const std::set<VmName> invalid(list.m_invalid_vms.begin(),
                                 list.m_invalid_vms.end());
  for (const auto& [number, wave] : state.m_waves) {
    for (const auto& [vm, progress] : wave.m_vms) {
      if (!listed.contains(vm) && !invalid.contains(vm)) {
        state.m_missing_since.try_emplace(vm, list.m_requested_at);
      }
    }
  }
  state.m_vms = std::move(listed);
  state.m_whole_list_requested_at = list.m_requested_at;
}

void HandleOrderResult(State& state, TimePoint now, std::uint64_t wave,
                       const VmName& vm, VmOrderResult result) {
  VmProgress& progress = state.m_waves[wave].m_vms[vm];
  progress.m_order_in_flight = false;
  switch (result) {
    case VmOrderResult::kAccepted:
      progress.m_phase = Phase::kDown;
      progress.m_since = now;
      progress.m_refusals.reset();
      progress.m_may_be_down = false;
      break;
    case VmOrderResult::kMalformed:
    case VmOrderResult::kNotInWave:
      RecordRefusal(progress, now, result);
      break;
    case VmOrderResult::kUnknown:
      // The VM may be down. The order will be repeated, which is harmless.
      progress.m_may_be_down = true;
      progress.m_since = now;
      break;
    case VmOrderResult::kBusy:
    case VmOrderResult::kFenced:
    case VmOrderResult::kTryLater:
      // What this order did not do, one before it may have done.
      progress.m_phase =
          progress.m_may_be_down ? Phase::kOrdered : Phase::kDraining;
      progress.m_since = now;
      break;
  }
}

bool IsComplete(const State& state, const Wave& wave) {
  return wave.m_is_defined &&
         std::all_of(wave.m_vms.begin(), wave.m_vms.end(),
                     [&state](const auto& entry) {
                       return !entry.second.m_is_member ||
                              FindEvidence(state, entry.first, entry.second) !=
                                  Evidence::kNone;
                     });
}

std::string DescribeEvidence(const State& state, const Wave& wave) {
  std::map<Evidence, std::vector<std::string>> vms;
  for (const auto& [vm, progress] : wave.m_vms) {
    if (progress.m_is_member) {
      vms[FindEvidence(state, vm, progress)].push_back(vm.Value());
    }
  }
  const auto names = [&vms](Evidence evidence) {
    std::vector<std::string>& found = vms[evidence];
    found.resize(std::min(found.size(), kMaxNames));
    return absl::StrJoin(found, ",");
  };
  const auto count = [&vms](Evidence evidence) { return vms[evidence].size(); };
  const std::string counts = absl::StrCat(
      "begun=", count(Evidence::kBegun), " removed=", count(Evidence::kRemoved),
      " kept_out=", count(Evidence::kKeptOut),
      " open=", count(Evidence::kNone));
  return absl::StrCat(counts, " removed_vms=", names(Evidence::kRemoved),
                      " kept_out_vms=", names(Evidence::kKeptOut),
                      " open_vms=", names(Evidence::kNone));
}

std::optional<WaveStatus> StatusToStore(const State& state, const Wave& wave) {
  if (!wave.m_is_defined) {
    return std::nullopt;
  }
  const WaveStatus status =
      IsComplete(state, wave) ? WaveStatus::kCompleted : WaveStatus::kRunning;
  return wave.m_stored_status == status ? std::nullopt : std::optional(status);
}

StoreTransaction MakeStatusWrite(Wave& wave, const StoreKey& key,
                                 std::string value) {
  StoreTransaction change;
  change.m_conditions.push_back({key, wave.m_status_version.value()});
  change.m_writes.push_back({key, std::move(value)});
  wave.m_stored_status.reset();
  wave.m_status_version.reset();
  return change;
}

void HandleStatusWritten(Wave& wave, WaveStatus status,
                         const StoreResponse& response) {
  if (response.m_result == StoreResult::kDone) {
    wave.m_stored_status = status;
    wave.m_status_version = response.m_version;
  }
}

Plan MakePlan(State& state, TimePoint now,
              const std::function<VmLoad(const VmRecord&)>& load_of) {
  RefreshInheritedOrders(state, now);
  Plan plan;
  std::map<PoolName, std::size_t> pool_size;
  std::map<PoolName, std::size_t> pool_unavailable;
  for (const auto& [name, vm] : state.m_vms) {
    ++pool_size[vm.m_pool];
    pool_unavailable[vm.m_pool] +=
        vm.m_state != VmStatus::kUp || MayBeDownByOrder(state, name);
  }
  for (auto& [number, wave] : state.m_waves) {
    if (!wave.m_is_defined) {
      continue;
    }
    RefreshProgress(state, wave, now);
    std::vector<std::pair<double, VmName>> candidates;
    std::size_t down = CountDownVms(state, wave);
    std::size_t draining = 0;
    for (auto& [name, progress] : wave.m_vms) {
      const auto record = state.m_vms.find(name);
      if (progress.m_phase == Phase::kDone || record == state.m_vms.end()) {
        continue;
      }
      const VmLoad vm_load = load_of(record->second);
      if (progress.m_phase == Phase::kPending) {
        const bool is_kept_out = IsKeptOut(progress);
        if (!is_kept_out) {
          plan.m_pending.push_back(name);
        }
        // No work is moved for a VM that is not part of the wave.
        if (record->second.m_state == VmStatus::kUp &&
            MayBeOrdered(progress, now) && !MayBeDownByOrder(state, name) &&
            (!is_kept_out || vm_load.m_is_empty)) {
          candidates.emplace_back(
              vm_load.m_used_share +
                  static_cast<double>(vm_load.m_long_running),
              name);
        }
        continue;
      }
      pool_unavailable[record->second.m_pool] +=
          record->second.m_state == VmStatus::kUp;
      if (progress.m_phase == Phase::kDraining) {
        ++draining;
        plan.m_draining.push_back(name);
        if (vm_load.m_is_empty && record->second.m_state == VmStatus::kUp &&
            down < wave.m_spec.m_max_down && MayBeOrdered(progress, now)) {
          progress.m_phase = Phase::kOrdered;
          progress.m_since = now;
          progress.m_order_in_flight = true;
          progress.m_was_seen_down = false;
          progress.m_worker_before =
              vm_load.m_worker_answers ? record->second.m_worker : WorkerName();
          ++down;
          plan.m_orders.push_back({number, name});
        }
      } else {
        // A lagging list still shows the worker that the upkeep has shut down.
        plan.m_draining.push_back(name);
        if (progress.m_phase == Phase::kOrdered &&
            !progress.m_order_in_flight && progress.m_is_member &&
            now - progress.m_since > kOrderRetryDelay) {
          progress.m_order_in_flight = true;
          plan.m_orders.push_back({number, name});
        }
      }
    }
    std::sort(candidates.begin(), candidates.end());
    for (const auto& [load, name] : candidates) {
      if (down + draining >= wave.m_spec.m_max_down) {
        break;
      }
      const PoolName& pool = state.m_vms[name].m_pool;
      const auto limit = std::max<std::size_t>(
          1,
          static_cast<std::size_t>(std::floor(
              MaxPoolShare(wave, now) * static_cast<double>(pool_size[pool]))));
      if (load > 0 && pool_unavailable[pool] >= limit) {
        continue;
      }
      VmProgress& progress = wave.m_vms[name];
      progress.m_phase = Phase::kDraining;
      progress.m_since = now;
      ++pool_unavailable[pool];
      ++draining;
      plan.m_draining.push_back(name);
    }
  }
  return plan;
}

}  // namespace filbertspar::upkeep
