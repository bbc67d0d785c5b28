#pragma once

#include <optional>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "filbertspar/base/base.h"
#include "filbertspar/membership/membership.h"
#include "filbertspar/settings/settings.h"

namespace filbertspar {

/// \brief Settings of an entry process; docs/settings.md describes each.
struct EntryOptions {
  VmName m_name;
  ZoneName m_zone;
  RegionName m_region;
  Endpoint m_caller_listen;
  Endpoint m_admin_listen;
  std::optional<Endpoint> m_peer_listen;
  Endpoint m_platform;
  /// Other entry VMs to try before the platform's list is known.
  std::vector<ListedVm> m_listed_peers;
  std::string m_peer_key_file;
  /// Hash of the operator key that may write the first configuration.
  std::string m_bootstrap_operator_hash;
  std::int64_t m_max_requests = 20'000;
  std::int64_t m_max_body_bytes = 1 << 20;
  Duration m_read_time = Seconds(10);
  Duration m_poll_period = Seconds(1);
  Duration m_stop_bound = Seconds(60);
  Duration m_task_lease = Seconds(10);
};

/// \brief Reads the [entry] section; the first bad setting is the error.
absl::StatusOr<EntryOptions> ReadEntryOptions(Settings& settings);

}  // namespace filbertspar
