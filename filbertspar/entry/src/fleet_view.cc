#include "filbertspar/entry/src/fleet_view.h"

namespace filbertspar {

std::optional<Endpoint> AddressOf(const FleetView& view, const VmName& name) {
  const auto found = view.m_vms.find(name);
  if (found == view.m_vms.end()) {
    return std::nullopt;
  }
  return ParseEndpoint(found->second.m_address);
}

std::vector<WorkerInfo> WorkersOf(const FleetView& view) {
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
