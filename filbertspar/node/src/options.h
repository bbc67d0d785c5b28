#pragma once

#include <optional>
#include <string>

#include "filbertspar/base/base.h"
#include "filbertspar/settings/settings.h"

namespace filbertspar {

/// \brief Settings of the node process.
struct NodeOptions {
  VmName m_vm;
  ZoneName m_zone;
  std::string m_address;
  Endpoint m_caller_listen;
  Endpoint m_ready_listen;
  Endpoint m_link_listen;
  Endpoint m_metrics_listen;
  /// Processor of this VM.
  Millicores m_strength;
  Endpoint m_store;
  double m_store_reads_per_s = 0;
  double m_store_writes_per_s = 0;
  std::int64_t m_part_changes_per_s = 0;
  std::int64_t m_row_bytes = 0;
  std::optional<Endpoint> m_fleet;
  double m_fleet_orders_per_s = 0;
  double m_fleet_reads_per_s = 0;
  Duration m_move_time{0};
  Duration m_upkeep_time{0};
  Duration m_holder_ttl{0};
  std::optional<Endpoint> m_recommendation;
  Duration m_worker_report{0};
  Duration m_max_lease{0};
  Duration m_stop_time{0};
  Duration m_config_apply{0};
  Duration m_revoke{0};
  bool m_strict_revocation = true;
  Duration m_grace{0};
  Duration m_state_kept{0};
};

/// \brief Reads the settings; the first error is kept in `settings`.
NodeOptions ReadNodeOptions(Settings& settings);

}  // namespace filbertspar
