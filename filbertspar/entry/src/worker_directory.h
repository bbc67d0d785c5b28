#pragma once

#include <map>
#include <optional>
#include <vector>

#include "filbertspar/base/base.h"
#include "filbertspar/fleet/fleet.h"
#include "filbertspar/platform/platform.h"
#include "filbertspar/request/request.h"
#include "filbertspar/settings/settings.h"

namespace filbertspar {

/// \brief VM rows as last read from the table.
struct WorkerDirectory {
  std::map<VmName, VmRow> m_vms;
  /// Sequence after which the next changes are read.
  std::uint64_t m_sequence = 0;
};

/// \brief Takes in changed rows; false when there were none. A row that cannot
/// be read leaves its VM out of service.
bool ApplyChanges(WorkerDirectory& view, const ChangeList& changes);

/// \brief Address of a worker's agent, or nothing for an unknown VM.
std::optional<Endpoint> AddressOf(const WorkerDirectory& view,
                                  const VmName& name);

/// \brief All VMs as the engine takes them.
std::vector<WorkerInfo> WorkersOf(const WorkerDirectory& view);

}  // namespace filbertspar
