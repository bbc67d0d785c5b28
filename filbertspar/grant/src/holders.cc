#include <set>

#include "filbertspar/grant/src/grants.h"

namespace filbertspar {

using internal::HolderWatch;

namespace {

// Marks older incarnations of the same VM as replaced.
void NoteIncarnation(Grants& grants, TimePoint now, const NodeName& node) {
  const auto [vm, incarnation] = SplitNodeName(node);
  for (auto& [holder, watch] : grants.m_watch) {
    const auto [holder_vm, holder_incarnation] = SplitNodeName(holder);
    if (holder_vm == vm && holder_incarnation < incarnation &&
        !watch.m_replaced) {
      watch.m_replaced = true;
      watch.m_gone_since = now;
    }
  }
}

}  // namespace

void HolderSeen(Grants& grants, TimePoint now, const NodeName& holder) {
  NoteIncarnation(grants, now, holder);
  const auto found = grants.m_watch.find(holder);
  if (found != grants.m_watch.end() && !found->second.m_replaced) {
    found->second.m_seen = true;
    found->second.m_gone_since.reset();
  }
}

void VmListRead(Grants& grants, TimePoint now, const VmList& list) {
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
  std::erase_if(grants.m_watch, [&](const auto& watched) {
    return !holders.contains(watched.first);
  });
  for (auto& [holder, watch] : grants.m_watch) {
    if (watch.m_replaced) {
      continue;
    }
    if (vms.contains(SplitNodeName(holder).first)) {
      watch.m_seen = true;
      watch.m_gone_since.reset();
    } else if (!watch.m_gone_since) {
      // The wait starts now and not when it was last seen: this process may
      // have been paused in between, with the holder alive.
      watch.m_gone_since = now;
    }
  }
}

namespace internal {

bool IsLost(const Grants& grants, TimePoint now, const NodeName& holder) {
  const auto found = grants.m_watch.find(holder);
  if (found == grants.m_watch.end() || !found->second.m_gone_since) {
    return false;
  }
  const HolderWatch& watch = found->second;
  return now - *watch.m_gone_since >= (watch.m_seen || watch.m_replaced
                                           ? kLostHolderWait
                                           : kUnseenHolderWait);
}

void WatchHolders(Grants& grants, TimePoint now, const GrantRow& row) {
  for (const auto& [holder, units] : row.m_holders) {
    if (grants.m_watch.size() < kMaxHoldersWatched && holder != grants.m_self) {
      grants.m_watch.try_emplace(holder);
    }
  }
  for (const auto& [holder, units] : row.m_holders) {
    NoteIncarnation(grants, now, holder);
  }
  NoteIncarnation(grants, now, grants.m_self);
}

}  // namespace internal

}  // namespace filbertspar
