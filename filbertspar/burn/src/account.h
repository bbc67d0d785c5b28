#pragma once

#include <cstdint>
#include <istream>
#include <string>
#include <vector>

#include "absl/status/status.h"

namespace filbertspar {

/// \brief What a team was owed and got within one hour, in slot-seconds.
struct ShareHour {
  std::int64_t m_hour = 0;
  std::string m_team;
  double m_owed = 0;
  double m_got = 0;
  double m_lent = 0;
  double m_borrowed = 0;
  /// Its running tasks that a drain, move, checkpoint or stop reached.
  std::int64_t m_touched_tasks = 0;
};

/// \brief What one pool kept free as buffer and how often VMs moved to it
/// within one hour.
struct PoolHour {
  std::int64_t m_hour = 0;
  std::string m_pool;
  double m_buffer_vm_hours = 0;
  std::int64_t m_moves = 0;
};

/// \brief One round of maintenance.
struct WaveRecord {
  std::string m_name;
  std::int64_t m_started_ms = 0;
  /// 0 while it goes on.
  std::int64_t m_ended_ms = 0;
  std::int64_t m_vms = 0;
};

struct AccountRecord {
  std::vector<ShareHour> m_shares;
  std::vector<PoolHour> m_pools;
  std::vector<WaveRecord> m_waves;

  bool Empty() const {
    return m_shares.empty() && m_pools.empty() && m_waves.empty();
  }
};

/// \brief Reads JSON lines: rows of table `account` ("hour","team","owed",
/// "got",...), {"hour","pool","buffer_vm_hours","moves"} and {"wave",
/// "started_ms","ended_ms","vms"}. The platform's list of rows, {"rows":
/// [{"value":...}]}, is read too. kBadField with the line's number otherwise.
absl::Status ReadAccount(std::istream& in, const std::string& name,
                         AccountRecord& account);

}  // namespace filbertspar
