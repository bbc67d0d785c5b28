#include <set>

#include "filbertspar/grant/src/grants.h"

namespace filbertspar {

using internal::HolderStatus;

namespace {

void MarkReplaced(HolderStatus& status, TimePoint now) {
  if (!status.m_replaced) {
    status.m_replaced = true;
    status.m_gone_since = now;
  }
}

// Marks older incarnations of the same VM as replaced. Called for every
// heartbeat and row, so a known incarnation costs only one look-up.
void UpdateIncarnation(Grants& grants, TimePoint now, const NodeName& node) {
  const auto [vm, incarnation] = SplitNodeName(node);
  const auto known = grants.m_incarnations.find(vm);
  if (known != grants.m_incarnations.end()) {
    if (known->second >= incarnation) {
      return;
    }
    known->second = incarnation;
  } else if (grants.m_incarnations.size() < kMaxTrackedHolders) {
    grants.m_incarnations[vm] = incarnation;
  }
  for (auto& [holder, status] : grants.m_holder_status) {
    const auto [holder_vm, holder_incarnation] = SplitNodeName(holder);
    if (holder_vm == vm && holder_incarnation < incarnation) {
      MarkReplaced(status, now);
    }
  }
}

}  // namespace

void RecordHolderHeartbeat(Grants& grants, TimePoint now,
                           const NodeName& holder) {
  UpdateIncarnation(grants, now, holder);
  const auto found = grants.m_holder_status.find(holder);
  if (found != grants.m_holder_status.end() && !found->second.m_replaced) {
    found->second.m_seen = true;
    found->second.m_gone_since.reset();
  }
}

void HandleVmList(Grants& grants, TimePoint now, const VmList& list) {
  std::set<VmName> vms;
  for (const PlatformVm& vm : list.m_vms) {
    vms.insert(vm.m_id);
  }
  std::set<NodeName> holders;
  for (const auto& [name, team] : grants.m_teams) {
    for (const auto& [holder, units] : team.m_row.m_holders) {
      holders.insert(holder);
    }
  }
  std::erase_if(grants.m_holder_status, [&](const auto& watched) {
    return !holders.contains(watched.first);
  });
  std::set<VmName> kept = vms;
  for (const NodeName& holder : holders) {
    kept.insert(SplitNodeName(holder).first);
  }
  kept.insert(SplitNodeName(grants.m_self).first);
  std::erase_if(grants.m_incarnations,
                [&](const auto& known) { return !kept.contains(known.first); });
  for (auto& [holder, status] : grants.m_holder_status) {
    if (status.m_replaced) {
      continue;
    }
    if (vms.contains(SplitNodeName(holder).first)) {
      status.m_seen = true;
      status.m_gone_since.reset();
    } else if (!status.m_gone_since) {
      // The reclaim delay starts now and not when the holder was last seen:
      // this process may have been paused since then while the holder was
      // alive.
      status.m_gone_since = now;
    }
  }
}

namespace internal {

bool IsReclaimable(const Grants& grants, TimePoint now,
                   const NodeName& holder) {
  const auto found = grants.m_holder_status.find(holder);
  if (found == grants.m_holder_status.end() || !found->second.m_gone_since) {
    return false;
  }
  const HolderStatus& status = found->second;
  return now - *status.m_gone_since >= (status.m_seen || status.m_replaced
                                            ? kReclaimDelay
                                            : kUnseenReclaimDelay);
}

void TrackHolders(Grants& grants, TimePoint now, const GrantRow& row) {
  UpdateIncarnation(grants, now, grants.m_self);
  for (const auto& [holder, units] : row.m_holders) {
    if (holder == grants.m_self || grants.m_holder_status.contains(holder) ||
        grants.m_holder_status.size() >= kMaxTrackedHolders) {
      continue;
    }
    HolderStatus& status = grants.m_holder_status[holder];
    UpdateIncarnation(grants, now, holder);
    const auto [vm, incarnation] = SplitNodeName(holder);
    const auto known = grants.m_incarnations.find(vm);
    if (known != grants.m_incarnations.end() && known->second > incarnation) {
      MarkReplaced(status, now);
    }
  }
}

}  // namespace internal

}  // namespace filbertspar
