#include "filbertspar/node/src/options.h"

#include <sys/resource.h>

#include <algorithm>
#include <limits>

namespace filbertspar {
namespace {

constexpr Duration kDay = Seconds(86400);

Duration GetSeconds(Settings& settings, std::string_view key, double fallback) {
  const double seconds = settings.GetDouble(key, fallback, 0, 86400);
  return Duration(static_cast<std::int64_t>(seconds * 1e6));
}

/// Part of the process's descriptors that callers may take; the rest is for
/// workers, the store and other VMs. An owner has about one connection a
/// worker.
constexpr std::size_t kClientDescriptorDivisor = 2;
/// Part of the process's memory that half-read requests may take; jobs take a
/// third, and the rest covers rows, orders and answers.
constexpr std::size_t kClientMemoryDivisor = 4;

constexpr std::size_t kMinClientConnections = 16;

std::size_t DescriptorLimit() {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0) {
    return std::numeric_limits<std::size_t>::max();
  }
  return limit.rlim_cur;
}

void ReadClientLimits(Settings& settings, NodeOptions& options) {
  // 0 stands for a value that follows from the machine.
  const auto read = [&settings](std::string_view key, std::size_t automatic) {
    const auto value = static_cast<std::size_t>(
        settings.GetInt(key, 0, 0, std::int64_t{1} << 30));
    return value == 0 ? automatic : value;
  };
  options.m_max_descriptors = std::min(
      read("node.max_descriptors", DescriptorLimit()), DescriptorLimit());
  options.m_max_client_connections =
      read("node.max_client_connections",
           std::max(options.m_max_descriptors / kClientDescriptorDivisor,
                    kMinClientConnections));
  options.m_max_client_bytes = read(
      "node.max_client_bytes", options.m_memory_bytes / kClientMemoryDivisor);
  options.m_client_read_time = settings.GetMilliseconds(
      "node.client_read_ms", Seconds(10), Milliseconds(100), Seconds(600));
  options.m_client_min_bytes_per_s =
      settings.GetDouble("node.client_min_bytes_per_s", 256, 0, 1e9);
}

}  // namespace

NodeOptions ReadNodeOptions(Settings& settings) {
  NodeOptions options;
  options.m_vm = VmName(settings.GetText("node.name"));
  options.m_zone = ZoneName(settings.GetText("node.zone"));
  settings.GetText("node.region", "");
  options.m_address = settings.GetText("node.address");
  options.m_caller_listen = settings.GetEndpoint("node.caller_listen");
  options.m_ready_listen = settings.GetEndpoint("node.ready_listen");
  const auto port = [&settings](std::string_view key, std::int64_t fallback) {
    return static_cast<std::uint16_t>(settings.GetInt(key, fallback, 1, 65535));
  };
  options.m_link_listen = {options.m_address, port("node.link_port", 7000)};
  options.m_metrics_listen = {options.m_address,
                              port("node.metrics_port", 9464)};
  const double cores = settings.GetDouble("node.cpu_share", 1, 0.001, 1024) *
                       settings.GetDouble("node.cpu_speed", 1, 0.001, 1024);
  options.m_cpu_capacity = Millicores(static_cast<std::int64_t>(cores * 1000));
  options.m_link_mbps = settings.GetDouble("node.link_mbps", 1000, 0.001, 1e6);
  options.m_memory_bytes = static_cast<std::size_t>(settings.GetInt(
                               "node.memory_mb", 256, 1, 1 << 30))
                           << 20;
  settings.GetBool("node.first_start", false);
  ReadClientLimits(settings, options);
  options.m_store = settings.GetEndpoint("store.address");
  options.m_store_writes_per_s =
      settings.GetDouble("store.writes_per_s", 600, 0, 1e9);
  options.m_store_reads_per_s =
      settings.GetDouble("store.reads_per_s", 2000, 0, 1e9);
  settings.GetDouble("store.change_ms", 5, 0, 1e6);
  options.m_partition_transactions_per_s = static_cast<std::int64_t>(
      settings.GetDouble("store.part_changes_per_s", 200, 1, 1e6));
  options.m_max_row_bytes =
      settings.GetInt("store.row_bytes", 65536, 1024, 1 << 30);
  options.m_fleet = settings.GetOptionalEndpoint("fleet.address");
  options.m_fleet_reads_per_s =
      settings.GetDouble("fleet.reads_per_s", 20, 0, 1e6);
  options.m_fleet_orders_per_s =
      settings.GetDouble("fleet.orders_per_s", 20, 0, 1e6);
  options.m_move_time = GetSeconds(settings, "fleet.move_s", 1.5);
  options.m_upkeep_time = GetSeconds(settings, "fleet.upkeep_s", 2);
  options.m_holder_ttl = settings.GetMilliseconds(
      "fleet.holder_ttl_ms", Seconds(3), Duration(0), kDay);
  options.m_recommendation =
      settings.GetOptionalEndpoint("recommendation.address");
  options.m_worker_report_interval = settings.GetMilliseconds(
      "workers.report_ms", Milliseconds(1500), Milliseconds(1), kDay);
  options.m_worker_orders = settings.GetText("workers.orders", "");
  options.m_max_lease = settings.GetMilliseconds(
      "workers.max_lease_ms", Seconds(6), Milliseconds(100), kDay);
  options.m_stop_time = settings.GetMilliseconds("workers.stop_ms", Seconds(1),
                                                 Duration(0), kDay);
  settings.GetMilliseconds("workers.notice_ms", Seconds(4), Duration(0), kDay);
  options.m_config_apply_time = settings.GetMilliseconds(
      "bounds.config_apply_ms", Seconds(2), Milliseconds(1), kDay);
  options.m_revocation_time = settings.GetMilliseconds(
      "bounds.revoke_ms", Seconds(5), Milliseconds(1), kDay);
  options.m_strict_revocation =
      settings.GetBool("bounds.strict_revocation", true);
  options.m_grace_period = GetSeconds(settings, "bounds.grace_s", 6);
  options.m_state_retention = GetSeconds(settings, "bounds.state_kept_s", 120);
  return options;
}

}  // namespace filbertspar
