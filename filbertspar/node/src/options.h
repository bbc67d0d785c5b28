#pragma once

#include <optional>
#include <string>

#include "filbertspar/base/base.h"
#include "filbertspar/settings/settings.h"

namespace filbertspar {

/// \brief Settings of the node process. Rates are per second, sizes in bytes.
struct NodeOptions {
  VmName m_vm;
  ZoneName m_zone;
  std::string m_address;
  Endpoint m_caller_listen;
  Endpoint m_ready_listen;
  Endpoint m_link_listen;
  Endpoint m_metrics_listen;
  /// Processor capacity of this VM: its CPU share times its CPU speed.
  Millicores m_cpu_capacity;
  std::size_t m_memory_bytes = 0;
  /// Open files that the process may have.
  std::size_t m_max_descriptors = 0;
  /// Connections that callers may hold, and memory that requests which are
  /// being read may take together.
  std::size_t m_max_client_connections = 0;
  std::size_t m_max_client_bytes = 0;
  /// Time in which a request must arrive, and its least mean rate.
  Duration m_client_read_time{0};
  double m_client_min_bytes_per_s = 0;
  /// Bandwidth of this VM's link in megabits per second.
  double m_link_mbps = 0;
  Endpoint m_store;
  double m_store_reads_per_s = 0;
  double m_store_writes_per_s = 0;
  std::int64_t m_partition_transactions_per_s = 0;
  std::int64_t m_max_row_bytes = 0;
  std::optional<Endpoint> m_fleet;
  double m_fleet_orders_per_s = 0;
  double m_fleet_reads_per_s = 0;
  Duration m_move_time{0};
  Duration m_upkeep_time{0};
  Duration m_holder_ttl{0};
  std::optional<Endpoint> m_recommendation;
  Duration m_worker_report_interval{0};
  /// How workers take orders, in the platform's word; empty when not stated.
  std::string m_worker_orders;
  Duration m_max_lease{0};
  Duration m_stop_time{0};
  Duration m_config_apply_time{0};
  Duration m_revocation_time{0};
  bool m_strict_revocation = true;
  Duration m_grace_period{0};
  Duration m_state_retention{0};
};

/// \brief Reads the settings; `settings` records the first error.
NodeOptions ReadNodeOptions(Settings& settings);

}  // namespace filbertspar
