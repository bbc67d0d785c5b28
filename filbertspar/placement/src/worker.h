#pragma once

#include <cstdint>

#include "filbertspar/base/base.h"

namespace filbertspar {

/// \brief A worker as the table and its own reports describe it.
struct WorkerInfo {
  VmName m_name;
  PoolName m_pool;
  ZoneName m_zone;
  RackName m_rack;
  Resources m_capacity;
  std::int64_t m_connections = 64;
  /// False when cordoned, draining, leaving, failed or rebooting.
  bool m_in_service = true;
};

}  // namespace filbertspar
