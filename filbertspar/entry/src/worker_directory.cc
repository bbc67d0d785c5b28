#include "filbertspar/entry/src/worker_directory.h"

#include <algorithm>
#include <utility>

namespace filbertspar {

bool ApplyChanges(WorkerDirectory& view, const ChangeList& changes) {
  for (const Row& row : changes.m_rows) {
    const VmName name(row.m_row.m_key);
    VmRow vm;
    if (!row.m_value) {
      view.m_vms.erase(name);
    } else if (row.m_value->is_object() &&
               FromJson(row.m_value->as_object(), vm).ok()) {
      view.m_vms[name] = std::move(vm);
    } else if (const auto found = view.m_vms.find(name);
               found != view.m_vms.end()) {
      found->second.m_state = VmState::kFailed;
    }
  }
  view.m_sequence = std::max(view.m_sequence, changes.m_sequence);
  return !changes.m_rows.empty();
}

std::optional<Endpoint> AddressOf(const WorkerDirectory& view,
                                  const VmName& name) {
  const auto found = view.m_vms.find(name);
  if (found == view.m_vms.end()) {
    return std::nullopt;
  }
  return ParseEndpoint(found->second.m_address);
}

std::vector<WorkerInfo> WorkersOf(const WorkerDirectory& view) {
  std::vector<WorkerInfo> workers;
  workers.reserve(view.m_vms.size());
  for (const auto& [name, row] : view.m_vms) {
    WorkerInfo info;
    info.m_name = name;
    info.m_pool = row.m_pool;
    info.m_zone = row.m_zone;
    info.m_rack = row.m_rack;
    info.m_capacity = row.m_capacity;
    info.m_connections = row.m_connections;
    info.m_in_service = row.m_state == VmState::kInService;
    workers.push_back(std::move(info));
  }
  return workers;
}

}  // namespace filbertspar
