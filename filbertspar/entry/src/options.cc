#include "filbertspar/entry/src/options.h"

namespace filbertspar {

absl::StatusOr<EntryOptions> ReadEntryOptions(Settings& settings) {
  EntryOptions options;
  options.m_name = VmName(settings.GetText("entry.name"));
  options.m_zone = ZoneName(settings.GetText("entry.zone"));
  options.m_region = RegionName(settings.GetText("entry.region", "region"));
  options.m_caller_listen = settings.GetEndpoint("entry.caller_listen");
  options.m_admin_listen = settings.GetEndpoint("entry.admin_listen");
  options.m_peer_listen = settings.GetOptionalEndpoint("entry.peer_listen");
  options.m_platform = settings.GetEndpoint("entry.platform");
  options.m_peers = settings.GetEndpoints("entry.peers");
  options.m_peer_key_file = settings.GetText("entry.peer_key_file", "");
  options.m_bootstrap_operator_hash =
      settings.GetText("entry.bootstrap_operator_hash", "");
  options.m_max_requests =
      settings.GetInt("entry.max_requests", 20'000, 1, 1'000'000);
  options.m_max_body_bytes =
      settings.GetInt("entry.max_body_bytes", 1 << 20, 1024, 64 << 20);
  options.m_read_time = settings.GetMilliseconds(
      "entry.read_time_ms", Seconds(10), Milliseconds(100), Seconds(600));
  options.m_platform_timeout =
      settings.GetMilliseconds("entry.platform_timeout_ms", Milliseconds(800),
                               Milliseconds(10), Seconds(60));
  options.m_poll_period = settings.GetMilliseconds(
      "entry.poll_period_ms", Seconds(1), Milliseconds(50), Seconds(8));
  options.m_stop_bound = settings.GetMilliseconds(
      "entry.stop_bound_ms", Seconds(60), Milliseconds(100), Seconds(3600));
  options.m_task_lease = settings.GetMilliseconds(
      "entry.task_lease_ms", Seconds(10), Seconds(1), Seconds(10));
  if (absl::Status status = settings.Finish(); !status.ok()) {
    return status;
  }
  return options;
}

}  // namespace filbertspar
